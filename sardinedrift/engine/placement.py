"""Choice of the tasks to start and of their workers, without a network."""

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
    """Use of one client account.

    Attributes:
        cpu: thousandths of cores in use.
        limit_cpu: most of them; 0 for any.
        limit_utilisation: largest used share of a limit; 0 without limits.
    """

    team_id: TeamId
    cpu: int
    limit_cpu: int
    limit_utilisation: float


class TeamUse:
    """What each client account has running, against its upper limit.

    Attributes:
        team_by_id: the client accounts with their limits and weights.
    """

    def __init__(self, team_by_id: dict[TeamId, Team]):
        self.team_by_id = team_by_id
        self._use_by_team: dict[TeamId, list[int]] = {}

    def add(self, team_id: TeamId, size: Size, sign: int = 1) -> None:
        """Adds what a task takes."""
        use = self._use_by_team.setdefault(team_id, [0, 0, 0])
        use[0] += sign * size.cpu
        use[1] += sign * size.memory_mb
        use[2] += sign * size.accelerators

    def shares(self) -> Iterator[TeamShare]:
        """Yields what each account uses of its upper limit."""
        for team_id, use in self._use_by_team.items():
            team = self.team_by_id.get(team_id)
            limit = team.limit if team else Size()
            pairs = zip(
                use,
                (limit.cpu, limit.memory_mb, limit.accelerators),
                strict=True,
            )
            limit_utilisation = max(
                (used / most for used, most in pairs if most), default=0.0
            )
            yield TeamShare(team_id, use[0], limit.cpu, limit_utilisation)

    def allows(self, team_id: TeamId, size: Size) -> bool:
        """Whether the limit of a client account admits one more task."""
        team = self.team_by_id.get(team_id)
        if team is None:
            return True
        use = self._use_by_team.get(team_id, (0, 0, 0))
        limit = team.limit
        return all(
            not most or used + more <= most
            for most, used, more in zip(
                (limit.cpu, limit.memory_mb, limit.accelerators),
                use,
                (size.cpu, size.memory_mb, size.accelerators),
                strict=True,
            )
        )

    def weighted(self, team_id: TeamId) -> float:
        """Returns the cpu in use, divided by the account's weight."""
        team = self.team_by_id.get(team_id)
        weight = team.weight if team and team.weight > 0 else 1.0
        return self._use_by_team.get(team_id, (0, 0, 0))[0] / weight


def group_by_pool(
    jobs: Iterable[Job], queue_by_id: dict[QueueId, Queue]
) -> dict[PoolId, list[Job]]:
    """Returns the jobs with startable tasks, by the pool of their queue."""
    jobs_by_pool: dict[PoolId, list[Job]] = {}
    for job in jobs:
        queue = queue_by_id.get(job.submission.queue_id)
        if queue is not None and job.waiting and not job.ended:
            jobs_by_pool.setdefault(queue.pool_id, []).append(job)
    return jobs_by_pool


def order_jobs(
    jobs: Iterable[Job], queue_by_id: dict[QueueId, Queue], use: TeamUse
) -> list[Job]:
    """Returns jobs in the order in which their tasks are to start.

    Lower priority numbers come first, then long-running work, then the client
    account with the least use for its weight, then the earliest objective.
    """

    def rank(job: Job) -> tuple:
        submission = job.submission
        queue = queue_by_id[submission.queue_id]
        lasting = any(step.long_running for step in submission.steps)
        return (
            queue.priority,
            not lasting,
            use.weighted(submission.team_id),
            objective_ms(job, queue),
        )

    return sorted(jobs, key=rank)


def objective_ms(job: Job, queue: Queue) -> float:
    """Returns when a job should be completed, in unix milliseconds."""
    submission = job.submission
    begin = submission.accepted_ms
    if submission.repeats:
        begin = submission.start_ms
    chain = critical_path_ms(submission.steps)
    return begin + queue.stretch * chain + queue.latency_ms


def plan_pool(
    jobs: list[Job],
    workers: list[Worker],
    use: TeamUse,
    now: float,
    tickets: Callable[[Task], frozenset[WorkerId] | None],
) -> Iterator[Assignment]:
    """Yields starts for a pool; the caller applies each before the next.

    Args:
        jobs: jobs with startable tasks, in order.
        workers: workers of the pool.
        use: use of the client accounts, updated by the caller.
        now: boot-time clock in seconds.
        tickets: workers that advice permits for a task; None for any.
    """
    candidates = _Candidates(
        worker for worker in workers if worker.accepts_work(now)
    )
    for job in jobs:
        refused: set[int] = set()
        for task in list(job.waiting.values()):
            if task.task_id not in job.waiting or task.task_id.step in refused:
                continue
            if task.step.gang:
                group = candidates.all()
                yield from _plan_gang(task, group, use, now, tickets)
                refused.add(task.task_id.step)
                continue
            worker = _choose(task, candidates, use, now, tickets(task))
            if worker is None:
                refused.add(task.task_id.step)
            else:
                yield Assignment(task, worker.worker_id)


