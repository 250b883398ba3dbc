"""Pace of tasks that fill beside tasks that serve; without a network."""

from collections.abc import Iterable

import msgspec

from sardinedrift.engine.task import Run

# The tail of a serving task above this share of its target slows down what
# fills beside it,
HIGH_SHARE = 0.85
# and below this share lets it work faster again.
LOW_SHARE = 0.6
SLOW_FACTOR = 0.3
SPEED_UP_PERCENT = 20
# Below this a task that fills is worth less than the disturbance.
LEAST_PERCENT = 5


class PaceChange(msgspec.Struct, frozen=True):
    """Decision to let a run work at a share of its speed."""

    run: Run
    percent: int


def decide_paces(runs: Iterable[Run]) -> list[PaceChange]:
    """Returns the changes for the runs of one worker, by its last report."""
    listed = [run for run in runs if run.reported_at is not None]
    fills = [run for run in listed if run.task.step.fills]
    loads = [
        run.figure / run.task.step.target_ms
        for run in listed
        if run.task.step.target_ms
    ]
    if not fills or not loads:
        return []
    load = max(loads)
    changes = [PaceChange(run, _next_percent(run.pace, load)) for run in fills]
    return [change for change in changes if change.percent != change.run.pace]


def _next_percent(percent: int, load: float) -> int:
    if load > HIGH_SHARE:
        slower = int(percent * SLOW_FACTOR)
        return slower if slower >= LEAST_PERCENT else 0
    if load < LOW_SHARE:
        return min(100, percent + SPEED_UP_PERCENT)
    return percent
