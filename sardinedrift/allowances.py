"""Fold of the allowance changes, which divide team limits among entries.

The sum of all units of a team never exceeds its limit in any prefix of the
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

# Covers clock errors and the time that a minion takes to stop a request.
RUN_DEADLINE_MARGIN_SECONDS = 60.0


def is_folded(state: State, change: AllowanceChange) -> bool:
    """Returns whether this change or a later one of its publisher is folded."""
    folded = state.tables.sequence_by_publisher.get(change.publisher_id, 0)
    return change.sequence <= folded


def record_sequence(state: State, change: AllowanceChange) -> None:
    """Records the sequence number of a change, also of a refused one.

    Numbers are kept for members only: changes of other publishers are refused
    however often they are appended.
    """
    if _is_active(state, change.publisher_id):
        state.put("sequence_by_publisher", change.publisher_id, change.sequence)


def drop_sequence(state: State, entry_id: EntryId) -> None:
    """Drops the sequence number of an entry that is no longer a member."""
    state.drop("sequence_by_publisher", entry_id)


def release_due_units(state: State) -> None:
    """Frees units of gone holders whose release time has passed."""
    for team_id, allowances in list(state.tables.allowances_by_team.items()):
        if not allowances.returning or allowances.returning[0][0] > state.time:
            continue
        returning = tuple(
            pair for pair in allowances.returning if pair[0] > state.time
        )
        _put(
            state,
            team_id,
            msgspec.structs.replace(allowances, returning=returning),
        )


def move_units(state: State, holder: EntryId, receiver: EntryId) -> None:
    """Moves all units of a holder to another entry."""
    for team_id, allowances in list(state.tables.allowances_by_team.items()):
        units = allowances.units_by_entry.get(holder, 0)
        if units:
            _add(state, team_id, holder, -units)
            _add(state, team_id, receiver, units)


def free_units(state: State, holder: EntryId) -> None:
    """Frees all units of a holder at once; it must have drained."""
    for team_id, allowances in list(state.tables.allowances_by_team.items()):
        units = allowances.units_by_entry.get(holder, 0)
        if units:
            _add(state, team_id, holder, -units)


def schedule_release(state: State, holder: EntryId) -> None:
    """Schedules the release of the units of a holder that is gone.

    Its requests may still be running at minions. The units therefore count as
    held until the longest run time of the team, plus a margin, has passed.
    """
    for team_id, allowances in list(state.tables.allowances_by_team.items()):
        units = allowances.units_by_entry.get(holder, 0)
        if not units:
            continue
        longest = state.tables.longest_run_by_team
        run = max(longest.get(ALL_TEAMS, 0.0), longest.get(team_id, 0.0))
        due = state.time + run + RUN_DEADLINE_MARGIN_SECONDS
        _add(state, team_id, holder, -units)
        allowances = state.tables.allowances_by_team[team_id]
        returning = tuple(sorted((*allowances.returning, (due, units))))
        _put(
            state,
            team_id,
            msgspec.structs.replace(allowances, returning=returning),
        )


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
    # Nothing to do: folding any record first releases the units that are due.
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
    held = units_by_entry.get(entry_id, 0) + units
    if held:
        units_by_entry[entry_id] = held
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
