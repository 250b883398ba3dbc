"""Writes job progress ahead of the orders that depend on it."""

import asyncio
from collections.abc import Callable, Iterable, Iterator

from sardinedrift.engine.catalogue import (
    TermRecord,
    progress_record,
    submission_record,
    tasks_record,
    term_record,
)
from sardinedrift.engine.events import Event, EventLog
from sardinedrift.engine.exceptions import (
    SequenceExpected,
    StoreError,
    StoreFenced,
)
from sardinedrift.engine.storeports import KeyedRecord, RecordStore
from sardinedrift.engine.term import Term
from sardinedrift.engine.work import Job
from sardinedrift.identifiers import JobId

RETRY_S = 0.1
# Changes within this interval share one call.
WRITE_INTERVAL_S = 0.01
MAX_GROUP_BYTES = 1 << 20

Action = Callable[[], None]


class ProgressWriter:
    """Appends the progress of changed jobs, one call at a time.

    Args:
        store: store to append to.
        topic: keyed topic.
        term: the controller's term, with its fencing token and sequence number.
        log: receives log lines.

    Attributes:
        make_term_record: returns the current record of the term; set after
            construction.
    """

    def __init__(
        self, store: RecordStore, topic: str, term: Term, log: EventLog
    ):
        self._log = log
        self._store = store
        self._topic = topic
        self._term = term
        self._changed_by_id: dict[JobId, Job] = {}
        self._extra_records: list[KeyedRecord] = []
        self._term_changed = False
        self.make_term_record: Callable[[], TermRecord] | None = None
        self._actions: list[Action] = []
        self._wake = asyncio.Event()

    def mark_changed(self, job: Job) -> None:
        """Schedules a write of the job's progress."""
        self._changed_by_id[job.job_id] = job
        self._wake.set()

    def mark_term_changed(self) -> None:
        """Schedules a write of the record of the term."""
        self._term_changed = True
        self._wake.set()

    def add_record(self, record: KeyedRecord) -> None:
        """Schedules a write of another record."""
        self._extra_records.append(record)
        self._wake.set()

    async def wait_durable(self) -> None:
        """Waits until all changes scheduled so far are durable."""
        durable = asyncio.Event()
        self.call_when_durable(durable.set)
        await durable.wait()

    def call_when_durable(self, action: Action) -> None:
        """Calls an action once all changes scheduled so far are durable."""
        self._actions.append(action)
        self._wake.set()

    async def run(self) -> None:
        """Writes until cancelled.

        Raises:
            StoreFenced: a controller with a higher token has written.
            SequenceExpected: the store expects another sequence number.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            records = self._take_records()
            actions, self._actions = self._actions, []
            for group in _group_by_size(records):
                await self._append(group)
            for action in actions:
                action()
            await asyncio.sleep(WRITE_INTERVAL_S)

    def _take_records(self) -> list[KeyedRecord]:
        jobs = list(self._changed_by_id.values())
        self._changed_by_id.clear()
        records = [record for job in jobs for record in _records(job)]
        records += self._extra_records
        self._extra_records = []
        if self._term_changed:
            self._term_changed = False
            records.append(term_record(self.make_term_record()))
        return [record for record in records if self._can_hold(record)]

    def _can_hold(self, record: KeyedRecord) -> bool:
        """Whether the store can hold a record; logs one that it cannot.

        It would refuse all records of the call, now and at each retry.
        """
        if self._store.can_hold(record):
            return True
        self._log.write(
            Event.FAULT,
            where="records",
            error=f"{record.key}: {record.size} bytes are too many to record",
        )
        return False

    async def fence(self) -> int:
        """Fences off earlier controllers; returns the end of the topic."""
        return await self._append([])

    async def record_term(self, record: TermRecord) -> None:
        """Records the beginning of this term."""
        await self._append([term_record(record)])

    async def close_term(self, record: TermRecord) -> None:
        """Records the end of this term, after `run` was cancelled.

        Raises:
            StoreError: the end may not be recorded; the successor then waits
                longer.
        """
        try:
            await self._send([term_record(record)], self._term.sequence)
        except SequenceExpected as error:
            # The cancelled append has not reached the store and will not do so.
            await self._send([term_record(record)], error.expected)

    async def _append(self, records: list[KeyedRecord]) -> int:
        sequence = self._term.sequence
        self._term.sequence += 1
        while True:
            try:
                return await self._send(records, sequence)
            except (StoreFenced, SequenceExpected):
                raise
            except StoreError:
                # The same sequence number makes the retry idempotent.
                await asyncio.sleep(RETRY_S)

    async def _send(self, records: list[KeyedRecord], sequence: int) -> int:
        return await self._store.append_fenced(
            self._topic, records, self._term.token, sequence
        )


def _records(job: Job) -> Iterator[KeyedRecord]:
    """Yields the records of a changed job.

    Records may be appended by several calls, so the state of the job is never
    newer than those of its tasks. Once the job has fully ended, the records of
    its tasks are removed and its submission is replaced by a short one.
    """
    blocks = list(job.take_changed_blocks())
    if not job.fully_ended:
        for block in blocks:
            yield tasks_record(job.job_id, block.block_id, block.records)
    yield progress_record(job.job_id, job.record())
    if job.fully_ended:
        for block_id in sorted(job.recorded_blocks):
            yield tasks_record(job.job_id, block_id, None)
        yield submission_record(job.submission.shortened())


def _group_by_size(
    records: Iterable[KeyedRecord],
) -> Iterable[list[KeyedRecord]]:
    group: list[KeyedRecord] = []
    size = 0
    for record in records:
        size += len(record.key) + len(record.value or b"")
        if group and size > MAX_GROUP_BYTES:
            yield group
            group, size = [], len(record.value or b"")
        group.append(record)
    if group:
        yield group
