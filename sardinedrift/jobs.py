"""Driver of jobs: places waiting jobs and tracks the placed ones.

The scheduler of a pool in a data centre drives the workers of the pool there.
Two concurrent drivers are safe: the fold accepts one placement of a job, and a
worker accepts starts under the newest lease only.
"""

import asyncio
import contextlib
import itertools
import random
import uuid
from collections.abc import Iterator

from sardinedrift import changes as ch
from sardinedrift import objects
from sardinedrift.batches import BatchPublisher
from sardinedrift.follower import Follower
from sardinedrift.identifiers import (
    ChangeId,
    EntryId,
    Identity,
    InstanceId,
    InstanceKind,
    JobState,
    PoolId,
)
from sardinedrift.packing import Packing
from sardinedrift.peers import Peers
from sardinedrift.placement import PLACED_STATES
from sardinedrift.ports import Clock, WorkerPort
from sardinedrift.publisher import Publisher
from sardinedrift.reconciler import WorkerReconciler

# At most one record is appended per interval, whatever the number of changes.
BATCH_INTERVAL_SECONDS = 0.5
# Keeps one record below the size of a snapshot chunk.
MAX_CHANGES_PER_BATCH = 300
# Interval at which a worker with orders is reconciled.
RECONCILE_INTERVAL_SECONDS = 0.25
# Minimum interval, before jitter, for a worker without orders.
MIN_IDLE_INTERVAL_SECONDS = 1.5
# A pass over a worker costs about 0.7 ms of CPU time, and control traffic may
# use 1.4 % of a core.
MAX_IDLE_PASSES_PER_SECOND = 10.0
_MIN_JITTER_FACTOR = 0.75
# Tables that determine whether a worker has orders.
_ORDER_TABLES = ("job_by_id", "instance_by_id", "worker_use_by_instance")


