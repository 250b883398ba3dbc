"""Fold of the division of team limits into allowances of entries.

The sum of all units of a team never passes its limit in any prefix of the
log, except after the limit itself was lowered.
"""

import msgspec

from sardinedrift import changes as ch
from sardinedrift import objects
from sardinedrift.allowancechanges import AllowanceChange
from sardinedrift.configuration import ALL_TEAMS
from sardinedrift.exceptions import StateError
from sardinedrift.identifiers import EntryId, EntryState, TeamId
from sardinedrift.state import State

# Covers the clock error and the time a minion takes to stop a request.
RUN_DEADLINE_MARGIN_SECONDS = 60.0


def is_folded(state: State, change: AllowanceChange) -> bool:
    """Tells whether a change is at or below the number of its publisher."""
    folded = state.tables.sequence_by_publisher.get(change.publisher_id, 0)
    return change.sequence <= folded


def record_sequence(state: State, change: AllowanceChange) -> None:
    """Raises the number of a publisher, also when its change was refused.

    Only members have a row; changes of others are refused however often they
    are appended.
    """
    if _is_active(state, change.publisher_id):
        state.put("sequence_by_publisher", change.publisher_id, change.sequence)


def drop_sequence(state: State, entry_id: EntryId) -> None:
    """Drops the number of an entry that is no member any more."""
    state.drop("sequence_by_publisher", entry_id)


def release_due_units(state: State) -> None:
    """Frees the units of holders that are gone and whose work is over."""
    for team_id, held in list(state.tables.allowances_by_team.items()):
        if not held.returning or held.returning[0][0] > state.time:
            continue
        rest = tuple(pair for pair in held.returning if pair[0] > state.time)
        _put(state, team_id, msgspec.structs.replace(held, returning=rest))


def move_units(state: State, holder: EntryId, receiver: EntryId) -> None:
    """Gives all units of a holder to another entry."""
    for team_id, held in list(state.tables.allowances_by_team.items()):
        units = held.units_by_entry.get(holder, 0)
        if units:
            _add(state, team_id, holder, -units)
            _add(state, team_id, receiver, units)


def free_units(state: State, holder: EntryId) -> None:
    """Frees all units of a holder that has drained."""
    for team_id, held in list(state.tables.allowances_by_team.items()):
        units = held.units_by_entry.get(holder, 0)
        if units:
            _add(state, team_id, holder, -units)


def schedule_release(state: State, holder: EntryId) -> None:
    """Keeps the units of a holder that is gone until its work is over."""
    for team_id, held in list(state.tables.allowances_by_team.items()):
        units = held.units_by_entry.get(holder, 0)
        if not units:
            continue
        longest = state.tables.longest_run_by_team
        run = max(longest.get(ALL_TEAMS, 0.0), longest.get(team_id, 0.0))
        due = state.time + run + RUN_DEADLINE_MARGIN_SECONDS
        _add(state, team_id, holder, -units)
        held = state.tables.allowances_by_team[team_id]
        returning = tuple(sorted((*held.returning, (due, units))))
        _put(state, team_id, msgspec.structs.replace(held, returning=returning))


def _take(state: State, change: ch.AllowanceTake) -> int:
    receiver_id = change.receiver_id or change.publisher_id
    _check_active(state, change.publisher_id, "publisher_id")
    _check_active(state, receiver_id, "receiver_id")
    for team_id, wanted in sorted(change.units_by_team.items()):
        units = min(wanted, max(0, state.unallocated(team_id)))
        if units > 0:
            _add(state, team_id, receiver_id, units)
    return 0


def _give(state: State, change: ch.AllowanceGive) -> int:
    _check_active(state, change.publisher_id, "publisher_id")
    _check_active(state, change.receiver_id, "receiver_id")
    for team_id, offered in sorted(change.units_by_team.items()):
        units = min(offered, _held(state, team_id, change.publisher_id))
        if units > 0:
            _add(state, team_id, change.publisher_id, -units)
            _add(state, team_id, change.receiver_id, units)
    return 0


def _return(state: State, change: ch.AllowanceReturn) -> int:
    _check_active(state, change.publisher_id, "publisher_id")
    for team_id, offered in sorted(change.units_by_team.items()):
        units = min(offered, _held(state, team_id, change.publisher_id))
        if units > 0:
            _add(state, team_id, change.publisher_id, -units)
    return 0


def _release(state: State, change: ch.ReleaseUnits) -> int:
    # Every record frees what is due before its changes are folded.
    del state, change
    return 0


def _check_active(state: State, entry_id: EntryId, field: str) -> None:
    if not _is_active(state, entry_id):
        raise StateError("not_active", f"{entry_id} is not a member", field)


def _is_active(state: State, entry_id: EntryId) -> bool:
    entry = state.tables.entry_by_id.get(entry_id)
    return entry is not None and entry.state is EntryState.ACTIVE


def _held(state: State, team_id: TeamId, entry_id: EntryId) -> int:
    allowances = state.tables.allowances_by_team.get(team_id)
    return allowances.units_by_entry.get(entry_id, 0) if allowances else 0


def _add(state: State, team_id: TeamId, entry_id: EntryId, units: int) -> None:
    allowances = state.tables.allowances_by_team.get(team_id)
    if allowances is None:
        return
    units_by_entry = dict(allowances.units_by_entry)
    rest = units_by_entry.get(entry_id, 0) + units
    if rest:
        units_by_entry[entry_id] = rest
    else:
        units_by_entry.pop(entry_id, None)
    _put(
        state,
        team_id,
        msgspec.structs.replace(allowances, units_by_entry=units_by_entry),
    )


def _put(state: State, team_id: TeamId, value: objects.Allowances) -> None:
    state.put("allowances_by_team", team_id, value)


HANDLERS = {
    ch.AllowanceTake: _take,
    ch.AllowanceGive: _give,
    ch.AllowanceReturn: _return,
    ch.ReleaseUnits: _release,
}
