"""Follows the log and folds it into the state of this entry."""

import abc
import asyncio
import random
import zlib
from collections.abc import AsyncIterator, Callable, Iterable

import msgspec
from loguru import logger
from prometheus_client import Counter

from sardinedrift import changes as ch
from sardinedrift import fold, snapshots
from sardinedrift.exceptions import LogUnavailable, NoSnapshot, OffsetExpired
from sardinedrift.identifiers import ChangeId, Offset
from sardinedrift.ports import Clock, LogRecord, LogService
from sardinedrift.ring import RecordRing
from sardinedrift.state import State, Tables

MAX_RECORDS_PER_READ = 512
# The state counts as current as of the start of the read that proved it, so a
# longer poll would make the configuration look older than it is.
POLL_TIMEOUT_SECONDS = 1.0
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
# Beyond the end of any log; a read there returns the range of kept offsets.
_BEYOND_END = Offset(1 << 52)

_folded = Counter(
    "sardinedrift_records_folded_total", "Log records folded.", ["source"]
)
_loaded = Counter(
    "sardinedrift_snapshots_loaded_total", "Snapshots loaded.", ["source"]
)
_log_errors = Counter(
    "sardinedrift_log_read_errors_total", "Reads of the log that failed."
)


class PeerSource(abc.ABC):
    """Source of snapshots and offsets of the other entries."""

    @abc.abstractmethod
    async def snapshot(self, beyond: Offset) -> State | None:
        """Returns the state of a ready peer above an offset.

        None when there is none or it could not be fetched.
        """

    @abc.abstractmethod
    def highest_offset(self) -> Offset | None:
        """Returns the highest offset among the reachable peers.

        None when no ready peer is reachable.
        """


