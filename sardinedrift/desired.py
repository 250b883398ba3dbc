"""Reads the configuration file of a fleet and plans changes to apply it.

The file has lists of objects under `data_centres`, `teams`, `pools`,
`queues`, `rules` and `instances`; the keys of an object are the fields of its
change. Objects of the fleet that are not in the file are left unchanged.
"""

import pathlib
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from sardinedrift import changes as ch
from sardinedrift.exceptions import SettingsError
from sardinedrift.yamlfiles import read_mapping

Row = dict[str, Any]


class Section(NamedTuple):
    """A list in the file: its collection and the change type of its objects."""

    name: str
    collection: str
    id_field: str
    change_type: type[ch.OperatorChange]


# Objects refer only to objects of earlier sections.
SECTIONS = (
    Section("data_centres", "data-centres", "data_centre_id", ch.PutDataCentre),
    Section("teams", "teams", "team_id", ch.PutTeam),
    Section("pools", "pools", "pool_id", ch.PutPool),
    Section("queues", "queues", "queue_id", ch.PutQueue),
    Section("rules", "rules", "rule_id", ch.PutRule),
    Section("instances", "instances", "instance_id", ch.PutInstance),
)
SECTION_BY_COLLECTION = {section.collection: section for section in SECTIONS}

_FIELDS_NOT_IN_FILE = ("change_id", "expected_revision")


class DesiredConfiguration(NamedTuple):
    """Objects of a file as changes without ids and revisions, by section."""

    changes_by_section: dict[str, list[ch.OperatorChange]]


class FileError(NamedTuple):
    """An error of a file, with the key where it is."""

    key: str
    message: str

    def __str__(self) -> str:
        return f"{self.key}: {self.message}"


class FileContent(NamedTuple):
    """Objects of a file, without invalid ones, and its errors.

    Objects whose id is given twice are all included.
    """

    desired: DesiredConfiguration
    errors: list[FileError]


class Plan(NamedTuple):
    """Changes to publish, and warnings about differences that remain."""

    changes: list[ch.OperatorChange]
    warnings: list[str]


def load(
    path: str | pathlib.Path, only: tuple[str, ...] | None = None
) -> DesiredConfiguration:
    """Reads a configuration file.

    Args:
        path: the file.
        only: names of the sections that may occur; None: all.

    Raises:
        SettingsError: one line for each error, with file, key and allowed
            values.
    """
    content = read(read_mapping(path), only)
    if content.errors:
        raise SettingsError(
            "\n".join(f"{path}: {each}" for each in content.errors)
        )
    return content.desired


def read(
    data: dict[str, Any], only: tuple[str, ...] | None = None
) -> FileContent:
    """Returns the objects in the mapping of a file, and its errors.

    Args:
        data: the mapping.
        only: names of the sections that may occur; None: all.
    """
    allowed = [each for each in SECTIONS if not only or each.name in only]
    known = [section.name for section in allowed]
    errors = [
        FileError(name, f"unknown key; allowed: {', '.join(known)}")
        for name in data
        if name not in known
    ]
    changes_by_section = {}
    for section in allowed:
        rows = data.get(section.name) or []
        if not isinstance(rows, list):
            errors.append(FileError(section.name, "must be a list"))
            continue
        changes_by_section[section.name] = _read_rows(section, rows, errors)
    return FileContent(DesiredConfiguration(changes_by_section), errors)


def _read_rows(
    section: Section, rows: list, errors: list[FileError]
) -> list[ch.OperatorChange]:
    changes = []
    seen_ids = set()
    for index, row in enumerate(rows):
        location = f"{section.name}[{index}]"
        try:
            change = read_row(section.change_type, row)
        except ValueError as error:
            field, _, text = str(error).partition(": ")
            errors.append(FileError(f"{location}.{field}", text))
            continue
        object_id = getattr(change, section.id_field)
        if object_id in seen_ids:
            errors.append(
                FileError(
                    f"{location}.{section.id_field}",
                    f"{object_id!r} is given twice",
                )
            )
        seen_ids.add(object_id)
        changes.append(change)
    return changes


