"""Data model of jobs, steps, tasks and their recorded progress."""

import enum
from typing import NamedTuple, NewType

import msgspec

from sardinedrift.clientbounds import LegalBounds
from sardinedrift.identifiers import JobId, PoolId, QueueId, TeamId

WorkerId = NewType("WorkerId", str)
MachineId = NewType("MachineId", str)
WaveNumber = NewType("WaveNumber", int)
FencingToken = NewType("FencingToken", int)
"""Fencing token of a controller; increases with each term."""


class JobState(enum.Enum):
    """State of a job, as reported to callers."""

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
    """Phase of the current run of a task.

    Attributes:
        DECIDED: the decision is not durable yet, so no order was sent.
        ORDERED: a start order may have been sent; it is not confirmed yet.
        RUNNING: the worker confirmed the start.
        STOPPING: a stop order is being sent.
    """

    DECIDED = "decided"
    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


class RunEnd(enum.Enum):
    """Outcome of a run.

    Attributes:
        LAPSED: the outcome is unknown or there is none: the lease expired, the
            worker was lost, or the run did not start.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Size(msgspec.Struct, frozen=True, array_like=True):
    """Resources requested by a task, provided by a worker or set as a limit.

    Attributes:
        cpu: thousandths of a core.
        memory_mb: memory in megabytes.
        accelerators: number of accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class Step(msgspec.Struct, frozen=True, array_like=True):
    """A step of a job: `count` tasks of the same kind.

    Attributes:
        size: resources requested by each task.
        estimate_ms: the caller's rough estimate of a task's duration.
        after: numbers of earlier steps that must be completed first.
        gang: the tasks make progress only while all of them run; they share
            one run number.
        rack_sensitive: the tasks slow down when they span racks.
        label: label that a worker must have, or "" for any worker.
        data_rack: rack of the data; tasks elsewhere are slower. "" for none.
        max_per_worker: maximum number of tasks of the step on one worker; 0
            for no limit.
        checkpoints: the tasks save their progress.
        speculative: copies of a task may run at the same time.
        long_running: the tasks run until the job is cancelled.
        image: name of the program; tasks of one image behave alike.
        target_ms: limit on the tail latency of a task that serves requests;
            0 for a task that does not.
        fills: the tasks use only CPU that others leave idle; it does not
            count against a worker's capacity.
        may_miss: maximum number of tasks of the step that may be down because
            of the controller's own orders; 0 for no guarantee.
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

    @property
    def is_short(self) -> bool:
        """Whether the tasks end by themselves and are not paced."""
        return not self.long_running and not self.fills


class QueuePolicy(msgspec.Struct, frozen=True, array_like=True):
    """How the jobs of a queue are run.

    It is kept with each job, since a job is finished also after its queue has
    been withdrawn. A job should be completed within `stretch` times its
    critical path plus `latency_ms`.

    Attributes:
        pool_id: pool of workers that runs the queue's tasks.
        priority: 0 is the highest.
        max_attempts: number of failed runs of a task after which its job
            fails.
        stretch: factor of the critical path in the objective.
        latency_ms: constant part of the objective.
        advised: only workers named by the advice service may run a step.
    """

    pool_id: PoolId
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency_ms: int = 0
    advised: bool = False


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """An accepted job.

    Attributes:
        accepted_ms: time of acceptance in Unix milliseconds, by the clock of
            the accepting entry.
        payload: text that is passed to every task unchanged.
        repeats: number of occurrences; 0 for a job without a schedule.
        start_ms: time at which occurrence 0 is due, in Unix milliseconds.
        interval_ms: time between occurrences.
        policy: that of its queue when it was accepted; None in records of
            versions that did not keep it, and of ended jobs.
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
    policy: QueuePolicy | None = None

    def shortened(self) -> "Submission":
        """Returns a copy without payload and steps, kept for an ended job."""
        return Submission(
            self.job_id, self.queue_id, self.team_id, self.accepted_ms, "", ()
        )


class TaskId(NamedTuple):
    """Identity of a task; `occurrence` is 0 for a job without a schedule."""

    job_id: JobId
    occurrence: int
    step: int
    index: int


class TaskRecord(msgspec.Struct, frozen=True, array_like=True):
    """Recorded progress of one task.

    Attributes:
        run: number of the last run for which an order may have been sent.
        worker_id: worker of that run.
        born_ms: start time, in Unix milliseconds, of the process of that worker
            for which the run was decided.
        failures: number of failed runs.
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

    @property
    def shows_start(self) -> bool:
        """Whether a run of the task may have started."""
        return self.state is not TaskState.WAITING or self.failures > 0


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Recorded progress of a job.

    Attributes:
        started: a run of a task has been placed.
        tasks: records of the tasks that have had a run.
        ended_ms: end of the job in Unix milliseconds, or 0.
    """

    state: JobState
    started: bool
    tasks: tuple[TaskRecord, ...] = ()
    ended_ms: int = 0


class Queue(msgspec.Struct, frozen=True):
    """A queue, as published by operators.

    Attributes:
        host: host name at which callers reach the queue.
        prefix: path prefix of the queue.
        policy: how its jobs are run.
        anonymous: calls need no key.
    """

    queue_id: QueueId
    host: str
    prefix: str
    policy: QueuePolicy
    anonymous: bool = False


class Team(msgspec.Struct, frozen=True):
    """A client account.

    Attributes:
        weight: share of a full pool, relative to the other client accounts.
        limit: maximum resources of its running tasks over all pools; a field
            of 0 means no limit.
    """

    team_id: TeamId
    weight: float = 1.0
    limit: Size = Size()


class Pool(msgspec.Struct, frozen=True):
    """A pool of workers.

    Attributes:
        spare: its machines are off and cost nothing.
        guarded: its workers refuse tasks that exceed their free capacity.
        cold_per_s: starts per second that a worker can take while it is slow
            after its own start; 0 for no limit.
    """

    pool_id: PoolId
    spare: bool = False
    guarded: bool = True
    cold_per_s: float = 0.0


class Configuration(msgspec.Struct, frozen=True):
    """A complete published configuration.

    Attributes:
        team_id_by_key: client accounts by the secret of their key.
        max_body_bytes: maximum size of a request body.
        legal_bounds: what clients may do on their connections.
    """

    version: int
    queue_by_id: dict[QueueId, Queue]
    pool_by_id: dict[PoolId, Pool]
    team_by_id: dict[TeamId, Team]
    team_id_by_key: dict[str, TeamId]
    max_body_bytes: int
    legal_bounds: LegalBounds = LegalBounds()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue of the host with the longest matching prefix."""
        matching = (
            queue
            for queue in self.queue_by_id.values()
            if queue.host == host and path.startswith(queue.prefix)
        )
        return max(matching, key=lambda each: len(each.prefix), default=None)
