"""Driver of jobs: places waiting jobs and follows the placed ones.

The scheduler of a pool in a data centre drives the workers of the pool there.
Two drivers at once are harmless: the fold accepts one place for a job, and a
worker takes orders to start from the newest lease only.
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
from sardinedrift.guards import Guard
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

# One record at most in this time, however many jobs come and go.
BATCH_SECONDS = 0.5
# Keeps one record below the size of a snapshot chunk.
MOST_PER_BATCH = 300
# A worker with orders is visited this often.
VISIT_SECONDS = 0.25
# A worker without orders is visited at least this long after.
REST_SECONDS = 1.5
# A visit costs about 0.7 ms of CPU time, and control may use 1.4 % of a core.
RESTING_VISITS_PER_SECOND = 10.0
_LEAST_REST = 0.75
# What decides whether a worker has orders.
_ORDER_TABLES = ("job_by_id", "instance_by_id", "worker_use_by_instance")


class JobDriver:
    """Drives the jobs of the pools that this entry schedules.

    Args:
        identity: this entry.
        follower: holds the folded state.
        publisher: appends changes.
        peers: tells the scheduler of a pool and the live entries.
        workers: takes the orders.
        clock: current time.
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
        self._guard_by_id: dict[InstanceId, Guard] = {}
        self._wake_by_id: dict[InstanceId, asyncio.Event] = {}
        self._orders_key: tuple = ()
        self._task_by_id: dict[InstanceId, asyncio.Task] = {}
        self._jobs_key: tuple[int, int] | None = None
        self._open_jobs: list[objects.Job] = []
        self._batches = BatchPublisher(publisher, clock, "changes of jobs")

    async def run(self) -> None:
        """Drives jobs until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch())
            while True:
                self._update_guards(tasks)
                batch = list(itertools.islice(self.due(), MOST_PER_BATCH))
                if batch:
                    await self._batches.publish(batch)
                await asyncio.sleep(BATCH_SECONDS)

    def due(self) -> Iterator[ch.AnyChange]:
        """Yields the changes to publish now."""
        for guard in self._guard_by_id.values():
            yield from guard.pending
        jobs = self._jobs()
        yield from self._expired(jobs)
        yield from self._places(jobs)

    def _update_guards(self, tasks: asyncio.TaskGroup) -> None:
        """Has one task for each worker that this entry drives."""
        wanted = set(self._driven())
        for instance_id in self._guard_by_id.keys() - wanted:
            del self._guard_by_id[instance_id]
            del self._wake_by_id[instance_id]
            self._task_by_id.pop(instance_id).cancel()
        for instance_id in wanted - self._guard_by_id.keys():
            guard = Guard(
                self._identity.entry_id,
                instance_id,
                self._follower,
                self._workers,
                self._clock,
                self._is_live,
            )
            wake = asyncio.Event()
            self._guard_by_id[instance_id] = guard
            self._wake_by_id[instance_id] = wake
            self._task_by_id[instance_id] = tasks.create_task(
                self._attend(guard, wake)
            )

    async def _attend(self, guard: Guard, wake: asyncio.Event) -> None:
        """Visits a worker often while it has orders, else now and then."""
        while True:
            wake.clear()
            await guard.visit()
            if guard.has_orders():
                await asyncio.sleep(VISIT_SECONDS)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._rest()):
                    await wake.wait()

    def _rest(self) -> float:
        """Returns the seconds until a worker without orders is visited.

        They grow with the workers of this entry, and vary so that the visits
        do not come all at once.
        """
        workers = len(self._guard_by_id)
        rest = max(REST_SECONDS, workers / RESTING_VISITS_PER_SECOND)
        return rest * self._random.uniform(_LEAST_REST, 1.0)

    async def _watch(self) -> None:
        """Wakes the visits of workers for which orders have come up."""
        while True:
            await asyncio.sleep(VISIT_SECONDS)
            state = self._follower.state
            counts = state.version_by_table
            key = (id(state), *(counts[each] for each in _ORDER_TABLES))
            if key == self._orders_key:
                continue
            self._orders_key = key
            for instance_id, guard in self._guard_by_id.items():
                if guard.has_orders():
                    self._wake_by_id[instance_id].set()

    def _driven(self) -> Iterator[InstanceId]:
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

    def _jobs(self) -> list[objects.Job]:
        """Returns the jobs that have not ended."""
        state = self._follower.state
        key = (id(state), state.version_by_table["job_by_id"])
        if key != self._jobs_key:
            self._jobs_key = key
            self._open_jobs = [
                job
                for job in state.tables.job_by_id.values()
                if job.state is JobState.WAITING or job.state in PLACED_STATES
            ]
        return self._open_jobs

    def _expired(self, jobs: list[objects.Job]) -> Iterator[ch.ExpireJob]:
        now = self._clock.now()
        for job in jobs:
            waiting = job.state is JobState.WAITING
            if waiting and job.deadline is not None and job.deadline <= now:
                yield ch.ExpireJob(change_id=_fresh_id(), job_id=job.job_id)

    def _places(self, jobs: list[objects.Job]) -> Iterator[ch.PlaceJob]:
        for pool_id in {
            job.pool_id for job in jobs if job.state is JobState.WAITING
        }:
            yield from self._places_in(pool_id, jobs)

    def _places_in(
        self, pool_id: PoolId, jobs: list[objects.Job]
    ) -> Iterator[ch.PlaceJob]:
        state = self._follower.state
        here = self._identity.data_centre_id
        workers = [
            each
            for each in state.instances_at(here, pool_id)
            if each.instance_id in self._guard_by_id and each.available
        ]
        if not workers:
            return
        packing = Packing(
            state,
            pool_id,
            workers,
            lambda each: self._guard_by_id[each.instance_id].room(),
        )
        waiting = [
            job
            for job in jobs
            if job.pool_id == pool_id and job.state is JobState.WAITING
        ]
        for place in packing.placements(waiting, jobs):
            guard = self._guard_by_id[place.instance_id]
            yield ch.PlaceJob(
                change_id=_fresh_id(),
                job_id=place.job_id,
                instance_id=place.instance_id,
                worker_lease=guard.lease,
            )


def _fresh_id() -> ChangeId:
    return ChangeId(uuid.uuid4().hex)
