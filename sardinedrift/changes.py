"""Typed changes, the content of log records.

A record of the log is the JSON form of a `Batch`. The fold applies each change
id only once, so an append whose response was lost can safely be repeated. A
repetition returns the first result. Allowance changes have a sequence number
of their publisher instead, and their repetitions are rejected.
"""

import msgspec

from sardinedrift.allowancechanges import (
    AllowanceGive,
    AllowanceReturn,
    AllowanceTake,
)
from sardinedrift.changebase import Change, OperatorChange
from sardinedrift.identifiers import (
    ChangeId,
    DataCentreId,
    EntryId,
    InstanceId,
    InstanceKind,
    KeyId,
    MoveId,
    Offset,
    PoolId,
    QueueId,
    RuleId,
    TeamId,
    WaveId,
    WaveStep,
    WorkClass,
)
from sardinedrift.jobchanges import (
    CancelJob,
    ExpireJob,
    JobProgress,
    PlaceJob,
    SubmitJob,
    TakeWorkerLease,
)
from sardinedrift.jsoncodec import decode_json, is_too_deep


class PutDataCentre(OperatorChange, frozen=True, kw_only=True):
    """Creates or edits a data centre."""

    data_centre_id: DataCentreId
    region: str


class PutTeam(OperatorChange, frozen=True, kw_only=True):
    """Creates or edits a team.

    Attributes:
        share: weight when the fleet is at capacity, above 0.
        limit: maximum number of requests and jobs running at once across the
            fleet.
        max_configuration_age: seconds; an entry with older configuration
            refuses the requests of the team. None: no limit.
    """

    team_id: TeamId
    share: float
    limit: int
    max_configuration_age: float | None = None


class GrantKey(OperatorChange, frozen=True, kw_only=True):
    """Grants a key to a team; only the digest of the secret is recorded."""

    key_id: KeyId
    team_id: TeamId
    digest: str


class WithdrawKey(OperatorChange, frozen=True, kw_only=True):
    """Withdraws a key permanently."""

    key_id: KeyId


class PutPool(OperatorChange, frozen=True, kw_only=True):
    """Creates or edits a pool.

    Attributes:
        quick_reserve: fraction of the slots that long-running work cannot
            hold, 0 to 1.
        long_floor: fraction of the slots in which long-running work has
            priority, 0 to 1.
        max_unavailable: availability budget: maximum number of unavailable
            instances of the pool.
        max_unavailable_per_rack: the same within each rack.
        spare: whether waves may borrow instances from this pool.
    """

    pool_id: PoolId
    quick_reserve: float = 0.25
    long_floor: float = 0.1
    max_unavailable: int = 1
    max_unavailable_per_rack: int = 1
    spare: bool = False


class PutQueue(OperatorChange, frozen=True, kw_only=True):
    """Creates or edits a queue.

    Attributes:
        idempotent: whether a request may be sent more than once.
        open_team: team to which requests without a key are attributed;
            None: a key is required.
        team_ids: teams that may use the queue; empty: all.
        max_body_bytes: maximum size of a request body.
        max_run_seconds: maximum run time, which sets the run deadline.
    """

    queue_id: QueueId
    pool_id: PoolId
    work_class: WorkClass = WorkClass.QUICK
    idempotent: bool = False
    open_team: TeamId | None = None
    team_ids: tuple[TeamId, ...] = ()
    max_body_bytes: int = 1 << 20
    max_run_seconds: float = 60.0


class PutRule(OperatorChange, frozen=True, kw_only=True):
    """Sets the share of a team within one pool."""

    rule_id: RuleId
    pool_id: PoolId
    team_id: TeamId
    share: float


class Delete(OperatorChange, frozen=True, kw_only=True):
    """Removes a team, pool, queue, rule, instance or data centre."""

    kind: str
    object_id: str


class PutInstance(OperatorChange, frozen=True, kw_only=True):
    """Creates or edits an endpoint instance.

    The pool and the data centre are set at creation; only a move changes the
    pool.
    """

    instance_id: InstanceId
    kind: InstanceKind
    data_centre_id: DataCentreId
    pool_id: PoolId
    rack: str
    address: str
    slots: int = 8
    connections: int = 64
    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0


class StartMove(OperatorChange, frozen=True, kw_only=True):
    """Starts the move of an instance to another pool.

    The expected revision is that of the instance.

    Attributes:
        wave_id: wave that borrows or returns the instance, if any.
    """

    move_id: MoveId
    instance_id: InstanceId
    pool_id: PoolId
    wave_id: WaveId | None = None


class CancelMove(OperatorChange, frozen=True, kw_only=True):
    """Cancels a move that is still draining."""

    move_id: MoveId


