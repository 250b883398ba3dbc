"""Heartbeat exchanges, liveness and calls between entries."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import TypeVar

import msgspec
from loguru import logger
from prometheus_client import Counter

from sardinedrift.exceptions import PeerError
from sardinedrift.follower import Follower, PeerSource
from sardinedrift.identifiers import (
    DataCentreId,
    EntryId,
    EntryState,
    Identity,
    Offset,
    PoolId,
)
from sardinedrift.links import Link, Timing
from sardinedrift.liveness import AdvertisedStatus, LiveEntries
from sardinedrift.messages import Exchange
from sardinedrift.peerclient import PeerClient, decode_reply
from sardinedrift.peerlinks import LinkTable
from sardinedrift.peerrecords import PeerRecords
from sardinedrift.ports import Clock
from sardinedrift.spares import SpareTables
from sardinedrift.state import State

Reply = TypeVar("Reply")

_exchanges = Counter(
    "sardinedrift_exchanges_total", "Exchanges with peers.", ["outcome"]
)


class Peers(PeerSource):
    """The other entries as known to this entry.

    Attributes:
        blocked: addresses and data centres to which calls fail and from which
            exchanges are refused; used for fault injection only.
        observers: called with each exchange received from a peer.

    Args:
        identity: this entry.
        follower: receives the records relayed by peers.
        clock: source of the current time.
        seeds: "host:port" of entries to contact first.
        make_exchange: builds the exchange for a receiving entry; None stands
            for a receiver that is not known yet.
        status: returns the status of this entry at less cost than
            `make_exchange`.
        discover: returns addresses of entries from the instance list.
        local_timing: timing within the data centre.
        remote_timing: shortest timing across data centres.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        clock: Clock,
        seeds: Iterable[str],
        make_exchange: Callable[[EntryId | None], Exchange],
        *,
        status: Callable[[], AdvertisedStatus] | None = None,
        discover: Callable[[], Iterable[str]] = tuple,
        local_timing: Timing = Timing(0.25, 0.75),  # noqa: B008, immutable
        remote_timing: Timing = Timing(1.0, 3.0),  # noqa: B008, immutable
    ):
        self.blocked: set[str] = set()
        self.observers: list[Callable[[Exchange], None]] = []
        self._identity = identity
        self._follower = follower
        self._clock = clock
        self._seeds = tuple(seeds)
        self._make_exchange = make_exchange
        self._discover = discover
        self._links = LinkTable(
            identity, clock, local_timing, remote_timing, self._member_addresses
        )
        self._live = LiveEntries(
            identity, follower, self._links, clock, status or self._status
        )
        self._spares = SpareTables(
            identity.entry_id, identity.data_centre_id, clock
        )
        self._client = PeerClient(clock)
        self._records = PeerRecords(self._links, follower, self._get, clock)
        self._task_by_address: dict[str, asyncio.Task] = {}
        self._change_event = asyncio.Event()
        self._statuses: frozenset[tuple[EntryId, bool, bool]] = frozenset()
        follower.set_peer_source(self)

    async def run(self) -> None:
        """Runs one exchange task per peer address until cancelled."""
        try:
            while True:
                self._update_tasks()
                self._notify_if_changed()
                await asyncio.sleep(self._links.local_timing.interval)
        finally:
            await self._stop()

    def live(self, data_centre_id: DataCentreId) -> list[EntryId]:
        """Returns the live entries that accept new work, sorted by id."""
        return self._live.live(data_centre_id)

    def live_members(self, data_centre_id: DataCentreId) -> list[EntryId]:
        """Returns the live members that accept new work, sorted by id."""
        return self._live.live_members(data_centre_id)

    def scheduler(self, pool_id: PoolId) -> EntryId | None:
        """Returns the scheduler of a pool in the local data centre, if any."""
        return self._live.scheduler(pool_id)

    def address_of(self, entry_id: EntryId) -> str | None:
        """Returns the address of an entry, or None if it is unknown."""
        if entry_id == self._identity.entry_id:
            return self._identity.address
        link = self._links.link_of(entry_id)
        if link is not None:
            return link.address
        entry = self._follower.state.tables.entry_by_id.get(entry_id)
        return entry.address if entry else None

    def exchange_of(self, entry_id: EntryId) -> Exchange | None:
        """Returns the last exchange of a live entry, received or reported."""
        return self._links.exchange_of(entry_id)

    def ended_since(self, entry_id: EntryId) -> float | None:
        """Returns since when the process of an entry has certainly ended.

        Since that time its address has refused every connection, or answered
        as another entry, without interruption.

        Returns:
            Unix seconds, or None without such evidence.
        """
        entry = self._follower.state.tables.entry_by_id.get(entry_id)
        address = entry.address if entry else self.address_of(entry_id)
        link = self._links.by_address.get(address) if address else None
        return link.ended_since(entry_id, self._clock.now()) if link else None

    def highest_offset(self) -> Offset | None:
        """Returns the highest offset of live peers; None if none is ready."""
        return self._records.highest_offset()

    async def snapshot(self, beyond: Offset) -> State | None:
        """Returns a ready live peer's state above an offset, or None."""
        return await self._records.snapshot(beyond)

    async def changed(self) -> None:
        """Waits until the live entries or their statuses change."""
        await self._change_event.wait()

    def receive(self, exchange: Exchange) -> Exchange:
        """Processes the exchange of a peer and returns this entry's exchange.

        Raises:
            PeerError: the peer is blocked by fault injection.
        """
        if self.blocked & {exchange.address, exchange.data_centre_id}:
            raise PeerError(f"{exchange.address} is blocked", sent=False)
        if exchange.entry_id != self._identity.entry_id:
            exchange = self._spares.from_delta(exchange)
            link = self._links.add(exchange.address)
            self._links.record_received(link, exchange)
            self._observe(exchange)
        return self._build_exchange(
            exchange.entry_id, exchange.data_centre_id, exchange.spare_confirmed
        )

    async def call(
        self,
        entry_id: EntryId,
        path: str,
        message: msgspec.Struct,
        reply_type: type[Reply],
        deadline: float,
    ) -> Reply:
        """Sends a message to an entry and returns its reply.

        Raises:
            PeerError: the entry could not be reached, answered with an error
                or sent an invalid reply.
        """
        status, _, body = await self.post(
            entry_id,
            path,
            {"Content-Type": "application/json"},
            msgspec.json.encode(message),
            deadline,
        )
        return decode_reply(status, body, reply_type, f"{entry_id} {path}")

    async def post(
        self,
        entry_id: EntryId,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        deadline: float,
    ) -> tuple[int, Mapping[str, str], bytes]:
        """Sends one POST to an entry; see `PeerClient.request`.

        Raises:
            PeerError: the entry could not be reached or its response is
                incomplete.
        """
        address = self.address_of(entry_id)
        if address is None:
            raise PeerError(f"no address of {entry_id} is known", sent=False)
        return await self._request(
            "POST", address, path, headers, body, deadline
        )

    def _status(self) -> AdvertisedStatus:
        own = self._make_exchange(None)
        return AdvertisedStatus(own.member, own.stopping)

    def _member_addresses(self, data_centre_id: DataCentreId) -> set[str]:
        state = self._follower.state
        return {
            state.tables.entry_by_id[entry_id].address
            for entry_id in state.active_entries(data_centre_id)
        }

    def _build_exchange(
        self,
        receiver: EntryId | None,
        data_centre_id: DataCentreId | None,
        confirmed: Mapping[EntryId, int],
    ) -> Exchange:
        """Builds the exchange to send to an entry of a data centre."""
        exchange = self._make_exchange(receiver)
        if data_centre_id not in (None, self._identity.data_centre_id):
            neighbours = self._links.neighbours()
            exchange = msgspec.structs.replace(exchange, neighbours=neighbours)
        return self._spares.to_delta(
            exchange, receiver, data_centre_id, confirmed
        )

    def _update_tasks(self) -> None:
        """Starts tasks for new addresses and cancels those of dropped ones."""
        entries = [
            each
            for each in self._follower.state.tables.entry_by_id.values()
            if each.state is not EntryState.GONE
        ]
        for entry in entries:
            link = self._links.add(entry.address)
            if link is not None and link.data_centre_id is None:
                link.data_centre_id = entry.data_centre_id
        known = {*self._seeds, *self._discover()}
        for address in known:
            self._links.add(address)
        self._links.prune(known | {each.address for each in entries})
        for address in self._task_by_address.keys() - self._links.by_address:
            self._task_by_address.pop(address).cancel()
        for address, link in self._links.by_address.items():
            task = self._task_by_address.get(address)
            if task is None or task.done():
                self._task_by_address[address] = asyncio.create_task(
                    self._run_exchanges(link)
                )

    async def _run_exchanges(self, link: Link) -> None:
        """Exchanges with one peer periodically until cancelled."""
        while True:
            started = self._clock.now()
            if self._links.begin_if_due(link):
                deadline = link.sent_at + self._links.timeout(link)
                await self._exchange(link, deadline)
                await self._records.relay(link)
            await asyncio.sleep(self._links.seconds_until_check(link, started))

    async def _exchange(self, link: Link, deadline: float) -> None:
        confirmed = link.exchange.spare_confirmed if link.exchange else {}
        sent = self._build_exchange(
            link.entry_id, link.data_centre_id, confirmed
        )
        try:
            status, _, body = await self._request(
                "POST",
                link.address,
                "/peer/exchange",
                {"Content-Type": "application/json"},
                msgspec.json.encode(sent),
                deadline,
            )
            exchange = decode_reply(status, body, Exchange, link.address)
            if exchange.data_centre_id in self.blocked:
                raise PeerError(f"{link.address} is blocked")
        except PeerError as error:
            _exchanges.labels("failed").inc()
            self._links.record_failed(link, error.refused)
            self._notify_if_changed()
            return
        _exchanges.labels("answered").inc()
        if exchange.entry_id == self._identity.entry_id:
            self._links.record_answered(link, exchange)
            return
        exchange = self._spares.from_delta(exchange)
        self._links.record_answered(link, exchange)
        self._observe(exchange)

    async def _get(
        self, address: str, path: str, deadline: float
    ) -> tuple[int, Mapping[str, str], bytes]:
        return await self._request("GET", address, path, {}, b"", deadline)

    async def _request(
        self,
        method: str,
        address: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        deadline: float,
    ) -> tuple[int, Mapping[str, str], bytes]:
        link = self._links.by_address.get(address)
        data_centre_id = link.data_centre_id if link else None
        if self.blocked & {address, data_centre_id}:
            raise PeerError(f"{address} is blocked", sent=False)
        return await self._client.request(
            method, address, path, headers, body, deadline
        )

    def _observe(self, exchange: Exchange) -> None:
        self._follower.update_current_at(exchange.offset, exchange.current_at)
        for observer in self.observers:
            observer(exchange)
        self._notify_if_changed()

    def _notify_if_changed(self) -> None:
        """Wakes waiters if the live entries or their statuses have changed."""
        statuses = frozenset(
            (each.entry_id, each.member, each.stopping)
            for each in self._links.exchanges()
        )
        if statuses == self._statuses:
            return
        added, removed = statuses - self._statuses, self._statuses - statuses
        logger.info(
            "peer statuses changed: {} added, {} removed",
            len(added),
            len(removed),
        )
        self._statuses = statuses
        event, self._change_event = self._change_event, asyncio.Event()
        event.set()

    async def _stop(self) -> None:
        tasks = list(self._task_by_address.values())
        self._task_by_address.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._client.close()
