"""Which machines of a wave come next, and which runs may be stopped."""

from collections.abc import Iterable

import msgspec

from sardinedrift.engine.model import MachineId
from sardinedrift.engine.task import Run, Task

# Short tasks are stopped too when a wave has only this long left.
URGENT_S = 6.0


class WaveMachine(msgspec.Struct, frozen=True):
    """A machine of a wave that has not begun its upkeep.

    Attributes:
        up: it can begin now.
        runs: tasks that run on it; 0 also when it is off.
        lasting: long-running tasks among them.
    """

    machine_id: MachineId
    up: bool
    runs: int
    lasting: int


def choose_next(
    machines: Iterable[WaveMachine], preparing: int, down: int, most: int
) -> list[MachineId]:
    """Returns machines to prepare now, those that are easy to empty first.

    Args:
        machines: those left in the wave and not being prepared.
        preparing: machines that are being emptied for the wave.
        down: machines in upkeep for the wave.
        most: most machines that may be down at once.
    """
    room = max(0, most - down - preparing)
    ready = sorted(
        (machine for machine in machines if machine.up),
        key=lambda each: (each.lasting, each.runs, each.machine_id),
    )
    return [machine.machine_id for machine in ready[:room]]


def may_stop(run: Run, now: float) -> bool:
    """Whether stopping a long-running task keeps its step available.

    Tasks that we stopped, and those that are not at work for any other cause,
    count against the number that may be away. Whether the run itself is at
    work does not matter, since a report of it may be on its way.
    """
    task = run.task
    if not task.step.may_miss:
        return True
    away = sum(
        1
        for sibling in task.job.siblings(task)
        if sibling is not task and not _serves(sibling, now)
    )
    return away < task.step.may_miss


def runs_to_stop(runs: Iterable[Run], urgent: bool, now: float) -> list[Run]:
    """Returns the runs to stop so that a machine becomes empty.

    Short tasks end by themselves, unless time is short.
    """
    chosen = []
    for run in runs:
        if run.stop_wanted:
            continue
        step = run.task.step
        short = not step.long_running and not step.fills
        if (urgent or not short) and may_stop(run, now):
            chosen.append(run)
            # One at a time: the others of its step are judged afresh once it
            # works elsewhere.
            if step.long_running:
                break
    return chosen


def _serves(task: Task, now: float) -> bool:
    return task.run is not None and task.run.serves(now)
