"""Follows a keyed topic: newest records first, then each change."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

import msgspec
import prometheus_client as prometheus

from sardinedrift.engine.clock import Clock
from sardinedrift.engine.events import Event, EventLog
from sardinedrift.engine.exceptions import RecordsExpired, StoreError
from sardinedrift.engine.ports import KeyedRecord, ReadPage, RecordStore
from sardinedrift.identifiers import Offset

# A poll confirms that nothing has changed, so its length bounds the age of
# what is known in a quiet time.
POLL_MS = 1000
RETRY_S = 0.1
# Polls are at least this far apart, so that a busy topic costs a bounded
# number of calls.
FOLLOW_GAP_S = 0.1
# The controller's own feed is asked again sooner: starts wait for it.
CONTROL_GAP_S = 0.01

_IGNORED = prometheus.Counter(
    "sardinedrift_records_ignored", "Records that can't be read", ["topic"]
)

Listener = Callable[[str, bytes | None], None]


class _Loading:
    """How far the newest records are read.

    Attributes:
        sent_at: boot-time clock at which it began.
        after: key of the last record read.
        seen: keys read.
        end: offset from which changes follow, or None before the first page.
    """

    def __init__(self, sent_at: float) -> None:
        self.sent_at = sent_at
        self.after = ""
        self.seen: set[str] = set()
        self.end: Offset | None = None


class Feed:
    """The newest value of each key of a topic.

    Args:
        store: where the topic lies.
        topic: its name.
        listener: told each changed key with its value, None when removed.
        clock: measures ages.
        log: takes log lines.

    Attributes:
        confirmed_at: boot-time clock at which the last successful read was
            sent; what the feed holds is no older than that.
        loaded: the newest records were read once.
        gap_s: least seconds between polls.
    """

    def __init__(
        self,
        store: RecordStore,
        topic: str,
        listener: Listener,
        clock: Clock,
        log: EventLog,
    ):
        self._store = store
        self._topic = topic
        self._listener = listener
        self._clock = clock
        self._log = log
        self._offset_by_key: dict[str, Offset] = {}
        self._next = Offset(0)
        self._moved = asyncio.Event()
        self.confirmed_at = float("-inf")
        self.loaded = False
        self.gap_s = FOLLOW_GAP_S
        self._loading: _Loading | None = None
        self._lost = False

    @property
    def next_offset(self) -> Offset:
        """Offset after the last record taken over."""
        return self._next

    @property
    def age(self) -> float:
        """Seconds since what it holds was known to be the newest."""
        return self._clock.boot() - self.confirmed_at

    @contextlib.contextmanager
    def poll_frequently(self) -> Iterator[None]:
        """Follows at the pace of a controller."""
        self.gap_s = CONTROL_GAP_S
        try:
            yield
        finally:
            self.gap_s = FOLLOW_GAP_S

    async def run(self) -> None:
        """Follows until cancelled."""
        while True:
            try:
                if not self.loaded:
                    await self._load()
                await self._poll(POLL_MS)
                self._note_contact()
                await self._pause()
            except RecordsExpired:
                self.loaded = False
            except StoreError as error:
                self._note_loss(error)
                await asyncio.sleep(RETRY_S)

    async def refresh(self) -> None:
        """Reads what was appended until now.

        Raises:
            StoreError: the store gave no answer, or the feed is not loaded.
        """
        if not self.loaded:
            raise RecordsExpired("not loaded yet")
        await self._poll(0)

    async def wait_for_offset(self, end: Offset) -> None:
        """Waits until all records before an offset are taken over."""
        while not self.loaded or self._next < end:
            self._moved.clear()
            await self._moved.wait()

    async def _pause(self) -> None:
        """Waits until the next poll may be sent."""
        left = self.confirmed_at + self.gap_s - self._clock.boot()
        if left > 0:
            await asyncio.sleep(left)

    async def _load(self) -> None:
        """Reads the newest records, from where the last attempt failed."""
        if self._loading is None:
            self._loading = _Loading(self._clock.boot())
        loading = self._loading
        while True:
            page = await self._store.newest(self._topic, loading.after)
            if loading.end is None:
                loading.end = page.end
            for record in page.records:
                loading.seen.add(record.key)
                self._take(record)
            if not page.more or not page.records:
                break
            loading.after = page.records[-1].key
        self._loading = None
        self._drop_unseen(loading.seen)
        self._next = loading.end
        self.loaded = True
        self._confirm(loading.sent_at)

    def _drop_unseen(self, seen: set[str]) -> None:
        for key in [key for key in self._offset_by_key if key not in seen]:
            del self._offset_by_key[key]
            self._listener(key, None)

    async def _poll(self, wait_ms: int) -> None:
        sent_at = self._clock.boot()
        page: ReadPage = await self._store.read(
            self._topic, self._next, wait_ms
        )
        for record in page.records:
            self._take(record)
        self._next = max(self._next, page.next)
        self._confirm(sent_at)

    def _take(self, record: KeyedRecord) -> None:
        if record.offset <= self._offset_by_key.get(record.key, -1):
            return
        self._offset_by_key[record.key] = record.offset
        try:
            self._listener(record.key, record.value)
        except (msgspec.DecodeError, ValueError) as error:
            # One record of another version must not hold up the others.
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
        self._moved.set()

    def _note_contact(self) -> None:
        if self._lost:
            self._lost = False
            self._log.write(
                Event.DEPENDENCY_BACK, dependency="store", topic=self._topic
            )

    def _note_loss(self, error: StoreError) -> None:
        if not self._lost:
            self._lost = True
            self._log.write(
                Event.DEPENDENCY_LOST,
                dependency="store",
                topic=self._topic,
                age_s=round(self.age, 3) if self.loaded else None,
                error=repr(error),
            )
