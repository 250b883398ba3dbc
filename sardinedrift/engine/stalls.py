"""Detects runs that workers report without progress; performs no I/O."""

from collections.abc import Iterable, Iterator

from sardinedrift.engine.model import RunPhase
from sardinedrift.engine.task import Run

# Progress is reported at least once a second. A task is considered stalled, and
# not expected to end by itself, after a time without progress that exceeds two
# reports and STALL_TIMEOUT_SHARE of its estimated duration.
MIN_STALL_TIMEOUT_S = 2.5
STALL_TIMEOUT_SHARE = 0.5


def stalled(
    runs: Iterable[Run], now: float, cold_until: float = 0.0
) -> Iterator[Run]:
    """Yields runs whose progress has not changed within the stall timeout.

    Excludes long-running tasks, which report no progress; gangs, whose members
    wait for each other; filling tasks; and tasks that were slowed down.

    Args:
        runs: runs on one worker.
        now: boot-time clock in seconds.
        cold_until: boot-time clock until which the worker is slow after its
            start; that time does not count.
    """
    for run in runs:
        step = run.task.step
        if step.long_running or step.gang or step.fills or run.pace < 100:
            continue
        if run.phase is not RunPhase.RUNNING or run.stop_wanted:
            continue
        timeout_s = max(
            MIN_STALL_TIMEOUT_S, STALL_TIMEOUT_SHARE * step.estimate_ms / 1000
        )
        reported_at = run.reported_at or run.progressed_at
        if reported_at - max(run.progressed_at, cold_until) > timeout_s:
            yield run