class _Candidates:
    """Workers that may take tasks: those in use, and the empty ones.

    The empty ones are kept in the order in which equal ones are chosen, so
    that a large pool of them is not looked through for each task.
    """

    def __init__(self, workers: Iterable[Worker]):
        self._used: list[Worker] = []
        self._empty: list[Worker] = []
        for worker in workers:
            (self._used if worker.run_by_task else self._empty).append(worker)
        self._empty.sort(key=lambda each: (each.free.cpu, each.worker_id))

    def all(self) -> list[Worker]:
        """Returns all of them."""
        return [*self._used, *self._empty]

    def best(self, task: Task, fits: Callable[[Worker], bool]) -> Worker | None:
        """Returns the cheapest worker that fits a task."""
        best = min(
            filter(fits, self._used),
            key=lambda each: _cost(task, each),
            default=None,
        )
        # One in use without a drawback comes before any empty one.
        if best is not None and not any(_drawbacks(task, best)):
            return best
        empty = self._best_empty(task, fits)
        if empty is None:
            return best
        if best is not None and _cost(task, best) < _cost(task, empty):
            return best
        self._empty.remove(empty)
        self._used.append(empty)
        return empty

    def _best_empty(
        self, task: Task, fits: Callable[[Worker], bool]
    ) -> Worker | None:
        fitting = filter(fits, self._empty)
        found = []
        for worker in fitting:
            if not any(_drawbacks(task, worker)):
                return worker
            found.append(worker)
        return min(found, key=lambda each: _cost(task, each), default=None)


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
    """Returns what speaks against a worker, the gravest first."""
    step = task.step
    away = bool(step.data_rack) and step.data_rack not in (
        worker.registered.labels
    )
    return (
        worker.worker_id in task.failed_on,
        away,
        worker.last_run_failed,
        step.fills and worker.serving_count > 0,
        step.target_ms > 0 and worker.filler_count > 0,
    )


def _cost(task: Task, worker: Worker) -> tuple:
    return (
        *_drawbacks(task, worker),
        # Workers that long-running tasks hold come first, then those in use,
        # the fullest of them, so that others become empty and can be lent.
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
    tickets: Callable[[Task], frozenset[WorkerId] | None],
) -> Iterator[Assignment]:
    """Yields starts for all members, or none."""
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
        chosen = _fit_gang(members, group, use, now, tickets)
        if chosen:
            yield from chosen
            return


def _fit_gang(
    members: list[Task],
    workers: list[Worker],
    use: TeamUse,
    now: float,
    tickets: Callable[[Task], frozenset[WorkerId] | None],
) -> list[Assignment]:
    """Returns places for all members, or an empty list."""
    step, count = members[0].step, len(members)
    whole = Size(
        step.size.cpu * count,
        step.size.memory_mb * count,
        step.size.accelerators * count,
    )
    if not use.allows(members[0].job.submission.team_id, whole):
        return []
    permitted = tickets(members[0])
    places = (
        worker
        for worker in sorted(workers, key=lambda each: _cost(members[0], each))
        if worker.accepts_work(now)
        and worker.can_fit_when_empty(members[0])
        and (permitted is None or worker.worker_id in permitted)
        for _ in range(_room_for(members[0], worker))
    )
    chosen = [
        Assignment(member, worker.worker_id)
        for member, worker in zip(members, places, strict=False)
    ]
    return chosen if len(chosen) == count else []


def _room_for(task: Task, worker: Worker) -> int:
    """Returns how many tasks like this one fit on a worker now."""
    size, free, step = task.step.size, worker.free, task.step
    parts = [
        (0 if step.fills else size.cpu, free.cpu),
        (size.memory_mb, free.memory_mb),
        (size.accelerators, free.accelerators),
    ]
    counts = [left // each for each, left in parts if each > 0]
    if step.max_per_worker:
        counts.append(step.max_per_worker - worker.count_of_step(task))
    return max(0, min(counts, default=step.count))
