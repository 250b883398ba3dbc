"""Completion objectives of jobs; performs no I/O."""

from sardinedrift.engine.model import QueuePolicy
from sardinedrift.engine.work import Job

# Share of the estimated time that the rest of a job takes at least, where no
# ratio is learned: estimates are rough then, and a job must not become late
# because it is taken to be late.
MIN_ESTIMATE_SHARE = 0.5
# A job that has taken this many times the time of its objective is overdue.
OVERDUE_FACTOR = 3.0


def objective_ms(job: Job, policy: QueuePolicy) -> float:
    """Returns the time by which a job should complete, in Unix ms."""
    span_ms = policy.stretch * job.critical_path_ms + policy.latency_ms
    return _start_ms(job) + span_ms


def misses_objective(
    job: Job, policy: QueuePolicy, now_ms: float, ratio: float | None = None
) -> bool:
    """Whether a job can no longer complete by its objective.

    That is judged by the time that the steps which are not done take, or if no
    ratio is learned, by the least time that they may take. Jobs that repeat or
    run until they are cancelled have no such objective.

    Args:
        job: the job.
        policy: that of its queue.
        now_ms: current time in Unix ms.
        ratio: learned ratio of actual to estimated duration, if any.
    """
    if not has_objective(job):
        return False
    share = MIN_ESTIMATE_SHARE if ratio is None else ratio
    rest_ms = share * job.remaining_path_ms
    return now_ms + rest_ms > objective_ms(job, policy)


def is_overdue(job: Job, policy: QueuePolicy, now_ms: float) -> bool:
    """Whether a job has taken so long that its result is of little use.

    Args:
        job: the job.
        policy: that of its queue.
        now_ms: current time in Unix ms.
    """
    if not has_objective(job):
        return False
    start_ms = _start_ms(job)
    span_ms = objective_ms(job, policy) - start_ms
    return now_ms > start_ms + OVERDUE_FACTOR * span_ms


def has_objective(job: Job) -> bool:
    """Whether a job has an objective for its completion.

    Jobs that repeat or run until they are cancelled have none.
    """
    return not job.submission.repeats and not job.long_running


def _start_ms(job: Job) -> int:
    submission = job.submission
    return submission.start_ms if submission.repeats else submission.accepted_ms
