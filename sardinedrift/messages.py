"""Typed messages between entries: HTTP POST with JSON, one path each."""

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
        since: unix seconds of the grant.
    """

    grant_id: GrantId
    pool_id: PoolId
    instance_id: InstanceId
    team_id: TeamId
    work_class: WorkClass
    since: float


class Neighbour(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A live member of the sender's data centre, as the sender last heard it.

    Attributes:
        spare_by_team: idle allowance units it could give, as in `Exchange`.
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
    """`POST /peer/exchange`: heartbeat, answered with the peer's own.

    Attributes:
        member: whether the sender is ACTIVE in its own fold.
        stopping: the sender takes no new work.
        offset: offset of the sender's state.
        current_at: last unix time at which the sender's state was known to
            be at the end of the log.
        held: slots held, by pool; sent to that pool's scheduler only.
        spare_by_team: idle allowance units the sender could give; of all
            teams, or of those that changed after version `spare_since`.
        spare_since: 0: `spare_by_team` has all teams with spare units.
        spare_version: version of the sender's table; 0: it has none.
        spare_confirmed: versions that the sender holds of the receiver's
            table, and across data centres of those of its neighbours.
        contended_use: cumulative slot-seconds of each team in each pool while
            the pool was full, by scheduler; only what has grown.
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
    """`POST /peer/slots`: asks the scheduler of a pool for a slot.

    Attributes:
        ask_id: names the ask; repeated with the same id, it keeps its place.
        deadline: unix seconds until which the request may wait.
        avoid: instances that failed this request already.
    """

    ask_id: GrantId
    entry_id: EntryId
    pool_id: PoolId
    team_id: TeamId
    work_class: WorkClass
    deadline: float
    avoid: list[InstanceId] = []


class SlotReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to `SlotRequest`.

    Attributes:
        grant: the slot, or None when none was free before the deadline.
        address: address of the minion.
        code: reason without a grant: "not_scheduler", "deadline",
            "no_endpoint" or "queue_full".
    """

    grant: HeldGrant | None = None
    address: str = ""
    code: str = ""


class SlotRelease(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /peer/release`: slots that are free again.

    Attributes:
        failed: the minion failed or refused the request.
        busy: the minion stated that all its slots are taken.
        failed_answer: the minion answered with a server error.
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
    """`POST /peer/claims`: asks the owner of a request id for its use.

    Attributes:
        holder: entry that will send the request.
        attempt: number that the caller gave the attempt; 0: none.
    """

    request_id: RequestId
    holder: EntryId
    attempt: int = 0


class ClaimReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to `ClaimRequest`.

    Attributes:
        code: "claimed", "duplicate_request", "already_answered",
            "not_owner" or "owner_is_new".
    """

    code: str


class ClaimEnd(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /peer/claims/end`: how a claimed request ended."""

    request_id: RequestId
    holder: EntryId
    outcome: Outcome


class AllowanceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /peer/allowances`: asks for idle units of teams."""

    entry_id: EntryId
    units_by_team: dict[TeamId, int]


class Acknowledged(msgspec.Struct, frozen=True):
    """Answer without content."""


class RelayedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /peer/requests`: hands a whole request to another entry.

    The JSON form is the HTTP header `Sardinedrift-Relay`; the HTTP body is
    the request body.

    Attributes:
        hops: entries that have relayed the request, the receiver first.
        deadline: unix seconds until which the caller waits.
        claimed: the receiver has claimed the request id.
    """

    request_id: RequestId
    queue_id: QueueId
    team_id: TeamId
    deadline: float
    content_type: str
    hops: list[EntryId]
    claimed: bool


class RecordsReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to `GET /peer/records?from=`.

    Attributes:
        records: consecutive records from the asked offset on; empty when
            there are none, or when that offset is no longer kept.
        next: offset after the last one that the sender has folded.
    """

    records: list[LogRecord]
    next: Offset
