"""Stand-ins in memory for the ports, and a wait without fixed pauses."""

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
        up: False makes every call fail before it has an effect.
        lost_answers: how many next appends take effect without an answer.
        lost_appends: how many next appends neither take effect nor answer.
        record_time: append time stamped on records; None: the system clock.
    """

    def __init__(self):
        self.records = []
        self.first = 0
        self.up = True
        self.lost_answers = 0
        self.lost_appends = 0
        self.attempts = 0
        self.record_time = None
        self._event = asyncio.Event()

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
        stamp = time.time() if self.record_time is None else self.record_time
        self.records.append(LogRecord(self.next, stamp, data))
        event, self._event = self._event, asyncio.Event()
        event.set()
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
            rest = max(deadline - time.time(), 0.0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(rest):
                    await self._event.wait()
        if not self.up:
            raise LogUnavailable("outage")
        if start < self.first:
            raise OffsetExpired("expired", self.first)
        skip = start - self.first
        records = tuple(self.records[skip : skip + limit])
        return LogPage(records, self.first, self.next)


async def until(condition, cap=20.0):
    """Waits for a condition; the cap only ends a run that hangs."""
    async with asyncio.timeout(cap):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def running(*parts):
    """Runs the `run` of each part during the block."""
    tasks = [asyncio.create_task(each.run()) for each in parts]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
