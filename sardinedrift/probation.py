"""Backoff for the placement of jobs on a worker whose tasks fail."""

from sardinedrift.ports import Clock

INITIAL_DELAY_SECONDS = 1.0
MAX_DELAY_SECONDS = 60.0


class Probation:
    """Delay that doubles with each failure and is reset by a success.

    Attributes:
        failures: failures since the last success.
    """

    def __init__(self, clock: Clock):
        self.failures = 0
        self._clock = clock
        self._ends_at = 0.0

    def count_failure(self) -> None:
        """Starts a delay; it doubles with each failure up to the maximum."""
        delay = min(
            INITIAL_DELAY_SECONDS * 2 ** min(self.failures, 10),
            MAX_DELAY_SECONDS,
        )
        self.failures += 1
        self._ends_at = self._clock.now() + delay

    def count_success(self) -> None:
        """Ends the delay and resets the failures."""
        self.failures = 0
        self._ends_at = 0.0

    def placement_capacity(self, placed: int, unlimited: int) -> int:
        """Returns how many more jobs may be placed on the worker.

        Args:
            placed: jobs placed there now. A worker with failures gets one job
                at a time, as a trial.
            unlimited: result for a worker without failures.
        """
        if self._clock.now() < self._ends_at:
            return 0
        return max(0, 1 - placed) if self.failures else unlimited
