"""Selects tasks to start and workers to run them; performs no I/O."""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import msgspec

from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.model import Queue, Size, Team, WorkerId
from sardinedrift.engine.task import Task
from sardinedrift.engine.work import Job, critical_path_ms
from sardinedrift.identifiers import PoolId, QueueId, TeamId


class Assignment(msgspec.Struct, frozen=True):
    """Decision to start a task on a worker."""

    task: Task
    worker_id: WorkerId


class TeamShare(NamedTuple):
    """Resource use of one client account against its limits.

    Attributes:
        cpu: millicores in use.
        limit_cpu: limit in millicores; 0 means unlimited.
        limit_utilisation: highest ratio of use to limit over all resources;
            0 without limits.
    """

    team_id: TeamId
    cpu: int
    limit_cpu: int
    limit_utilisation: float


class TeamUse:
    """Resources in use by the running tasks of each client account.

    Attributes:
        team_by_id: client accounts with their limits and weights.
    """

    def __init__(self, team_by_id: dict[TeamId, Team]):
        self.team_by_id = team_by_id
        self._use_by_team: dict[TeamId, list[int]] = {}

    def add(self, team_id: TeamId, size: Size, sign: int = 1) -> None:
        """Adds the resources of a task; a `sign` of -1 subtracts them."""
        use = self._use_by_team.setdefault(team_id, [0, 0, 0])
        use[0] += sign * size.cpu
        use[1] += sign * size.memory_mb
        use[2] += sign * size.accelerators

    def shares(self) -> Iterator[TeamShare]:
        """Yields the use of each client account against its limits."""
        for team_id, use in self._use_by_team.items():
            team = self.team_by_id.get(team_id)
            limit = team.limit if team else Size()
            pairs = zip(
                use,
                (limit.cpu, limit.memory_mb, limit.accelerators),
                strict=True,
            )
            limit_utilisation = max(
                (used / maximum for used, maximum in pairs if maximum),
                default=0.0,
            )
            yield TeamShare(team_id, use[0], limit.cpu, limit_utilisation)

    def allows(self, team_id: TeamId, size: Size) -> bool:
        """Whether a task of a size fits into an account's limit."""
        team = self.team_by_id.get(team_id)
        if team is None:
            return True
        use = self._use_by_team.get(team_id, (0, 0, 0))
        limit = team.limit
        return all(
            not maximum or used + requested <= maximum
            for maximum, used, requested in zip(
                (limit.cpu, limit.memory_mb, limit.accelerators),
                use,
                (size.cpu, size.memory_mb, size.accelerators),
                strict=True,
            )
        )

    def weighted_cpu(self, team_id: TeamId) -> float:
        """Returns the millicores in use divided by the account's weight."""
        team = self.team_by_id.get(team_id)
        weight = team.weight if team and team.weight > 0 else 1.0
        return self._use_by_team.get(team_id, (0, 0, 0))[0] / weight


def group_by_pool(
    jobs: Iterable[Job], queue_by_id: dict[QueueId, Queue]
) -> dict[PoolId, list[Job]]:
    """Returns the jobs with startable tasks, keyed by their queue's pool."""
    jobs_by_pool: dict[PoolId, list[Job]] = {}
    for job in jobs:
        queue = queue_by_id.get(job.submission.queue_id)
        if queue is not None and job.waiting and not job.ended:
            jobs_by_pool.setdefault(queue.pool_id, []).append(job)
    return jobs_by_pool


def order_jobs(
    jobs: Iterable[Job], queue_by_id: dict[QueueId, Queue], use: TeamUse
) -> list[Job]:
    """Returns jobs in the order in which their tasks are placed.

    The order is by priority number (lowest first), then long-running jobs
    before others, then by the client account's use in proportion to its weight
    (least first), then by completion objective (earliest first).
    """

    def rank(job: Job) -> tuple:
        submission = job.submission
        queue = queue_by_id[submission.queue_id]
        long_running = any(step.long_running for step in submission.steps)
        return (
            queue.priority,
            not long_running,
            use.weighted_cpu(submission.team_id),
            objective_ms(job, queue),
        )

    return sorted(jobs, key=rank)


def objective_ms(job: Job, queue: Queue) -> float:
    """Returns the time by which a job should complete, in Unix ms."""
    submission = job.submission
    start_ms = submission.accepted_ms
    if submission.repeats:
        start_ms = submission.start_ms
    chain = critical_path_ms(submission.steps)
    return start_ms + queue.stretch * chain + queue.latency_ms


def plan_pool(
    jobs: list[Job],
    workers: list[Worker],
    use: TeamUse,
    now: float,
    permitted_workers: Callable[[Task], frozenset[WorkerId] | None],
) -> Iterator[Assignment]:
    """Yields assignments for a pool.

    The caller must apply each assignment before it requests the next one.

    Args:
        jobs: jobs with startable tasks, in placement order.
        workers: workers of the pool.
        use: use of the client accounts, updated by the caller.
        now: boot-time clock in seconds.
        permitted_workers: returns the workers that the advice service permits
            for a task; None permits all.
    """
    candidates = _Candidates(
        worker for worker in workers if worker.accepts_work(now)
    )
    for job in jobs:
        unplaced_steps: set[int] = set()
        for task in list(job.waiting.values()):
            if (
                task.task_id not in job.waiting
                or task.task_id.step in unplaced_steps
            ):
                continue
            if task.step.gang:
                group = candidates.all()
                yield from _plan_gang(task, group, use, now, permitted_workers)
                unplaced_steps.add(task.task_id.step)
                continue
            worker = _choose(
                task, candidates, use, now, permitted_workers(task)
            )
            if worker is None:
                unplaced_steps.add(task.task_id.step)
            else:
                yield Assignment(task, worker.worker_id)


