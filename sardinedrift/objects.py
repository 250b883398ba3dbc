"""Immutable objects of the folded state."""

import msgspec

from sardinedrift.identifiers import (
    DataCentreId,
    EntryId,
    EntryState,
    InstanceId,
    InstanceKind,
    InstanceState,
    JobId,
    JobState,
    KeyId,
    KeyState,
    MoveId,
    MoveState,
    Offset,
    PoolId,
    QueueId,
    RuleId,
    TeamId,
    WaveId,
    WaveState,
    WaveStep,
    WorkClass,
)


class DataCentre(msgspec.Struct, frozen=True):
    """A data centre and its region."""

    data_centre_id: DataCentreId
    region: str
    revision: int


class Team(msgspec.Struct, frozen=True):
    """A team with its default share and its limit across the fleet."""

    team_id: TeamId
    share: float
    limit: int
    max_configuration_age: float | None
    revision: int


class Key(msgspec.Struct, frozen=True):
    """A key; `digest` is the SHA-256 of the secret in hexadecimal."""

    key_id: KeyId
    team_id: TeamId
    digest: str
    state: KeyState
    revision: int


class Pool(msgspec.Struct, frozen=True):
    """A pool: its reserves, as fractions of slots, and availability budgets."""

    pool_id: PoolId
    quick_reserve: float
    long_floor: float
    max_unavailable: int
    max_unavailable_per_rack: int
    spare: bool
    revision: int


class Queue(msgspec.Struct, frozen=True):
    """A queue of a pool, with the teams that may use it and its limits."""

    queue_id: QueueId
    pool_id: PoolId
    work_class: WorkClass
    idempotent: bool
    open_team: TeamId | None
    team_ids: tuple[TeamId, ...]
    max_body_bytes: int
    max_run_seconds: float
    revision: int


class Rule(msgspec.Struct, frozen=True):
    """The share of a team within one pool."""

    rule_id: RuleId
    pool_id: PoolId
    team_id: TeamId
    share: float
    revision: int


class Drain(msgspec.Struct, frozen=True):
    """A drain in progress.

    Attributes:
        offset: offset of the record that started it.
        waiting: entries that have not acknowledged it.
    """

    offset: Offset
    waiting: tuple[EntryId, ...]
    move_id: MoveId | None = None
    wave_id: WaveId | None = None


class Instance(msgspec.Struct, frozen=True):
    """An endpoint instance; it belongs to exactly one pool.

    Attributes:
        up: whether the instance was up when last observed by its data centre.
        lent_from: pool to which it returns at the end of a wave; set from the
            start of the move that lends it to the end of the move back.
        lent_wave_id: wave that borrows it.
    """

    instance_id: InstanceId
    kind: InstanceKind
    data_centre_id: DataCentreId
    pool_id: PoolId
    rack: str
    address: str
    slots: int
    connections: int
    cores: float
    memory_gb: float
    accelerators: int
    state: InstanceState
    up: bool
    drain: Drain | None
    revision: int
    lent_from: PoolId | None = None
    lent_wave_id: WaveId | None = None

    @property
    def available(self) -> bool:
        """Whether budgets count the instance as available."""
        return self.up and self.state is InstanceState.ACTIVE

    @property
    def home_pool_id(self) -> PoolId:
        """Pool to which the instance belongs when it is not lent."""
        return self.lent_from or self.pool_id


class Move(msgspec.Struct, frozen=True):
    """A move of an instance between pools.

    Attributes:
        forget_at: unix seconds from which an ended move may be dropped.
    """

    move_id: MoveId
    instance_id: InstanceId
    from_pool_id: PoolId
    to_pool_id: PoolId
    state: MoveState
    revision: int
    wave_id: WaveId | None = None
    forget_at: float | None = None


