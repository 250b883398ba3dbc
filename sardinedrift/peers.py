"""Exchanges with the other entries: liveness, addresses, relayed records."""

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
    """The other entries as this one sees them.

    Attributes:
        blocked: addresses and data centres to which calls fail and from which
            exchanges are refused; for tests only.
        observers: called with each exchange received from a peer.

    Args:
        identity: this entry.
        follower: gets the records relayed by peers.
        clock: source of the time.
        seeds: "host:port" of entries to try first.
        fill: makes the exchange to send to an entry; None: to an unknown one.
        standing: returns the own standing more cheaply than `fill`.
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
        fill: Callable[[EntryId | None], Exchange],
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
        self._fill = fill
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
        self._event = asyncio.Event()
        self._seen: frozenset[tuple[EntryId, bool, bool]] = frozenset()
        follower.attach(self)

    async def run(self) -> None:
        """Keeps one task per peer until cancelled."""
        try:
            while True:
                self._find_peers()
                self._notice_changes()
                await asyncio.sleep(self._links.local_timing.interval)
        finally:
            await self._stop()

    def live(self, data_centre_id: DataCentreId) -> list[EntryId]:
        """Returns the live entries that take new work, in id order."""
        return self._live.live(data_centre_id)

    def live_members(self, data_centre_id: DataCentreId) -> list[EntryId]:
        """Returns those of the live entries that are members."""
        return self._live.live_members(data_centre_id)

    def scheduler(self, pool_id: PoolId) -> EntryId | None:
        """Returns the scheduler of a pool in the own data centre, if any."""
        return self._live.scheduler(pool_id)

    def address_of(self, entry_id: EntryId) -> str | None:
        """Returns the address of an entry, if it is known."""
        if entry_id == self._identity.entry_id:
            return self._identity.address
        link = self._links.of_entry(entry_id)
        if link is not None:
            return link.address
        entry = self._follower.state.tables.entry_by_id.get(entry_id)
        return entry.address if entry else None

    def exchange_of(self, entry_id: EntryId) -> Exchange | None:
        """Returns the last exchange of a live entry, or what peers report."""
        return self._links.exchange_of(entry_id)

    def ended_since(self, entry_id: EntryId) -> float | None:
        """Returns since when a process has shown that it has ended.

        Its address has refused every connection, or answered as another
        entry, without interruption since that unix time. None: it has not.
        """
        entry = self._follower.state.tables.entry_by_id.get(entry_id)
        address = entry.address if entry else self.address_of(entry_id)
        link = self._links.by_address.get(address) if address else None
        return link.ended_since(entry_id, self._clock.now()) if link else None

    def highest_offset(self) -> Offset | None:
        """Returns the highest offset of live peers, if one is ready."""
        return self._records.highest_offset()

    async def snapshot(self, beyond: Offset) -> State | None:
        """Returns the state of a ready live peer above an offset."""
        return await self._records.snapshot(beyond)

    async def changed(self) -> None:
        """Waits until an entry becomes live, ends or changes its state."""
        await self._event.wait()

    def receive(self, exchange: Exchange) -> Exchange:
        """Takes the exchange of a peer and returns the own one.

        Raises:
            PeerError: the peer is cut off by the fault injection.
        """
        if self.blocked & {exchange.address, exchange.data_centre_id}:
            raise PeerError(f"{exchange.address} is blocked", sent=False)
        if exchange.entry_id != self._identity.entry_id:
            exchange = self._spares.restored(exchange)
            link = self._links.add(exchange.address)
            self._links.note_received(link, exchange)
            self._observe(exchange)
        return self._outgoing(
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
            PeerError: there is no usable reply.
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
            PeerError: there is no complete answer.
        """
        address = self.address_of(entry_id)
        if address is None:
            raise PeerError(f"no address of {entry_id} is known", sent=False)
        return await self._request(
            "POST", address, path, headers, body, deadline
        )

    def _status(self) -> AdvertisedStatus:
        own = self._fill(None)
        return AdvertisedStatus(own.member, own.stopping)

    def _member_addresses(self, data_centre_id: DataCentreId) -> set[str]:
        state = self._follower.state
        return {
            state.tables.entry_by_id[entry_id].address
            for entry_id in state.active_entries(data_centre_id)
        }

    def _outgoing(
        self,
        receiver: EntryId | None,
        data_centre_id: DataCentreId | None,
        confirmed: Mapping[EntryId, int],
    ) -> Exchange:
        """Returns the exchange to send to an entry of a data centre."""
        exchange = self._fill(receiver)
        if data_centre_id not in (None, self._identity.data_centre_id):
            neighbours = self._links.neighbours()
            exchange = msgspec.structs.replace(exchange, neighbours=neighbours)
        return self._spares.reduced(
            exchange, receiver, data_centre_id, confirmed
        )

    def _find_peers(self) -> None:
        """Starts a task for each new address and ends those of old ones."""
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
                    self._keep(link)
                )

    async def _keep(self, link: Link) -> None:
        """Exchanges with one peer as long as it is known."""
        while True:
            started = self._clock.now()
            if self._links.begin_if_due(link):
                deadline = link.sent_at + self._links.timeout(link)
                await self._exchange(link, deadline)
                await self._records.relay(link)
            await asyncio.sleep(self._links.seconds_until_check(link, started))

    async def _exchange(self, link: Link, deadline: float) -> None:
        confirmed = link.exchange.spare_confirmed if link.exchange else {}
        sent = self._outgoing(link.entry_id, link.data_centre_id, confirmed)
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
            self._links.note_failed(link, error.refused)
            self._notice_changes()
            return
        _exchanges.labels("answered").inc()
        if exchange.entry_id == self._identity.entry_id:
            self._links.note_answered(link, exchange)
            return
        exchange = self._spares.restored(exchange)
        self._links.note_answered(link, exchange)
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
        self._follower.note_current(exchange.offset, exchange.current_at)
        for observer in self.observers:
            observer(exchange)
        self._notice_changes()

    def _notice_changes(self) -> None:
        """Wakes waiters when the live entries or their states changed."""
        seen = frozenset(
            (each.entry_id, each.member, each.stopping)
            for each in self._links.exchanges()
        )
        if seen == self._seen:
            return
        came, went = seen - self._seen, self._seen - seen
        logger.info("peers changed: {} came, {} went", len(came), len(went))
        self._seen = seen
        event, self._event = self._event, asyncio.Event()
        event.set()

    async def _stop(self) -> None:
        tasks = list(self._task_by_address.values())
        self._task_by_address.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._client.close()
