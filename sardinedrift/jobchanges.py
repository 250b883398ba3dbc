"""Typed changes of jobs; `changes` exports them with all others."""

from sardinedrift.changebase import Change, OperatorChange
from sardinedrift.identifiers import (
    EntryId,
    InstanceId,
    JobId,
    JobStep,
    Offset,
    PoolId,
    TeamId,
)


class SubmitJob(OperatorChange, frozen=True, kw_only=True):
    """Submits a job; a job id is used only once, so the revision is 0.

    Attributes:
        deadline: unix seconds by which it must have started; None: any time.
        max_run_seconds: a task that runs longer is stopped.
        preemptible: whether a drain stops it after a checkpoint; a drain
            waits for the end of any other job.
    """

    job_id: JobId
    team_id: TeamId
    pool_id: PoolId
    cores: float
    memory_gb: float
    accelerators: int = 0
    deadline: float | None = None
    max_run_seconds: float = 3600.0
    preemptible: bool = True
    expected_revision: int = 0


class CancelJob(OperatorChange, frozen=True, kw_only=True):
    """Cancels a job; a placed one ends once its task is stopped.

    Attributes:
        expected_revision: 0 cancels the job at any revision.
        evidence: proof that the worker has terminated for good; if given,
            the job ends at once. "" waits for the worker.
    """

    job_id: JobId
    expected_revision: int = 0
    evidence: str = ""


class TakeWorkerLease(Change, frozen=True, kw_only=True):
    """Takes the lease of a worker; its number is the offset of the record."""

    instance_id: InstanceId
    entry_id: EntryId


class PlaceJob(Change, frozen=True, kw_only=True):
    """Places a waiting job, if the fold finds size, lease and limit valid."""

    job_id: JobId
    instance_id: InstanceId
    worker_lease: Offset


class JobProgress(Change, frozen=True, kw_only=True):
    """Reports that the task of a placed job has reached a step.

    Attributes:
        place: offset of the record that placed the job, so that a late
            report about an earlier placement has no effect.
        worker_lease: number of the lease under which the step was observed.
        reason: machine-readable reason of a failure, or "".
        final: whether a failed job is not retried.
        memory_gb: learned size of a stopped job, or None.
    """

    job_id: JobId
    instance_id: InstanceId
    place: Offset
    worker_lease: Offset
    step: JobStep
    reason: str = ""
    final: bool = False
    memory_gb: float | None = None


class ExpireJob(Change, frozen=True, kw_only=True):
    """Ends a job that has not started by its deadline."""

    job_id: JobId
