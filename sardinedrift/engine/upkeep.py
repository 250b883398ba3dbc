"""Selects the next machines of a wave and the runs that may be stopped."""

from collections.abc import Iterable

import msgspec

from sardinedrift.engine.model import MachineId
from sardinedrift.engine.task import Run, Task

# Short tasks are stopped as well once a wave has only this much time left.
URGENT_S = 6.0


class WaveMachine(msgspec.Struct, frozen=True):
    """A machine of a wave whose upkeep has not begun.

    Attributes:
        up: whether the machine is up, so that its upkeep can begin.
        runs: number of tasks running on it; 0 if it is off.
        long_running: number of long-running tasks among them.
    """

    machine_id: MachineId
    up: bool
    runs: int
    long_running: int


def choose_next(
    machines: Iterable[WaveMachine], draining: int, down: int, max_down: int
) -> list[MachineId]:
    """Returns machines to drain now, those that are easiest to drain first.

    Args:
        machines: remaining machines of the wave that are not being drained.
        draining: number of machines that are being drained for the wave.
        down: number of machines in upkeep for the wave.
        max_down: maximum number of machines in upkeep at the same time.
    """
    slots = max(0, max_down - down - draining)
    ready = sorted(
        (machine for machine in machines if machine.up),
        key=lambda each: (each.long_running, each.runs, each.machine_id),
    )
    return [machine.machine_id for machine in ready[:slots]]


def may_stop(run: Run, now: float) -> bool:
    """Whether the step of a run stays available if the run is stopped.

    Every other task of the step that is not serving, whether it was stopped by
    the controller or for another cause, counts against the number that may be
    unavailable. The state of the run itself is ignored, because a report that
    it is serving may be in transit.
    """
    task = run.task
    if not task.step.may_miss:
        return True
    unavailable = sum(
        1
        for sibling in task.job.siblings(task)
        if sibling is not task and not _is_serving(sibling, now)
    )
    return unavailable < task.step.may_miss


def runs_to_stop(runs: Iterable[Run], urgent: bool, now: float) -> list[Run]:
    """Returns the runs to stop in order to drain a machine.

    Short tasks are left to end by themselves unless the wave is urgent.
    """
    chosen = []
    for run in runs:
        if run.stop_wanted:
            continue
        step = run.task.step
        if (urgent or not step.is_short) and may_stop(run, now):
            chosen.append(run)
            # One at a time: the other tasks of its step are evaluated again
            # once it runs elsewhere.
            if step.long_running:
                break
    return chosen


def _is_serving(task: Task, now: float) -> bool:
    return task.run is not None and task.run.serves(now)
