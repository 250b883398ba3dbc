"""Commands for jobs on guarded workers."""

import time
from typing import Any

import click

from sardinedrift import changes as ch
from sardinedrift.commands import make_group
from sardinedrift.context import Context, example, pass_context
from sardinedrift.progress import add_watch

job = make_group("job", "jobs", "")
add_watch(
    job,
    "jobs",
    ("waiting", "placed", "running", "cancelling"),
    "Shows a job until it ends; exit status 1 unless it is done.",
)


@example("sardinedrift job submit --team-id red --pool-id pairing --cores 4")
@job.command("submit")
@click.option("--team-id", required=True)
@click.option("--pool-id", required=True)
@click.option("--cores", type=float, default=1.0, show_default=True)
@click.option("--memory-gb", type=float, default=1.0, show_default=True)
@click.option("--accelerators", type=int, default=0, show_default=True)
@click.option(
    "--start-within",
    type=click.FloatRange(min=0, min_open=True),
    help="Time limit for the start, in seconds from now.",
)
@click.option(
    "--max-run-seconds", type=float, default=3600.0, show_default=True
)
@click.option(
    "--preemptible/--not-preemptible",
    default=True,
    show_default=True,
    help="Whether a drain of its worker stops the job after a checkpoint.",
)
@click.option("--job-id", help="Id of the job; generated if omitted.")
@pass_context
def submit_job(
    context: Context,
    start_within: float | None,
    job_id: str | None,
    **fields: Any,
) -> None:
    """Submits a job; it is refused if it fits no worker of the pool."""
    job_id = context.new_object_id("job", job_id)
    deadline = time.time() + start_within if start_within else None
    change = ch.SubmitJob(
        change_id=context.change_id, job_id=job_id, deadline=deadline, **fields
    )
    context.publish([change])
    context.print_id("job", job_id)


@example("sardinedrift job cancel job-4f1c2d3e")
@job.command("cancel")
@click.argument("job_id", metavar="JOB")
@click.option(
    "--evidence",
    default="",
    help="How its worker is known to have ended for good.",
)
@pass_context
def cancel_job(context: Context, job_id: str, evidence: str) -> None:
    """Cancels a job; a placed job ends when its task has stopped."""
    change = ch.CancelJob(
        change_id=context.change_id, job_id=job_id, evidence=evidence
    )
    context.publish([change])
