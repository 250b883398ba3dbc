"""Selects tasks to start and workers to run them; performs no I/O."""

from collections.abc import Callable, Iterable, Iterator

import msgspec

from sardinedrift.engine.candidates import Candidates, cost
from sardinedrift.engine.estimates import DurationEstimates, account_of
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.model import QueuePolicy, WorkerId
from sardinedrift.engine.objectives import misses_objective, objective_ms
from sardinedrift.engine.reservations import Reservations
from sardinedrift.engine.sizes import multiply_size, occupied_by
from sardinedrift.engine.task import Task
from sardinedrift.engine.teamuse import TeamUse
from sardinedrift.engine.work import Job
from sardinedrift.identifiers import PoolId, QueueId


class Assignment(msgspec.Struct, frozen=True):
    """Decision to start a task on a worker."""

    task: Task
    worker_id: WorkerId


def group_by_pool(
    jobs: Iterable[Job], policy_by_id: dict[QueueId, QueuePolicy]
) -> dict[PoolId, list[Job]]:
    """Returns the jobs with startable tasks, keyed by their queue's pool."""
    jobs_by_pool: dict[PoolId, list[Job]] = {}
    for job in jobs:
        policy = policy_by_id.get(job.submission.queue_id)
        if policy is not None and job.waiting and not job.ended:
            jobs_by_pool.setdefault(policy.pool_id, []).append(job)
    return jobs_by_pool


def order_jobs(
    jobs: Iterable[Job],
    policy_by_id: dict[QueueId, QueuePolicy],
    use: TeamUse,
    now_ms: float,
    estimates: DurationEstimates | None = None,
) -> list[Job]:
    """Returns jobs in the order in which their tasks are placed.

    The order is by priority number (lowest first), then long-running jobs
    before others, then jobs that can still meet their completion objective
    before those that cannot, then jobs that have started before others, then by
    the client account's present and recent use in proportion to its weight
    (least first), then by the objective (earliest first).

    Started jobs come first: if capacity were spread over all jobs, all would
    become late.

    Args:
        jobs: the jobs.
        policy_by_id: the policies of their queues.
        use: use of the client accounts.
        now_ms: current time in Unix ms.
        estimates: learned ratios of actual to estimated durations, if any.
    """

    def can_be_on_time(job: Job, policy: QueuePolicy) -> bool:
        ratio = None
        if estimates is not None:
            ratio = estimates.learned_ratio(account_of(job.submission))
        return not misses_objective(job, policy, now_ms, ratio)

    def rank(job: Job) -> tuple:
        submission = job.submission
        policy = policy_by_id[submission.queue_id]
        return (
            policy.priority,
            not job.long_running,
            not can_be_on_time(job, policy),
            not job.started,
            use.fair_share_use(submission.team_id),
            objective_ms(job, policy),
        )

    return sorted(jobs, key=rank)


