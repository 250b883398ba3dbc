"""The promises, checked from what callers and workers saw."""

import itertools
from collections.abc import Iterator
from typing import NamedTuple

from sardinedrift.engine.model import TaskId
from sardinedrift.platform.jobs import parse_task_name
from standins.platform.worker import RunHistory
from standins.soak.callers import ENDED, MAX_ATTEMPTS, JobKind, SoakJob

# Bounds of the operators' pages: a withdrawn key stops working, and a task of
# a cancelled job no longer starts, within these times.
REVOKE_S = 5.0
CANCEL_S = 4.0
# What one entry has told, the others tell after this time.
VISIBLE_S = 3.0
# Calm time after which bounds hold again.
CONTACT_S = 4.0
_REJECTED = frozenset((400, 401, 403, 404, 413, 429, 503))


class Withdrawal(NamedTuple):
    """A key and when its withdrawal was acknowledged."""

    key: str
    at: float


class Record(NamedTuple):
    """What was seen; all times are of the monotonic clock.

    Attributes:
        calm_since: end of the last fault.
        exits: processes that ended by themselves or late, or were not ready
            in time, in words.
    """

    jobs: list[SoakJob]
    histories: list[RunHistory]
    withdrawals: list[Withdrawal]
    calm_since: float
    exits: list[str]


def violations(record: Record) -> Iterator[str]:
    """Yields each broken promise in a line."""
    runs_by_task: dict[str, list[RunHistory]] = {}
    for history in sorted(record.histories, key=lambda each: each.started_at):
        runs_by_task.setdefault(history.task, []).append(history)
    runs_by_job: dict[str, dict[TaskId, list[RunHistory]]] = {}
    for task, runs in runs_by_task.items():
        yield from _twice(runs)
        yield from _budget(runs)
        task_id = parse_task_name(task)
        runs_by_job.setdefault(task_id.job_id, {})[task_id] = runs
    for job in record.jobs:
        runs_by_id = runs_by_job.pop(job.job_id, {})
        yield from _order(runs_by_id)
        yield from _refused(job, runs_by_id)
        yield from _cancelled(job, runs_by_id, record.calm_since)
        yield from _told(job, runs_by_id)
        yield from _unsteady(job, record.calm_since)
        yield from _lost(job)
        yield from _keys(job, record.withdrawals)
    for job_id in runs_by_job:
        yield f"UNASKED: tasks of {job_id} started, which nobody handed in"
    yield from record.exits


def _twice(runs: list[RunHistory]) -> Iterator[str]:
    for first, second in itertools.pairwise(runs):
        if first.ended_at is None or second.started_at < first.ended_at:
            yield f"TWICE: {first.task} runs {first.run} and {second.run}"
        if first.how == "done" and first.noted:
            yield f"TWICE: {first.task} run {second.run} after its end"


def _budget(runs: list[RunHistory]) -> Iterator[str]:
    failed = 0
    for run in runs:
        if failed >= MAX_ATTEMPTS:
            yield f"BUDGET: {run.task} run {run.run} after {failed} failures"
        failed += run.how == "failed" and run.noted


def _order(runs_by_id: dict[TaskId, list[RunHistory]]) -> Iterator[str]:
    done_at = [
        min(
            (run.ended_at for run in runs if run.how == "done"),
            default=float("inf"),
        )
        for task_id, runs in runs_by_id.items()
        if task_id.step == 0
    ]
    for task_id, runs in runs_by_id.items():
        if task_id.step == 1 and runs[0].started_at < max(done_at, default=0):
            yield f"ORDER: {runs[0].task} before its earlier step was done"


def _refused(
    job: SoakJob, runs_by_id: dict[TaskId, list[RunHistory]]
) -> Iterator[str]:
    statuses = {attempt.status for attempt in job.attempts}
    if runs_by_id and statuses <= _REJECTED:
        yield f"REFUSED: {job.job_id} was rejected by {statuses} and ran"


def _cancelled(
    job: SoakJob,
    runs_by_id: dict[TaskId, list[RunHistory]],
    calm_since: float,
) -> Iterator[str]:
    if job.cancelled_at is None:
        return
    until = max(job.cancelled_at, calm_since + CONTACT_S) + CANCEL_S
    for run in itertools.chain.from_iterable(runs_by_id.values()):
        if run.started_at > until:
            yield f"UNASKED: {run.task} started after it was cancelled"
        if run.ended_at is None:
            yield f"UNASKED: {run.task} works on after it was cancelled"


def _told(
    job: SoakJob, runs_by_id: dict[TaskId, list[RunHistory]]
) -> Iterator[str]:
    for sighting in job.sightings:
        if sighting.state == "completed":
            yield from _completed(job, runs_by_id, sighting.told_at)
        if sighting.state == "failed" and job.kind is not JobKind.POISON:
            yield f"LOST: {job.job_id} is shown as failed without cause"
        if sighting.state == "cancelled" and job.cancel_sent_at is None:
            yield f"LOST: {job.job_id} is shown as cancelled without cause"


def _unsteady(job: SoakJob, calm_since: float) -> Iterator[str]:
    """Yields ends that were taken back: at once by the entry that told it."""
    end = next((each for each in job.sightings if each.state in ENDED), None)
    if end is None:
        return
    visible_at = max(end.told_at, calm_since + CONTACT_S) + VISIBLE_S
    for later in job.sightings:
        known_from = end.told_at if later.address == end.address else visible_at
        if later.asked_at > known_from and later.state != end.state:
            yield f"STATE: {job.job_id} was {end.state}, then {later.state!r}"


def _completed(
    job: SoakJob,
    runs_by_id: dict[TaskId, list[RunHistory]],
    told_at: float,
) -> Iterator[str]:
    done = sum(
        any(run.how == "done" and run.ended_at <= told_at for run in runs)
        for runs in runs_by_id.values()
    )
    expected = sum(step["count"] for step in job.steps)
    if done < expected:
        yield f"MIXED: {job.job_id} completed with {done} of {expected} done"


def _lost(job: SoakJob) -> Iterator[str]:
    accepted_at = job.accepted_at
    if accepted_at is None:
        return
    if any(not each.state for each in job.sightings):
        yield f"LOST: {job.job_id} was accepted and is unknown"
    last = job.sightings[-1].state if job.sightings else "never told"
    if job.cancel_sent_at is not None:
        if job.cancelled_at is not None and last not in ENDED:
            yield f"LOST: {job.job_id} was cancelled and is {last}"
    elif last != job.kind.value:
        yield f"LOST: {job.job_id} is {last}, not {job.kind.value}"


def _keys(job: SoakJob, withdrawals: list[Withdrawal]) -> Iterator[str]:
    for withdrawal in withdrawals:
        for attempt in job.attempts:
            if (
                job.key == withdrawal.key
                and attempt.status == 200
                and attempt.sent_at > withdrawal.at + REVOKE_S
            ):
                yield f"KEY: {job.job_id} was accepted with a withdrawn key"
