"""Appends snapshots of the state to the log before its records expire."""

import asyncio
import uuid

from loguru import logger
from prometheus_client import Counter

from sardinedrift import snapshots
from sardinedrift.exceptions import LogUnavailable, PublishUnknown
from sardinedrift.follower import Follower
from sardinedrift.identifiers import Identity
from sardinedrift.peers import Peers
from sardinedrift.ports import Clock
from sardinedrift.publisher import Publisher
from sardinedrift.routing import rendezvous

CHECK_SECONDS = 5.0
# A snapshot not appended by then is given up for a newer one.
APPEND_SECONDS = 60.0

_appended = Counter(
    "sardinedrift_snapshots_appended_total", "Snapshots appended to the log."
)


class Snapshotter:
    """Appends a snapshot when it is due and this entry is chosen."""

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        publisher: Publisher,
        peers: Peers,
        clock: Clock,
        snapshot_interval_seconds: float,
        check_seconds: float = CHECK_SECONDS,
    ):
        """Sets up the snapshotter.

        Args:
            identity: this entry.
            follower: source of the state.
            publisher: appends the chunks.
            peers: says which members are live.
            clock: source of the time.
            snapshot_interval_seconds: half of the retention of the log.
            check_seconds: time between checks.
        """
        self._identity = identity
        self._follower = follower
        self._publisher = publisher
        self._peers = peers
        self._clock = clock
        self._interval = snapshot_interval_seconds
        self._check_seconds = check_seconds

    async def run(self) -> None:
        """Appends snapshots until cancelled."""
        await self._follower.wait_ready()
        while True:
            if self.due():
                await self._append()
            await asyncio.sleep(self._check_seconds)

    def due(self) -> bool:
        """Tells whether this entry is to append a snapshot now.

        When the newest complete one is too old, one member writes; when it
        does not appear in time, another does. The first may be cut off from
        the log alone, and then still counts as live for its peers.
        """
        overdue = self._overdue()
        if overdue < 0:
            return False
        return self._chosen(int(overdue // APPEND_SECONDS))

    def _overdue(self) -> float:
        """Returns for how many seconds a snapshot has been due.

        Records expire by wall time, and log time stands still while nothing
        is appended; so the later of the two counts.
        """
        tables = self._follower.state.tables
        if self._follower.state.offset < 0:
            return -1.0
        times = [
            each.time
            for each in tables.snapshot_by_id.values()
            if each.complete
        ]
        now = max(self._clock.now(), self._follower.state.time)
        return now - max(times, default=0.0) - self._interval

    def _chosen(self, turn: int) -> bool:
        """Tells whether this entry writes; two writers at once do no harm."""
        tables = self._follower.state.tables
        members = [
            member
            for data_centre_id in tables.memberships_by_data_centre
            for member in self._peers.live_members(data_centre_id)
        ]
        return (
            rendezvous(f"snapshot/{turn}", members) == self._identity.entry_id
        )

    async def _append(self) -> None:
        """Appends the chunks, each in a record of its own."""
        snapshot_id = f"snapshot-{uuid.uuid4().hex}"
        state = self._follower.state
        as_of = state.offset
        data = await snapshots.encode_in_thread(state)
        chunks = list(snapshots.split(data, as_of, snapshot_id))
        deadline = self._clock.now() + APPEND_SECONDS
        try:
            for chunk in chunks:
                await self._publisher.publish([chunk], deadline)
        except (LogUnavailable, PublishUnknown) as error:
            logger.warning("snapshot {} not appended: {}", snapshot_id, error)
            return
        _appended.inc()
        logger.info("appended {} of {} chunks", snapshot_id, len(chunks))
