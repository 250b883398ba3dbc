"""Clocks of batch work."""

import abc
import time


class Clock(abc.ABC):
    """Source of times."""

    @abc.abstractmethod
    def boot(self) -> float:
        """Returns seconds that also pass while the process is suspended."""

    @abc.abstractmethod
    def unix_ms(self) -> int:
        """Returns unix milliseconds."""


class SystemClock(Clock):
    """The clocks of the machine."""

    def boot(self) -> float:
        """Returns seconds of CLOCK_BOOTTIME."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_ms(self) -> int:
        """Returns unix milliseconds."""
        return time.time_ns() // 1_000_000
