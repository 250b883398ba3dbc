"""Holds work back from a worker whose tasks fail."""

from sardinedrift.ports import Clock

FIRST_SECONDS = 1.0
LONGEST_SECONDS = 60.0


class Probation:
    """Delay that doubles with each failure, until something succeeds.

    Attributes:
        failures: failures since the last success.
    """

    def __init__(self, clock: Clock):
        self.failures = 0
        self._clock = clock
        self._ends_at = 0.0

    def count_failure(self) -> None:
        """Extends the delay."""
        delay = min(
            FIRST_SECONDS * 2 ** min(self.failures, 10), LONGEST_SECONDS
        )
        self.failures += 1
        self._ends_at = self._clock.now() + delay

    def count_success(self) -> None:
        """Trusts the worker again."""
        self.failures = 0
        self._ends_at = 0.0

    def room(self, placed: int, unlimited: int) -> int:
        """Returns how many more jobs may be placed on the worker.

        Args:
            placed: jobs placed there now; one is a trial after a failure.
            unlimited: the answer for a worker without failures.
        """
        if self._clock.now() < self._ends_at:
            return 0
        return max(0, 1 - placed) if self.failures else unlimited
