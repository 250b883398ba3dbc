"""Stand-in for the platform's append-only log service, in memory."""

import asyncio
import collections
import time

import click
import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

from sardinedrift.ports import LogPage, LogRecord
from standins import serving

MAX_RECORD_BYTES = 256 * 1024
MAX_PAGE_RECORDS = 1000
# Keeps the answer to one read small when records are near their size limit.
MAX_PAGE_BYTES = 4 * 1024 * 1024
MAX_WAIT_SECONDS = 60.0


class Control(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """Faults to set; absent fields keep their values.

    Attributes:
        outage: fail every append and read.
        lose_answers: number of next appends that take effect without an
            answer.
        slow_seconds: delay of appends and reads.
        expire_before: offset below which records expire at once.
        blocked_sources: callers for which the log is unavailable.
    """

    outage: bool | None = None
    lose_answers: int | None = None
    slow_seconds: float | None = None
    expire_before: int | None = None
    blocked_sources: frozenset[str] | None = None


class Log:
    """Records with limited retention.

    Args:
        retention_records: number of records to retain.
        retention_seconds: time for which a record is retained.
        appends_per_second: limit on appends.
    """

    def __init__(
        self,
        retention_records: int = 100_000,
        retention_seconds: float = 7200.0,
        appends_per_second: int = 500,
    ):
        self.faults = Control(
            outage=False,
            lose_answers=0,
            slow_seconds=0.0,
            blocked_sources=frozenset(),
        )
        self.appends = 0
        self.bytes = 0
        self.reads = 0
        self._retention_records = retention_records
        self._retention_seconds = retention_seconds
        self._appends_per_second = appends_per_second
        self._recent_appends: collections.deque[float] = collections.deque()
        self._records: collections.deque[LogRecord] = collections.deque()
        self._next = 0
        self._appended = asyncio.Event()

    @property
    def next(self) -> int:
        """Offset of the next record."""
        return self._next

    @property
    def first(self) -> int:
        """Offset of the oldest retained record, after expiry."""
        self._expire(time.time())
        return self._records[0].offset if self._records else self._next

    def append_rate_exceeded(self, now: float) -> bool:
        """Returns whether one more append would exceed the limit."""
        recent = self._recent_appends
        while recent and recent[0] <= now - 1.0:
            recent.popleft()
        return len(recent) >= self._appends_per_second

    def append(self, data: bytes, now: float) -> int:
        """Appends a record with an append time; returns its offset."""
        offset = self._next
        self._next += 1
        # Append times never decrease, even when the clock is set back.
        stamp = max(now, self._records[-1].time) if self._records else now
        self._records.append(LogRecord(offset, stamp, data))
        self._recent_appends.append(now)
        self.appends += 1
        self.bytes += len(data)
        self._appended.set()
        self._appended = asyncio.Event()
        return offset

    def page(self, start: int, limit: int) -> LogPage:
        """Returns one page of records from an offset on."""
        first = self.first
        skipped = max(start - first, 0)
        records = []
        size = 0
        for index in range(skipped, min(skipped + limit, len(self._records))):
            record = self._records[index]
            size += len(record.data)
            if records and size > MAX_PAGE_BYTES:
                break
            records.append(record)
        return LogPage(tuple(records), first, self._next)

    async def wait_for(self, offset: int, seconds: float) -> None:
        """Waits until a record with this offset exists, or for `seconds`."""
        try:
            async with asyncio.timeout(seconds):
                while self._next <= offset:
                    await self._appended.wait()
        except TimeoutError:
            return

    def _expire(self, now: float) -> None:
        oldest = now - self._retention_seconds
        records = self._records
        expire_before = self.faults.expire_before or 0
        while records and (
            len(records) > self._retention_records
            or records[0].time < oldest
            or records[0].offset < expire_before
        ):
            records.popleft()


LOG = web.AppKey("log", Log)


def make_app(**options) -> web.Application:
    """Returns the application; options are those of `Log`."""
    app = web.Application(
        client_max_size=2 * MAX_RECORD_BYTES, middlewares=[_apply_faults]
    )
    app[LOG] = Log(**options)
    app.router.add_post("/append", _append)
    app.router.add_get("/records", _records)
    app.router.add_post("/control", _control)
    app.router.add_get("/stats", _stats)
    return app


@web.middleware
async def _apply_faults(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    faults = request.app[LOG].faults
    if request.path not in ("/append", "/records"):
        return await handler(request)
    if faults.slow_seconds:
        # Reads the body first, so that the append takes effect even if its
        # caller times out.
        await request.read()
        await asyncio.sleep(faults.slow_seconds)
    if faults.outage or serving.source_blocked(request, faults.blocked_sources):
        return serving.error_response(503, "unavailable")
    return await handler(request)


async def _append(request: web.Request) -> web.Response:
    log = request.app[LOG]
    data = await request.read()
    now = time.time()
    if len(data) > MAX_RECORD_BYTES:
        return serving.error_response(413, "record_too_large")
    if log.append_rate_exceeded(now):
        return serving.error_response(429, "too_many_appends")
    offset = log.append(data, now)
    if log.faults.lose_answers > 0:
        log.faults.lose_answers -= 1
        request.transport.abort()
    return serving.json_response({"offset": offset})


async def _records(request: web.Request) -> web.Response:
    log = request.app[LOG]
    try:
        start = int(request.query["from"])
        limit = int(request.query.get("limit", MAX_PAGE_RECORDS))
        wait = float(request.query.get("wait", 0))
    except (KeyError, ValueError) as value_error:
        raise web.HTTPBadRequest(text=str(value_error)) from value_error
    log.reads += 1
    if start >= log.first:
        await log.wait_for(start, min(max(wait, 0.0), MAX_WAIT_SECONDS))
    # An outage may have begun during the wait.
    if log.faults.outage or serving.source_blocked(
        request, log.faults.blocked_sources
    ):
        return serving.error_response(503, "unavailable")
    if start < log.first:
        expired = {"code": "expired", "first": log.first, "next": log.next}
        return serving.json_response(expired, 410)
    return serving.json_response(log.page(start, min(limit, MAX_PAGE_RECORDS)))


async def _control(request: web.Request) -> web.Response:
    control = await serving.read_json(request, Control)
    faults = request.app[LOG].faults
    for name in Control.__struct_fields__:
        value = getattr(control, name)
        if value is not None:
            setattr(faults, name, value)
    return serving.json_response(faults)


async def _stats(request: web.Request) -> web.Response:
    log = request.app[LOG]
    return serving.json_response(
        {
            "appends": log.appends,
            "bytes": log.bytes,
            "reads": log.reads,
            "first": log.first,
            "next": log.next,
        }
    )


@click.command()
@serving.listen_options
@click.option("--retention-records", default=100_000)
@click.option("--retention-seconds", default=7200.0)
@click.option("--appends-per-second", default=500)
def main(host: str, port: int, **options) -> None:
    """Runs the log service until SIGTERM."""
    serving.run(make_app(**options), host, port)


if __name__ == "__main__":
    main()
