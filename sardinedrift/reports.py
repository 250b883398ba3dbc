"""Reports that the driver publishes about the tasks of placed jobs."""

from typing import NamedTuple

from sardinedrift import changes as ch
from sardinedrift import objects
from sardinedrift.identifiers import ChangeId, JobStep, Offset


class TaskReport(NamedTuple):
    """Progress or end of a task; the fields are those of `JobProgress`."""

    step: JobStep
    reason: str = ""
    final: bool = False
    memory_gb: float | None = None


RUNNING = TaskReport(JobStep.RUNNING)


def task_id(job: objects.Job) -> str:
    """Returns the id of a job's task; each placement of a job has its own."""
    return f"{job.job_id}.{job.place}"


def progress_change(
    job: objects.Job, worker_lease: Offset, report: TaskReport
) -> ch.JobProgress:
    """Returns the change that publishes a report.

    Its change id is deterministic, so that the fold applies a repeated report
    only once.
    """
    change_id = f"{task_id(job)}.{worker_lease}.{report.step.value}"
    return ch.JobProgress(
        change_id=ChangeId(change_id),
        job_id=job.job_id,
        instance_id=job.instance_id,
        place=job.place,
        worker_lease=worker_lease,
        step=report.step,
        reason=report.reason,
        final=report.final,
        memory_gb=report.memory_gb,
    )
