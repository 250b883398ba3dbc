"""Which entries are live, and which of them schedules each pool.

Every request asks for the scheduler of its pool several times, so the answers
are kept until a link, the membership, the own status or the time changes
them.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from sardinedrift.follower import Follower
from sardinedrift.identifiers import (
    DataCentreId,
    EntryId,
    EntryState,
    Identity,
    PoolId,
)
from sardinedrift.peerlinks import LinkTable
from sardinedrift.ports import Clock
from sardinedrift.routing import rendezvous


class AdvertisedStatus(NamedTuple):
    """What an entry says about itself in each exchange."""

    member: bool
    stopping: bool


class LiveEntries:
    """Live entries by data centre.

    Args:
        identity: this entry.
        follower: holds the folded state.
        links: the peers.
        clock: source of the time.
        status: returns the present status of this entry.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        links: LinkTable,
        clock: Clock,
        status: Callable[[], AdvertisedStatus],
    ):
        self._identity = identity
        self._follower = follower
        self._links = links
        self._clock = clock
        self._status = status
        self._basis: tuple = ()
        self._valid_until = 0.0
        self._live: dict[DataCentreId, list[EntryId]] = {}
        self._members: dict[DataCentreId, list[EntryId]] = {}
        self._scheduler_by_pool: dict[PoolId, EntryId | None] = {}

    def live(self, data_centre_id: DataCentreId) -> list[EntryId]:
        """Returns the live entries that take new work, in id order."""
        self._refresh()
        return list(self._live.get(data_centre_id, ()))

    def live_members(self, data_centre_id: DataCentreId) -> list[EntryId]:
        """Returns those of the live entries that are members."""
        self._refresh()
        return list(self._members.get(data_centre_id, ()))

    def scheduler(self, pool_id: PoolId) -> EntryId | None:
        """Returns the scheduler of a pool in the own data centre, if any."""
        self._refresh()
        try:
            return self._scheduler_by_pool[pool_id]
        except KeyError:
            members = self._members.get(self._identity.data_centre_id, ())
            chosen = rendezvous(f"scheduler/{pool_id}", members)
            self._scheduler_by_pool[pool_id] = chosen
            return chosen

    def _refresh(self) -> None:
        """Rebuilds the answers when what they rest on has changed."""
        state = self._follower.state
        basis = (
            state,
            state.version_by_table["entry_by_id"],
            self._links.version,
            self._status(),
        )
        now = self._clock.now()
        if now < self._valid_until and basis == self._basis:
            return
        self._basis = basis
        links = list(self._links.live())
        # A link that falls silent is dead from its own time on.
        self._valid_until = min(
            (link.live_until for link in links), default=float("inf")
        )
        self._live = {}
        self._members = {}
        self._scheduler_by_pool = {}
        for place, entry_id, status in self._live_statuses():
            if status.stopping:
                continue
            self._live.setdefault(place, []).append(entry_id)
            if status.member:
                self._members.setdefault(place, []).append(entry_id)
        for entry_ids in (*self._live.values(), *self._members.values()):
            entry_ids.sort()

    def _live_statuses(
        self,
    ) -> Iterator[tuple[DataCentreId, EntryId, AdvertisedStatus]]:
        """Yields the live entries, the own one included."""
        own = self._identity
        yield own.data_centre_id, own.entry_id, self._status()
        entry_by_id = self._follower.state.tables.entry_by_id
        for exchange in self._links.exchanges():
            entry = entry_by_id.get(exchange.entry_id)
            if entry is not None and entry.state is EntryState.GONE:
                continue
            status = AdvertisedStatus(exchange.member, exchange.stopping)
            yield exchange.data_centre_id, exchange.entry_id, status
