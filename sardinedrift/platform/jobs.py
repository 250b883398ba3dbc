"""Decodes jobs that callers submit, and task names on the wire."""

import re

import msgspec

from sardinedrift.engine.exceptions import CallError
from sardinedrift.engine.model import Queue, Size, Step, Submission, TaskId
from sardinedrift.identifiers import JobId, TeamId
from sardinedrift.jsoncodec import decode_json
from sardinedrift.platform.fields import Count

_JOB_ID = re.compile(r"[0-9a-f]{16}", re.IGNORECASE)
MAX_PAYLOAD_BYTES = 4000
# A job with more tasks is taken for a mistake, and would delay other jobs.
MAX_TASKS = 10_000


class _Step(msgspec.Struct, frozen=True):
    count: Count = 1
    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0
    estimate_ms: Count = 0
    after: tuple[Count, ...] = ()
    gang: bool = False
    rack_sensitive: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_server: Count = 0
    checkpoints: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    # Upper bound on the tail latency of a task that serves users.
    target_ms: Count = 0
    fills: bool = False
    may_miss: Count = 0


class _Job(msgspec.Struct, frozen=True):
    steps: tuple[_Step, ...]
    spec: str = ""
    repeats: Count = 0
    start_at_ms: Count = 0
    interval_ms: Count = 0


def parse_job_id(text: str) -> JobId:
    """Returns the job id that a path contains.

    Raises:
        CallError: the text is not 16 hexadecimal digits.
    """
    if not _JOB_ID.fullmatch(text):
        raise CallError(400, "bad_job_id")
    return JobId(text)


def find_job_id(path: str) -> JobId | None:
    """Returns the job id at the end of a path, or None without one."""
    name = path.rpartition("/")[2]
    return JobId(name) if _JOB_ID.fullmatch(name) else None


def decode_job(
    body: bytes,
    job_id: JobId,
    queue: Queue,
    team_id: TeamId,
    accepted_ms: int,
) -> Submission:
    """Decodes and validates the job in the body of a call.

    Raises:
        CallError: the body is malformed or a value is out of range.
    """
    try:
        job = decode_json(body, _Job)
    except msgspec.DecodeError as error:
        raise CallError(400, "bad_job", str(error)) from error
    _validate(job)
    if _tasks_due_at(job, accepted_ms) > MAX_TASKS:
        raise CallError(400, "bad_job", "too many tasks are due at once")
    return Submission(
        job_id,
        queue.queue_id,
        team_id,
        accepted_ms,
        job.spec,
        tuple(_to_step(step) for step in job.steps),
        job.repeats,
        job.start_at_ms,
        job.interval_ms,
        queue.policy,
    )


def _validate(job: _Job) -> None:
    if len(job.spec.encode()) > MAX_PAYLOAD_BYTES:
        raise CallError(400, "bad_job", "spec is too long")
    if not job.steps:
        raise CallError(400, "bad_job", "a job needs a step")
    if min(job.repeats, job.start_at_ms, job.interval_ms) < 0:
        raise CallError(400, "bad_job", "times must not be negative")
    if sum(step.count for step in job.steps) > MAX_TASKS:
        raise CallError(400, "bad_job", "too many tasks")
    for number, step in enumerate(job.steps):
        amounts = (
            step.cpu,
            step.mem_mb,
            step.gpu,
            step.estimate_ms,
            step.max_per_server,
            step.target_ms,
            step.may_miss,
        )
        if step.count < 1 or min(amounts) < 0:
            raise CallError(400, "bad_job", f"step {number}: bad number")
        if any(not 0 <= index < number for index in step.after):
            raise CallError(
                400, "bad_job", f"step {number}: after names no earlier step"
            )


def _tasks_due_at(job: _Job, now_ms: int) -> int:
    """Returns the number of tasks that are due at a time in Unix ms."""
    count = sum(step.count for step in job.steps)
    elapsed_ms = max(0, now_ms - job.start_at_ms)
    due = elapsed_ms // max(1, job.interval_ms) + 1
    if not job.interval_ms:
        due = job.repeats
    return count * max(1, min(job.repeats, due))


def _to_step(step: _Step) -> Step:
    return Step(
        step.count,
        Size(step.cpu, step.mem_mb, step.gpu),
        step.estimate_ms,
        step.after,
        step.gang,
        step.rack_sensitive,
        step.required_label,
        step.data_rack,
        step.max_per_server,
        step.checkpoints,
        step.speculative,
        step.long_running,
        step.image,
        step.target_ms,
        step.fills,
        step.may_miss,
    )


def task_name(task_id: TaskId) -> str:
    """Returns the name of a task on the wire."""
    return ".".join(str(part) for part in task_id)


def step_name(task_id: TaskId) -> str:
    """Returns the name of a task's step on the wire."""
    return ".".join(str(part) for part in task_id[:3])


def parse_task_name(name: str) -> TaskId:
    """Returns the id of the task that has a name on the wire.

    Raises:
        ValueError: the name is malformed.
    """
    job_id, occurrence, step, index = name.split(".")
    return TaskId(JobId(job_id), int(occurrence), int(step), int(index))