class Follower:
    """Keeps the folded state up to date with the log.

    Attributes:
        state: the state; replaced as a whole when a snapshot is loaded.
        current_at: last unix time at which the state was known to be at the
            end of the log; 0.0 before the first time.
        ready: whether the entry may serve; once True it stays True.
        not_ready_reason: reason why the entry is not ready, else "".
        log_up: whether the last read of the log succeeded.
    """

    def __init__(
        self,
        log: LogService,
        clock: Clock,
        peers: PeerSource | None = None,
        poll_timeout_seconds: float = POLL_TIMEOUT_SECONDS,
        max_backoff_seconds: float = MAX_BACKOFF_SECONDS,
    ):
        self.state = State()
        self.current_at = 0.0
        self.ready = False
        self.not_ready_reason = "the log has not been read yet"
        self._log = log
        self._clock = clock
        self._peers = peers
        self._poll_timeout_seconds = poll_timeout_seconds
        self._max_backoff_seconds = max_backoff_seconds
        self._ring = RecordRing()
        self._changed_event = asyncio.Event()
        self._result_callbacks: list[Callable[[list[ch.Result]], None]] = []
        self._from_peer = False
        self._gap = False
        self.log_up = True
        self._random = random.Random()

    def set_peer_source(self, peers: PeerSource) -> None:
        """Sets the source of snapshots while the log is unavailable."""
        self._peers = peers

    def add_result_callback(
        self, callback: Callable[[list[ch.Result]], None]
    ) -> None:
        """Registers a callback for the results that are folded or loaded."""
        self._result_callbacks.append(callback)

    async def run(self) -> None:
        """Follows the log until cancelled; failures are retried."""
        attempt = 0
        while True:
            if await self.step():
                attempt = 0
                continue
            await asyncio.sleep(self._backoff(attempt))
            attempt += 1

    async def step(self) -> bool:
        """Reads the log once; falls back to snapshots and peers on failure.

        Returns:
            Whether the next step may follow without a backoff.
        """
        try:
            await self._follow()
        except OffsetExpired as error:
            failure = await self._load_after_expiry(error.first)
            if failure is None:
                return True
        except LogUnavailable as error:
            failure = str(error) or "the log is unavailable"
            _log_errors.inc()
            self._set_log_up(False, failure)
        else:
            self._set_log_up(True, "a read succeeded")
            return True
        await self._use_peers(failure)
        return False

    async def changed(self, after: Offset) -> None:
        """Waits until the state is beyond an offset."""
        while self.state.offset <= after:
            await self._changed_event.wait()

    async def wait_offset(self, offset: Offset, deadline: float) -> bool:
        """Waits until the state has reached an offset.

        Args:
            offset: the offset to reach.
            deadline: unix seconds.

        Returns:
            Whether it was reached before the deadline.
        """
        remaining = deadline - self._clock.now()
        try:
            async with asyncio.timeout(max(remaining, 0.0)):
                await self.changed(Offset(offset - 1))
        except TimeoutError:
            return False
        return True

    async def wait_ready(self) -> None:
        """Waits until the entry may serve."""
        while not self.ready:
            await self._changed_event.wait()

    def result_of(self, change_id: ChangeId) -> ch.Result | None:
        """Returns the result of a change folded in the last hour, if any."""
        row = self.state.tables.result_by_change_id.get(change_id)
        return row[1] if row else None

    def records_from(self, offset: Offset) -> list[LogRecord]:
        """Returns recent records from an offset on.

        Empty when there are none, or when `offset` is no longer buffered.
        """
        return self._ring.records_from(offset)

    def fold_records(self, records: Iterable[LogRecord]) -> None:
        """Folds the records of a peer that directly follow the state."""
        self._fold(records, "peer")

    def update_current_at(self, offset: Offset, current_at: float) -> None:
        """Advances `current_at` if this state includes a peer's current state.

        Args:
            offset: offset of the peer's state.
            current_at: unix seconds at which the peer's state was known to be
                at the end of the log.
        """
        if offset <= self.state.offset:
            current_at = min(current_at, self._clock.now())
            self.current_at = max(self.current_at, current_at)

    def mark_gap(self) -> None:
        """Records that the peers no longer buffer the next record."""
        self._gap = True

    async def _follow(self) -> None:
        """Reads one page and folds it."""
        started = self._clock.now()
        start = Offset(self.state.offset + 1)
        deadline = started + self._poll_timeout_seconds
        page = await self._log.read(start, MAX_RECORDS_PER_READ, deadline)
        if page.first > start:
            raise OffsetExpired(f"the log starts at {page.first}", page.first)
        if page.next < start:
            raise LogUnavailable(
                f"the log ends at {page.next}, below the folded {start}"
            )
        self._fold(page.records, "log")
        if self.state.offset + 1 >= page.next:
            self.current_at = max(self.current_at, started)
            self._set_ready()
        else:
            self._set_not_ready(
                f"folded {self.state.offset + 1} of {page.next} records"
            )

    def _fold(self, records: Iterable[LogRecord], source: str) -> None:
        """Folds the records that follow the state, in order."""
        before = self.state.offset
        for record in records:
            if record.offset <= self.state.offset:
                continue
            if record.offset != self.state.offset + 1:
                break
            results = fold.apply_record(
                self.state, record.offset, record.time, record.data
            )
            self._ring.add(record)
            _folded.labels(source).inc()
            self._call_result_callbacks(results)
        if self.state.offset != before:
            self._gap = False
            self._wake_waiters()

    async def _load_after_expiry(self, first: Offset | None) -> str | None:
        """Loads a newer snapshot; returns the reason if there is none."""
        try:
            state = await self._snapshot_in_log(first)
            self._replace_state(state, "log")
            return None
        except (NoSnapshot, LogUnavailable, OffsetExpired) as error:
            failure = f"the next record has expired: {error}"
        if await self._load_from_peer():
            return None
        return failure

    async def _snapshot_in_log(self, first: Offset | None) -> State:
        """Returns the newest usable snapshot above the offset of the state.

        Raises:
            NoSnapshot: the log holds none.
        """
        if first is None:
            deadline = self._clock.now() + min(self._poll_timeout_seconds, 0.2)
            first = (await self._log.read(_BEYOND_END, 1, deadline)).first
        batches = [each async for each in self._snapshot_batches(first)]
        try:
            state = snapshots.newest(batches)
        except (msgspec.DecodeError, zlib.error, ValueError) as error:
            raise NoSnapshot(f"a snapshot is damaged: {error}") from error
        if state is None:
            raise NoSnapshot("the log holds no complete snapshot")
        if state.offset + 1 < first:
            raise NoSnapshot("records after the newest snapshot have expired")
        if state.offset <= self.state.offset:
            raise NoSnapshot("the newest snapshot is not newer")
        return state

    async def _snapshot_batches(self, start: Offset) -> AsyncIterator[ch.Batch]:
        """Yields the batches of the retained records that hold chunks."""
        while True:
            # A deadline of now reads the available records without waiting.
            deadline = self._clock.now()
            page = await self._log.read(start, MAX_RECORDS_PER_READ, deadline)
            for record in page.records:
                start = Offset(record.offset + 1)
                if b"SnapshotChunk" not in record.data:
                    continue
                try:
                    yield ch.decode_batch(record.data)
                except msgspec.DecodeError:
                    continue
            if start >= page.next or not page.records:
                return

    async def _use_peers(self, failure: str) -> None:
        """Becomes ready without the log once no reachable peer is ahead."""
        if self.ready and not self._gap:
            return
        if not self._from_peer or self._gap:
            await self._load_from_peer()
        highest = self._peers.highest_offset() if self._peers else None
        if highest is None:
            self._set_not_ready(f"{failure}; no ready peer is reachable")
        elif not self._from_peer:
            self._set_not_ready(f"{failure}; no snapshot from a peer")
        elif self.state.offset < highest:
            self._set_not_ready(
                f"{failure}; at offset {self.state.offset}, peers at {highest}"
            )
        else:
            self._set_ready()

    async def _load_from_peer(self) -> bool:
        """Loads a newer snapshot from a peer; returns whether it did."""
        if self._peers is None:
            return False
        beyond = self.state.offset
        # Before the first load an equal offset suffices: it shows that a ready
        # peer has the same state.
        if not self.ready and not self._from_peer:
            beyond = Offset(beyond - 1)
        state = await self._peers.snapshot(beyond)
        if state is None:
            return False
        self._from_peer = True
        # Records may have been folded during the fetch.
        if state.offset > self.state.offset:
            self._replace_state(state, "peer")
        return True

    def _replace_state(self, state: State, source: str) -> None:
        """Replaces the state by a state loaded from a snapshot, if newer."""
        if state.offset <= self.state.offset:
            return
        # Readers compare table versions to detect changes.
        for table in Tables.__struct_fields__:
            version = self.state.version_by_table[table]
            state.version_by_table[table] = version + 1
        self.state = state
        self._ring.clear()
        self._gap = False
        _loaded.labels(source).inc()
        logger.info(
            "loaded snapshot at offset {} from {}", state.offset, source
        )
        rows = state.tables.result_by_change_id.values()
        self._call_result_callbacks([result for _, result in rows])
        self._wake_waiters()

    def _call_result_callbacks(self, results: list[ch.Result]) -> None:
        for callback in self._result_callbacks:
            callback(results)

    def _set_ready(self) -> None:
        if self.ready:
            return
        self.ready = True
        self.not_ready_reason = ""
        logger.info("ready at offset {}", self.state.offset)
        self._wake_waiters()

    def _set_not_ready(self, reason: str) -> None:
        if not self.ready:
            self.not_ready_reason = reason

    def _set_log_up(self, up: bool, reason: str) -> None:
        if up != self.log_up:
            self.log_up = up
            logger.info("log is {}: {}", "up" if up else "down", reason)

    def _wake_waiters(self) -> None:
        event, self._changed_event = self._changed_event, asyncio.Event()
        event.set()

    def _backoff(self, attempt: int) -> float:
        delay = INITIAL_BACKOFF_SECONDS * 2 ** min(attempt, 10)
        delay = min(delay, self._max_backoff_seconds)
        return delay * self._random.uniform(0.5, 1.0)
