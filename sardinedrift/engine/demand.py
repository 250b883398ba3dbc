"""Computes how many machines each pool needs for its jobs; performs no I/O."""

import math
from collections.abc import Iterable

import msgspec

from sardinedrift.engine.arrivals import ArrivingLoad
from sardinedrift.engine.model import QueuePolicy, Size, Step
from sardinedrift.engine.objectives import misses_objective
from sardinedrift.engine.work import Job
from sardinedrift.identifiers import PoolId, QueueId

# Share of a machine that tasks can use: they rarely fill it completely.
FILL_SHARE = 0.9
# Machines beyond the need, so that the first jobs of a burst start at once.
HEADROOM = 1


class PoolDemand(msgspec.Struct):
    """Resources that the jobs of a pool request now.

    Attributes:
        cpu: millicores of active and startable tasks.
        memory_mb: memory of these tasks in megabytes.
        late_cpu: millicores of the short ones whose jobs miss their objective.
        late_memory_mb: memory of those in megabytes.
        long_running_cpu: millicores of those that run until they are cancelled.
        long_running_memory_mb: memory of those, and of tasks that fill beside
            others, in megabytes.
        min_workers: fewest workers that hold all tasks of every step, given
            the step's limit of tasks per worker.
    """

    cpu: int = 0
    memory_mb: int = 0
    late_cpu: int = 0
    late_memory_mb: int = 0
    long_running_cpu: int = 0
    long_running_memory_mb: int = 0
    min_workers: int = 0

    def add(self, step: Step, count: int, late: bool) -> None:
        """Adds the resources that a number of tasks of a step request."""
        cpu = 0 if step.fills else count * step.size.cpu
        memory_mb = count * step.size.memory_mb
        self.cpu += cpu
        self.memory_mb += memory_mb
        if not step.is_short:
            self.long_running_cpu += cpu
            self.long_running_memory_mb += memory_mb
        elif late:
            self.late_cpu += cpu
            self.late_memory_mb += memory_mb


class MachineNeed(msgspec.Struct, frozen=True):
    """Number of machines that a pool needs.

    Attributes:
        on_time: for work that can still meet its objective, and for work that
            has none.
        total: for all work.
    """

    on_time: int
    total: int

    def at_least(self, machines: int) -> "MachineNeed":
        """Returns this need, raised to a number of machines."""
        return MachineNeed(
            max(self.on_time, machines), max(self.total, machines)
        )


def measure_demand(
    jobs: Iterable[Job], policy_by_id: dict[QueueId, QueuePolicy], now_ms: float
) -> dict[PoolId, PoolDemand]:
    """Returns the demand of each pool.

    Args:
        jobs: the unfinished jobs.
        policy_by_id: the policies of their queues.
        now_ms: current time in Unix ms.
    """
    demand_by_pool: dict[PoolId, PoolDemand] = {}
    for job in jobs:
        policy = policy_by_id.get(job.submission.queue_id)
        if policy is None:
            continue
        demand = demand_by_pool.setdefault(policy.pool_id, PoolDemand())
        demand.min_workers = max(demand.min_workers, _min_workers(job))
        _add_job(demand, job, misses_objective(job, policy, now_ms))
    return demand_by_pool


def _add_job(demand: PoolDemand, job: Job, late: bool) -> None:
    """Adds the active and the startable tasks of a job."""
    if job.waiting:
        for opened in job.opened_steps():
            demand.add(opened.step, opened.remaining, late)
    else:
        for task in job.active.values():
            demand.add(task.step, 1, late)


def _min_workers(job: Job) -> int:
    """Returns how many workers the most widely spread step requires."""
    return max(
        (
            math.ceil(step.count / step.max_per_worker)
            for step in job.submission.steps
            if step.max_per_worker
        ),
        default=0,
    )


def machines_needed(
    demand: PoolDemand, arriving: ArrivingLoad, size: Size
) -> MachineNeed:
    """Returns how many machines of a size a pool needs.

    Long-running tasks keep their machines whatever arrives. Short ones are
    counted once, as they are or at the rate of their arrival.

    Args:
        demand: resources that the pool's jobs request.
        arriving: resources that newly arriving work occupies.
        size: average capacity of a machine.
    """

    def count(late_cpu: int, late_memory_mb: int) -> int:
        cpu = demand.cpu - demand.long_running_cpu - late_cpu
        memory_mb = (
            demand.memory_mb - demand.long_running_memory_mb - late_memory_mb
        )
        cpu = demand.long_running_cpu + max(cpu, arriving.cpu)
        memory_mb = demand.long_running_memory_mb + max(
            memory_mb, arriving.memory_mb
        )
        by_cpu = cpu / max(1.0, size.cpu * FILL_SHARE)
        by_memory = memory_mb / max(1.0, size.memory_mb * FILL_SHARE)
        machines = math.ceil(max(by_cpu, by_memory)) + HEADROOM
        return max(machines, demand.min_workers)

    return MachineNeed(
        count(demand.late_cpu, demand.late_memory_mb), count(0, 0)
    )
