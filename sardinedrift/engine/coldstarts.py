"""Limits the starts on a worker that is cold; performs no I/O."""

import collections


class ColdStarts:
    """Recent starts on a worker, and how many more it can take while cold.

    Attributes:
        per_s: starts per second that it can take while cold; 0 for no limit.
    """

    def __init__(self) -> None:
        self.per_s = 0.0
        self._started_at: collections.deque[float] = collections.deque()

    def record(self, at: float) -> None:
        """Records a start on the cold worker.

        Args:
            at: boot-time clock at which it was decided.
        """
        if self.per_s:
            self._started_at.append(at)

    def left(self, now: float) -> int | None:
        """Returns how many more starts it can take now; None for any number."""
        if not self.per_s:
            return None
        # Below one start per second, the one start takes more than a second.
        window_s = max(1.0, 1.0 / self.per_s)
        started_at = self._started_at
        while started_at and started_at[0] <= now - window_s:
            started_at.popleft()
        return max(0, max(1, int(self.per_s)) - len(started_at))
