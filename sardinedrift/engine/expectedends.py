"""Predicts when runs end and when a worker has capacity; performs no I/O."""

import math
from collections.abc import Iterator
from typing import NamedTuple

from sardinedrift.engine.estimates import DurationEstimates
from sardinedrift.engine.fleet import Worker, step_key
from sardinedrift.engine.model import Size, WorkerId
from sardinedrift.engine.sizes import occupied_by
from sardinedrift.engine.task import Run, Task

# A run that is being stopped ends within the platform's grace period of 0.9 s
# and the time of the order.
STOP_S = 1.0
# A run that has exceeded its expected duration is expected to take this share
# of the elapsed time longer.
OVERRUN_SHARE = 0.25


class ExpectedEnds:
    """Expected ends of runs, as they are known at one time.

    The ends on a worker are computed once. Runs that are placed on it after
    that are not expected to free capacity.

    Args:
        estimates: expected durations of tasks.
        now: boot-time clock in seconds.
    """

    def __init__(self, estimates: DurationEstimates, now: float):
        self._estimates = estimates
        self._now = now
        self._ends_by_worker: dict[WorkerId, list[_ExpectedEnd]] = {}

    def duration_s(self, task: Task) -> float:
        """Returns the expected duration of a task; infinite if unknown."""
        return self._estimates.duration_s(task)

    def end_of(self, run: Run, cold_until: float = 0.0) -> float:
        """Returns when a run is expected to end, by the boot-time clock.

        It is infinite for a run that is not expected to end by itself.

        Args:
            run: the run.
            cold_until: boot-time clock until which its worker is slow after its
                start; that time is not part of an estimate.
        """
        if run.stop_wanted:
            return self._now + STOP_S
        if run.task.step.long_running or run.pace <= 0:
            return math.inf
        remaining = max(0.0, 1 - run.percent / 100)
        expected = max(run.progressed_at, cold_until)
        if remaining:
            whole_s = self._whole_duration_s(run, cold_until)
            duration_s = whole_s * 100 / run.pace
            expected += remaining * duration_s
        if expected > self._now:
            return expected
        return self._now + OVERRUN_SHARE * (self._now - run.decided_at)

    def _whole_duration_s(self, run: Run, cold_until: float) -> float:
        """Returns how long a run takes from start to end, at full speed.

        The more of it is done, the more its own rate counts against the
        estimate; once the estimated time has passed, only the rate counts. The
        time in which its worker was cold counts for neither.
        """
        estimated = self.duration_s(run.task)
        done = run.percent / 100
        began_at = max(run.decided_at, cold_until)
        observed_s = run.progressed_at - began_at
        if not done or observed_s <= 0 or not run.observed_from_start:
            return estimated
        observed = observed_s / done
        if began_at + estimated <= self._now or math.isinf(estimated):
            return observed
        return done * observed + (1 - done) * estimated

    def times_of_capacity(self, worker: Worker, task: Task) -> Iterator[float]:
        """Yields when a worker has capacity for one, two, ... tasks of a step.

        Each time is by the boot-time clock and not before the one yielded
        previously. Only runs that are expected to end free it.

        Args:
            worker: the worker.
            task: one of the tasks, which require the same.
        """
        if not worker.can_fit_when_empty(task):
            return
        capacity = _CapacityTracker(worker, task)
        yield from capacity.fit_times(self._now)
        for expected in self._ends_on(worker):
            capacity.release(expected.run)
            yield from capacity.fit_times(expected.at)

    def free_at(self, worker: Worker, at: float) -> Size:
        """Returns the capacity of a worker that is expected to be free then."""
        ended = (each.run for each in self._ends_on(worker) if each.at <= at)
        return worker.free_without(ended)

    def _ends_on(self, worker: Worker) -> "list[_ExpectedEnd]":
        """Returns the runs that are expected to end, the first one first."""
        ends = self._ends_by_worker.get(worker.worker_id)
        if ends is None:
            expected = (
                _ExpectedEnd(self.end_of(run, worker.cold_until), run)
                for run in worker.run_by_task.values()
            )
            ends = [each for each in expected if each.at < math.inf]
            ends.sort(key=lambda each: each.at)
            self._ends_by_worker[worker.worker_id] = ends
        return ends


class _ExpectedEnd(NamedTuple):
    at: float
    run: Run


class _CapacityTracker:
    """Capacity of a worker that tasks of one step take as it becomes free."""

    def __init__(self, worker: Worker, task: Task):
        free, size = worker.free, occupied_by(task.step)
        self._cpu, self._size_cpu = free.cpu, size.cpu
        self._memory, self._size_memory = free.memory_mb, size.memory_mb
        self._accelerators = free.accelerators
        self._size_accelerators = size.accelerators
        self._key = step_key(task.task_id)
        self._places = task.step.max_per_worker - worker.count_of_step(task)
        self._is_spread = task.step.max_per_worker > 0

    def release(self, run: Run) -> None:
        """Adds the capacity of a run that has ended."""
        step = run.task.step
        self._cpu += 0 if step.fills else step.size.cpu
        self._memory += step.size.memory_mb
        self._accelerators += step.size.accelerators
        if self._is_spread and step_key(run.task.task_id) == self._key:
            self._places += 1

    def fit_times(self, at: float) -> Iterator[float]:
        """Yields a time once for each further task that fits."""
        while (
            self._size_cpu <= self._cpu
            and self._size_memory <= self._memory
            and self._size_accelerators <= self._accelerators
            and (not self._is_spread or self._places > 0)
        ):
            self._cpu -= self._size_cpu
            self._memory -= self._size_memory
            self._accelerators -= self._size_accelerators
            self._places -= 1
            yield at
