"""What a driver reports to the log about the task of a placed job."""

from typing import NamedTuple

from sardinedrift import changes as ch
from sardinedrift import objects
from sardinedrift.identifiers import ChangeId, JobStep, Offset


class Report(NamedTuple):
    """What happened to a task; see `JobProgress`."""

    step: JobStep
    reason: str = ""
    final: bool = False
    memory_gb: float | None = None


RUNNING = Report(JobStep.RUNNING)


def task_id(job: objects.Job) -> str:
    """Returns the id of a job's task; each place of a job has its own."""
    return f"{job.job_id}.{job.place}"


def progress(
    job: objects.Job, worker_lease: Offset, report: Report
) -> ch.JobProgress:
    """Returns the change that reports on a placed job.

    Its id is the same each time, so that the fold applies it once.
    """
    name = f"{task_id(job)}.{worker_lease}.{report.step.value}"
    return ch.JobProgress(
        change_id=ChangeId(name),
        job_id=job.job_id,
        instance_id=job.instance_id,
        place=job.place,
        worker_lease=worker_lease,
        step=report.step,
        reason=report.reason,
        final=report.final,
        memory_gb=report.memory_gb,
    )
