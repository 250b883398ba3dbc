"""Jobs, steps, tasks and what is recorded of them."""

import enum
from typing import NamedTuple, NewType

import msgspec

from sardinedrift.identifiers import JobId, PoolId, QueueId, TeamId

WorkerId = NewType("WorkerId", str)
MachineId = NewType("MachineId", str)
WaveNumber = NewType("WaveNumber", int)
Token = NewType("Token", int)
"""Fencing token of a controller; rises with each term."""


class JobState(enum.Enum):
    """State of a job as callers see it."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)


class TaskState(enum.Enum):
    """State of a task in the recorded progress."""

    WAITING = 0
    ACTIVE = 1
    DONE = 2


class RunPhase(enum.Enum):
    """How far the current run of a task is.

    DECIDED: not yet durable, so no order was sent. ORDERED: a start is on its
    way. RUNNING: the worker confirmed it. STOPPING: a stop is on its way.
    """

    DECIDED = "decided"
    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


class RunEnd(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Size(msgspec.Struct, frozen=True, array_like=True):
    """What a task asks for, or a worker or a limit has.

    Attributes:
        cpu: thousandths of a core.
        memory_mb: megabytes.
        accelerators: number of accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class Step(msgspec.Struct, frozen=True, array_like=True):
    """A step of a job: `count` tasks of the same kind.

    Attributes:
        size: what each task asks for.
        estimate_ms: the caller's rough estimate of a task's duration.
        after: numbers of earlier steps that must be done first.
        gang: the tasks work only while all are present, under one run number.
        rack_sensitive: the tasks slow down when they span racks.
        label: label a worker must have, or "".
        data_rack: rack of the data; tasks elsewhere are slower. "" for none.
        max_per_worker: most tasks of the step on one worker; 0 for any.
        checkpoints: the tasks save their progress.
        speculative: copies of a task may run at the same time.
        long_running: the tasks run until the job is cancelled.
        image: tasks of one image behave alike.
        target_ms: bound on the tail of the response times of a task that
            serves; 0 for a task that does not serve.
        fills: the tasks use what others leave; their cpu takes no room.
        may_miss: most tasks of the step that may be away because of our
            orders; 0 for no promise.
    """

    count: int
    size: Size = Size()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    rack_sensitive: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    checkpoints: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """A job as it was accepted.

    Attributes:
        accepted_ms: unix milliseconds by the accepting entry's clock.
        payload: text that is passed to every task unchanged.
        repeats: number of occurrences; 0 for a job without times.
        start_ms: unix milliseconds at which occurrence 0 is due.
        interval_ms: time between occurrences.
    """

    job_id: JobId
    queue_id: QueueId
    team_id: TeamId
    accepted_ms: int
    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    start_ms: int = 0
    interval_ms: int = 0

    def shortened(self) -> "Submission":
        """Returns what is kept of a job that is over: no payload, no steps."""
        return Submission(
            self.job_id, self.queue_id, self.team_id, self.accepted_ms, "", ()
        )


class TaskId(NamedTuple):
    """Identity of a task; `occurrence` is 0 for a job without times."""

    job_id: JobId
    occurrence: int
    step: int
    index: int


class TaskRecord(msgspec.Struct, frozen=True, array_like=True):
    """Recorded progress of one task.

    Attributes:
        run: number of the last run that may have been ordered.
        worker_id: worker of that run.
        born_ms: start of the worker's life in which the run was ordered.
        failures: runs that ended as failed.
        checkpoint: newest saved progress, or "".
        machine_id: machine of that worker, or "".
    """

    occurrence: int
    step: int
    index: int
    state: TaskState
    run: int = 0
    worker_id: WorkerId = WorkerId("")
    born_ms: int = 0
    failures: int = 0
    checkpoint: str = ""
    machine_id: MachineId = MachineId("")


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Recorded progress of a job.

    Attributes:
        started: a task has been started.
        tasks: the tasks that are no longer as at the beginning.
        ended_ms: unix milliseconds of the job's end, or 0.
    """

    state: JobState
    started: bool
    tasks: tuple[TaskRecord, ...] = ()
    ended_ms: int = 0


class Queue(msgspec.Struct, frozen=True):
    """A queue as operators publish it.

    Attributes:
        host: host name under which callers reach it.
        prefix: beginning of its paths.
        pool_id: pool of workers that runs its tasks.
        priority: 0 comes first.
        max_attempts: failed runs of a task after which its job fails.
        anonymous: calls need no key.
        stretch: the objective is this many times the longest chain of work,
        latency_ms: and this much more.
        advised: only workers named by the advice service may run a step.
    """

    queue_id: QueueId
    host: str
    prefix: str
    pool_id: PoolId
    priority: int = 0
    max_attempts: int = 1
    anonymous: bool = False
    stretch: float = 1.0
    latency_ms: int = 0
    advised: bool = False


class Team(msgspec.Struct, frozen=True):
    """A client account.

    Attributes:
        weight: its share of a full pool, relative to the others.
        limit: most it may have running in all pools; 0 in a field for any.
    """

    team_id: TeamId
    weight: float = 1.0
    limit: Size = Size()


class Pool(msgspec.Struct, frozen=True):
    """A pool of workers.

    Attributes:
        spare: its machines are off and cost nothing.
        guarded: its workers refuse what does not fit.
    """

    pool_id: PoolId
    spare: bool = False
    guarded: bool = True


class Configuration(msgspec.Struct, frozen=True):
    """A published configuration, in full.

    Attributes:
        team_id_by_key: client accounts by the secrets of their keys.
        max_body_bytes: largest body of a call.
    """

    version: int
    queue_by_id: dict[QueueId, Queue]
    pool_by_id: dict[PoolId, Pool]
    team_by_id: dict[TeamId, Team]
    team_id_by_key: dict[str, TeamId]
    max_body_bytes: int

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue of the host with the longest matching prefix."""
        matching = (
            queue
            for queue in self.queue_by_id.values()
            if queue.host == host and path.startswith(queue.prefix)
        )
        return max(matching, key=lambda each: len(each.prefix), default=None)
