"""Decodes changes posted by operators; errors name the invalid field."""

import re

import msgspec

from sardinedrift import changes as ch
from sardinedrift.exceptions import StateError
from sardinedrift.jsoncodec import decode_json

_LOCATION = re.compile(r" - at `\$\.?([^`]*)`$")
_NAMED_FIELD = re.compile(r"field `([^`]+)`")


class _Body(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    changes: list[msgspec.Raw]
    atomic: bool = False
    deadline: float | None = None


class PostedChanges(msgspec.Struct, frozen=True):
    """The content of `POST /v1/changes`; the deadline is in unix seconds."""

    changes: list[ch.AnyChange]
    atomic: bool
    deadline: float | None


def decode(data: bytes) -> PostedChanges:
    """Decodes the body of `POST /v1/changes`.

    Raises:
        StateError: with code "malformed" and the path of the field.
    """
    try:
        body = decode_json(data, _Body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _malformed("", error) from error
    if not body.changes:
        raise StateError("malformed", "at least one change", "changes")
    posted = [
        _decode_change(f"changes[{index}]", raw)
        for index, raw in enumerate(body.changes)
    ]
    seen_ids = set()
    for index, change in enumerate(posted):
        if change.change_id in seen_ids or not change.change_id:
            raise StateError(
                "malformed",
                "must be given and differ from the others",
                f"changes[{index}].change_id",
            )
        seen_ids.add(change.change_id)
    return PostedChanges(posted, body.atomic, body.deadline)


def _decode_change(path: str, raw: msgspec.Raw) -> ch.AnyChange:
    try:
        change = ch.decode_change(bytes(raw))
        fields = decode_json(raw, dict[str, msgspec.Raw])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _malformed(path, error) from error
    if not isinstance(change, ch.OPERATOR_CHANGES):
        raise StateError(
            "malformed",
            f"{type(change).__name__} is not published by operators",
            f"{path}.type",
        )
    # Readers of the log ignore unknown fields, but one that an operator sends
    # is a mistake that must not be ignored silently.
    known = change.__struct_fields__
    for name in fields:
        if name not in ("type", *known):
            raise StateError(
                "malformed",
                f"unknown field; allowed: {', '.join(known)}",
                f"{path}.{name}",
            )
    return change


def _malformed(path: str, error: Exception) -> StateError:
    text = str(error)
    location = _LOCATION.search(text)
    named_field = _NAMED_FIELD.search(text)
    parts = [path, location.group(1) if location else ""]
    if named_field:
        parts.append(named_field.group(1))
    field = ".".join(part for part in parts if part)
    return StateError("malformed", text, field)
