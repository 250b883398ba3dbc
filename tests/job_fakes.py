"""Fixtures of job tests: entries and worker stand-ins over loopback."""

import asyncio
import contextlib
import time
import unittest
from unittest import mock

from sardinedrift import jobs, probation, reconciler
from sardinedrift.exceptions import WorkerUnknown
from sardinedrift.follower import Follower
from sardinedrift.identifiers import Identity
from sardinedrift.publisher import Publisher
from sardinedrift.workers import HttpWorkers
from standins import worker
from standins.serving import serve
from tests.fakes import FakeLog, SystemClock, running
from tests.sample_changes import (
    join,
    join_ack,
    put_data_centre,
    put_pool,
    put_team,
    put_worker,
)


class OneScheduler:
    """Peers with one live entry, which schedules every pool."""

    def __init__(self, entry_id):
        self.entry_id = entry_id

    def scheduler(self, pool_id):
        return self.entry_id

    def live(self, data_centre_id):
        return [self.entry_id]


class PausedStart(HttpWorkers):
    """Worker client that pauses before it sends a start."""

    def __init__(self, clock):
        super().__init__(clock)
        self.paused = asyncio.Event()
        self.resume = asyncio.Event()
        self.results = []

    async def start(self, address, task, deadline):
        self.paused.set()
        await self.resume.wait()
        try:
            state = await super().start(address, task, time.time() + 5)
        except Exception as error:
            self.results.append(str(error))
            raise
        self.results.append(state)
        return state


class LostStart(HttpWorkers):
    """Worker client that delays all starts and reports no answer."""

    def __init__(self, clock):
        super().__init__(clock)
        self.delayed_starts = []

    async def start(self, address, task, deadline):
        self.delayed_starts.append((address, task))
        raise WorkerUnknown("no answer")


class Entry:
    """The components of one entry that drive jobs."""

    def __init__(self, log, entry_id, peers, workers=HttpWorkers):
        clock = SystemClock()
        self.follower = Follower(log, clock, poll_timeout_seconds=0.05)
        self.publisher = Publisher(log, self.follower, clock)
        self.workers = workers(clock)
        self.jobs = jobs.JobDriver(
            Identity(entry_id, "dc1", "127.0.0.1:0"),
            self.follower,
            self.publisher,
            peers,
            self.workers,
            clock,
        )

    @property
    def tables(self):
        return self.follower.state.tables

    def states(self):
        return [job.state for job in self.tables.job_by_id.values()]

    def job(self, job_id="j0"):
        return self.tables.job_by_id.get(job_id)

    async def publish(self, *changes):
        deadline = time.time() + 20
        results = await self.publisher.publish(changes, deadline)
        assert all(each.accepted for each in results), results


def running_tasks(workers):
    """Returns the ids of the running tasks on worker stand-ins."""
    now = time.time()
    task_ids = []
    for each in workers.values():
        for name, task in each.task_by_id.items():
            task.advance(now)
            if task.state == "running":
                task_ids.append(name)
    return task_ids


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Tests with workers over loopback and short leases."""

    def setUp(self):
        for module, fields in (
            (
                jobs,
                {
                    "BATCH_INTERVAL_SECONDS": 0.05,
                    "RECONCILE_INTERVAL_SECONDS": 0.02,
                },
            ),
            (
                reconciler,
                {
                    "LEASE_DURATION_SECONDS": 1.0,
                    "RENEWAL_THRESHOLD_SECONDS": 0.8,
                    "START_MARGIN_SECONDS": 0.2,
                },
            ),
            (probation, {"INITIAL_DELAY_SECONDS": 0.1}),
        ):
            patch = mock.patch.multiple(module, **fields)
            patch.start()
            self.addCleanup(patch.stop)

    @contextlib.asynccontextmanager
    async def fleet(self, limit=100, entries=("e1",), ports=None, **options):
        """Yields log, peers by entry id, workers by id, and the entries.

        Args:
            limit: limit of the team.
            entries: ids of the entries; "e1" is the initial scheduler.
            ports: class of the worker client by entry id.
            **options: options of the worker stand-ins by id.
        """
        log = FakeLog()
        log.put_changes(put_team(limit=limit), put_data_centre(), put_pool())
        peers_by_id = {each: OneScheduler("e1") for each in entries}
        async with contextlib.AsyncExitStack() as stack:
            workers = await self._start_workers(stack, log, options)
            started = []
            for entry_id in entries:
                log.put_changes(join(entry_id))
                port = (ports or {}).get(entry_id, HttpWorkers)
                entry = Entry(log, entry_id, peers_by_id[entry_id], port)
                stack.push_async_callback(entry.workers.aclose)
                started.append(entry)
            for joiner_id in entries[1:]:
                log.put_changes(join_ack("e1", joiner_id))
            for entry in started:
                tasks = running(entry.follower, entry.jobs)
                await stack.enter_async_context(tasks)
            yield log, peers_by_id, workers, started

    async def _start_workers(self, stack, log, options_by_id):
        """Serves worker stand-ins and puts them into the pool."""
        workers, changes = {}, []
        for instance_id, options in options_by_id.items():
            app = worker.make_app(**options)
            address = await stack.enter_async_context(serve(app))
            workers[instance_id] = app[worker.WORKER]
            size = {"cores": 32, "memory_gb": 64}
            changes.append(put_worker(instance_id, address=address, **size))
        log.put_changes(put_pool("spare"), *changes)
        return workers