class JobDriver:
    """Drives the jobs of the pools that this entry schedules.

    Args:
        identity: this entry.
        follower: holds the folded state.
        publisher: appends changes.
        peers: names the scheduler of a pool and the live entries.
        workers: sends the orders.
        clock: source of the time.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        publisher: Publisher,
        peers: Peers,
        workers: WorkerPort,
        clock: Clock,
    ):
        self._identity = identity
        self._follower = follower
        self._peers = peers
        self._workers = workers
        self._clock = clock
        self._random = random.Random()
        self._reconciler_by_id: dict[InstanceId, WorkerReconciler] = {}
        self._wakeup_by_id: dict[InstanceId, asyncio.Event] = {}
        self._order_tables_version: tuple = ()
        self._task_by_id: dict[InstanceId, asyncio.Task] = {}
        self._open_jobs_version: tuple[int, int] | None = None
        self._open_jobs: list[objects.Job] = []
        self._batches = BatchPublisher(publisher, clock, "job changes")

    async def run(self) -> None:
        """Drives jobs until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._wake_reconcilers())
            while True:
                self._update_reconcilers(tasks)
                batch = list(
                    itertools.islice(self.due_changes(), MAX_CHANGES_PER_BATCH)
                )
                if batch:
                    await self._batches.publish(batch)
                await asyncio.sleep(BATCH_INTERVAL_SECONDS)

    def due_changes(self) -> Iterator[ch.AnyChange]:
        """Yields the changes to publish now."""
        for reconciler in self._reconciler_by_id.values():
            yield from reconciler.pending_changes
        jobs = self._current_open_jobs()
        yield from self._expirations(jobs)
        yield from self._placements(jobs)

    def _update_reconcilers(self, tasks: asyncio.TaskGroup) -> None:
        """Starts and stops reconcilers as the workers of this entry change."""
        wanted = set(self._scheduled_workers())
        for instance_id in self._reconciler_by_id.keys() - wanted:
            del self._reconciler_by_id[instance_id]
            del self._wakeup_by_id[instance_id]
            self._task_by_id.pop(instance_id).cancel()
        for instance_id in wanted - self._reconciler_by_id.keys():
            reconciler = WorkerReconciler(
                self._identity.entry_id,
                instance_id,
                self._follower,
                self._workers,
                self._clock,
                self._is_live,
            )
            wakeup = asyncio.Event()
            self._reconciler_by_id[instance_id] = reconciler
            self._wakeup_by_id[instance_id] = wakeup
            self._task_by_id[instance_id] = tasks.create_task(
                self._reconcile_periodically(reconciler, wakeup)
            )

    async def _reconcile_periodically(
        self, reconciler: WorkerReconciler, wakeup: asyncio.Event
    ) -> None:
        """Reconciles a worker, at a short interval while it has orders."""
        while True:
            wakeup.clear()
            await reconciler.reconcile()
            if reconciler.has_orders():
                await asyncio.sleep(RECONCILE_INTERVAL_SECONDS)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._idle_interval()):
                    await wakeup.wait()

    def _idle_interval(self) -> float:
        """Returns the seconds until a worker without orders is reconciled.

        The interval grows with the number of workers, and has jitter so that
        the passes are spread over time.
        """
        workers = len(self._reconciler_by_id)
        interval = max(
            MIN_IDLE_INTERVAL_SECONDS, workers / MAX_IDLE_PASSES_PER_SECOND
        )
        return interval * self._random.uniform(_MIN_JITTER_FACTOR, 1.0)

    async def _wake_reconcilers(self) -> None:
        """Wakes the reconcilers of workers that have new orders."""
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_SECONDS)
            state = self._follower.state
            counts = state.version_by_table
            version = (id(state), *(counts[each] for each in _ORDER_TABLES))
            if version == self._order_tables_version:
                continue
            self._order_tables_version = version
            for instance_id, reconciler in self._reconciler_by_id.items():
                if reconciler.has_orders():
                    self._wakeup_by_id[instance_id].set()

    def _scheduled_workers(self) -> Iterator[InstanceId]:
        here = self._identity.data_centre_id
        scheduler_by_pool = {}
        for instance in self._follower.state.instances_in(here):
            if instance.kind is not InstanceKind.WORKER:
                continue
            pool_id = instance.pool_id
            if pool_id not in scheduler_by_pool:
                scheduler_by_pool[pool_id] = self._peers.scheduler(pool_id)
            if scheduler_by_pool[pool_id] == self._identity.entry_id:
                yield instance.instance_id

    def _is_live(self, entry_id: EntryId) -> bool:
        return entry_id in self._peers.live(self._identity.data_centre_id)

    def _current_open_jobs(self) -> list[objects.Job]:
        """Returns the jobs that have not ended."""
        state = self._follower.state
        version = (id(state), state.version_by_table["job_by_id"])
        if version != self._open_jobs_version:
            self._open_jobs_version = version
            self._open_jobs = [
                job
                for job in state.tables.job_by_id.values()
                if job.state is JobState.WAITING or job.state in PLACED_STATES
            ]
        return self._open_jobs

    def _expirations(self, jobs: list[objects.Job]) -> Iterator[ch.ExpireJob]:
        now = self._clock.now()
        for job in jobs:
            waiting = job.state is JobState.WAITING
            if waiting and job.deadline is not None and job.deadline <= now:
                yield ch.ExpireJob(
                    change_id=_new_change_id(), job_id=job.job_id
                )

    def _placements(self, jobs: list[objects.Job]) -> Iterator[ch.PlaceJob]:
        for pool_id in {
            job.pool_id for job in jobs if job.state is JobState.WAITING
        }:
            yield from self._placements_in(pool_id, jobs)

    def _placements_in(
        self, pool_id: PoolId, jobs: list[objects.Job]
    ) -> Iterator[ch.PlaceJob]:
        state = self._follower.state
        here = self._identity.data_centre_id
        workers = [
            each
            for each in state.instances_at(here, pool_id)
            if each.instance_id in self._reconciler_by_id and each.available
        ]
        if not workers:
            return
        packing = Packing(
            state,
            pool_id,
            workers,
            lambda each: self._reconciler_by_id[
                each.instance_id
            ].placement_capacity(),
        )
        waiting = [
            job
            for job in jobs
            if job.pool_id == pool_id and job.state is JobState.WAITING
        ]
        for placement in packing.placements(waiting, jobs):
            reconciler = self._reconciler_by_id[placement.instance_id]
            yield ch.PlaceJob(
                change_id=_new_change_id(),
                job_id=placement.job_id,
                instance_id=placement.instance_id,
                worker_lease=reconciler.lease,
            )


def _new_change_id() -> ChangeId:
    return ChangeId(uuid.uuid4().hex)
