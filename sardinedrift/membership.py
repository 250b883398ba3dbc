"""Folds changes of entry membership and determines owners of request ids."""

from collections.abc import Iterable

import msgspec

from sardinedrift import allowances, inventory, objects
from sardinedrift import changes as ch
from sardinedrift.exceptions import StateError
from sardinedrift.identifiers import (
    DataCentreId,
    EntryId,
    EntryState,
    RequestId,
    request_time,
)
from sardinedrift.routing import rendezvous
from sardinedrift.state import State

# A repeated request id is recognised for this long after its creation.
REQUEST_ID_LIFETIME_SECONDS = 300.0
# Largest difference between any two clocks of callers, entries and the log
# service.
CLOCK_ERROR_SECONDS = 1.0


def owner(
    state: State, data_centre_id: DataCentreId, request_id: RequestId
) -> EntryId | None:
    """Returns the active member of a data centre that owns a request id."""
    return rendezvous(request_id, state.active_entries(data_centre_id))


def owns_exclusively(
    state: State,
    data_centre_id: DataCentreId,
    request_id: RequestId,
    entry_id: EntryId,
) -> bool:
    """Returns whether an entry owns an id now and after all pending joins.

    A member that has folded a join must not serve the ids of the joiner: the
    joiner may already be active in log records that this member has not read.
    """
    joining = [
        entry.entry_id
        for entry in state.tables.entry_by_id.values()
        if entry.state is EntryState.JOINING
        and entry.data_centre_id == data_centre_id
    ]
    active = state.active_entries(data_centre_id)
    if entry_id not in active:
        return False
    return rendezvous(request_id, [*active, *joining]) == entry_id


def owned_since_creation(
    state: State,
    data_centre_id: DataCentreId,
    request_id: RequestId,
    entry_id: EntryId,
) -> bool:
    """Returns whether an entry has owned an id ever since its creation.

    Otherwise an earlier owner may have allowed the request, and its record of
    the request is lost.
    """
    earliest_creation = request_time(request_id) - CLOCK_ERROR_SECONDS
    for membership in _memberships_since(
        state, data_centre_id, earliest_creation
    ):
        if rendezvous(request_id, membership.entry_ids) != entry_id:
            return False
    memberships = state.tables.memberships_by_data_centre.get(data_centre_id)
    return bool(memberships) and memberships[0].time <= earliest_creation


def _memberships_since(
    state: State, data_centre_id: DataCentreId, time: float
) -> Iterable[objects.Membership]:
    """Yields the memberships in force at the given time or later."""
    rows = state.tables.memberships_by_data_centre.get(data_centre_id, ())
    for index, membership in enumerate(rows):
        replaced = index + 1 < len(rows) and rows[index + 1].time <= time
        if not replaced:
            yield membership


def _join(state: State, change: ch.EntryJoin) -> int:
    if change.entry_id in state.tables.entry_by_id:
        raise StateError("exists", "an entry joins only once", "entry_id")
    waiting = tuple(state.active_entries(change.data_centre_id))
    entry = objects.Entry(
        change.entry_id,
        change.data_centre_id,
        change.address,
        EntryState.JOINING,
        waiting,
        state.time,
    )
    state.put("entry_by_id", change.entry_id, entry)
    _activate_if_acknowledged(state, entry)
    return 0


def _join_ack(state: State, change: ch.EntryJoinAck) -> int:
    joiner = state.tables.entry_by_id.get(change.joiner_id)
    if joiner is None or joiner.state is not EntryState.JOINING:
        return 0
    _remove_waiting(state, joiner, change.entry_id)
    return 0


def _leave(state: State, change: ch.EntryLeave) -> int:
    entry = _require_entry(state, change.entry_id)
    successor = state.tables.entry_by_id.get(change.successor_id)
    if successor and successor.state is EntryState.ACTIVE:
        allowances.move_units(state, change.entry_id, successor.entry_id)
    else:
        allowances.free_units(state, change.entry_id)
    _mark_gone(state, entry)
    return 0


def _gone(state: State, change: ch.EntryGone) -> int:
    entry = _require_entry(state, change.entry_id)
    allowances.schedule_release(state, change.entry_id)
    _mark_gone(state, entry)
    return 0


def _require_entry(state: State, entry_id: EntryId) -> objects.Entry:
    entry = state.tables.entry_by_id.get(entry_id)
    if entry is None or entry.state is EntryState.GONE:
        raise StateError("not_found", f"{entry_id} is no member", "entry_id")
    return entry


def _mark_gone(state: State, entry: objects.Entry) -> None:
    was_active = entry.state is EntryState.ACTIVE
    state.put(
        "entry_by_id",
        entry.entry_id,
        msgspec.structs.replace(
            entry, state=EntryState.GONE, waiting=(), time=state.time
        ),
    )
    if was_active:
        _record_membership(state, entry.data_centre_id)
    # Joiners that become active together do so in this order. It is sorted,
    # because the order of the table differs on a reader that has undone
    # writes.
    for _, other in sorted(state.tables.entry_by_id.items()):
        if other.state is EntryState.JOINING:
            _remove_waiting(state, other, entry.entry_id)
    inventory.drop_pending_acknowledgements(state, entry.entry_id)
    allowances.drop_sequence(state, entry.entry_id)
    _drop_expired_entries(state)


def _remove_waiting(
    state: State, joiner: objects.Entry, entry_id: EntryId
) -> None:
    waiting = tuple(each for each in joiner.waiting if each != entry_id)
    joiner = msgspec.structs.replace(joiner, waiting=waiting)
    state.put("entry_by_id", joiner.entry_id, joiner)
    _activate_if_acknowledged(state, joiner)


def _activate_if_acknowledged(state: State, joiner: objects.Entry) -> None:
    if joiner.waiting:
        return
    # An entry that became active while the joiner waited need not acknowledge
    # the join: it had folded the join before its own activation.
    state.put(
        "entry_by_id",
        joiner.entry_id,
        msgspec.structs.replace(
            joiner, state=EntryState.ACTIVE, time=state.time
        ),
    )
    _record_membership(state, joiner.data_centre_id)


def _record_membership(state: State, data_centre_id: DataCentreId) -> None:
    rows = state.tables.memberships_by_data_centre.get(data_centre_id, ())
    oldest_needed = (
        state.time - REQUEST_ID_LIFETIME_SECONDS - 2 * CLOCK_ERROR_SECONDS
    )
    # A membership is kept while a request id created under it may still be
    # sent.
    first_kept = 0
    while (
        first_kept + 1 < len(rows) and rows[first_kept + 1].time < oldest_needed
    ):
        first_kept += 1
    current = objects.Membership(
        state.time, tuple(state.active_entries(data_centre_id))
    )
    state.put(
        "memberships_by_data_centre",
        data_centre_id,
        (*rows[first_kept:], current),
    )


def _drop_expired_entries(state: State) -> None:
    """Drops gone entries after the lifetime of request ids.

    About 2,200 entries are replaced per day, so the table would grow without
    bound.
    """
    drop_before = state.time - REQUEST_ID_LIFETIME_SECONDS
    for entry in list(state.tables.entry_by_id.values()):
        if entry.state is EntryState.GONE and entry.time < drop_before:
            state.drop("entry_by_id", entry.entry_id)


HANDLERS = {
    ch.EntryJoin: _join,
    ch.EntryJoinAck: _join_ack,
    ch.EntryLeave: _leave,
    ch.EntryGone: _gone,
}
