"""Paces filling tasks that share a worker with serving tasks; performs no I/O.

Filling tasks use the CPU that other tasks leave idle; serving tasks have a
target for their tail latency. A pace is a limit on speed, in percent of full
speed.
"""

from collections.abc import Iterable

import msgspec

from sardinedrift.engine.task import Run

# Filling tasks slow down when the tail latency of a serving task on the same
# worker exceeds this share of its target.
HIGH_LOAD = 0.85
# They speed up again when it is below this share.
LOW_LOAD = 0.6
SLOW_FACTOR = 0.3
SPEED_UP_PERCENT = 20
# A filling task is paused rather than run at a lower pace, as its progress
# would be worth less than the disturbance of the serving tasks.
MIN_PERCENT = 5


class PaceChange(msgspec.Struct, frozen=True):
    """Decision to set the pace of a run, in percent of its full speed."""

    run: Run
    percent: int


def decide_paces(runs: Iterable[Run]) -> list[PaceChange]:
    """Returns pace changes for the runs of a worker by its last report."""
    reported = [run for run in runs if run.reported_at is not None]
    filling = [run for run in reported if run.task.step.fills]
    loads = [
        run.figure / run.task.step.target_ms
        for run in reported
        if run.task.step.target_ms
    ]
    if not filling or not loads:
        return []
    load = max(loads)
    changes = [
        PaceChange(run, _next_percent(run.pace, load)) for run in filling
    ]
    return [change for change in changes if change.percent != change.run.pace]


def _next_percent(percent: int, load: float) -> int:
    if load > HIGH_LOAD:
        slower = int(percent * SLOW_FACTOR)
        return slower if slower >= MIN_PERCENT else 0
    if load < LOW_LOAD:
        return min(100, percent + SPEED_UP_PERCENT)
    return percent
