"""Views of the state for operators, as plain JSON values."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgspec

from sardinedrift import budgets, objects
from sardinedrift.identifiers import EntryState
from sardinedrift.state import State

Row = dict[str, Any]


def _plain(value: Any) -> Row:
    return msgspec.to_builtins(value, str_keys=True)


def _key_row(state: State, key: objects.Key) -> Row:
    row = _plain(key)
    del row["digest"]
    return row


def _move_row(state: State, move: objects.Move) -> Row:
    instance = state.tables.instance_by_id.get(move.instance_id)
    drain = instance.drain if instance else None
    is_current = drain is not None and drain.move_id == move.move_id
    return {
        **_plain(move),
        "waiting": list(drain.waiting) if is_current else [],
    }


def _wave_row(state: State, wave: objects.Wave) -> Row:
    lent = budgets.borrowed_instances(state, wave.wave_id)
    return {**_plain(wave), "lent": [each.instance_id for each in lent]}


def _allowances_row(state: State, team_id: str) -> Row:
    team = state.tables.team_by_id.get(team_id)
    return {
        "team_id": team_id,
        "limit": team.limit if team else 0,
        "unallocated": state.unallocated(team_id),
        **_plain(state.tables.allowances_by_team[team_id]),
    }


def _object_row(state: State, value: Any) -> Row:
    return _plain(value)


class _Collection(NamedTuple):
    """The table of a collection and the view of its objects.

    Attributes:
        table: attribute of the state's tables that holds the objects.
        fields: fields by which the collection can be filtered.
        view: converts an object to a row.
    """

    table: str
    fields: tuple[str, ...]
    view: Callable[[State, Any], Row] = _object_row


_COLLECTION_BY_NAME = {
    "data-centres": _Collection(
        "data_centre_by_id", objects.DataCentre.__struct_fields__
    ),
    "teams": _Collection("team_by_id", objects.Team.__struct_fields__),
    "keys": _Collection(
        "key_by_id", ("key_id", "team_id", "state", "revision"), _key_row
    ),
    "pools": _Collection("pool_by_id", objects.Pool.__struct_fields__),
    "queues": _Collection("queue_by_id", objects.Queue.__struct_fields__),
    "rules": _Collection("rule_by_id", objects.Rule.__struct_fields__),
    "instances": _Collection(
        "instance_by_id", objects.Instance.__struct_fields__
    ),
    "moves": _Collection(
        "move_by_id", objects.Move.__struct_fields__, _move_row
    ),
    "waves": _Collection(
        "wave_by_id", objects.Wave.__struct_fields__, _wave_row
    ),
    "entries": _Collection("entry_by_id", objects.Entry.__struct_fields__),
    "allowances": _Collection(
        "allowances_by_team",
        ("team_id", "limit", "unallocated"),
        _allowances_row,
    ),
    "jobs": _Collection("job_by_id", objects.Job.__struct_fields__),
    "workers": _Collection(
        "worker_use_by_instance", objects.WorkerUse.__struct_fields__
    ),
}

COLLECTIONS = tuple(_COLLECTION_BY_NAME)


def filter_fields(collection: str) -> tuple[str, ...]:
    """Returns the fields by which a collection can be filtered."""
    return _COLLECTION_BY_NAME[collection].fields


def find_row(state: State, collection: str, object_id: str) -> Row | None:
    """Returns an object of a collection, or None if it does not exist."""
    definition = _COLLECTION_BY_NAME[collection]
    table = getattr(state.tables, definition.table)
    if object_id not in table:
        return None
    return definition.view(state, _view_input(collection, table, object_id))


def rows_after(
    state: State, collection: str, after: str
) -> Iterator[tuple[str, Row]]:
    """Yields (id, row) of the objects with ids above `after`, in id order."""
    definition = _COLLECTION_BY_NAME[collection]
    table = getattr(state.tables, definition.table)
    for object_id in sorted(table):
        if object_id > after:
            yield (
                object_id,
                definition.view(
                    state, _view_input(collection, table, object_id)
                ),
            )


def _view_input(collection: str, table: dict, object_id: str) -> Any:
    """Returns the object for the view; its id in the case of allowances."""
    return object_id if collection == "allowances" else table[object_id]


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
    """Returns the joining entries and the members they wait for."""
    return [
        {
            "entry_id": entry.entry_id,
            "data_centre_id": entry.data_centre_id,
            "waiting": list(entry.waiting),
        }
        for entry in state.tables.entry_by_id.values()
        if entry.state is EntryState.JOINING
    ]