class _Candidates:
    """Workers that accept new tasks, split into occupied and empty ones.

    Empty workers are kept in tie-break order: the first that fits without a
    drawback is the best one, so a large pool is not scanned for each task.
    """

    def __init__(self, workers: Iterable[Worker]):
        self._occupied: list[Worker] = []
        self._empty: list[Worker] = []
        for worker in workers:
            (self._occupied if worker.run_by_task else self._empty).append(
                worker
            )
        self._empty.sort(key=lambda each: (each.free.cpu, each.worker_id))

    def all(self) -> list[Worker]:
        """Returns all candidates."""
        return [*self._occupied, *self._empty]

    def best(self, task: Task, fits: Callable[[Worker], bool]) -> Worker | None:
        """Returns the worker of least cost that fits a task, if any."""
        best = min(
            filter(fits, self._occupied),
            key=lambda each: _cost(task, each),
            default=None,
        )
        # An occupied worker without a drawback precedes all empty ones.
        if best is not None and not any(_drawbacks(task, best)):
            return best
        empty = self._best_empty(task, fits)
        if empty is None:
            return best
        if best is not None and _cost(task, best) < _cost(task, empty):
            return best
        self._empty.remove(empty)
        self._occupied.append(empty)
        return empty

    def _best_empty(
        self, task: Task, fits: Callable[[Worker], bool]
    ) -> Worker | None:
        fitting = filter(fits, self._empty)
        with_drawbacks = []
        for worker in fitting:
            if not any(_drawbacks(task, worker)):
                return worker
            with_drawbacks.append(worker)
        return min(
            with_drawbacks, key=lambda each: _cost(task, each), default=None
        )


def _choose(
    task: Task,
    candidates: _Candidates,
    use: TeamUse,
    now: float,
    permitted: frozenset[WorkerId] | None,
) -> Worker | None:
    if not use.allows(task.job.submission.team_id, task.step.size):
        return None

    def fits(worker: Worker) -> bool:
        return (
            worker.can_fit(task)
            and worker.accepts_work(now)
            and worker.can_fit_when_empty(task)
            and (permitted is None or worker.worker_id in permitted)
        )

    return candidates.best(task, fits)


def _drawbacks(task: Task, worker: Worker) -> tuple[bool, ...]:
    """Returns flags that count against a worker, most serious first."""
    step = task.step
    data_is_remote = bool(step.data_rack) and step.data_rack not in (
        worker.registered.labels
    )
    return (
        worker.worker_id in task.failed_on,
        data_is_remote,
        worker.last_run_failed,
        step.fills and worker.serving_count > 0,
        step.target_ms > 0 and worker.filler_count > 0,
    )


def _cost(task: Task, worker: Worker) -> tuple:
    return (
        *_drawbacks(task, worker),
        # Prefers workers with long-running tasks, then occupied workers, then
        # the fullest ones: other workers become empty, so that their machines
        # can move to other pools.
        not worker.long_running_count,
        not worker.run_by_task,
        worker.free.cpu,
        worker.worker_id,
    )


def _plan_gang(
    task: Task,
    candidates: list[Worker],
    use: TeamUse,
    now: float,
    permitted_workers: Callable[[Task], frozenset[WorkerId] | None],
) -> Iterator[Assignment]:
    """Yields assignments for all members of a gang, or for none."""
    members = [
        each
        for each in task.job.siblings(task)
        if each.task_id in task.job.waiting
    ]
    if len(members) < task.step.count:
        return
    racks = {worker.registered.rack for worker in candidates}
    groups = [
        [worker for worker in candidates if worker.registered.rack == rack]
        for rack in sorted(racks)
    ]
    if not task.step.rack_sensitive:
        groups = []
    for group in [*groups, candidates]:
        chosen = _fit_gang(members, group, use, now, permitted_workers)
        if chosen:
            yield from chosen
            return


def _fit_gang(
    members: list[Task],
    workers: list[Worker],
    use: TeamUse,
    now: float,
    permitted_workers: Callable[[Task], frozenset[WorkerId] | None],
) -> list[Assignment]:
    """Returns assignments for all members, or an empty list."""
    step, count = members[0].step, len(members)
    total = Size(
        step.size.cpu * count,
        step.size.memory_mb * count,
        step.size.accelerators * count,
    )
    if not use.allows(members[0].job.submission.team_id, total):
        return []
    permitted = permitted_workers(members[0])
    places = (
        worker
        for worker in sorted(workers, key=lambda each: _cost(members[0], each))
        if worker.accepts_work(now)
        and worker.can_fit_when_empty(members[0])
        and (permitted is None or worker.worker_id in permitted)
        for _ in range(_count_fitting(members[0], worker))
    )
    chosen = [
        Assignment(member, worker.worker_id)
        for member, worker in zip(members, places, strict=False)
    ]
    return chosen if len(chosen) == count else []


def _count_fitting(task: Task, worker: Worker) -> int:
    """Returns how many tasks of this step fit on a worker now."""
    size, free, step = task.step.size, worker.free, task.step
    resources = [
        (0 if step.fills else size.cpu, free.cpu),
        (size.memory_mb, free.memory_mb),
        (size.accelerators, free.accelerators),
    ]
    counts = [
        available // required
        for required, available in resources
        if required > 0
    ]
    if step.max_per_worker:
        counts.append(step.max_per_worker - worker.count_of_step(task))
    return max(0, min(counts, default=step.count))