class StartWave(OperatorChange, frozen=True, kw_only=True):
    """Starts maintenance of instances within the budgets of their pool.

    Attributes:
        canary: number of first instances that are maintained one at a time.
        max_failures: the wave stops at this number of failed instances.
        return_seconds: timeout for the return of a rebooted instance.
        borrow: maximum number of instances of spare pools that are lent to
            the wave at once.
    """

    wave_id: WaveId
    pool_id: PoolId
    instance_ids: tuple[InstanceId, ...] = ()
    canary: int = 1
    max_failures: int = 2
    return_seconds: float = 600.0
    borrow: int = 0


class StopWave(OperatorChange, frozen=True, kw_only=True):
    """Stops a wave; the maintenance of started instances is completed."""

    wave_id: WaveId


class EntryJoin(Change, frozen=True, kw_only=True):
    """Requests membership for an entry process."""

    entry_id: EntryId
    data_centre_id: DataCentreId
    address: str


class EntryJoinAck(Change, frozen=True, kw_only=True):
    """A member has stopped serving the request ids the joiner will own."""

    entry_id: EntryId
    joiner_id: EntryId


class EntryLeave(Change, frozen=True, kw_only=True):
    """A drained entry leaves; its allowance units go to a successor."""

    entry_id: EntryId
    successor_id: EntryId | None = None


class EntryGone(Change, frozen=True, kw_only=True):
    """An entry process has ended, as shown by evidence."""

    entry_id: EntryId
    evidence: str


class ReleaseUnits(Change, frozen=True, kw_only=True):
    """Triggers the release of the units of ended entries that are due.

    The fold releases them with any record; this change only ensures that a
    record is appended.
    """


class DrainAck(Change, frozen=True, kw_only=True):
    """An entry holds no work on an instance and places none there.

    Attributes:
        drain: offset of the record that started the drain, so that a late
            acknowledgement of an earlier drain has no effect.
    """

    entry_id: EntryId
    instance_id: InstanceId
    drain: Offset


class InstanceObserved(Change, frozen=True, kw_only=True):
    """An instance went down or came up, as seen by its data centre."""

    instance_id: InstanceId
    up: bool


class WaveTake(Change, frozen=True, kw_only=True):
    """Requests the drain of one instance of a wave; the fold checks budgets."""

    wave_id: WaveId
    instance_id: InstanceId


class WaveProgress(Change, frozen=True, kw_only=True):
    """One instance of a wave has reached a step."""

    wave_id: WaveId
    instance_id: InstanceId
    step: WaveStep


class SnapshotChunk(Change, frozen=True, kw_only=True):
    """One chunk of a snapshot as of an offset; base85 of compressed JSON."""

    snapshot_id: str
    as_of: Offset
    index: int
    count: int
    data: str


AnyChange = (
    PutDataCentre
    | PutTeam
    | GrantKey
    | WithdrawKey
    | PutPool
    | PutQueue
    | PutRule
    | Delete
    | PutInstance
    | StartMove
    | CancelMove
    | StartWave
    | StopWave
    | EntryJoin
    | EntryJoinAck
    | EntryLeave
    | EntryGone
    | ReleaseUnits
    | AllowanceTake
    | AllowanceGive
    | AllowanceReturn
    | DrainAck
    | InstanceObserved
    | WaveTake
    | WaveProgress
    | SnapshotChunk
    | SubmitJob
    | CancelJob
    | TakeWorkerLease
    | PlaceJob
    | JobProgress
    | ExpireJob
)

OPERATOR_CHANGES = (OperatorChange, EntryGone)


class Batch(msgspec.Struct, frozen=True, omit_defaults=True):
    """Content of one record.

    Attributes:
        changes: in order.
        atomic: whether a rejected change causes all to be rejected.
    """

    changes: tuple[AnyChange, ...]
    atomic: bool = False


class Result(msgspec.Struct, frozen=True):
    """Outcome of one change in the fold.

    Attributes:
        revision: revision of the object after the change.
        code: machine-readable reason of a rejection, else "".
        field: field that caused the rejection, else "".
    """

    change_id: ChangeId
    accepted: bool
    offset: Offset
    revision: int = 0
    code: str = ""
    field: str = ""
    message: str = ""


_encoder = msgspec.json.Encoder()


def encode_batch(batch: Batch) -> bytes:
    """Returns the JSON form of a batch."""
    return _encoder.encode(batch)


def decode_batch(data: bytes) -> Batch:
    """Decodes a batch.

    Raises:
        msgspec.DecodeError: the data is not a batch; every reader of the log
            skips such a record.
    """
    if is_too_deep(data):
        # All readers have to agree on what a record contains.
        raise msgspec.DecodeError("batch is nested too deeply")
    return decode_json(data, Batch)


def decode_change(data: bytes) -> AnyChange:
    """Decodes one change.

    Raises:
        msgspec.DecodeError: the data is not a change; the message names the
            field.
    """
    return decode_json(data, AnyChange)
