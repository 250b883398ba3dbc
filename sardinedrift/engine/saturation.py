"""Detects that a controller has accepted more work than it can handle.

The workers may have free capacity then: what binds is the number of orders that
the controller can send on its share of a core. Performs no I/O.
"""

import collections

import msgspec

# The controller is saturated once the tasks that are left would take it longer
# than this at its present rate, as their jobs would complete too late to be of
# use.
MAX_REMAINING_S = 4.0
# It is no longer saturated below this share of that time.
RECOVERED_SHARE = 0.5
# Above this multiple of that time, the jobs of every client account only wait.
SEVERE_FACTOR = 2.0
# Period over which the rate is measured.
RATE_PERIOD_S = 5.0
# Samples in a row in which the processor time or the limit on orders binds, to
# become saturated, and in which neither does, to recover.
MIN_LIMITED_SAMPLES = 2
MIN_FREE_SAMPLES = 3


class _Sample(msgspec.Struct, frozen=True):
    """Number of runs that had ended at a time of the boot-time clock."""

    at: float
    ended: int


class Saturation:
    """Compares the accepted work with the rate at which it is done.

    Attributes:
        saturated: further jobs would only wait.
        severe: that holds for client accounts without waiting jobs, too.
        remaining_s: time that the tasks which were left at the last sample
            take at the present rate; None without a rate.
    """

    def __init__(self) -> None:
        self.saturated = False
        self.severe = False
        self.remaining_s: float | None = None
        self._ended = 0
        self._passes = 0
        self._limited_passes = 0
        self._limited_samples = 0
        self._free_samples = 0
        self._samples: collections.deque[_Sample] = collections.deque()

    def record_end(self) -> None:
        """Records the end of a run."""
        self._ended += 1

    def record_pass(self, limited: bool) -> None:
        """Records a planning pass.

        Args:
            limited: whether the limit on orders left startable tasks unplaced,
                or too little processor time has lowered it.
        """
        self._passes += 1
        self._limited_passes += limited

    def sample(self, tasks: int, now: float) -> None:
        """Judges the state anew; called at a fixed interval.

        Args:
            tasks: tasks that are left of the accepted jobs.
            now: boot-time clock in seconds.
        """
        self._count_sample()
        self._samples.append(_Sample(now, self._ended))
        while now - self._samples[0].at > RATE_PERIOD_S:
            self._samples.popleft()
        self.remaining_s = self._remaining_s(tasks, now)
        if self.saturated:
            self.saturated = (
                self._free_samples < MIN_FREE_SAMPLES
                and not self._takes_at_most(RECOVERED_SHARE * MAX_REMAINING_S)
            )
        else:
            self.saturated = (
                self._limited_samples >= MIN_LIMITED_SAMPLES
                and self._takes_longer_than(MAX_REMAINING_S)
            )
        self.severe = self.saturated and (
            not self._takes_at_most(MAX_REMAINING_S)
            if self.severe
            else self._takes_longer_than(SEVERE_FACTOR * MAX_REMAINING_S)
        )

    def _remaining_s(self, tasks: int, now: float) -> float | None:
        if not tasks:
            return 0.0
        first = self._samples[0]
        ended = self._ended - first.ended
        return tasks * (now - first.at) / ended if ended else None

    def _count_sample(self) -> None:
        """Counts whether the limit bound in most passes since the last one."""
        if self._passes and 2 * self._limited_passes >= self._passes:
            self._limited_samples += 1
            self._free_samples = 0
        else:
            self._limited_samples = 0
            self._free_samples += 1
        self._passes = self._limited_passes = 0

    def _takes_at_most(self, limit_s: float) -> bool:
        return self.remaining_s is not None and self.remaining_s <= limit_s

    def _takes_longer_than(self, limit_s: float) -> bool:
        return self.remaining_s is not None and self.remaining_s > limit_s
