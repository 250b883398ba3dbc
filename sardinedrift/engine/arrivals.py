"""Measures the rate at which work arrives at each pool; performs no I/O.

Demand may stay the same for seconds and then change within a fraction of a
second, so the rate is counted since the last change that chance does not
explain. The sizes of jobs differ by an order of magnitude: a few large ones in
a short time say little of what follows, so the rate of jobs is multiplied by
the mean work of many jobs.
"""

import bisect
import collections
import math

import msgspec

from sardinedrift.engine.model import Submission
from sardinedrift.identifiers import PoolId

# The rate is averaged over at most this time.
MAX_WINDOW_S = 3.0
# A change is looked for at these times before now.
RECENT_WINDOWS_S = (0.3, 0.6, 1.0)
# Fewer jobs in a window are too few to estimate a rate.
MIN_ARRIVALS = 3
# A pool with fewer than MIN_ARRIVALS jobs within this time has no arriving
# load.
QUIET_WINDOW_S = 1.0
# A difference counts as a change from this many standard deviations.
SIGNIFICANT_DEVIATIONS = 2.5
# Number of jobs whose mean work is used.
MAX_WORK_SAMPLES = 64


class ArrivingLoad(msgspec.Struct, frozen=True):
    """Resources that newly arriving short tasks occupy at their present rate.

    Attributes:
        cpu: millicores.
        memory_mb: memory in megabytes.
    """

    cpu: float = 0.0
    memory_mb: float = 0.0


class JobWork(msgspec.Struct, frozen=True):
    """Work of the short tasks of a job.

    Attributes:
        cpu_s: millicore-seconds.
        memory_mb_s: megabyte-seconds.
    """

    cpu_s: float = 0.0
    memory_mb_s: float = 0.0


class ArrivalMeter:
    """Measures the rate at which work arrives at each pool."""

    def __init__(self) -> None:
        self._arrivals_by_pool: dict[PoolId, _PoolArrivals] = {}

    def record(
        self, pool_id: PoolId, submission: Submission, at: float
    ) -> None:
        """Records the arrival of a job at a time of the boot-time clock."""
        work = estimated_work(submission)
        if work != JobWork():
            arrivals = self._arrivals_by_pool.setdefault(
                pool_id, _PoolArrivals()
            )
            arrivals.add(at, work)

    def arriving_load(self, pool_id: PoolId, now: float) -> ArrivingLoad:
        """Returns what work arriving at this rate occupies."""
        arrivals = self._arrivals_by_pool.get(pool_id)
        return arrivals.load(now) if arrivals else ArrivingLoad()


class _PoolArrivals:
    """Recent arrivals at one pool."""

    def __init__(self) -> None:
        self._times: list[float] = []
        self._works: collections.deque[JobWork] = collections.deque(
            maxlen=MAX_WORK_SAMPLES
        )
        self._changed_at = float("-inf")

    def add(self, at: float, work: JobWork) -> None:
        """Adds an arrival, which may be reported late."""
        bisect.insort(self._times, at)
        # Also trimmed here, as the load of some pools is not read.
        self._remove_before(self._times[-1] - MAX_WINDOW_S)
        self._works.append(work)

    def load(self, now: float) -> ArrivingLoad:
        """Returns the arriving load."""
        self._remove_before(now - MAX_WINDOW_S)
        begin = self._rate_window_start(now)
        if self._count_since(now - QUIET_WINDOW_S) < MIN_ARRIVALS:
            return ArrivingLoad()
        count = self._count_since(begin)
        span_s = now - begin
        divisor = len(self._works) * span_s
        return ArrivingLoad(
            count * sum(each.cpu_s for each in self._works) / divisor,
            count * sum(each.memory_mb_s for each in self._works) / divisor,
        )

    def _rate_window_start(self, now: float) -> float:
        """Returns the time since which the rate has been the same."""
        begin = max(self._changed_at, now - MAX_WINDOW_S)
        for window_s in RECENT_WINDOWS_S:
            if self._has_changed(begin, now - window_s, now):
                self._changed_at = now - window_s
                return self._changed_at
        return begin

    def _has_changed(self, begin: float, middle: float, now: float) -> bool:
        """Whether jobs have come at another rate since `middle`."""
        if middle <= begin:
            return False
        later = self._count_since(middle)
        earlier = self._count_since(begin) - later
        if max(earlier, later) < MIN_ARRIVALS:
            return False
        ratio = (now - middle) / (middle - begin)
        expected = ratio * earlier
        # Numbers of independent arrivals vary like those of a Poisson process.
        # An empty past is no proof of a rate of zero.
        variance = max(1, earlier) * ratio * (1 + ratio)
        deviation = abs(later - expected)
        return deviation > SIGNIFICANT_DEVIATIONS * math.sqrt(variance)

    def _remove_before(self, at: float) -> None:
        del self._times[: bisect.bisect_left(self._times, at)]

    def _count_since(self, at: float) -> int:
        return len(self._times) - bisect.bisect_left(self._times, at)


def estimated_work(submission: Submission) -> JobWork:
    """Returns the estimated work of the short tasks of a job."""
    cpu_s = memory_mb_s = 0.0
    for step in submission.steps:
        if step.is_short:
            seconds = step.count * step.estimate_ms / 1000
            cpu_s += step.size.cpu * seconds
            memory_mb_s += step.size.memory_mb * seconds
    return JobWork(cpu_s, memory_mb_s)
