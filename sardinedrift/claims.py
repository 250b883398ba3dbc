"""Owner side of claims: an id is granted again only if it was not run."""

import enum
import heapq

from sardinedrift import membership
from sardinedrift.follower import Follower
from sardinedrift.identifiers import (
    DataCentreId,
    EntryId,
    Identity,
    Outcome,
    RequestId,
    request_home,
    request_time,
)
from sardinedrift.membership import (
    CLOCK_ERROR_SECONDS,
    REQUEST_ID_LIFETIME_SECONDS,
)
from sardinedrift.messages import ClaimReply
from sardinedrift.ports import Clock
from sardinedrift.state import State

# Claims of 300 s at 1,000 claims a second at one entry; at most about 100 MB.
MAX_CLAIMS = 300_000


class _Phase(enum.Enum):
    CLAIMED = "claimed"
    RUN = "run"
    RELEASED = "released"


class _Claim:
    __slots__ = ("attempt", "holder", "phase", "released_by")

    def __init__(self, holder: EntryId, attempt: int):
        self.holder = holder
        self.attempt = attempt
        self.phase = _Phase.CLAIMED
        self.released_by: set[EntryId] = set()


class Claims:
    """Claims of the ids that this entry owns.

    Args:
        identity: this entry.
        follower: provides the folded state as `.state`.
        clock: source of the time.
        max_claims: number of claims kept; further ids are refused.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        clock: Clock,
        max_claims: int = MAX_CLAIMS,
    ):
        self._identity = identity
        self._follower = follower
        self._clock = clock
        self._max_claims = max_claims
        self._claim_by_id: dict[RequestId, _Claim] = {}
        self._expiry_heap: list[tuple[float, RequestId]] = []
        self._latest_time = 0.0
        self._stopped = False

    def __len__(self) -> int:
        return len(self._claim_by_id)

    def claim(
        self, request_id: RequestId, holder: EntryId, attempt: int = 0
    ) -> ClaimReply:
        """Grants an id to a holder, or refuses it.

        The attempts of an id are granted in rising order, and an attempt
        without a number counts as 1. A caller that received `not_run` for
        attempt n relies on it. An attempt with the same or a lower number
        that was delayed, for example in a frozen entry, would make that
        answer false if it was granted afterwards.

        The code is "claimed", "duplicate_request", "already_answered",
        "superseded", "not_owner", "owner_is_new", "expired", "malformed" or
        "claims_full". Only "claims_full" proves that the id was never
        granted; with the others, an earlier owner may have granted it.
        """
        now = self._monotonic_time()
        self._prune(now)
        try:
            created_at = request_time(request_id)
        except ValueError:
            return ClaimReply(code="malformed")
        if created_at > now + CLOCK_ERROR_SECONDS:
            return ClaimReply(code="malformed")
        if created_at < now - REQUEST_ID_LIFETIME_SECONDS:
            return ClaimReply(code="expired")
        claim = self._claim_by_id.get(request_id)
        if claim and claim.phase is not _Phase.RELEASED:
            return ClaimReply(code=_repeat_code(claim))
        if claim and self._superseded(claim, attempt):
            return ClaimReply(code="superseded")
        refusal = self._refusal_code(request_id)
        if refusal:
            return ClaimReply(code=refusal)
        self._grant(request_id, created_at, holder, attempt, claim)
        return ClaimReply(code="claimed")

    def end(
        self, request_id: RequestId, holder: EntryId, outcome: Outcome
    ) -> None:
        """Records the outcome of a claimed request.

        A holder whose claim was refused does not call this. Repeating the
        call has no effect.
        """
        claim = self._claim_by_id.get(request_id)
        if claim is None or claim.phase is not _Phase.CLAIMED:
            return
        if claim.holder != holder:
            return
        if outcome is not Outcome.NOT_RUN:
            claim.phase = _Phase.RUN
        elif holder not in claim.released_by:
            # A repeated message about an earlier claim must not release a
            # later claim of the same holder, so each holder releases once.
            claim.released_by.add(holder)
            claim.phase = _Phase.RELEASED

    def stop(self) -> None:
        """Stops granting; must be called before `EntryLeave` is written."""
        self._stopped = True

    def _superseded(self, claim: _Claim, attempt: int) -> bool:
        return max(attempt, 1) <= max(claim.attempt, 1)

    def _refusal_code(self, request_id: RequestId) -> str | None:
        state = self._follower.state
        data_centre_id = self._identity.data_centre_id
        entry_id = self._identity.entry_id
        if self._stopped or request_home(request_id) != data_centre_id:
            return "not_owner"
        if not self._owns(state, data_centre_id, request_id, entry_id):
            return "not_owner"
        if not self._owned_since_creation(
            state, data_centre_id, request_id, entry_id
        ):
            return "owner_is_new"
        if (
            request_id not in self._claim_by_id
            and len(self) >= self._max_claims
        ):
            return "claims_full"
        return None

    def _owns(
        self,
        state: State,
        data_centre_id: DataCentreId,
        request_id: RequestId,
        entry_id: EntryId,
    ) -> bool:
        return membership.owns_exclusively(
            state, data_centre_id, request_id, entry_id
        )

    def _owned_since_creation(
        self,
        state: State,
        data_centre_id: DataCentreId,
        request_id: RequestId,
        entry_id: EntryId,
    ) -> bool:
        return membership.owned_since_creation(
            state, data_centre_id, request_id, entry_id
        )

    def _grant(
        self,
        request_id: RequestId,
        created_at: float,
        holder: EntryId,
        attempt: int,
        released: _Claim | None,
    ) -> None:
        if released:
            released.holder = holder
            released.attempt = attempt
            released.phase = _Phase.CLAIMED
            return
        self._claim_by_id[request_id] = _Claim(holder, attempt)
        expires_at = (
            created_at + REQUEST_ID_LIFETIME_SECONDS + CLOCK_ERROR_SECONDS
        )
        heapq.heappush(self._expiry_heap, (expires_at, request_id))

    def _monotonic_time(self) -> float:
        """Returns the current time, or an earlier result if that is later.

        If the clock stepped back, an id whose claim had already been dropped
        could otherwise be granted again.
        """
        self._latest_time = max(self._latest_time, self._clock.now())
        return self._latest_time

    def _prune(self, now: float) -> None:
        while self._expiry_heap and self._expiry_heap[0][0] < now:
            _, request_id = heapq.heappop(self._expiry_heap)
            del self._claim_by_id[request_id]


def _repeat_code(claim: _Claim) -> str:
    if claim.phase is _Phase.RUN:
        return "already_answered"
    return "duplicate_request"
