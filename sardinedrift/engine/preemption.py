"""Which runs give way to work of a higher priority; without a network."""

from collections.abc import Iterable

from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.model import Queue, RunPhase
from sardinedrift.engine.task import Run, Task
from sardinedrift.engine.work import Job
from sardinedrift.identifiers import QueueId

# Work waits this long before others give way: a free machine comes sooner.
PATIENCE_S = 2.0
# Long-running tasks serve users, and wait less.
LASTING_PATIENCE_S = 0.8


class Preemption:
    """Chooses victims for tasks that found no room.

    Args:
        queue_by_id: the queues, with their priorities.
        now: boot-time clock in seconds.
    """

    def __init__(self, queue_by_id: dict[QueueId, Queue], now: float):
        self._queue_by_id = queue_by_id
        self._now = now

    def choose(self, jobs: Iterable[Job], workers: list[Worker]) -> list[Run]:
        """Returns runs to stop for the most urgent task that waits too long.

        Args:
            jobs: jobs with startable tasks, in order.
            workers: workers of their pool.
        """
        for job in jobs:
            task = next(iter(job.waiting.values()), None)
            if task is not None and self._waits_too_long(task):
                return self._victims(task, workers)
        return []

    def _waits_too_long(self, task: Task) -> bool:
        patience_s = (
            LASTING_PATIENCE_S if task.step.long_running else PATIENCE_S
        )
        since = task.waiting_since
        return since > 0.0 and self._now - since > patience_s

    def _victims(self, task: Task, workers: list[Worker]) -> list[Run]:
        choices = [
            victims
            for worker in workers
            if worker.accepts_work(self._now)
            and worker.can_fit_when_empty(task)
            for victims in (self._victims_on(worker, task),)
            if victims
        ]
        return min(choices, key=_lost_work, default=[])

    def _victims_on(self, worker: Worker, task: Task) -> list[Run]:
        """Returns the runs that make room on a worker, or an empty list."""
        weaker = [
            run
            for run in worker.run_by_task.values()
            if self._gives_way(run, task)
        ]
        weaker.sort(key=lambda run: _lost_work([run]))
        free, size = worker.free, task.step.size
        cpu = free.cpu - (0 if task.step.fills else size.cpu)
        memory = free.memory_mb - size.memory_mb
        chosen: list[Run] = []
        for run in weaker:
            if cpu >= 0 and memory >= 0:
                break
            chosen.append(run)
            cpu += 0 if run.task.step.fills else run.task.step.size.cpu
            memory += run.task.step.size.memory_mb
        return chosen if cpu >= 0 and memory >= 0 else []

    def _gives_way(self, run: Run, task: Task) -> bool:
        step = run.task.step
        if step.long_running or step.gang or run.stop_wanted:
            return False
        if run.phase is not RunPhase.RUNNING:
            return False
        mine = self._priority(task)
        theirs = self._priority(run.task)
        lasting_first = task.step.long_running and mine <= theirs
        return mine < theirs or lasting_first

    def _priority(self, task: Task) -> int:
        queue = self._queue_by_id.get(task.job.submission.queue_id)
        return queue.priority if queue else 0


def _lost_work(runs: list[Run]) -> float:
    """Returns the work that stopping runs throws away, in cpu and percent."""
    return sum(
        run.task.step.size.cpu * run.percent
        for run in runs
        if not run.task.step.checkpoints
    )
