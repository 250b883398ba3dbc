"""Time limit for answers that follows how long they take."""

# An answer may take this many times as long as the last one.
MARGIN = 3.0


class AnswerTimeout:
    """Time limit for the answers of one peer.

    A short limit lets a lost answer be noticed soon. It doubles after a call
    without an answer, so that a peer which is only slow is understood, and
    halves after one with an answer.

    Args:
        min_s: lowest limit, in seconds.
        max_s: highest limit, in seconds.

    Attributes:
        limit_s: the limit for the next call, in seconds.
    """

    def __init__(self, min_s: float, max_s: float):
        self.limit_s = min_s
        self._min_s = min_s
        self._max_s = max_s

    def record_answer(self, took_s: float = 0.0) -> None:
        """Lowers the limit after an answer that took some seconds."""
        limit_s = max(self._min_s, self.limit_s / 2, MARGIN * took_s)
        self.limit_s = min(limit_s, self._max_s)

    def record_timeout(self) -> None:
        """Raises the limit after a call without an answer."""
        self.limit_s = min(2 * self.limit_s, self._max_s)
