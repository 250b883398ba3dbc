"""In-memory fakes of the ports, and helpers to run and await them."""

import asyncio
import contextlib
import time

from sardinedrift import changes as ch
from sardinedrift.exceptions import (
    AppendUnknown,
    LogUnavailable,
    OffsetExpired,
)
from sardinedrift.ports import Clock, LogPage, LogRecord, LogService


class SystemClock(Clock):
    def now(self):
        return time.time()


class ManualClock(Clock):
    def __init__(self, now=1000.0):
        self.time = now

    def now(self):
        return self.time


class FakeLog(LogService):
    """A log in memory.

    Attributes:
        up: whether calls succeed; if False, they fail without an effect.
        lost_answers: number of next appends that take effect but get no answer.
        lost_appends: number of next appends that have no effect and get no
            answer.
        attempts: number of appends called.
        record_time: append time of new records, or None for the system clock.
    """

    def __init__(self):
        self.records = []
        self.first = 0
        self.up = True
        self.lost_answers = 0
        self.lost_appends = 0
        self.attempts = 0
        self.record_time = None
        self._appended = asyncio.Event()

    @property
    def next(self):
        return self.first + len(self.records)

    async def append(self, data, deadline):
        await asyncio.sleep(0)
        self.attempts += 1
        if not self.up:
            raise LogUnavailable("outage")
        if self.lost_appends:
            self.lost_appends -= 1
            raise AppendUnknown("lost before the log")
        offset = self.put(data)
        if self.lost_answers:
            self.lost_answers -= 1
            raise AppendUnknown("answer lost")
        return offset

    def put(self, data):
        append_time = (
            time.time() if self.record_time is None else self.record_time
        )
        self.records.append(LogRecord(self.next, append_time, data))
        appended, self._appended = self._appended, asyncio.Event()
        appended.set()
        return self.next - 1

    def put_changes(self, *changes):
        return self.put(ch.encode_batch(ch.Batch(changes)))

    def expire(self, first):
        """Drops the records below an offset."""
        del self.records[: first - self.first]
        self.first = first

    async def read(self, start, limit, deadline):
        await asyncio.sleep(0)
        if self.up and start >= self.next:
            remaining = max(deadline - time.time(), 0.0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self._appended.wait()
        if not self.up:
            raise LogUnavailable("outage")
        if start < self.first:
            raise OffsetExpired("expired", self.first)
        skip = start - self.first
        records = tuple(self.records[skip : skip + limit])
        return LogPage(records, self.first, self.next)


async def until(condition, timeout=20.0):
    """Waits until a condition holds; the timeout ends a test that hangs."""
    async with asyncio.timeout(timeout):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def running(*components):
    """Runs the `run` method of each component during the block."""
    tasks = [asyncio.create_task(each.run()) for each in components]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
