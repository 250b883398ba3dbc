"""Workers that may get a task, in order of preference; performs no I/O."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.model import Size
from sardinedrift.engine.task import Task

# Demands that fit nowhere are kept up to this number for each label. A further
# one replaces the oldest, which costs time only.
MAX_UNFIT_DEMANDS = 16


class _UnfitDemand(NamedTuple):
    """A demand that fits on no candidate.

    Attributes:
        size: requested resources.
        duration_s: tasks that take less may fit; 0 if none does.
    """

    size: Size
    duration_s: float

    def covers(self, size: Size, duration_s: float) -> bool:
        """Whether a demand fits nowhere because this one does not."""
        return (
            self.size.cpu <= size.cpu
            and self.size.memory_mb <= size.memory_mb
            and self.size.accelerators <= size.accelerators
            and self.duration_s <= duration_s
        )


class Candidates:
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
        self._most_free = _largest([worker.free for worker in self.all()])
        self._unfit_by_label: dict[str, list[_UnfitDemand]] = {}

    def all(self) -> list[Worker]:
        """Returns all candidates."""
        return [*self._occupied, *self._empty]

    def may_fit(self, task: Task, duration_s: float) -> bool:
        """Returns False if a task certainly fits on no candidate.

        While a pool is planned, free capacity only shrinks and reservations are
        only added. So a task fits nowhere if it exceeds what was free at first,
        or if one with the same label fitted nowhere that requires no more.

        Args:
            task: the task.
            duration_s: its expected duration; 0 if reservations don't apply.
        """
        size, most = task.step.size, self._most_free
        if size.memory_mb > most.memory_mb:
            return False
        if size.accelerators > most.accelerators:
            return False
        if task.step.fills:
            return True
        return size.cpu <= most.cpu and not any(
            unfit.covers(size, duration_s)
            for unfit in self._unfit_by_label.get(task.step.label, ())
        )

    def mark_unfit(self, task: Task, duration_s: float) -> None:
        """Records that a task fits on no worker.

        Args:
            task: the task.
            duration_s: its expected duration if a reservation is the reason,
                0 if the capacity is.
        """
        step = task.step
        if step.fills or step.max_per_worker:
            # More than its size and label decides where such a task fits.
            return
        demands = self._unfit_by_label.setdefault(step.label, [])
        demands.append(_UnfitDemand(step.size, duration_s))
        if len(demands) > MAX_UNFIT_DEMANDS:
            del demands[0]

    def best(self, task: Task, fits: Callable[[Worker], bool]) -> Worker | None:
        """Returns the worker of least cost that fits a task, if any."""
        best = min(
            filter(fits, self._occupied),
            key=lambda each: cost(task, each),
            default=None,
        )
        # An occupied worker without a drawback precedes all empty ones.
        if best is not None and not any(drawbacks(task, best)):
            return best
        empty = self._best_empty(task, fits)
        if empty is None:
            return best
        if best is not None and cost(task, best) < cost(task, empty):
            return best
        self._empty.remove(empty)
        self._occupied.append(empty)
        return empty

    def _best_empty(
        self, task: Task, fits: Callable[[Worker], bool]
    ) -> Worker | None:
        fitting = filter(fits, self._empty)
        unfavourable = []
        for worker in fitting:
            if not any(drawbacks(task, worker)):
                return worker
            unfavourable.append(worker)
        return min(
            unfavourable, key=lambda each: cost(task, each), default=None
        )


def _largest(sizes: list[Size]) -> Size:
    """Returns the largest value of each resource among some sizes."""
    return Size(
        max((size.cpu for size in sizes), default=0),
        max((size.memory_mb for size in sizes), default=0),
        max((size.accelerators for size in sizes), default=0),
    )


def drawbacks(task: Task, worker: Worker) -> tuple[bool, ...]:
    """Returns flags that count against a worker, most serious first."""
    step = task.step
    data_is_remote = bool(step.data_rack) and step.data_rack not in (
        worker.registered.labels
    )
    return (
        worker.worker_id in task.failed_on,
        data_is_remote,
        worker.cold,
        worker.last_run_failed,
        step.fills and worker.serving_count > 0,
        step.target_ms > 0 and worker.filler_count > 0,
    )


def cost(task: Task, worker: Worker) -> tuple:
    """Returns the rank of a worker for a task; the lowest is the best."""
    return (
        *drawbacks(task, worker),
        # Prefers workers with long-running tasks, then occupied workers, then
        # the fullest ones: other workers become empty, so that their machines
        # can move to other pools.
        not worker.long_running_count,
        not worker.run_by_task,
        worker.free.cpu,
        worker.worker_id,
    )
