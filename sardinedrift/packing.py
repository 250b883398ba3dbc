"""Chooses workers for waiting jobs by dominant shares and best fit.

See Ghodsi et al., "Dominant Resource Fairness" (2011).
"""

from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from sardinedrift import objects
from sardinedrift.identifiers import InstanceId, JobId, PoolId, TeamId
from sardinedrift.placement import (
    PLACED_STATES,
    RESOURCES,
    free_resources,
    workers_of,
)
from sardinedrift.state import State

# Number of waiting jobs of a team that are tried for one placement. Bounds the
# time spent on a long queue whose first jobs do not fit on any worker.
MAX_LOOK_AHEAD = 32


class Placement(NamedTuple):
    """A job and the worker chosen for it."""

    job_id: JobId
    instance_id: InstanceId


class Packing:
    """Chooses placements for the waiting jobs of one pool.

    Args:
        state: the folded state.
        pool_id: the pool.
        workers: workers that may accept jobs now.
        placement_capacity: returns how many more jobs may be placed on a
            worker now.
    """

    def __init__(
        self,
        state: State,
        pool_id: PoolId,
        workers: Iterable[objects.Instance],
        placement_capacity: Callable[[objects.Instance], int],
    ):
        self._state = state
        self._pool_id = pool_id
        self._worker_by_id = {each.instance_id: each for each in workers}
        self._free_by_id = {
            instance_id: free_resources(state, worker)
            for instance_id, worker in self._worker_by_id.items()
        }
        self._placement_capacity_by_id = {
            instance_id: placement_capacity(worker)
            for instance_id, worker in self._worker_by_id.items()
        }
        self._total = Counter()
        for worker in workers_of(state, pool_id):
            self._total.update({n: getattr(worker, n) for n in RESOURCES})
        self._use_by_team: dict[TeamId, Counter] = defaultdict(Counter)
        self._units_by_team: dict[TeamId, int] = {}

    def placements(
        self, waiting: Iterable[objects.Job], placed: Iterable[objects.Job]
    ) -> Iterator[Placement]:
        """Yields placements in the order in which they should be requested."""
        for job in placed:
            if job.pool_id == self._pool_id and job.state in PLACED_STATES:
                self._add_use(job)
        queue_by_team: dict[TeamId, deque[objects.Job]] = defaultdict(deque)
        for job in sorted(waiting, key=lambda each: each.submitted):
            queue_by_team[job.team_id].append(job)
        for team_id in queue_by_team:
            units = self._state.unallocated(team_id)
            self._units_by_team[team_id] = units
        while queue_by_team:
            team_id = min(queue_by_team, key=self._weighted_share)
            placement = self._next_placement(team_id, queue_by_team[team_id])
            if placement is None:
                del queue_by_team[team_id]
            else:
                yield placement

    def _next_placement(
        self, team_id: TeamId, queue: deque[objects.Job]
    ) -> Placement | None:
        if self._units_by_team[team_id] < 1:
            return None
        for _ in range(min(MAX_LOOK_AHEAD, len(queue))):
            job = queue.popleft()
            instance_id = self._best_fit(job)
            if instance_id is None:
                continue
            self._units_by_team[team_id] -= 1
            self._placement_capacity_by_id[instance_id] -= 1
            free = self._free_by_id[instance_id]
            for name in RESOURCES:
                free[name] -= getattr(job, name)
            self._add_use(job)
            return Placement(job.job_id, instance_id)
        return None

    def _best_fit(self, job: objects.Job) -> InstanceId | None:
        """Returns the worker on which the job leaves the least free, if any."""
        avoided = self._avoided(job)
        fitting = [
            instance_id
            for instance_id, free in self._free_by_id.items()
            if self._placement_capacity_by_id[instance_id] > 0
            and instance_id not in avoided
            and all(getattr(job, name) <= free[name] for name in RESOURCES)
        ]
        return min(
            fitting,
            key=lambda each: (self._free_fraction(each, job), each),
            default=None,
        )

    def _avoided(self, job: objects.Job) -> set[InstanceId]:
        """Returns the workers on which a job failed, if another can run it."""
        failed_on = set(job.failed_on)
        if not failed_on:
            return failed_on
        others = (
            worker
            for worker in workers_of(self._state, self._pool_id)
            if worker.instance_id not in failed_on
            and all(getattr(job, n) <= getattr(worker, n) for n in RESOURCES)
        )
        return failed_on if any(others) else set()

    def _free_fraction(
        self, instance_id: InstanceId, job: objects.Job
    ) -> float:
        free = self._free_by_id[instance_id]
        return sum(
            (free[name] - getattr(job, name)) / self._total[name]
            for name in RESOURCES
            if self._total[name]
        )

    def _add_use(self, job: objects.Job) -> None:
        use = self._use_by_team[job.team_id]
        use.update({name: getattr(job, name) for name in RESOURCES})

    def _weighted_share(self, team_id: TeamId) -> tuple[float, TeamId]:
        """Returns the dominant share of a team divided by its weight."""
        use = self._use_by_team[team_id]
        dominant = max(
            use[name] / self._total[name] if self._total[name] else 0.0
            for name in RESOURCES
        )
        weight = self._state.share_of(team_id, self._pool_id)
        return dominant / weight, team_id
