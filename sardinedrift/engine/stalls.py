"""Runs that a worker lists but that no longer move; without a network."""

from collections.abc import Iterable, Iterator

from sardinedrift.engine.model import RunPhase
from sardinedrift.engine.task import Run

# Progress is reported at least each second; a task that stands still for
# longer than two reports, and a part of its time, will not end by itself.
STALL_S = 2.5
STALL_SHARE = 0.5


def stalled(runs: Iterable[Run], now: float) -> Iterator[Run]:
    """Yields runs whose progress has not changed for too long.

    Long-running tasks report no progress and are never among them, nor are
    gangs, whose members wait for each other, nor tasks that were slowed down.
    """
    for run in runs:
        step = run.task.step
        if step.long_running or step.gang or step.fills or run.pace < 100:
            continue
        if run.phase is not RunPhase.RUNNING or run.stop_wanted:
            continue
        patience_s = max(STALL_S, STALL_SHARE * step.estimate_ms / 1000)
        reported_at = run.reported_at or run.progressed_at
        if reported_at - run.progressed_at > patience_s:
            yield run
