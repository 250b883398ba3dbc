"""Determines the live entries and the scheduler of each pool.

Every request looks up the scheduler of its pool several times, so the results
are cached until a link, the membership or the status of this entry changes or
a link expires.
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
    """Status that an entry reports about itself in each exchange.

    Attributes:
        member: whether the entry is an active member.
        stopping: whether the entry accepts no new work.
    """

    member: bool
    stopping: bool


class LiveEntries:
    """Caches the live entries of each data centre and the pool schedulers.

    Args:
        identity: this entry.
        follower: provides the folded state.
        links: the peers.
        clock: source of the current time.
        status: returns the current status of this entry.
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
        self._cache_key: tuple = ()
        self._valid_until = 0.0
        self._live_by_data_centre: dict[DataCentreId, list[EntryId]] = {}
        self._members_by_data_centre: dict[DataCentreId, list[EntryId]] = {}
        self._scheduler_by_pool: dict[PoolId, EntryId | None] = {}

    def live(self, data_centre_id: DataCentreId) -> list[EntryId]:
        """Returns the live entries that accept new work, sorted by id."""
        self._refresh()
        return list(self._live_by_data_centre.get(data_centre_id, ()))

    def live_members(self, data_centre_id: DataCentreId) -> list[EntryId]:
        """Returns the live members that accept new work, sorted by id."""
        self._refresh()
        return list(self._members_by_data_centre.get(data_centre_id, ()))

    def scheduler(self, pool_id: PoolId) -> EntryId | None:
        """Returns the scheduler of a pool in the local data centre, if any."""
        self._refresh()
        try:
            return self._scheduler_by_pool[pool_id]
        except KeyError:
            members = self._members_by_data_centre.get(
                self._identity.data_centre_id, ()
            )
            scheduler_id = rendezvous(f"scheduler/{pool_id}", members)
            self._scheduler_by_pool[pool_id] = scheduler_id
            return scheduler_id

    def _refresh(self) -> None:
        """Rebuilds the cache if its inputs changed or a link has expired."""
        state = self._follower.state
        cache_key = (
            state,
            state.version_by_table["entry_by_id"],
            self._links.version,
            self._status(),
        )
        now = self._clock.now()
        if now < self._valid_until and cache_key == self._cache_key:
            return
        self._cache_key = cache_key
        links = list(self._links.live())
        # A silent link expires without a change of `LinkTable.version`.
        self._valid_until = min(
            (link.live_until for link in links), default=float("inf")
        )
        self._live_by_data_centre = {}
        self._members_by_data_centre = {}
        self._scheduler_by_pool = {}
        for data_centre_id, entry_id, status in self._live_statuses():
            if status.stopping:
                continue
            self._live_by_data_centre.setdefault(data_centre_id, []).append(
                entry_id
            )
            if status.member:
                self._members_by_data_centre.setdefault(
                    data_centre_id, []
                ).append(entry_id)
        for entry_ids in (
            *self._live_by_data_centre.values(),
            *self._members_by_data_centre.values(),
        ):
            entry_ids.sort()

    def _live_statuses(
        self,
    ) -> Iterator[tuple[DataCentreId, EntryId, AdvertisedStatus]]:
        """Yields the live entries, including this one."""
        own = self._identity
        yield own.data_centre_id, own.entry_id, self._status()
        entry_by_id = self._follower.state.tables.entry_by_id
        for exchange in self._links.exchanges():
            entry = entry_by_id.get(exchange.entry_id)
            if entry is not None and entry.state is EntryState.GONE:
                continue
            status = AdvertisedStatus(exchange.member, exchange.stopping)
            yield exchange.data_centre_id, exchange.entry_id, status
