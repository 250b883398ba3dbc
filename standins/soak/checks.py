"""Checks the guarantees against the observations of callers and workers."""

import itertools
from collections.abc import Iterator
from typing import NamedTuple

from sardinedrift.engine.model import TaskId
from sardinedrift.platform.jobs import parse_task_name
from standins.platform.worker import RunHistory, UnreadAcknowledgement
from standins.soak.callers import (
    FINAL_STATES,
    MAX_TASK_ATTEMPTS,
    JobKind,
    SoakJob,
)

# Limits from the operators' documentation: the time within which a withdrawn
# key stops working, and within which tasks of a cancelled job no longer start.
KEY_WITHDRAWAL_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 4.0
# The same for starts in a data centre whose evacuation was requested.
EVACUATION_TIMEOUT_S = 5.0
# Time within which the other entries show a state that one entry has shown.
PROPAGATION_TIMEOUT_S = 3.0
# Time after the last fault from which these limits apply again.
FAULT_RECOVERY_S = 4.0
_REJECTION_STATUSES = frozenset((400, 401, 403, 404, 413, 429, 503))


class Withdrawal(NamedTuple):
    """A withdrawn key and the time its withdrawal was acknowledged."""

    key: str
    acknowledged_at: float


class Evacuation(NamedTuple):
    """An evacuation of a data centre.

    Attributes:
        acknowledged_at: when the request was acknowledged.
        withdrawn_at: when the withdrawal was requested.
    """

    zone: str
    acknowledged_at: float
    withdrawn_at: float


class Observations(NamedTuple):
    """Observations of a seed; all times are of the monotonic clock.

    Attributes:
        faults_ended_at: time at which the last fault ended.
        exits: a line for each process that exited unexpectedly, did not exit
            in time or was not ready in time.
        unread_acknowledgements: ends that a worker was told to forget before
            it had listed them.
    """

    jobs: list[SoakJob]
    histories: list[RunHistory]
    withdrawals: list[Withdrawal]
    faults_ended_at: float
    exits: list[str]
    unread_acknowledgements: list[UnreadAcknowledgement]
    evacuations: list[Evacuation]


def violations(observations: Observations) -> Iterator[str]:
    """Yields a line for each violation, which starts with its kind."""
    runs_by_task: dict[str, list[RunHistory]] = {}
    for history in sorted(
        observations.histories, key=lambda each: each.started_at
    ):
        runs_by_task.setdefault(history.task, []).append(history)
    runs_by_job: dict[str, dict[TaskId, list[RunHistory]]] = {}
    for task, runs in runs_by_task.items():
        yield from _check_duplicate_runs(runs)
        yield from _check_lapses(runs, observations.faults_ended_at)
        yield from _check_max_attempts(runs)
        task_id = parse_task_name(task)
        runs_by_job.setdefault(task_id.job_id, {})[task_id] = runs
    for job in observations.jobs:
        runs_by_id = runs_by_job.pop(job.job_id, {})
        yield from _check_step_order(runs_by_id)
        yield from _check_rejected(job, runs_by_id)
        yield from _check_cancelled(
            job, runs_by_id, observations.faults_ended_at
        )
        yield from _check_reported_states(job, runs_by_id)
        yield from _check_final_state(job, observations.faults_ended_at)
        yield from _check_lost(job)
        yield from _check_withdrawn_keys(job, observations.withdrawals)
    for job_id in runs_by_job:
        yield f"UNASKED: tasks of {job_id} started, but no caller submitted it"
    for acknowledged in observations.unread_acknowledgements:
        yield (
            f"UNREAD: end {acknowledged.number} acknowledged to"
            f" {acknowledged.worker}, which has not listed it"
        )
    yield from _check_evacuations(observations)
    yield from observations.exits


def _check_duplicate_runs(runs: list[RunHistory]) -> Iterator[str]:
    for first, second in itertools.pairwise(runs):
        if first.ended_at is None or second.started_at < first.ended_at:
            yield f"TWICE: {first.task} runs {first.run}, {second.run} overlap"
        if first.how == "done" and first.acknowledged:
            yield f"TWICE: {first.task} run {second.run} after it was done"


def _check_lapses(
    runs: list[RunHistory], faults_ended_at: float
) -> Iterator[str]:
    """Yields the runs that lapsed although no fault had affected them."""
    undisturbed_at = faults_ended_at + FAULT_RECOVERY_S
    for run in runs:
        if run.how == "lapsed" and run.started_at > undisturbed_at:
            yield f"LAPSED: {run.task} run {run.run} without a fault"


def _check_max_attempts(runs: list[RunHistory]) -> Iterator[str]:
    failed = 0
    for run in runs:
        if failed >= MAX_TASK_ATTEMPTS:
            yield f"BUDGET: {run.task} run {run.run} after {failed} failures"
        failed += run.how == "failed" and run.acknowledged


