"""Measures CPU and memory of an entry that reconciles guarded workers."""

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
# Covers acquiring and granting the leases, which happens one after another.
WARM_UP_SECONDS = 6.0
# Longer than the interval between two passes over a worker at the largest
# number of workers.
MEASURED_SECONDS = 40.0


class _LocalLog:
    """Stub of follower and publisher; folds published changes at once."""

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
    """Stub of the peers, with this entry as the only member."""

    def scheduler(self, pool_id: PoolId) -> EntryId:
        """Returns this entry."""
        del pool_id
        return _ENTRY

    def live(self, data_centre_id: DataCentreId) -> list[EntryId]:
        """Returns this entry only."""
        del data_centre_id
        return [_ENTRY]


def _serve_workers(port: int) -> None:
    """Serves the API of workers without tasks on all loopback addresses."""

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
def _worker_server() -> Iterator[int]:
    """Yields the port of a process that serves the API of all workers."""
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


def _put_fleet(log: _LocalLog, size: int, port: int) -> None:
    """Creates a pool of workers whose addresses all reach one server."""
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


async def _measure_driver(size: int, port: int) -> dict[str, float]:
    log = _LocalLog()
    _put_fleet(log, size, port)
    clock = SystemClock()
    workers = HttpWorkers(clock)
    identity = Identity(_ENTRY, "dc0", "10.0.0.1:1")
    jobs = JobDriver(identity, log, log, _Peers(), workers, clock)
    resident_before = resident_mb(os.getpid())
    task = asyncio.create_task(jobs.run())
    await asyncio.sleep(WARM_UP_SECONDS)
    started, cpu_seconds = time.monotonic(), time.process_time()
    await asyncio.sleep(MEASURED_SECONDS)
    cpu_seconds = time.process_time() - cpu_seconds
    elapsed = time.monotonic() - started
    use = log.state.tables.worker_use_by_instance
    leased = sum(each.holder == _ENTRY for each in use.values())
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await workers.aclose()
    if leased != size:
        raise RuntimeError(f"{leased} of {size} workers are leased")
    return {
        "core_percent": 100 * cpu_seconds / elapsed,
        "resident_bytes": (resident_mb(os.getpid()) - resident_before) * 2**20,
    }


def measure_jobs(size: int) -> dict[str, float]:
    """Measures the job driver by the number of workers without tasks."""
    with _worker_server() as port:
        return uvloop.run(_measure_driver(size, port))
