"""Rate limit of log lines that samples whole jobs."""

import collections
import zlib

# Maximum number of lines per second of each event, for lines without a job.
EVENT_LINES_PER_SECOND = 400
# Maximum number of lines per second of all jobs together.
JOB_LINES_PER_SECOND = 2000


class LineBudget:
    """Decides which log lines are written, second by second.

    The lines of all jobs share a budget. As it is used up, the share of sampled
    jobs is halved. Jobs are sampled by a hash of their id, so that the lines of
    a sampled job stay together; on every node, the jobs of a smaller sample are
    part of each larger one. The share doubles again after a second that used
    less than a quarter of the budget.
    """

    def __init__(self) -> None:
        self._second = 0
        self._lines_by_event: collections.Counter[str] = collections.Counter()
        self._job_lines = 0
        self._halvings = 0
        self._halvings_in_second = 0

    @property
    def job_share(self) -> float:
        """Share of jobs that are sampled."""
        return 0.5**self._halvings

    def begin(self, second: int) -> bool:
        """Starts a second; returns False if it is the current one."""
        if second == self._second:
            return False
        self._second = second
        if self._job_lines < JOB_LINES_PER_SECOND / 4:
            self._halvings = max(0, self._halvings - 1)
        self._job_lines = 0
        self._halvings_in_second = 0
        self._lines_by_event.clear()
        return True

    def admits(self, event: str, job_id: str | None) -> bool:
        """Returns whether to write a line, and counts it against the budget."""
        if job_id is None:
            self._lines_by_event[event] += 1
            return self._lines_by_event[event] <= EVENT_LINES_PER_SECOND
        if (
            not self._is_sampled(job_id)
            or self._job_lines >= JOB_LINES_PER_SECOND
        ):
            return False
        self._job_lines += 1
        # Halving at 1/2, 3/4, 7/8 ... of the budget makes it last for the
        # second.
        remaining = JOB_LINES_PER_SECOND - self._job_lines
        if remaining <= JOB_LINES_PER_SECOND * 0.5 ** (
            self._halvings_in_second + 1
        ):
            self._halvings += 1
            self._halvings_in_second += 1
        return True

    def _is_sampled(self, job_id: str) -> bool:
        mask = (1 << self._halvings) - 1
        return zlib.crc32(job_id.encode()) & mask == 0
