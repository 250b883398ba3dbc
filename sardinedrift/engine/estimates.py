"""Corrects the callers' estimates of task durations by what is observed.

Callers' estimates are wrong by a factor that differs by queue and by client
account, but is similar for the jobs of one account on a queue. Performs no I/O.
"""

import collections
import math
import statistics
from typing import NamedTuple

import msgspec

from sardinedrift.engine.fleet import step_key
from sardinedrift.engine.model import RunEnd, Submission, TaskId
from sardinedrift.engine.task import Run, Task
from sardinedrift.identifiers import QueueId, TeamId

# Number of steps whose ratios determine a median. The tasks of one job have
# similar ratios, and some jobs take several times as long as usual, so a step
# counts once, however many tasks it has.
WINDOW_STEPS = 15
# Steps that left a window are remembered up to this number, as their last tasks
# may end much later.
MAX_FORMER_STEPS = 100
# The median of fewer steps says little.
MIN_STEPS = 5
# Bounds of the correction. Estimates are expected to be wrong by a factor of up
# to 2.5, and a run also takes the time to order it and to read its end.
MIN_RATIO = 0.25
MAX_RATIO = 4.0
# Account and queue pairs for which ratios are kept, those with the newest ends.
MAX_ACCOUNTS = 1000


class Account(NamedTuple):
    """A client account on a queue."""

    queue_id: QueueId
    team_id: TeamId


class _StepRatio(msgspec.Struct):
    """Ratios of the ended tasks of a step."""

    total: float = 0.0
    count: int = 0

    @property
    def mean(self) -> float:
        return self.total / self.count


class _Window:
    """Ratios of the steps whose tasks ended most recently.

    Attributes:
        ratio: their bounded median; None while there are too few steps.
    """

    def __init__(self) -> None:
        self.ratio: float | None = None
        self._ratio_by_step: dict[TaskId, _StepRatio] = {}
        # An ordered set: the values carry nothing.
        self._former_steps: dict[TaskId, None] = {}

    def add(self, key: TaskId, ratio: float) -> None:
        """Adds the ratio of an ended task of a step.

        A step that has left the window does not come back: its last tasks alone
        are not typical of it.
        """
        if key in self._former_steps:
            return
        step_ratio = self._ratio_by_step.setdefault(key, _StepRatio())
        step_ratio.total += ratio
        step_ratio.count += 1
        if len(self._ratio_by_step) > WINDOW_STEPS:
            self._remove_oldest()
        if len(self._ratio_by_step) < MIN_STEPS:
            return
        median = statistics.median(
            each.mean for each in self._ratio_by_step.values()
        )
        self.ratio = min(MAX_RATIO, max(MIN_RATIO, median))

    def _remove_oldest(self) -> None:
        oldest = next(iter(self._ratio_by_step))
        del self._ratio_by_step[oldest]
        self._former_steps[oldest] = None
        if len(self._former_steps) > MAX_FORMER_STEPS:
            del self._former_steps[next(iter(self._former_steps))]


class DurationEstimates:
    """Learns the ratio of actual to estimated duration from ended runs.

    The ratio of a client account on a queue applies once enough of its steps
    have ended, else that of the queue, else 1.
    """

    def __init__(self) -> None:
        self._window_by_queue: dict[QueueId, _Window] = {}
        self._window_by_account: collections.OrderedDict[Account, _Window] = (
            collections.OrderedDict()
        )

    def record(
        self, run: Run, how: RunEnd, now: float, cold_until: float = 0.0
    ) -> None:
        """Records the end of a run, if it tells how long its task takes.

        The time from the decision counts: for that long, a run occupies
        capacity. Excluded are runs that an earlier controller decided or that
        resumed from a checkpoint, as their time is not that of the whole task,
        filling tasks, whose pace varies, and runs on cold workers.

        Args:
            run: the run.
            how: how it ended.
            now: boot-time clock in seconds.
            cold_until: boot-time clock until which its worker was slow after
                its start.
        """
        step = run.task.step
        if how is not RunEnd.DONE or not run.observed_from_start:
            return
        if step.long_running or step.fills or step.estimate_ms <= 0:
            return
        if run.decided_at < cold_until:
            return
        ratio = (now - run.decided_at) * 1000 / step.estimate_ms
        key = step_key(run.task.task_id)
        account = account_of(run.task.job.submission)
        self._window_by_queue.setdefault(account.queue_id, _Window()).add(
            key, ratio
        )
        self._window_by_account.setdefault(account, _Window()).add(key, ratio)
        self._window_by_account.move_to_end(account)
        if len(self._window_by_account) > MAX_ACCOUNTS:
            self._window_by_account.popitem(last=False)

    def learned_ratio(self, account: Account) -> float | None:
        """Returns the ratio for an account; None if there are too few ends."""
        by_account = self._window_by_account.get(account)
        if by_account is not None and by_account.ratio is not None:
            return by_account.ratio
        by_queue = self._window_by_queue.get(account.queue_id)
        return None if by_queue is None else by_queue.ratio

    def ratio(self, account: Account) -> float:
        """Returns the factor by which to multiply an account's estimates."""
        ratio = self.learned_ratio(account)
        return 1.0 if ratio is None else ratio

    def duration_s(self, task: Task) -> float:
        """Returns the expected duration of a task in seconds.

        It is infinite for a task that does not end by itself, and for one
        without an estimate.
        """
        step = task.step
        if step.long_running or step.estimate_ms <= 0:
            return math.inf
        return (
            step.estimate_ms
            / 1000
            * self.ratio(account_of(task.job.submission))
        )


def account_of(submission: Submission) -> Account:
    """Returns the account and queue of a job."""
    return Account(submission.queue_id, submission.team_id)
