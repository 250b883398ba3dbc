"""How many machines each pool needs, from its jobs; without a network."""

import collections
import math
from collections.abc import Iterable

import msgspec

from sardinedrift.engine.model import Queue, Submission
from sardinedrift.engine.work import Job
from sardinedrift.identifiers import PoolId, QueueId

# Work that arrives is averaged over the last second, and at the beginning of a
# burst over its first part: a machine takes longer than that to come.
ARRIVAL_WINDOW_S = 1.0
ONSET_WINDOW_S = 0.3
# Fewer jobs than this say nothing about a rate.
LEAST_ARRIVALS = 4
# Tasks do not fill machines to the last core.
FILL_SHARE = 0.9
# Free machines beyond the need, so that the first jobs of a burst start.
HEADROOM = 1


class PoolDemand(msgspec.Struct):
    """What the jobs of a pool ask for now.

    Attributes:
        cpu: thousandths of cores of active and startable tasks.
        memory_mb: their memory.
        spread: workers that the widest step needs at least.
    """

    cpu: int = 0
    memory_mb: int = 0
    spread: int = 0


class Arrival(msgspec.Struct, frozen=True):
    """A job that came; `work` in seconds of cpu thousandths."""

    at: float
    work: float


class ArrivalMeter:
    """Work that arrived lately, by pool."""

    def __init__(self) -> None:
        self._arrivals_by_pool: dict[PoolId, collections.deque[Arrival]] = {}

    def record(
        self, pool_id: PoolId, submission: Submission, at: float
    ) -> None:
        """Takes a new job into account."""
        arrivals = self._arrivals_by_pool.setdefault(
            pool_id, collections.deque()
        )
        arrivals.append(Arrival(at, work_of(submission)))

    def arriving_cpu(self, pool_id: PoolId, now: float) -> float:
        """Returns the cpu that the present arrivals keep busy."""
        arrivals = self._arrivals_by_pool.get(pool_id)
        if not arrivals:
            return 0.0
        while arrivals and now - arrivals[0].at > ARRIVAL_WINDOW_S:
            arrivals.popleft()
        onset = [each for each in arrivals if now - each.at <= ONSET_WINDOW_S]
        if len(onset) >= LEAST_ARRIVALS and 2 * len(onset) > len(arrivals):
            return sum(each.work for each in onset) / ONSET_WINDOW_S
        if len(arrivals) >= LEAST_ARRIVALS:
            return sum(each.work for each in arrivals) / ARRIVAL_WINDOW_S
        return 0.0


def work_of(submission: Submission) -> float:
    """Returns the estimated work of a job, in seconds of cpu thousandths."""
    return sum(
        step.count * step.size.cpu * step.estimate_ms / 1000
        for step in submission.steps
        if not step.long_running and not step.fills
    )


def measure_demand(
    jobs: Iterable[Job], queue_by_id: dict[QueueId, Queue]
) -> dict[PoolId, PoolDemand]:
    """Returns the demand of each pool."""
    demand_by_pool: dict[PoolId, PoolDemand] = {}
    for job in jobs:
        queue = queue_by_id.get(job.submission.queue_id)
        if queue is None:
            continue
        demand = demand_by_pool.setdefault(queue.pool_id, PoolDemand())
        demand.spread = max(demand.spread, _spread_of(job))
        for tasks in (job.waiting, job.active):
            for task in tasks.values():
                step = task.step
                demand.cpu += 0 if step.fills else step.size.cpu
                demand.memory_mb += step.size.memory_mb
    return demand_by_pool


def _spread_of(job: Job) -> int:
    """Returns on how many workers the tasks of a step must stand at least."""
    return max(
        (
            math.ceil(step.count / step.max_per_worker)
            for step in job.submission.steps
            if step.max_per_worker
        ),
        default=0,
    )


def machines_needed(
    demand: PoolDemand, arriving_cpu: float, cpu: int, memory_mb: int
) -> int:
    """Returns how many machines of a size a pool needs.

    Args:
        demand: what its jobs ask for.
        arriving_cpu: cpu that the present arrivals keep busy.
        cpu: thousandths of cores of one machine.
        memory_mb: memory of one machine.
    """
    wanted = max(demand.cpu, arriving_cpu) / max(1.0, cpu * FILL_SHARE)
    memory = demand.memory_mb / max(1.0, memory_mb * FILL_SHARE)
    return max(math.ceil(max(wanted, memory)) + HEADROOM, demand.spread)
