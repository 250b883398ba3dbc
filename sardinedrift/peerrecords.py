"""Records and snapshots that an entry fetches from its peers."""

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

RELAY_SECONDS = 2.0
SNAPSHOT_SECONDS = 10.0

# Takes address, path and deadline in unix seconds.
Get = Callable[[str, str, float], Awaitable[tuple[int, Mapping, bytes]]]


class PeerRecords:
    """Fetches what peers have folded beyond the own state.

    Args:
        links: the peers.
        follower: gets the records.
        get: sends a GET to a peer; raises `PeerError`.
        clock: source of the time.
    """

    def __init__(
        self, links: LinkTable, follower: Follower, get: Get, clock: Clock
    ):
        self._links = links
        self._follower = follower
        self._get = get
        self._clock = clock
        self._relaying = asyncio.Lock()

    def highest_offset(self) -> Offset | None:
        """Returns the highest offset of live peers, if one is ready."""
        exchanges = [each.exchange for each in self._links.live()]
        if not any(each.ready for each in exchanges):
            return None
        return max(each.offset for each in exchanges)

    async def relay(self, link: Link) -> None:
        """Folds the records that a peer has beyond the own state.

        All pages are fetched at once: the next exchange with an entry of
        another data centre may be several seconds away.
        """
        if self._relaying.locked():
            return
        async with self._relaying:
            while self._links.is_live(link) and self._is_ahead(link):
                try:
                    advanced = await self._relay_page(link)
                except PeerError:
                    return
                if not advanced:
                    return

    async def snapshot(self, beyond: Offset) -> State | None:
        """Returns the state of a ready live peer above an offset."""
        ready = [
            each
            for each in self._links.live()
            if each.exchange.ready and each.exchange.offset > beyond
        ]
        for link in sorted(ready, key=lambda each: -each.exchange.offset):
            try:
                state = await self._fetch_snapshot(link)
            except PeerError as error:
                logger.warning("no snapshot from {}: {}", link.address, error)
                continue
            if state.offset > beyond:
                return state
        return None

    def _is_ahead(self, link: Link) -> bool:
        return link.exchange.offset > self._follower.state.offset

    async def _relay_page(self, link: Link) -> bool:
        """Returns whether the own state has advanced."""
        before = self._follower.state.offset
        start = before + 1
        deadline = self._clock.now() + RELAY_SECONDS
        status, _, body = await self._get(
            link.address, f"/peer/records?from={start}", deadline
        )
        reply = decode_reply(status, body, RecordsReply, link.address)
        self._follower.offer(reply.records)
        if not reply.records and reply.next > start:
            self._follower.note_gap()
        return self._follower.state.offset > before

    async def _fetch_snapshot(self, link: Link) -> State:
        deadline = self._clock.now() + SNAPSHOT_SECONDS
        status, _, body = await self._get(
            link.address, "/peer/snapshot", deadline
        )
        return decode_snapshot(status, body, link.address)