def plan_pool(
    jobs: list[Job],
    workers: list[Worker],
    use: TeamUse,
    now: float,
    permitted_workers: Callable[[Task], frozenset[WorkerId] | None],
    max_count: int,
    reservations: Reservations,
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
        max_count: number of assignments after which no further task is looked
            at; the members of a gang are assigned together.
        reservations: receives those of the first tasks that can't start.
    """
    plan = _PoolPlan(workers, use, now, permitted_workers, reservations)
    count = 0
    for job in jobs:
        unplaced_steps: set[int] = set()
        for task in list(job.waiting.values()):
            if count >= max_count:
                return
            step_number = task.task_id.step
            if task.task_id not in job.waiting or step_number in unplaced_steps:
                continue
            chosen = plan.choose(task)
            for assignment in chosen:
                count += 1
                yield assignment
                plan.record(assignment)
            if not chosen:
                unplaced_steps.add(step_number)
                plan.reserve(task)


class _PoolPlan:
    """Selects workers for the tasks of a pool in one pass.

    Args:
        workers: workers of the pool.
        use: use of the client accounts.
        now: boot-time clock in seconds.
        permitted_workers: returns the workers that are permitted for a task.
        reservations: those of the pool.
    """

    def __init__(
        self,
        workers: Iterable[Worker],
        use: TeamUse,
        now: float,
        permitted_workers: Callable[[Task], frozenset[WorkerId] | None],
        reservations: Reservations,
    ):
        accepting = [worker for worker in workers if worker.accepts_work(now)]
        self._worker_by_id = {each.worker_id: each for each in accepting}
        self._candidates = Candidates(accepting)
        self._use = use
        self._now = now
        self._permitted_workers = permitted_workers
        self._reservations = reservations

    def choose(self, task: Task) -> list[Assignment]:
        """Returns assignments for a task and its gang; none if it must wait."""
        permitted = self._permitted_workers(task)
        if task.step.gang:
            return self._choose_for_gang(task, permitted)
        worker = self._choose_worker(task, permitted)
        return [] if worker is None else [Assignment(task, worker.worker_id)]

    def record(self, assignment: Assignment) -> None:
        """Records an assignment that was applied."""
        worker = self._worker_by_id[assignment.worker_id]
        self._reservations.record_start(assignment.task, worker)

    def reserve(self, task: Task) -> None:
        """Reserves capacity for the waiting tasks of a step, if it may."""
        if self._reservations.wants(task):
            self._reservations.reserve(
                task, self._candidates.all(), self._permitted_workers(task)
            )

    def _choose_worker(
        self, task: Task, permitted: frozenset[WorkerId] | None
    ) -> Worker | None:
        reservations = self._reservations
        duration_s = reservations.duration_s(task)
        if not self._candidates.may_fit(task, duration_s):
            return None
        if not reservations.allow_use(task, task.step.size):
            return None
        refused = False

        def fits(worker: Worker) -> bool:
            nonlocal refused
            if not worker.can_fit(task):
                return False
            if not self._may_host(worker, task, permitted):
                return False
            if reservations.admit(task, worker):
                return True
            refused = True
            return False

        best = self._candidates.best(task, fits)
        if best is None and permitted is None:
            self._candidates.mark_unfit(task, duration_s if refused else 0.0)
        return best

    def _may_host(
        self, worker: Worker, task: Task, permitted: frozenset[WorkerId] | None
    ) -> bool:
        """Whether a worker may run a task if it has the capacity."""
        return (
            worker.accepts_work(self._now)
            and worker.can_fit_when_empty(task)
            and (permitted is None or worker.worker_id in permitted)
        )

    def _choose_for_gang(
        self, task: Task, permitted: frozenset[WorkerId] | None
    ) -> list[Assignment]:
        """Returns assignments for all members of a gang, or none."""
        members = task.job.waiting_siblings(task)
        if len(members) < task.step.count:
            return []
        total = multiply_size(task.step.size, len(members))
        if not self._reservations.allow_use(task, total):
            return []
        for group in _groups_for(task, self._candidates.all()):
            chosen = self._fit_gang(members, group, permitted)
            if chosen:
                return chosen
        return []

    def _fit_gang(
        self,
        members: list[Task],
        workers: list[Worker],
        permitted: frozenset[WorkerId] | None,
    ) -> list[Assignment]:
        """Returns assignments for all members on some workers, or none."""
        task = members[0]
        places = (
            worker
            for worker in sorted(workers, key=lambda each: cost(task, each))
            if self._may_host(worker, task, permitted)
            for _ in range(self._count_fitting(task, worker))
        )
        chosen = [
            Assignment(member, worker.worker_id)
            for member, worker in zip(members, places, strict=False)
        ]
        return chosen if len(chosen) == len(members) else []

    def _count_fitting(self, task: Task, worker: Worker) -> int:
        """Returns how many tasks of this step fit on a worker now."""
        step = task.step
        size, free = occupied_by(step), self._reservations.usable(task, worker)
        resources = [
            (size.cpu, free.cpu),
            (size.memory_mb, free.memory_mb),
            (size.accelerators, free.accelerators),
        ]
        counts = [
            available // required
            for required, available in resources
            if required > 0
        ]
        starts_left = worker.starts_left(self._now)
        if starts_left is not None:
            counts.append(starts_left)
        if step.max_per_worker:
            counts.append(step.max_per_worker - worker.count_of_step(task))
        return max(0, min(counts, default=step.count))


def _groups_for(task: Task, workers: list[Worker]) -> Iterator[list[Worker]]:
    """Yields the groups of workers to try for a gang, the best one first."""
    if task.step.rack_sensitive:
        racks = {worker.registered.rack for worker in workers}
        for rack in sorted(racks):
            yield [each for each in workers if each.registered.rack == rack]
    yield workers