class Wave(msgspec.Struct, frozen=True):
    """A maintenance wave.

    Attributes:
        return_deadline_by_instance: unix seconds by which a rebooting
            instance must have returned.
        borrow: maximum number of instances lent to it at once.
        forget_at: unix seconds from which an ended wave may be dropped.
        started: offset of the record that started it.
    """

    wave_id: WaveId
    pool_id: PoolId
    canary: int
    max_failures: int
    return_seconds: float
    state: WaveState
    step_by_instance: dict[InstanceId, WaveStep]
    return_deadline_by_instance: dict[InstanceId, float]
    revision: int
    borrow: int = 0
    forget_at: float | None = None
    started: Offset = Offset(-1)

    @property
    def reboot_token(self) -> str:
        """Token of the wave's reboots; its id may be reused after the wave."""
        return f"{self.wave_id}.{self.started}"

    def count(self, step: WaveStep) -> int:
        """Returns the number of instances at a step."""
        return sum(1 for each in self.step_by_instance.values() if each is step)


class Entry(msgspec.Struct, frozen=True):
    """An entry process that asked to join.

    Attributes:
        waiting: members that have not acknowledged the join.
    """

    entry_id: EntryId
    data_centre_id: DataCentreId
    address: str
    state: EntryState
    waiting: tuple[EntryId, ...]
    time: float


class Membership(msgspec.Struct, frozen=True):
    """The active entries of a data centre from a point in log time on."""

    time: float
    entry_ids: tuple[EntryId, ...]


class Allowances(msgspec.Struct, frozen=True):
    """Division of the limit of a team.

    Attributes:
        units_by_entry: units held by each entry.
        returning: (deadline, units) pairs of holders that are gone; they count
            as held until the deadline in log time.
        jobs: units held by placed jobs.
        waiting_jobs: number of jobs waiting for placement; they hold no unit.
    """

    units_by_entry: dict[EntryId, int]
    returning: tuple[tuple[float, int], ...] = ()
    jobs: int = 0
    waiting_jobs: int = 0

    @property
    def total(self) -> int:
        """Number of units that running work may be using."""
        held = sum(self.units_by_entry.values()) + self.jobs
        return held + sum(units for _, units in self.returning)


class Snapshot(msgspec.Struct, frozen=True):
    """Progress of a snapshot in the log."""

    snapshot_id: str
    as_of: Offset
    first_offset: Offset
    time: float
    count: int
    indexes: tuple[int, ...]

    @property
    def complete(self) -> bool:
        """Whether every chunk is in the log."""
        return len(self.indexes) == self.count


class Job(msgspec.Struct, frozen=True):
    """A job of a team for the guarded workers of a pool.

    Attributes:
        memory_gb: declared size, or the size learned from its use.
        deadline: unix seconds by which it must have started, or None.
        submitted: offset of its submission; jobs of a team wait in order.
        instance_id: worker it is placed on, or None.
        place: offset of the record that last placed it; -1 before.
        tries: number of its tasks that failed.
        failed_on: workers on which its tasks failed.
        reason: machine-readable reason of its state, or "".
        time: log time of the last change of its state.
    """

    job_id: JobId
    team_id: TeamId
    pool_id: PoolId
    cores: float
    memory_gb: float
    accelerators: int
    deadline: float | None
    max_run_seconds: float
    preemptible: bool
    submitted: Offset
    state: JobState
    time: float
    instance_id: InstanceId | None = None
    place: Offset = Offset(-1)
    tries: int = 0
    failed_on: tuple[InstanceId, ...] = ()
    reason: str = ""
    revision: int = 1


class WorkerUse(msgspec.Struct, frozen=True):
    """Lease on a worker and the jobs placed on it.

    Only the lease holder may start tasks on the worker.

    Attributes:
        lease: number of the newest lease; -1 before the first.
        holder: entry that holds it.
    """

    instance_id: InstanceId
    lease: Offset = Offset(-1)
    holder: EntryId | None = None
    job_ids: tuple[JobId, ...] = ()