def _check_step_order(
    runs_by_id: dict[TaskId, list[RunHistory]],
) -> Iterator[str]:
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
            yield f"ORDER: {runs[0].task} ran before its earlier step was done"


def _check_rejected(
    job: SoakJob, runs_by_id: dict[TaskId, list[RunHistory]]
) -> Iterator[str]:
    statuses = {submission.status for submission in job.submissions}
    if runs_by_id and statuses <= _REJECTION_STATUSES:
        yield f"REFUSED: {job.job_id} was rejected with {statuses} but ran"


def _check_cancelled(
    job: SoakJob,
    runs_by_id: dict[TaskId, list[RunHistory]],
    faults_ended_at: float,
) -> Iterator[str]:
    if job.cancelled_at is None:
        return
    deadline = (
        max(job.cancelled_at, faults_ended_at + FAULT_RECOVERY_S)
        + CANCEL_TIMEOUT_S
    )
    for run in itertools.chain.from_iterable(runs_by_id.values()):
        if run.started_at > deadline:
            yield f"UNASKED: {run.task} started after it was cancelled"
        if run.ended_at is None:
            yield f"UNASKED: {run.task} still runs after it was cancelled"


def _check_reported_states(
    job: SoakJob, runs_by_id: dict[TaskId, list[RunHistory]]
) -> Iterator[str]:
    for report in job.state_reports:
        if report.state == "completed":
            yield from _check_completed(job, runs_by_id, report.received_at)
        if report.state == "failed" and job.kind is not JobKind.FAILING:
            yield f"LOST: {job.job_id} is shown as failed but no task fails"
        if report.state == "cancelled" and job.cancel_sent_at is None:
            yield f"LOST: {job.job_id} is cancelled without a request"


def _check_final_state(job: SoakJob, faults_ended_at: float) -> Iterator[str]:
    """Yields reports that contradict an earlier final state.

    The entry that reported the final state must report it from then on, the
    other entries once it has propagated.
    """
    final = next(
        (each for each in job.state_reports if each.state in FINAL_STATES), None
    )
    if final is None:
        return
    propagated_at = (
        max(final.received_at, faults_ended_at + FAULT_RECOVERY_S)
        + PROPAGATION_TIMEOUT_S
    )
    for later in job.state_reports:
        known_from = (
            final.received_at
            if later.address == final.address
            else propagated_at
        )
        if later.requested_at > known_from and later.state != final.state:
            yield f"STATE: {job.job_id} was {final.state}, then {later.state!r}"


def _check_completed(
    job: SoakJob,
    runs_by_id: dict[TaskId, list[RunHistory]],
    received_at: float,
) -> Iterator[str]:
    done = sum(
        any(run.how == "done" and run.ended_at <= received_at for run in runs)
        for runs in runs_by_id.values()
    )
    expected = sum(step["count"] for step in job.steps)
    if done < expected:
        yield f"MIXED: {job.job_id} completed with {done}/{expected} tasks done"


def _check_lost(job: SoakJob) -> Iterator[str]:
    accepted_at = job.accepted_at
    if accepted_at is None:
        return
    if any(not each.state for each in job.state_reports):
        yield f"LOST: {job.job_id} was accepted but is unknown"
    last_state = (
        job.state_reports[-1].state if job.state_reports else "never reported"
    )
    if job.cancel_sent_at is not None:
        if job.cancelled_at is not None and last_state not in FINAL_STATES:
            yield f"LOST: {job.job_id} was cancelled but is {last_state}"
    elif last_state != job.kind.value:
        yield f"LOST: {job.job_id} is {last_state}, expected {job.kind.value}"


def _check_evacuations(observations: Observations) -> Iterator[str]:
    """Yields the starts in a data centre that was evacuated long enough.

    Faults cut entries off from the store and delay orders to workers, so the
    bound applies once they have ended.
    """
    undisturbed_at = observations.faults_ended_at + FAULT_RECOVERY_S
    for evacuation in observations.evacuations:
        began_at = max(evacuation.acknowledged_at, undisturbed_at)
        deadline = began_at + EVACUATION_TIMEOUT_S
        for run in observations.histories:
            if (
                run.zone == evacuation.zone
                and deadline < run.started_at < evacuation.withdrawn_at
            ):
                yield f"EVACUATED: {run.task} started in {run.zone}"


def _check_withdrawn_keys(
    job: SoakJob, withdrawals: list[Withdrawal]
) -> Iterator[str]:
    for withdrawal in withdrawals:
        for submission in job.submissions:
            if (
                job.key == withdrawal.key
                and submission.status == 200
                and submission.sent_at
                > withdrawal.acknowledged_at + KEY_WITHDRAWAL_TIMEOUT_S
            ):
                yield f"KEY: {job.job_id} was accepted with a withdrawn key"
