"""Bounds the share of time that a repeated piece of work takes."""

import contextlib
from collections.abc import Iterator

from sardinedrift.engine.clock import Clock

MAX_DELAY_S = 0.25


class Pace:
    """Delays the next pass of some work in proportion to the last one.

    With a large backlog, or on a slow core, a pass takes long. Without a pause
    between passes, nothing is left for reports and for the renewal of leases.

    Args:
        clock: boot-time clock.
        max_share: share of the time that the passes may take; exceeded by
            passes that call for a delay of more than `MAX_DELAY_S`.
    """

    def __init__(self, clock: Clock, max_share: float):
        self._clock = clock
        self._delay_factor = 1 / max_share - 1
        self._next_at = 0.0

    def delay_s(self) -> float:
        """Returns the seconds to wait before the next pass."""
        return max(0.0, self._next_at - self._clock.boot())

    @contextlib.contextmanager
    def measure(self) -> Iterator[None]:
        """Measures the pass within the context."""
        began_at = self._clock.boot()
        try:
            yield
        finally:
            ended_at = self._clock.boot()
            delay_s = self._delay_factor * (ended_at - began_at)
            self._next_at = ended_at + min(delay_s, MAX_DELAY_S)
