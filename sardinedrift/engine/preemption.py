"""Selects runs to preempt for work of higher priority; performs no I/O."""

from collections.abc import Iterable

from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.model import QueuePolicy, RunPhase
from sardinedrift.engine.task import Run, Task
from sardinedrift.engine.work import Job
from sardinedrift.identifiers import QueueId

# A task waits this long before it preempts others: a free machine joins the
# pool sooner.
PREEMPTION_DELAY_S = 2.0
# Long-running tasks serve users, so they wait for less time.
LONG_RUNNING_PREEMPTION_DELAY_S = 0.8


class Preemption:
    """Selects victims for tasks that fit on no worker.

    Args:
        policy_by_id: the policies of the queues.
        now: boot-time clock in seconds.
    """

    def __init__(self, policy_by_id: dict[QueueId, QueuePolicy], now: float):
        self._queue_by_id = policy_by_id
        self._now = now

    def choose(self, jobs: Iterable[Job], workers: list[Worker]) -> list[Run]:
        """Returns runs to stop for the first task that has waited too long.

        Args:
            jobs: jobs with startable tasks, in placement order.
            workers: workers of their pool.
        """
        for job in jobs:
            task = next(iter(job.waiting.values()), None)
            if task is not None and self._waits_too_long(task):
                return self._victims(task, workers)
        return []

    def _waits_too_long(self, task: Task) -> bool:
        delay_s = (
            LONG_RUNNING_PREEMPTION_DELAY_S
            if task.step.long_running
            else PREEMPTION_DELAY_S
        )
        since = task.waiting_since
        return since > 0.0 and self._now - since > delay_s

    def _victims(self, task: Task, workers: list[Worker]) -> list[Run]:
        """Returns the runs of one worker whose stop loses the least work.

        Returns none if the task fits on a worker, as it waits for another
        reason then, or will fit once earlier victims have stopped: that takes
        longer than the time between two planning passes.
        """
        candidates = [
            worker
            for worker in workers
            if worker.is_available(self._now) and _may_host(worker, task)
        ]
        if any(_fits_after_stops(worker, task) for worker in candidates):
            return []
        options = [
            self._victims_on(worker, task)
            for worker in candidates
            if worker.accepts_work(self._now)
        ]
        return min(filter(None, options), key=_lost_work, default=[])

    def _victims_on(self, worker: Worker, task: Task) -> list[Run]:
        """Returns runs whose stop lets a task fit on a worker, or no runs."""
        preemptible = [
            run
            for run in worker.run_by_task.values()
            if self._may_preempt(run, task)
        ]
        preemptible.sort(key=lambda run: _lost_work([run]))
        chosen: list[Run] = []
        for run in preemptible:
            chosen.append(run)
            if _fits_without(worker, task, chosen):
                return chosen
        return []

    def _may_preempt(self, run: Run, task: Task) -> bool:
        step = run.task.step
        if step.long_running or step.gang or run.stop_wanted:
            return False
        if run.phase is not RunPhase.RUNNING:
            return False
        task_priority = self._priority(task)
        run_priority = self._priority(run.task)
        long_running_first = (
            task.step.long_running and task_priority <= run_priority
        )
        return task_priority < run_priority or long_running_first

    def _priority(self, task: Task) -> int:
        policy = self._queue_by_id.get(task.job.submission.queue_id)
        return policy.priority if policy else 0


def _may_host(worker: Worker, task: Task) -> bool:
    """Whether a task could run on a worker if the capacity were free."""
    step = task.step
    return worker.can_fit_when_empty(task) and (
        not step.max_per_worker
        or worker.count_of_step(task) < step.max_per_worker
    )


def _fits_after_stops(worker: Worker, task: Task) -> bool:
    """Whether a task fits on a worker once its stopping runs have ended."""
    stopping = [run for run in worker.run_by_task.values() if run.stop_wanted]
    return _fits_without(worker, task, stopping)


def _fits_without(worker: Worker, task: Task, runs: list[Run]) -> bool:
    """Whether a task fits on a worker without some of its runs."""
    free, size = worker.free_without(runs), task.step.size
    return (
        (task.step.fills or size.cpu <= free.cpu)
        and size.memory_mb <= free.memory_mb
        and size.accelerators <= free.accelerators
    )


def _lost_work(runs: list[Run]) -> float:
    """Returns the work lost by stopping runs, in millicores times percent."""
    return sum(
        run.task.step.size.cpu * run.percent
        for run in runs
        if not run.task.step.checkpoints
    )
