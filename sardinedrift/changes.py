"""Typed changes, the content of log records.

A record of the log is the JSON form of a `Batch`. Every change has a change
id: the fold applies it once, so an append whose answer was lost can safely be
repeated. A repetition is answered with the first result, except for changes of
allowances, which are known by the number of their publisher.
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


class PutDataCentre(OperatorChange, frozen=True, kw_only=True):
    """Creates or edits a data centre."""

    data_centre_id: DataCentreId
    region: str


class PutTeam(OperatorChange, frozen=True, kw_only=True):
    """Creates or edits a team.

    Attributes:
        share: weight when the fleet is full, above 0.
        limit: most requests and jobs running at once across the fleet.
        max_configuration_age: seconds; an entry with older configuration
            refuses the team. None: it always serves.
    """

    team_id: TeamId
    share: float
    limit: int
    max_configuration_age: float | None = None


class GrantKey(OperatorChange, frozen=True, kw_only=True):
    """Gives a team a key; only the digest of the secret is recorded."""

    key_id: KeyId
    team_id: TeamId
    digest: str


class WithdrawKey(OperatorChange, frozen=True, kw_only=True):
    """Ends the use of a key for good."""

    key_id: KeyId


class PutPool(OperatorChange, frozen=True, kw_only=True):
    """Creates or edits a pool.

    Attributes:
        quick_reserve: part of the slots that long work cannot hold, 0 to 1.
        long_floor: part of the slots where long work goes first, 0 to 1.
        max_unavailable: availability budget, in instances of the pool.
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
        open_team: team that requests without a key count for; None: a key
            is required.
        team_ids: teams that may use the queue; empty: all.
        max_body_bytes: largest request body.
        max_run_seconds: longest run time; it sets the run deadline.
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
    """Moves an instance to another pool; the revision is the instance's.

    Attributes:
        wave_id: the wave that borrows the instance, or sends it home.
    """

    move_id: MoveId
    instance_id: InstanceId
    pool_id: PoolId
    wave_id: WaveId | None = None


class CancelMove(OperatorChange, frozen=True, kw_only=True):
    """Cancels a move that is still draining."""

    move_id: MoveId


class StartWave(OperatorChange, frozen=True, kw_only=True):
    """Starts maintenance of instances; budgets are those of their pool.

    Attributes:
        canary: how many instances are maintained alone at first.
        max_failures: the wave stops at this number of failed instances.
        return_seconds: how long a rebooted instance may take to return.
        borrow: most instances of spare pools lent to the wave at once.
    """

    wave_id: WaveId
    pool_id: PoolId
    instance_ids: tuple[InstanceId, ...] = ()
    canary: int = 1
    max_failures: int = 2
    return_seconds: float = 600.0
    borrow: int = 0


class StopWave(OperatorChange, frozen=True, kw_only=True):
    """Stops a wave; instances under way are finished."""

    wave_id: WaveId


class EntryJoin(Change, frozen=True, kw_only=True):
    """An entry process asks to become a member."""

    entry_id: EntryId
    data_centre_id: DataCentreId
    address: str


class EntryJoinAck(Change, frozen=True, kw_only=True):
    """A member has stopped serving the request ids the joiner will own."""

    entry_id: EntryId
    joiner_id: EntryId


class EntryLeave(Change, frozen=True, kw_only=True):
    """An entry that has drained leaves; its allowances go to a successor."""

    entry_id: EntryId
    successor_id: EntryId | None = None


class EntryGone(Change, frozen=True, kw_only=True):
    """An entry process is shown to have ended."""

    entry_id: EntryId
    evidence: str


class ReleaseUnits(Change, frozen=True, kw_only=True):
    """Asks for the units of ended entries that are due.

    The fold frees them with any record; this one ensures that there is one.
    """


class DrainAck(Change, frozen=True, kw_only=True):
    """An entry holds no work on an instance and places none there.

    Attributes:
        drain: offset of the record that began the drain, so that a late
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
    """Asks to drain one instance of a wave; the fold checks the budgets."""

    wave_id: WaveId
    instance_id: InstanceId


class WaveProgress(Change, frozen=True, kw_only=True):
    """One instance of a wave has reached a step."""

    wave_id: WaveId
    instance_id: InstanceId
    step: WaveStep


class SnapshotChunk(Change, frozen=True, kw_only=True):
    """One part of the state as of an offset, base85 of its compressed JSON."""

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
        atomic: when one change is rejected, all are.
    """

    changes: tuple[AnyChange, ...]
    atomic: bool = False


class Result(msgspec.Struct, frozen=True):
    """What the fold decided about one change.

    Attributes:
        revision: revision of the object after the change.
        code: stable reason of a rejection, else "".
        field: wrong field of a rejected change, else "".
    """

    change_id: ChangeId
    accepted: bool
    offset: Offset
    revision: int = 0
    code: str = ""
    field: str = ""
    message: str = ""


_batch_decoder = msgspec.json.Decoder(Batch)
_change_decoder = msgspec.json.Decoder(AnyChange)
_encoder = msgspec.json.Encoder()


def encode_batch(batch: Batch) -> bytes:
    """Returns the JSON form of a batch."""
    return _encoder.encode(batch)


def decode_batch(data: bytes) -> Batch:
    """Reads a batch.

    Raises:
        msgspec.DecodeError: the data is not a batch; readers of the log skip
            such a record alike.
    """
    return _batch_decoder.decode(data)


def decode_change(data: bytes) -> AnyChange:
    """Reads one change.

    Raises:
        msgspec.DecodeError: the data is not a change; the text names the
            field.
    """
    return _change_decoder.decode(data)
