"""Selects runs to preempt for work of higher priority; performs no I/O."""

from collections.abc import Iterable

from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.model import Queue, RunPhase
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
        queue_by_id: the queues, with their priorities.
        now: boot-time clock in seconds.
    """

    def __init__(self, queue_by_id: dict[QueueId, Queue], now: float):
        self._queue_by_id = queue_by_id
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
        options = [
            victims
            for worker in workers
            if worker.accepts_work(self._now)
            and worker.can_fit_when_empty(task)
            for victims in (self._victims_on(worker, task),)
            if victims
        ]
        return min(options, key=_lost_work, default=[])

    def _victims_on(self, worker: Worker, task: Task) -> list[Run]:
        """Returns runs whose stop lets a task fit on a worker, or no runs."""
        preemptible = [
            run
            for run in worker.run_by_task.values()
            if self._may_preempt(run, task)
        ]
        preemptible.sort(key=lambda run: _lost_work([run]))
        free, size = worker.free, task.step.size
        cpu = free.cpu - (0 if task.step.fills else size.cpu)
        memory = free.memory_mb - size.memory_mb
        chosen: list[Run] = []
        for run in preemptible:
            if cpu >= 0 and memory >= 0:
                break
            chosen.append(run)
            cpu += 0 if run.task.step.fills else run.task.step.size.cpu
            memory += run.task.step.size.memory_mb
        return chosen if cpu >= 0 and memory >= 0 else []

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
        queue = self._queue_by_id.get(task.job.submission.queue_id)
        return queue.priority if queue else 0


def _lost_work(runs: list[Run]) -> float:
    """Returns the work lost by stopping runs, in millicores times percent."""
    return sum(
        run.task.step.size.cpu * run.percent
        for run in runs
        if not run.task.step.checkpoints
    )
