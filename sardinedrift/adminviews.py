"""What operators read: objects of the state as plain JSON values."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgspec

from sardinedrift import budgets, objects
from sardinedrift.identifiers import EntryState
from sardinedrift.state import State

Row = dict[str, Any]


def _plain(value: Any) -> Row:
    return msgspec.to_builtins(value, str_keys=True)


def _key(state: State, key: objects.Key) -> Row:
    row = _plain(key)
    del row["digest"]
    return row


def _move(state: State, move: objects.Move) -> Row:
    instance = state.tables.instance_by_id.get(move.instance_id)
    drain = instance.drain if instance else None
    own = drain is not None and drain.move_id == move.move_id
    return {**_plain(move), "waiting": list(drain.waiting) if own else []}


def _wave(state: State, wave: objects.Wave) -> Row:
    lent = budgets.borrowed_instances(state, wave.wave_id)
    return {**_plain(wave), "lent": [each.instance_id for each in lent]}


def _allowances(state: State, team_id: str) -> Row:
    team = state.tables.team_by_id.get(team_id)
    return {
        "team_id": team_id,
        "limit": team.limit if team else 0,
        "unallocated": state.unallocated(team_id),
        **_plain(state.tables.allowances_by_team[team_id]),
    }


def _object(state: State, value: Any) -> Row:
    return _plain(value)


class _Collection(NamedTuple):
    """Where a collection is kept, and how its objects are shown.

    Attributes:
        fields: those by which the collection can be filtered.
        view: returns an object as a row.
    """

    table: str
    fields: tuple[str, ...]
    view: Callable[[State, Any], Row] = _object


_COLLECTION_BY_NAME = {
    "data-centres": _Collection(
        "data_centre_by_id", objects.DataCentre.__struct_fields__
    ),
    "teams": _Collection("team_by_id", objects.Team.__struct_fields__),
    "keys": _Collection(
        "key_by_id", ("key_id", "team_id", "state", "revision"), _key
    ),
    "pools": _Collection("pool_by_id", objects.Pool.__struct_fields__),
    "queues": _Collection("queue_by_id", objects.Queue.__struct_fields__),
    "rules": _Collection("rule_by_id", objects.Rule.__struct_fields__),
    "instances": _Collection(
        "instance_by_id", objects.Instance.__struct_fields__
    ),
    "moves": _Collection("move_by_id", objects.Move.__struct_fields__, _move),
    "waves": _Collection("wave_by_id", objects.Wave.__struct_fields__, _wave),
    "entries": _Collection("entry_by_id", objects.Entry.__struct_fields__),
    "allowances": _Collection(
        "allowances_by_team", ("team_id", "limit", "unallocated"), _allowances
    ),
    "jobs": _Collection("job_by_id", objects.Job.__struct_fields__),
    "workers": _Collection(
        "worker_use_by_instance", objects.WorkerUse.__struct_fields__
    ),
}

COLLECTIONS = tuple(_COLLECTION_BY_NAME)


def fields(collection: str) -> tuple[str, ...]:
    """Returns the names of the fields that a collection is filtered by."""
    return _COLLECTION_BY_NAME[collection].fields


def one(state: State, collection: str, object_id: str) -> Row | None:
    """Returns one object of a collection, or None."""
    kept = _COLLECTION_BY_NAME[collection]
    rows = getattr(state.tables, kept.table)
    if object_id not in rows:
        return None
    return kept.view(state, _subject(collection, rows, object_id))


def rows_after(
    state: State, collection: str, after: str
) -> Iterator[tuple[str, Row]]:
    """Yields (id, object) of a collection in id order, after an id."""
    kept = _COLLECTION_BY_NAME[collection]
    rows = getattr(state.tables, kept.table)
    for object_id in sorted(rows):
        if object_id > after:
            yield (
                object_id,
                kept.view(state, _subject(collection, rows, object_id)),
            )


def _subject(collection: str, rows: dict, object_id: str) -> Any:
    return object_id if collection == "allowances" else rows[object_id]


def waiting_drains(state: State) -> list[Row]:
    """Returns the drains in progress and the entries they wait for."""
    return [
        {
            "instance_id": instance.instance_id,
            "move_id": instance.drain.move_id,
            "wave_id": instance.drain.wave_id,
            "waiting": list(instance.drain.waiting),
        }
        for instance in state.tables.instance_by_id.values()
        if instance.drain and instance.drain.waiting
    ]


def waiting_joins(state: State) -> list[Row]:
    """Returns the entries that join and the members they wait for."""
    return [
        {
            "entry_id": entry.entry_id,
            "data_centre_id": entry.data_centre_id,
            "waiting": list(entry.waiting),
        }
        for entry in state.tables.entry_by_id.values()
        if entry.state is EntryState.JOINING
    ]
