"""Clocks of the job engine."""

import abc
import time


class Clock(abc.ABC):
    """Source of the current time."""

    @abc.abstractmethod
    def boot(self) -> float:
        """Returns the boot-time clock in seconds.

        It is monotonic and also advances during a suspension.
        """

    @abc.abstractmethod
    def unix_ms(self) -> int:
        """Returns the wall-clock time in Unix milliseconds."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def boot(self) -> float:
        """Returns seconds of CLOCK_BOOTTIME."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_ms(self) -> int:
        """Returns the wall-clock time in Unix milliseconds."""
        return time.time_ns() // 1_000_000
