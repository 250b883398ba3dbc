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

CHECK_INTERVAL_SECONDS = 5.0
# An append that takes longer is abandoned in favour of a newer snapshot.
APPEND_TIMEOUT_SECONDS = 60.0

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
        check_interval_seconds: float = CHECK_INTERVAL_SECONDS,
    ):
        """Sets up the snapshotter.

        Args:
            identity: identity of this entry.
            follower: provides the state.
            publisher: appends the chunks.
            peers: provides the live members.
            clock: provides the time.
            snapshot_interval_seconds: half of the retention of the log.
            check_interval_seconds: time between checks.
        """
        self._identity = identity
        self._follower = follower
        self._publisher = publisher
        self._peers = peers
        self._clock = clock
        self._interval = snapshot_interval_seconds
        self._check_interval_seconds = check_interval_seconds

    async def run(self) -> None:
        """Appends snapshots until cancelled."""
        await self._follower.wait_ready()
        while True:
            if self.due():
                await self._append()
            await asyncio.sleep(self._check_interval_seconds)

    def due(self) -> bool:
        """Returns whether this entry should append a snapshot now.

        One member appends when the newest complete snapshot is too old. When
        none appears in time, another member does: the first may be unable to
        reach the log while its peers can still reach it.
        """
        overdue = self._overdue()
        if overdue < 0:
            return False
        return self._chosen(int(overdue // APPEND_TIMEOUT_SECONDS))

    def _overdue(self) -> float:
        """Returns for how many seconds a snapshot has been due.

        Negative while none is due. Records expire by wall-clock time, but log
        time only advances when records are appended, so the later of the two
        counts.
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

    def _chosen(self, attempt: int) -> bool:
        """Returns whether this entry is chosen to append a snapshot.

        Snapshots appended by two entries at once are harmless.
        """
        tables = self._follower.state.tables
        members = [
            member
            for data_centre_id in tables.memberships_by_data_centre
            for member in self._peers.live_members(data_centre_id)
        ]
        return (
            rendezvous(f"snapshot/{attempt}", members)
            == self._identity.entry_id
        )

    async def _append(self) -> None:
        """Appends the chunks of a snapshot, each in its own record."""
        snapshot_id = f"snapshot-{uuid.uuid4().hex}"
        state = self._follower.state
        as_of = state.offset
        data = await snapshots.encode_in_thread(state)
        chunks = list(snapshots.split(data, as_of, snapshot_id))
        deadline = self._clock.now() + APPEND_TIMEOUT_SECONDS
        try:
            for chunk in chunks:
                await self._publisher.publish([chunk], deadline)
        except (LogUnavailable, PublishUnknown) as error:
            logger.warning("could not append {}: {}", snapshot_id, error)
            return
        _appended.inc()
        logger.info("appended {} in {} chunks", snapshot_id, len(chunks))