def read_row(
    change_type: type[ch.OperatorChange], row: Any
) -> ch.OperatorChange:
    """Returns a change with the fields of a row, at revision 0.

    Raises:
        ValueError: the row is invalid; the message begins with the field.
    """
    if not isinstance(row, dict):
        raise ValueError("(object): must be a mapping")
    known = field_names(change_type)
    for name in row:
        if name not in known:
            raise ValueError(
                f"{name}: unknown key; allowed: {', '.join(known)}"
            )
    fields = {**row, "change_id": "", "expected_revision": 0}
    try:
        return msgspec.convert(fields, change_type)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `$.")
        field = path.rstrip("`") or "(object)"
        raise ValueError(f"{field}: {text}") from error


def field_names(change_type: type[ch.OperatorChange]) -> list[str]:
    """Returns the fields of a change that a row may set, its id first."""
    return [
        name
        for name in change_type.__struct_fields__
        if name not in _FIELDS_NOT_IN_FILE
    ]


def plan(
    desired: DesiredConfiguration,
    rows_by_collection: dict[str, dict[str, Row]],
    change_id: str,
) -> Plan:
    """Returns the changes that apply a file to a fleet.

    Args:
        desired: content of the file.
        rows_by_collection: current objects by collection and id.
        change_id: prefix of the change ids.
    """
    changes: list[ch.OperatorChange] = []
    warnings: list[str] = []
    for section in SECTIONS:
        rows = rows_by_collection.get(section.collection, {})
        wanted = desired.changes_by_section.get(section.name, [])
        for change in wanted:
            object_id = getattr(change, section.id_field)
            current = rows.get(object_id)
            change = _with_current_pool(change, current, warnings)
            if current is None or _differs(change, current):
                name = f"{section.collection}/{object_id}"
                changes.append(
                    _with_id_and_revision(change, name, current, change_id)
                )
    return Plan(changes, warnings)


def check(path: str | pathlib.Path) -> None:
    """Validates a file by a trial run of its changes on an empty state.

    Raises:
        SettingsError: the file is invalid, or the fold would reject a change.
    """
    # The fold is slow to import, and only this function needs it.
    from sardinedrift import fold
    from sardinedrift.state import State

    changes = tuple(plan(load(path), {}, "check").changes)
    results = fold.rehearse(State(), ch.Batch(changes))
    errors = [
        f"{path}: {result.change_id.removeprefix('check/')}: "
        f"{result.field}: {result.message}"
        for result in results
        if not result.accepted
    ]
    if errors:
        raise SettingsError("\n".join(errors))


def sections(desired: DesiredConfiguration) -> Iterator[Section]:
    """Yields the sections in which a file has objects."""
    for section in SECTIONS:
        if desired.changes_by_section.get(section.name):
            yield section


def _with_current_pool(
    change: ch.OperatorChange, current: Row | None, warnings: list[str]
) -> ch.OperatorChange:
    """Keeps the current pool of an instance, which only a move changes."""
    if current is None or not isinstance(change, ch.PutInstance):
        return change
    if change.pool_id == current["pool_id"]:
        return change
    warnings.append(
        f"instance {change.instance_id} stays in pool {current['pool_id']}; "
        "use `sardinedrift move start` to move it"
    )
    return msgspec.structs.replace(change, pool_id=current["pool_id"])


def _differs(change: ch.OperatorChange, current: Row) -> bool:
    # The current row was decoded from JSON, so it has lists instead of tuples.
    wanted = msgspec.json.decode(msgspec.json.encode(change))
    return any(
        value != current[name]
        for name, value in wanted.items()
        if name in current
    )


def _with_id_and_revision(
    change: ch.OperatorChange,
    object_name: str,
    current: Row | None,
    change_id: str,
) -> ch.OperatorChange:
    # The id is derived from the object, so that a repeated apply gives the
    # same ids to the remaining changes when a part has already been applied.
    return msgspec.structs.replace(
        change,
        change_id=f"{change_id}/{object_name}",
        expected_revision=current["revision"] if current else 0,
    )
