"""Findings of the check of a configuration, and differences as findings."""

import enum
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

# A value in a message is cut after this many characters.
MAX_VALUE_LENGTH = 80


class FindingKind(enum.Enum):
    """Kind of a finding.

    Attributes:
        ERROR: the configuration would be refused, or not as written.
        NEVER_MATCHES: an entry that has no effect on any call, job or wave.
        CONTRADICTION: limits that exclude each other.
        DIFFERENCE: a difference from the configuration in force.
    """

    ERROR = "error"
    NEVER_MATCHES = "never_matches"
    CONTRADICTION = "contradiction"
    DIFFERENCE = "difference"


class Finding(msgspec.Struct, frozen=True):
    """One result of the check.

    Attributes:
        section: list or key of the file.
        object_id: id of the object in that list, or "".
        field: field of the object, or "".
    """

    kind: FindingKind
    section: str
    object_id: str
    field: str
    message: str

    @property
    def is_problem(self) -> bool:
        """Whether the configuration should be corrected."""
        return self.kind is not FindingKind.DIFFERENCE

    @property
    def location(self) -> str:
        """Where in the configuration it was found."""
        parts = (self.section, self.object_id, self.field)
        return ".".join(part for part in parts if part)


def differences(
    section: str,
    in_force: Mapping[str, msgspec.Struct],
    wanted: Mapping[str, msgspec.Struct],
) -> Iterator[Finding]:
    """Yields how objects differ from those in force, both by their id.

    Objects in force that are not wanted are not mentioned.
    """
    for object_id, new in wanted.items():
        old = in_force.get(object_id)
        if old is None:
            yield Finding(
                FindingKind.DIFFERENCE, section, object_id, "", "is new"
            )
            continue
        for change in _changed_fields(old, new):
            yield Finding(FindingKind.DIFFERENCE, section, object_id, *change)


def removals(
    section: str,
    in_force: Mapping[str, msgspec.Struct],
    wanted: Mapping[str, msgspec.Struct],
) -> Iterator[Finding]:
    """Yields the objects in force that are not wanted any more."""
    for object_id in in_force:
        if object_id not in wanted:
            yield Finding(
                FindingKind.DIFFERENCE, section, object_id, "", "is removed"
            )


class _Change(NamedTuple):
    """A field that differs."""

    field: str
    message: str


def _changed_fields(
    old: msgspec.Struct, new: msgspec.Struct, prefix: str = ""
) -> Iterator[_Change]:
    """Yields the fields that differ, also those of structs in structs."""
    for name in new.__struct_fields__:
        before, after = getattr(old, name), getattr(new, name)
        if before == after:
            continue
        if isinstance(before, msgspec.Struct):
            yield from _changed_fields(before, after, f"{prefix}{name}.")
            continue
        yield _Change(
            f"{prefix}{name}",
            f"changes from {_text(before)} to {_text(after)}",
        )


def _text(value: Any) -> str:
    text = str(msgspec.json.encode(value), "utf-8")
    if len(text) <= MAX_VALUE_LENGTH:
        return text
    return f"{text[:MAX_VALUE_LENGTH]}..."
