"""Follows a keyed topic: loads the newest records, then polls for changes."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

import prometheus_client as prometheus

from sardinedrift.engine.clock import Clock
from sardinedrift.engine.dependencylog import DependencyLog
from sardinedrift.engine.events import Event, EventLog
from sardinedrift.engine.exceptions import (
    RecordsExpired,
    StoreError,
    StoreUnknown,
)
from sardinedrift.engine.storeports import KeyedRecord, ReadPage, RecordStore
from sardinedrift.identifiers import Offset

# An answered poll confirms that nothing has changed, so its maximum duration
# bounds the age of the data while the topic is idle. Just before an answer, the
# data is two polls old, which must be less than MAX_REACHABLE_AGE_S of entries.
POLL_WAIT_MS = 800
RETRY_S = 0.1
# Minimum interval between polls, which bounds the number of calls for a busy
# topic. Longer intervals make the pages larger, which a slow link delays.
MIN_POLL_INTERVAL_S = 0.1
# The same for the jobs, which change all the time and which every entry reads.
# Callers that ask for a state end the pause.
JOBS_POLL_INTERVAL_S = 0.25
# With many entries the interval is longer, so that their polls of one topic
# take at most this share of the calls that the store permits.
MAX_POLL_SHARE = 0.25
MAX_POLL_INTERVAL_S = 1.0
# The controller polls more often, because task starts wait for its feed.
CONTROLLER_MIN_POLL_INTERVAL_S = 0.02
# A caller of `Feed.catch_up` waits no longer than this for the poll.
CATCH_UP_TIMEOUT_S = 0.5

_IGNORED = prometheus.Counter(
    "sardinedrift_records_ignored",
    "Records ignored because they cannot be decoded or applied",
    ["topic"],
)

Listener = Callable[[str, bytes | None], None]


class _LoadProgress:
    """Progress of loading the newest records.

    Attributes:
        sent_at: boot-time clock at which the first page was requested.
        after: key of the last record read.
        read_keys: keys read so far.
        end: offset from which to follow changes, or None before the first
            page.
    """

    def __init__(self, sent_at: float) -> None:
        self.sent_at = sent_at
        self.after = ""
        self.read_keys: set[str] = set()
        self.end: Offset | None = None


def jobs_poll_interval_s(entries: int, reads_per_s: float) -> float:
    """Returns the minimum interval between an entry's polls of the jobs.

    Args:
        entries: number of entries that poll them.
        reads_per_s: rate limit of the store for reads by all entries; 0 when
            it is not known.
    """
    if reads_per_s <= 0:
        return JOBS_POLL_INTERVAL_S
    interval_s = entries / (MAX_POLL_SHARE * reads_per_s)
    return min(MAX_POLL_INTERVAL_S, max(JOBS_POLL_INTERVAL_S, interval_s))


class Feed:
    """Passes the newest value of each key of a topic to a listener.

    Args:
        store: store that holds the topic.
        topic: name of the topic.
        listener: called with each changed key and its value, or None when the
            key was removed.
        clock: clock for the age of the data.
        log: event log.
        min_interval_s: returns the minimum interval between polls, in seconds.

    Attributes:
        confirmed_at: boot-time clock at which the last successful read was
            sent; the data is at least as recent as that.
        loaded: the newest records have been read.
        ever_loaded: that was so at least once; while they are loaded again, the
            listener has what was known before.
    """

    def __init__(
        self,
        store: RecordStore,
        topic: str,
        listener: Listener,
        clock: Clock,
        log: EventLog,
        min_interval_s: Callable[[], float] = lambda: MIN_POLL_INTERVAL_S,
    ):
        self._store = store
        self._topic = topic
        self._min_interval_s = min_interval_s
        self._listener = listener
        self._clock = clock
        self._log = log
        self._offset_by_key: dict[str, Offset] = {}
        self._next = Offset(0)
        self._advanced = asyncio.Event()
        self.confirmed_at = float("-inf")
        self.loaded = False
        self.ever_loaded = False
        self._frequent = False
        self._paused = False
        self._resume = asyncio.Event()
        self._loading: _LoadProgress | None = None
        self._dependency_log = DependencyLog(log, "store", topic=topic)

    @property
    def next_offset(self) -> Offset:
        """Offset after the last record that was passed on."""
        return self._next

    @property
    def store_lost(self) -> bool:
        """Whether the last poll failed."""
        return self._dependency_log.lost

    @property
    def age(self) -> float:
        """Seconds since the data was last known to be current."""
        return self._clock.boot() - self.confirmed_at

    @contextlib.contextmanager
    def poll_frequently(self) -> Iterator[None]:
        """Polls at the shorter interval of a controller within the context."""
        self._frequent = True
        self._resume.set()
        try:
            yield
        finally:
            self._frequent = False

    async def run(self) -> None:
        """Follows the topic until cancelled."""
        while True:
            try:
                if not self.loaded:
                    await self._load()
                # A caller that has ended the pause waits for the answer.
                wait_ms = 0 if self._resume.is_set() else POLL_WAIT_MS
                self._resume.clear()
                at_end = await self._poll(wait_ms)
                self._dependency_log.record_success()
                if at_end:
                    await self._pause()
            except RecordsExpired:
                self.loaded = False
            except StoreError as error:
                self._record_loss(error)
                await asyncio.sleep(RETRY_S)

    async def refresh(self) -> None:
        """Reads the records that have been appended so far.

        Raises:
            StoreError: the read failed, or the feed is not loaded.
        """
        if not self.loaded:
            raise RecordsExpired("feed is not loaded yet")
        while not await self._poll(0):
            pass

    async def try_refresh(self, timeout_s: float) -> None:
        """Reads the appended records within a time, or records the loss.

        After a loss, the listener has what was known before.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self.refresh()
        except (StoreError, TimeoutError) as error:
            self._record_loss(error)

    async def wait_for_offset(self, end: Offset) -> None:
        """Waits until all records before an offset have been passed on."""
        while not self.loaded or self._next < end:
            self._advanced.clear()
            await self._advanced.wait()

    async def catch_up(self) -> None:
        """Ends the pause between two polls, and waits for the next one.

        Does nothing while a poll is in progress, as the store answers it as
        soon as there is a record, nor while the store is away. All callers of
        one pause share one poll.
        """
        if not self._paused or self.store_lost:
            return
        called_at = self._clock.boot()
        self._resume.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                while self.confirmed_at < called_at:
                    self._advanced.clear()
                    await self._advanced.wait()

    async def _pause(self) -> None:
        """Waits for the rest of the minimum interval between polls."""
        self._paused = True
        try:
            await asyncio.sleep(self._rest_s(CONTROLLER_MIN_POLL_INTERVAL_S))
            if not self._frequent:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(
                        self._rest_s(self._min_interval_s())
                    ):
                        await self._resume.wait()
        finally:
            self._paused = False

    def _record_loss(self, error: Exception) -> None:
        age_s = round(self.age, 3) if self.loaded else None
        self._dependency_log.record_loss(error, age_s=age_s)

    def _rest_s(self, interval_s: float) -> float:
        """Returns the rest of an interval since the last poll, in seconds."""
        return max(0.0, self.confirmed_at + interval_s - self._clock.boot())

    async def _load(self) -> None:
        """Reads the newest records; resumes where an earlier attempt failed."""
        if self._loading is None:
            self._loading = _LoadProgress(self._clock.boot())
        loading = self._loading
        while True:
            page = await self._store.newest(self._topic, loading.after)
            if loading.end is None:
                loading.end = page.end
            for record in page.records:
                loading.read_keys.add(record.key)
                self._apply(record)
            if not page.more or not page.records:
                break
            loading.after = page.records[-1].key
        self._loading = None
        self._remove_missing_keys(loading.read_keys)
        self._next = loading.end
        self.loaded = self.ever_loaded = True
        self._confirm(loading.sent_at)

    def _remove_missing_keys(self, read_keys: set[str]) -> None:
        for key in [key for key in self._offset_by_key if key not in read_keys]:
            del self._offset_by_key[key]
            self._listener(key, None)

    async def _poll(self, wait_ms: int) -> bool:
        """Reads a page of records; returns whether no further ones follow."""
        sent_at = self._clock.boot()
        page: ReadPage = await self._store.read(
            self._topic, self._next, wait_ms
        )
        for record in page.records:
            self._apply(record)
        self._next = max(self._next, page.next)
        self._advanced.set()
        if self._next >= page.end:
            self._confirm(sent_at)
            return True
        if not page.records:
            raise StoreUnknown(f"no records from {self._next} to {page.end}")
        return False

    def _apply(self, record: KeyedRecord) -> None:
        if record.offset <= self._offset_by_key.get(record.key, -1):
            return
        self._offset_by_key[record.key] = record.offset
        try:
            self._listener(record.key, record.value)
        except Exception as error:
            # A record written by another version, or one that breaks a rule
            # which the listener relies on, must not block later ones.
            _IGNORED.labels(self._topic).inc()
            self._log.write(
                Event.ENTRY_IGNORED,
                topic=self._topic,
                key=record.key,
                offset=record.offset,
                error=repr(error),
            )

    def _confirm(self, sent_at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, sent_at)
        self._advanced.set()
