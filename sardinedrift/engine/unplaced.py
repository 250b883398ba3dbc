"""Machines for long-running tasks that fit on no worker; performs no I/O.

Large tasks leave gaps on their machines that are too small for others, so a
pool may lack a place for one although the sum of its free capacity suffices. A
long-running task would wait for ever, as such gaps do not close.
"""

import collections
import math
from collections.abc import Callable, Iterable, Iterator, Sequence

from sardinedrift.engine.fleet import Worker, step_key
from sardinedrift.engine.model import QueuePolicy, Size, Step, TaskId
from sardinedrift.engine.task import Task
from sardinedrift.engine.teamuse import TeamUse
from sardinedrift.engine.work import Job
from sardinedrift.identifiers import PoolId, QueueId

# A task counts after this time. Machines that join for it in the usual way need
# less.
MIN_WAIT_S = 2.5


def machines_with_unplaced(
    jobs: Iterable[Job],
    policy_by_id: dict[QueueId, QueuePolicy],
    workers_of: Callable[[PoolId], Sequence[Worker]],
    use: TeamUse,
    size: Size,
    now: float,
) -> dict[PoolId, int]:
    """Returns how many machines pools need that cannot hold such tasks.

    These are the workers that are available, and those for the tasks that fit
    on none of them. Pools without such tasks are left out.

    Args:
        jobs: the unfinished jobs.
        policy_by_id: the policies of their queues.
        workers_of: returns the workers of a pool.
        use: use of the client accounts; tasks beyond a limit need no machine.
        size: average capacity of a machine.
        now: boot-time clock in seconds.
    """
    tasks_by_pool = collections.defaultdict(list)
    for job in jobs:
        policy = policy_by_id.get(job.submission.queue_id)
        if policy is not None and job.long_running:
            tasks_by_pool[policy.pool_id] += _long_waiting(job, use, now)
    needed_by_pool = {}
    for pool_id, tasks in tasks_by_pool.items():
        workers = [
            worker for worker in workers_of(pool_id) if worker.is_available(now)
        ]
        extra = _machines_for(_unfit(tasks, workers), size)
        if extra:
            needed_by_pool[pool_id] = len(workers) + extra
    return needed_by_pool


def _long_waiting(job: Job, use: TeamUse, now: float) -> Iterator[Task]:
    for task in job.waiting.values():
        since, step = task.waiting_since, task.step
        if (
            step.long_running
            and 0.0 < since <= now - MIN_WAIT_S
            and use.allows(job.submission.team_id, step.size)
        ):
            yield task


def _unfit(tasks: Iterable[Task], workers: list[Worker]) -> Iterator[Task]:
    """Yields the tasks that fit on a worker only if it were empty."""
    unfit_by_step: dict[TaskId, bool] = {}
    for task in tasks:
        key = step_key(task.task_id)
        if key not in unfit_by_step:
            unfit_by_step[key] = any(
                worker.can_fit_when_empty(task) for worker in workers
            ) and not any(worker.can_fit(task) for worker in workers)
        if unfit_by_step[key]:
            yield task


def _machines_for(tasks: Iterable[Task], size: Size) -> int:
    """Returns how many empty machines of a size hold some tasks."""
    tasks_by_step = collections.defaultdict(list)
    for task in tasks:
        tasks_by_step[step_key(task.task_id)].append(task)
    return sum(
        math.ceil(len(group) / _tasks_per_machine(group[0].step, size))
        for group in tasks_by_step.values()
    )


def _tasks_per_machine(step: Step, size: Size) -> int:
    limits = [size.memory_mb // max(1, step.size.memory_mb)]
    if not step.fills:
        limits.append(size.cpu // max(1, step.size.cpu))
    if step.max_per_worker:
        limits.append(step.max_per_worker)
    return max(1, min(limits))
