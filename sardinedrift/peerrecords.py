"""Fetches log records and snapshots from peers."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from loguru import logger

from sardinedrift.exceptions import PeerError
from sardinedrift.follower import Follower
from sardinedrift.identifiers import Offset
from sardinedrift.links import Link
from sardinedrift.messages import RecordsReply
from sardinedrift.peerclient import decode_reply, decode_snapshot
from sardinedrift.peerlinks import LinkTable
from sardinedrift.ports import Clock
from sardinedrift.state import State

RELAY_TIMEOUT_SECONDS = 2.0
SNAPSHOT_TIMEOUT_SECONDS = 10.0

# Arguments: address, path, and deadline in unix seconds.
# Result: status, headers and body.
PeerGet = Callable[[str, str, float], Awaitable[tuple[int, Mapping, bytes]]]


class PeerRecords:
    """Fetches log records and snapshots newer than this entry's state.

    Args:
        links: the peers.
        follower: receives the records.
        get: sends a GET to a peer; raises `PeerError`.
        clock: source of the current time.
    """

    def __init__(
        self, links: LinkTable, follower: Follower, get: PeerGet, clock: Clock
    ):
        self._links = links
        self._follower = follower
        self._get = get
        self._clock = clock
        self._relay_lock = asyncio.Lock()

    def highest_offset(self) -> Offset | None:
        """Returns the highest offset of live peers; None if none is ready."""
        exchanges = [each.exchange for each in self._links.live()]
        if not any(each.ready for each in exchanges):
            return None
        return max(each.offset for each in exchanges)

    async def relay(self, link: Link) -> None:
        """Fetches and folds the records of a peer beyond this entry's state.

        All pages are fetched in one call, because the next exchange with an
        entry of another data centre may be several seconds away.
        """
        if self._relay_lock.locked():
            return
        async with self._relay_lock:
            while self._links.is_live(link) and self._is_ahead(link):
                try:
                    advanced = await self._relay_page(link)
                except PeerError:
                    return
                if not advanced:
                    return

    async def snapshot(self, beyond: Offset) -> State | None:
        """Returns a ready live peer's state above an offset, or None."""
        ready = [
            each
            for each in self._links.live()
            if each.exchange.ready and each.exchange.offset > beyond
        ]
        for link in sorted(ready, key=lambda each: -each.exchange.offset):
            try:
                state = await self._fetch_snapshot(link)
            except PeerError as error:
                logger.warning(
                    "could not fetch a snapshot from {}: {}",
                    link.address,
                    error,
                )
                continue
            if state.offset > beyond:
                return state
        return None

    def _is_ahead(self, link: Link) -> bool:
        return link.exchange.offset > self._follower.state.offset

    async def _relay_page(self, link: Link) -> bool:
        """Fetches and folds one page; returns whether the state advanced."""
        old_offset = self._follower.state.offset
        start = old_offset + 1
        deadline = self._clock.now() + RELAY_TIMEOUT_SECONDS
        status, _, body = await self._get(
            link.address, f"/peer/records?from={start}", deadline
        )
        reply = decode_reply(status, body, RecordsReply, link.address)
        self._follower.fold_records(reply.records)
        if not reply.records and reply.next > start:
            self._follower.mark_gap()
        return self._follower.state.offset > old_offset

    async def _fetch_snapshot(self, link: Link) -> State:
        deadline = self._clock.now() + SNAPSHOT_TIMEOUT_SECONDS
        status, _, body = await self._get(
            link.address, "/peer/snapshot", deadline
        )
        return decode_snapshot(status, body, link.address)
