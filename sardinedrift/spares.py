"""Delta encoding of the spare units that entries exchange.

Each entry keeps a versioned table of its spare units and sends each peer only
the changes since the version that the peer has confirmed. A version is valid
for one process, which its entry id identifies. Entries forward the tables of
other entries of their data centre under the versions of the owners.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

import msgspec

from sardinedrift.identifiers import DataCentreId, EntryId, TeamId
from sardinedrift.messages import Exchange, Neighbour
from sardinedrift.ports import Clock

Units = dict[TeamId, int]

# Counting the spare units of a team held by 69 entries takes about 14 us.
MAX_TEAMS_COUNTED_PER_SECOND = 600.0
# A table that was not received for this long is dropped; its next sender then
# sends it in full.
TABLE_EXPIRY_SECONDS = 60.0


class OwnSpareUnits:
    """The spare units of this entry, counted less often with many teams.

    Units are rounded down to a power of two. Peers only need to know whether
    there are spare units and which entry has the most; exact numbers would
    cause a change to be sent for every single unit.

    Args:
        count_units: returns the present spare units.
        count_teams: returns the number of teams with units to count.
        clock: source of the current time.
    """

    def __init__(
        self,
        count_units: Callable[[], Units],
        count_teams: Callable[[], int],
        clock: Clock,
    ):
        self._count_units = count_units
        self._count_teams = count_teams
        self._clock = clock
        self._units: Units = {}
        self._counted_at = 0.0

    def units(self) -> Units:
        """Returns the rounded spare units, counting them again when due."""
        now = self._clock.now()
        interval = self._count_teams() / MAX_TEAMS_COUNTED_PER_SECOND
        if not 0 <= now - self._counted_at < interval:
            self._counted_at = now
            self._units = {
                team_id: 1 << (units.bit_length() - 1)
                for team_id, units in self._count_units().items()
                if units > 0
            }
        return self._units


class _Row(NamedTuple):
    """Units of one team and the version in which they last changed."""

    units: int
    version: int


class SpareTable:
    """The spare units of one entry with the versions of their changes.

    Attributes:
        version: number of the latest change; 0: nothing is known.
        units_by_team: units of the teams that have any; the dictionary is
            replaced, never modified, when units change.
    """

    def __init__(self):
        self.version = 0
        self.units_by_team: Units = {}
        # In order of version; includes teams that have no units any more.
        self._row_by_team: dict[TeamId, _Row] = {}
        self._full_version = 0

    def update(self, units_by_team: Units) -> None:
        """Sets the present units of this entry."""
        previous = self.units_by_team
        if self.version and units_by_team == previous:
            return
        changes = {
            team_id: units_by_team.get(team_id, 0)
            for team_id in previous.keys() | units_by_team.keys()
            if units_by_team.get(team_id, 0) != previous.get(team_id, 0)
        }
        self._set(changes, self.version + 1)

    def apply(self, since: int, version: int, units_by_team: Units) -> bool:
        """Applies a received delta or full table of another entry.

        Versions that are not newer than the present one are ignored.

        Args:
            since: version that the delta is based on; 0: a full table.
            version: version after the delta.
            units_by_team: changed units; 0: the team has none any more.

        Returns:
            False when this table is older than `since`, so that the delta
            cannot be applied.
        """
        if since > self.version:
            return False
        if version > self.version:
            if since == 0:
                self._row_by_team.clear()
                self.units_by_team = {}
                self._full_version = version
            self._set(units_by_team, version)
        return True

    def changes_since(self, version: int) -> tuple[int, Units]:
        """Returns the delta for a receiver that has a version.

        Returns:
            The version that the delta is based on and the changed units; 0 and
            the full table when no delta from that version is possible.
        """
        if not max(self._full_version, 1) <= version <= self.version:
            return 0, self.units_by_team
        changes = {}
        for team_id, row in reversed(self._row_by_team.items()):
            if row.version <= version:
                break
            changes[team_id] = row.units
        return version, changes

    def _set(self, changes: Units, version: int) -> None:
        self.version = version
        units_by_team = dict(self.units_by_team)
        for team_id, units in changes.items():
            self._row_by_team.pop(team_id, None)
            self._row_by_team[team_id] = _Row(units, version)
            units_by_team.pop(team_id, None)
            if units > 0:
                units_by_team[team_id] = units
        self.units_by_team = units_by_team


class _ReceivedTable(NamedTuple):
    """The table of another entry.

    Attributes:
        data_centre_id: its data centre.
        table: its spare units.
        received_at: unix seconds at which it was last received.
    """

    data_centre_id: DataCentreId
    table: SpareTable
    received_at: float


class SpareTables:
    """The tables of this entry and of those it has received.

    Args:
        entry_id: this entry.
        data_centre_id: its data centre.
        clock: source of the current time.
    """

    def __init__(
        self, entry_id: EntryId, data_centre_id: DataCentreId, clock: Clock
    ):
        self._entry_id = entry_id
        self._data_centre_id = data_centre_id
        self._clock = clock
        self._own_table = SpareTable()
        self._received_by_entry: dict[EntryId, _ReceivedTable] = {}
        self._next_expiry_at = 0.0

    def to_delta(
        self,
        exchange: Exchange,
        receiver: EntryId | None,
        data_centre_id: DataCentreId | None,
        confirmed: Mapping[EntryId, int],
    ) -> Exchange:
        """Replaces the full tables of an outgoing exchange by deltas.

        Args:
            exchange: the exchange with full tables.
            receiver: the entry that it is sent to.
            data_centre_id: the receiver's data centre.
            confirmed: versions that the receiver has confirmed, by entry.

        Returns:
            The exchange to send.
        """
        self._own_table.update(exchange.spare_by_team)
        changed = _delta_fields(
            self._own_table, confirmed.get(self._entry_id, 0)
        )
        neighbours = [
            self._neighbour_delta(each, confirmed)
            for each in exchange.neighbours
        ]
        return msgspec.structs.replace(
            exchange,
            **changed,
            neighbours=neighbours,
            spare_confirmed=dict(self._confirmed(receiver, data_centre_id)),
        )

    def from_delta(self, exchange: Exchange) -> Exchange:
        """Replaces the deltas of a received exchange by full tables."""
        data_centre_id = exchange.data_centre_id
        neighbours = [
            msgspec.structs.replace(
                each, spare_by_team=self._apply(data_centre_id, each)
            )
            for each in exchange.neighbours
        ]
        return msgspec.structs.replace(
            exchange,
            spare_by_team=self._apply(data_centre_id, exchange),
            neighbours=neighbours,
        )

    def _neighbour_delta(
        self, neighbour: Neighbour, confirmed: Mapping[EntryId, int]
    ) -> Neighbour:
        known = self._received_by_entry.get(neighbour.entry_id)
        if known is None:
            return neighbour
        version = confirmed.get(neighbour.entry_id, 0)
        return msgspec.structs.replace(
            neighbour, **_delta_fields(known.table, version)
        )

    def _apply(
        self, data_centre_id: DataCentreId, received: Exchange | Neighbour
    ) -> Units:
        """Applies the received delta of one entry; returns its full table."""
        if received.spare_version == 0:
            return received.spare_by_team
        now = self._clock.now()
        self._drop_expired(now)
        known = self._received_by_entry.get(received.entry_id)
        table = known.table if known else SpareTable()
        if not table.apply(
            received.spare_since, received.spare_version, received.spare_by_team
        ):
            # Outdated units must not stay. Without a confirmed version the
            # sender sends the full table next time.
            self._received_by_entry.pop(received.entry_id, None)
            return {}
        known = _ReceivedTable(data_centre_id, table, now)
        self._received_by_entry[received.entry_id] = known
        return table.units_by_team

    def _confirmed(
        self, receiver: EntryId | None, data_centre_id: DataCentreId | None
    ) -> Iterator[tuple[EntryId, int]]:
        """Yields the versions held of the tables that the receiver sends.

        These are its own table and, across data centres, those of the other
        entries of its data centre.
        """
        for entry_id, known in self._received_by_entry.items():
            if entry_id == receiver or (
                known.data_centre_id == data_centre_id != self._data_centre_id
            ):
                yield entry_id, known.table.version

    def _drop_expired(self, now: float) -> None:
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + TABLE_EXPIRY_SECONDS / 4
        for entry_id, known in list(self._received_by_entry.items()):
            if now - known.received_at > TABLE_EXPIRY_SECONDS:
                del self._received_by_entry[entry_id]


def _delta_fields(table: SpareTable, version: int) -> dict:
    """Returns the delta fields of a message to a receiver.

    Args:
        table: the table to send.
        version: version that the receiver has confirmed; 0: none.
    """
    since, units_by_team = table.changes_since(version)
    return {
        "spare_by_team": units_by_team,
        "spare_since": since,
        "spare_version": table.version,
    }
