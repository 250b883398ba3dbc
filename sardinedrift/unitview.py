"""View of the folded allowance units from one entry."""

from collections.abc import Iterator
from typing import NamedTuple

from sardinedrift.follower import Follower
from sardinedrift.identifiers import EntryId, EntryState, TeamId
from sardinedrift.objects import Allowances


class Units(NamedTuple):
    """Units of one team.

    Attributes:
        held: units of this entry.
        unallocated: the limit less all allocated units; negative after the
            limit was lowered below them.
        total: units of all holders that are not gone.
    """

    held: int
    unallocated: int
    total: int


class _Sums(NamedTuple):
    """Cached sums over the holders of one row.

    Rows are immutable, so the sums are valid as long as the row is the same
    object.

    Attributes:
        allowances: the row.
        held: units of all holders that are not gone.
        allocated: all units, also those of jobs and of holders that are gone.
    """

    allowances: Allowances
    held: int
    allocated: int


class UnitView:
    """Reads the allowance units of one entry from the folded state.

    Args:
        entry_id: the entry whose units are read.
        follower: provides the folded state.
    """

    def __init__(self, entry_id: EntryId, follower: Follower):
        self._entry_id = entry_id
        self._follower = follower
        self._sums_by_team: dict[TeamId, _Sums] = {}

    def units(self, team_id: TeamId) -> Units:
        """Returns the units of a team; zeros when the team is unknown."""
        state = self._follower.state
        allowances = state.tables.allowances_by_team.get(team_id)
        team = state.tables.team_by_id.get(team_id)
        if allowances is None or team is None:
            self._sums_by_team.pop(team_id, None)
            return Units(0, 0, 0)
        held = 0
        if self.is_member(self._entry_id):
            held = allowances.units_by_entry.get(self._entry_id, 0)
        sums = self._sums(team_id, allowances)
        return Units(held, team.limit - sums.allocated, sums.held)

    def _sums(self, team_id: TeamId, allowances: Allowances) -> _Sums:
        """Returns the sums of a row from the cache, or computes them.

        Every request needs them several times, and with 69 holders a sum takes
        longer than the rest of the lookup.
        """
        sums = self._sums_by_team.get(team_id)
        if sums is None or sums.allowances is not allowances:
            held = sum(allowances.units_by_entry.values())
            sums = _Sums(allowances, held, allowances.total)
            self._sums_by_team[team_id] = sums
        return sums

    def teams(self) -> Iterator[TeamId]:
        """Yields the teams whose units the entry holds."""
        rows = self._follower.state.tables.allowances_by_team
        for team_id, allowances in list(rows.items()):
            if self._entry_id in allowances.units_by_entry:
                yield team_id

    def member_count(self) -> int:
        """Returns the number of ACTIVE members."""
        entries = self._follower.state.tables.entry_by_id.values()
        return sum(each.state is EntryState.ACTIVE for each in entries)

    def is_member(self, entry_id: EntryId) -> bool:
        """Returns whether an entry is an ACTIVE member."""
        entry = self._follower.state.tables.entry_by_id.get(entry_id)
        return entry is not None and entry.state is EntryState.ACTIVE
