"""Typed messages between entries: JSON over HTTP POST, one path each."""

import msgspec

from sardinedrift.identifiers import (
    DataCentreId,
    EntryId,
    GrantId,
    InstanceId,
    Offset,
    Outcome,
    PoolId,
    QueueId,
    RequestId,
    TeamId,
    WorkClass,
)
from sardinedrift.ports import LogRecord


class HeldGrant(msgspec.Struct, frozen=True):
    """A slot that an entry holds for a running request.

    Attributes:
        since: time of the grant, in unix seconds.
    """

    grant_id: GrantId
    pool_id: PoolId
    instance_id: InstanceId
    team_id: TeamId
    work_class: WorkClass
    since: float


class Neighbour(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Last known status of a live member of the sender's data centre.

    Attributes:
        spare_by_team: idle allowance units that it can transfer, as in
            `Exchange`.
    """

    entry_id: EntryId
    address: str
    ready: bool
    offset: Offset
    current_at: float
    spare_by_team: dict[TeamId, int] = {}
    spare_since: int = 0
    spare_version: int = 0


class Exchange(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """`POST /peer/exchange`: heartbeat; the response is the peer's own.

    Attributes:
        member: whether the sender is ACTIVE in its own state.
        stopping: the sender accepts no new work.
        offset: offset of the sender's state.
        current_at: last unix time at which the sender's state was known to
            be at the end of the log.
        held: slots held, by pool; sent to that pool's scheduler only.
        spare_by_team: idle allowance units that the sender can transfer, of
            all teams or of those that changed after version `spare_since`.
        spare_since: 0: `spare_by_team` has all teams with spare units.
        spare_version: version of the sender's table; 0: it has none.
        spare_confirmed: versions that the sender holds of the receiver's
            table and, across data centres, of the tables of the receiver's
            neighbours.
        contended_use: cumulative slot-seconds of each team in each pool while
            the pool was full, by scheduler; only values that have grown.
        endpoints: pools with a usable endpoint in the sender's data centre.
        neighbours: other live members of the sender's data centre; sent to
            other data centres, which exchange with few of them.
    """

    entry_id: EntryId
    data_centre_id: DataCentreId
    address: str
    member: bool
    ready: bool
    stopping: bool
    offset: Offset
    current_at: float
    held: dict[PoolId, list[HeldGrant]] = {}
    spare_by_team: dict[TeamId, int] = {}
    spare_since: int = 0
    spare_version: int = 0
    spare_confirmed: dict[EntryId, int] = {}
    contended_use: dict[EntryId, dict[PoolId, dict[TeamId, float]]] = {}
    endpoints: list[PoolId] = []
    neighbours: list[Neighbour] = []


class SlotRequest(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /peer/slots`: requests a slot from the scheduler of a pool.

    Attributes:
        ask_id: id of the slot request; a repetition with the same id keeps
            its position in the queue.
        deadline: unix seconds until which the request may wait.
        avoid: instances on which this request has already failed.
    """

    ask_id: GrantId
    entry_id: EntryId
    pool_id: PoolId
    team_id: TeamId
    work_class: WorkClass
    deadline: float
    avoid: list[InstanceId] = []


class SlotReply(msgspec.Struct, frozen=True, kw_only=True):
    """Response to `SlotRequest`.

    Attributes:
        grant: the slot, or None when none was granted before the deadline.
        address: address of the minion.
        code: reason why no slot was granted: "not_scheduler", "deadline",
            "no_endpoint" or "queue_full".
    """

    grant: HeldGrant | None = None
    address: str = ""
    code: str = ""


class SlotRelease(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /peer/release`: releases a granted slot.

    Attributes:
        failed: the minion failed or refused the request.
        busy: the minion reported that all its slots are in use.
        failed_answer: the minion responded with a server error.
        unused: nothing was sent to the minion.
    """

    entry_id: EntryId
    grant_id: GrantId
    pool_id: PoolId
    instance_id: InstanceId
    unused: bool = False
    failed: bool = False
    busy: bool = False
    failed_answer: bool = False


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /peer/claims`: claims a request id at its owner.

    Attributes:
        holder: entry that will send the request.
        attempt: attempt number set by the caller; 0: none.
    """

    request_id: RequestId
    holder: EntryId
    attempt: int = 0


class ClaimReply(msgspec.Struct, frozen=True, kw_only=True):
    """Response to `ClaimRequest`.

    Attributes:
        code: "claimed" or the reason of a refusal: "duplicate_request",
            "already_answered", "superseded", "not_owner", "owner_is_new",
            "expired", "malformed" or "claims_full".
    """

    code: str


class ClaimEnd(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /peer/claims/end`: reports the outcome of a claimed request."""

    request_id: RequestId
    holder: EntryId
    outcome: Outcome


class AllowanceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /peer/allowances`: requests a transfer of idle units of teams."""

    entry_id: EntryId
    units_by_team: dict[TeamId, int]


class Acknowledged(msgspec.Struct, frozen=True):
    """Response without content."""


class RelayedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /peer/requests`: relays a complete request to another entry.

    The JSON form is the HTTP header `Sardinedrift-Relay`; the HTTP body is
    the request body.

    Attributes:
        hops: entries that have relayed the request, in order; the first one
            received it from the caller.
        deadline: unix seconds until which the caller waits.
        claimed: the request id has been claimed already.
    """

    request_id: RequestId
    queue_id: QueueId
    team_id: TeamId
    deadline: float
    content_type: str
    hops: list[EntryId]
    claimed: bool


class RecordsReply(msgspec.Struct, frozen=True, kw_only=True):
    """Response to `GET /peer/records?from=`.

    Attributes:
        records: consecutive records from the requested offset on; empty when
            there are none, or when that offset is no longer buffered.
        next: offset after the last one that the sender has folded.
    """

    records: list[LogRecord]
    next: Offset
