"""Measures what an entry spends on the guarded workers that it drives."""

import asyncio
import contextlib
import multiprocessing
import os
import socket
import time
from collections.abc import Iterable, Iterator

import uvloop
from aiohttp import web

from sardinedrift import changes as ch
from sardinedrift import fold
from sardinedrift.identifiers import (
    DataCentreId,
    EntryId,
    Identity,
    InstanceKind,
    PoolId,
)
from sardinedrift.jobs import JobDriver
from sardinedrift.runtime import SystemClock
from sardinedrift.state import State
from sardinedrift.workers import HttpWorkers
from standins.capacityidle import resident_mb

_ENTRY = EntryId("dc0-me")
_POOL = "pool0"
# Covers the leases, which are taken and granted one after another.
WARM_UP_SECONDS = 6.0
# Longer than the rest between two visits at the largest size.
MEASURED_SECONDS = 40.0


class _Log:
    """Folds what is published at once; stands for follower and publisher."""

    log_up = True

    def __init__(self) -> None:
        self.state = State()

    def put(self, *changes: ch.AnyChange) -> list[ch.Result]:
        """Folds changes as one record."""
        data = ch.encode_batch(ch.Batch(changes))
        offset = self.state.offset + 1
        return fold.apply_record(self.state, offset, time.time(), data)

    async def publish(
        self, changes: Iterable[ch.AnyChange], deadline: float
    ) -> list[ch.Result]:
        """Folds changes; see `Publisher`."""
        del deadline
        return self.put(*changes)


class _Peers:
    """This entry schedules every pool."""

    def scheduler(self, pool_id: PoolId) -> EntryId:
        """Returns this entry."""
        del pool_id
        return _ENTRY

    def live(self, data_centre_id: DataCentreId) -> list[EntryId]:
        """Returns this entry only."""
        del data_centre_id
        return [_ENTRY]


def _serve_workers(port: int) -> None:
    """Answers for workers without tasks, at any loopback address."""

    async def lease(request: web.Request) -> web.Response:
        await request.read()
        return web.json_response({})

    async def usage(request: web.Request) -> web.Response:
        del request
        return web.json_response({"at": time.time(), "tasks": []})

    app = web.Application()
    app.add_routes([web.post("/leases", lease), web.get("/usage", usage)])
    web.run_app(app, port=port, print=None, access_log=None)


@contextlib.contextmanager
def _workers() -> Iterator[int]:
    """Yields the port of a process that answers for all workers."""
    with socket.socket() as probe:
        probe.bind(("", 0))
        port = probe.getsockname()[1]
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=_serve_workers, args=(port,))
    process.start()
    try:
        yield port
    finally:
        process.terminate()
        process.join()


def _put_fleet(log: _Log, size: int, port: int) -> None:
    log.put(
        ch.PutDataCentre(
            change_id="a",
            expected_revision=0,
            data_centre_id="dc0",
            region="north",
        ),
        ch.PutPool(change_id="b", expected_revision=0, pool_id=_POOL),
        ch.EntryJoin(
            change_id="c",
            entry_id=_ENTRY,
            data_centre_id="dc0",
            address="10.0.0.1:1",
        ),
    )
    for number in range(size):
        log.put(
            ch.PutInstance(
                change_id=f"worker-{number}",
                expected_revision=0,
                instance_id=f"worker-{number:04d}",
                kind=InstanceKind.WORKER,
                data_centre_id="dc0",
                pool_id=_POOL,
                rack=f"rack-{number // 4}",
                address=f"127.1.{number // 250}.{number % 250 + 1}:{port}",
                cores=32,
                memory_gb=64,
            )
        )


async def _drive(size: int, port: int) -> dict[str, float]:
    log = _Log()
    _put_fleet(log, size, port)
    clock = SystemClock()
    workers = HttpWorkers(clock)
    identity = Identity(_ENTRY, "dc0", "10.0.0.1:1")
    jobs = JobDriver(identity, log, log, _Peers(), workers, clock)
    before = resident_mb(os.getpid())
    task = asyncio.create_task(jobs.run())
    await asyncio.sleep(WARM_UP_SECONDS)
    started, spent = time.monotonic(), time.process_time()
    await asyncio.sleep(MEASURED_SECONDS)
    spent = time.process_time() - spent
    seconds = time.monotonic() - started
    use = log.state.tables.worker_use_by_instance
    leased = sum(each.holder == _ENTRY for each in use.values())
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await workers.aclose()
    if leased != size:
        raise RuntimeError(f"{leased} of {size} workers are leased")
    return {
        "core_percent": 100 * spent / seconds,
        "resident_bytes": (resident_mb(os.getpid()) - before) * 2**20,
    }


def measure_jobs(size: int) -> dict[str, float]:
    """Measures the driver of jobs by workers without tasks."""
    with _workers() as port:
        return uvloop.run(_drive(size, port))
