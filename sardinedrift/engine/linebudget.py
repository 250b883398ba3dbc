"""Bound on log lines a second, with the lines of one job kept together."""

import collections
import zlib

# Lines of one event in a second, of those that concern no job.
EVENT_LINES_PER_SECOND = 400
# Lines of all jobs in a second.
JOB_LINES_PER_SECOND = 2000


class LineBudget:
    """Decides which lines of a second are written.

    Lines of jobs share a budget. As it runs out, the share of jobs whose lines
    are written is halved, by a hash of the job's id, so that what is written
    of a job stays whole; the jobs of a smaller share are part of each larger
    one, on every node. The share doubles again after a quiet second.
    """

    def __init__(self) -> None:
        self._second = 0
        self._lines_by_event: collections.Counter[str] = collections.Counter()
        self._job_lines = 0
        self._halvings = 0
        self._halvings_now = 0

    @property
    def job_share(self) -> float:
        """Share of the jobs whose lines are written."""
        return 0.5**self._halvings

    def begin(self, second: int) -> bool:
        """Begins a second; returns False when it had already begun."""
        if second == self._second:
            return False
        self._second = second
        if self._job_lines < JOB_LINES_PER_SECOND / 4:
            self._halvings = max(0, self._halvings - 1)
        self._job_lines = 0
        self._halvings_now = 0
        self._lines_by_event.clear()
        return True

    def admits(self, event: str, job_id: str | None) -> bool:
        """Whether a line is to be written; it then counts."""
        if job_id is None:
            self._lines_by_event[event] += 1
            return self._lines_by_event[event] <= EVENT_LINES_PER_SECOND
        if not self._keeps(job_id) or self._job_lines >= JOB_LINES_PER_SECOND:
            return False
        self._job_lines += 1
        # Halved at 1/2, 3/4, 7/8 ... of the budget, so that it lasts.
        left = JOB_LINES_PER_SECOND - self._job_lines
        if left <= JOB_LINES_PER_SECOND * 0.5 ** (self._halvings_now + 1):
            self._halvings += 1
            self._halvings_now += 1
        return True

    def _keeps(self, job_id: str) -> bool:
        mask = (1 << self._halvings) - 1
        return zlib.crc32(job_id.encode()) & mask == 0
