"""The owner's memory of claims: each request id is granted at most once."""

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

# About 100 MB at most; 300 s of 1,000 claims a second at one entry.
MOST_CLAIMS = 300_000


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

    A holder reports the end only of a claim that was answered "claimed".

    Args:
        identity: this entry.
        follower: gives the folded state as `.state`.
        clock: gives the current time.
        most: how many claims are remembered; further ones are refused.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        clock: Clock,
        most: int = MOST_CLAIMS,
    ):
        self._identity = identity
        self._follower = follower
        self._clock = clock
        self._most = most
        self._claim_by_id: dict[RequestId, _Claim] = {}
        self._expiry: list[tuple[float, RequestId]] = []
        self._latest = 0.0
        self._stopped = False

    def __len__(self) -> int:
        return len(self._claim_by_id)

    def claim(
        self, request_id: RequestId, holder: EntryId, attempt: int = 0
    ) -> ClaimReply:
        """Grants an id to a holder, or tells why not.

        The attempts of an id are granted in rising order, and an attempt
        without a number counts as 1. Once a caller was told that attempt n
        did not run, one with the same or a lower number that was held up, in
        a frozen entry for example, would make that refusal false.

        The code is "claimed", "duplicate_request", "already_answered",
        "superseded", "not_owner", "owner_is_new", "expired", "malformed" or
        "claims_full". Only "claims_full" shows that the id was never
        granted; the others say nothing about an earlier owner.
        """
        now = self._time()
        self._prune(now)
        try:
            made = request_time(request_id)
        except ValueError:
            return ClaimReply(code="malformed")
        if made > now + CLOCK_ERROR_SECONDS:
            return ClaimReply(code="malformed")
        if made < now - REQUEST_ID_LIFETIME_SECONDS:
            return ClaimReply(code="expired")
        claim = self._claim_by_id.get(request_id)
        if claim and claim.phase is not _Phase.RELEASED:
            return ClaimReply(code=_repeated(claim))
        if claim and self._superseded(claim, attempt):
            return ClaimReply(code="superseded")
        refusal = self._refusal(request_id)
        if refusal:
            return ClaimReply(code=refusal)
        self._remember(request_id, made, holder, attempt, claim)
        return ClaimReply(code="claimed")

    def end(
        self, request_id: RequestId, holder: EntryId, outcome: Outcome
    ) -> None:
        """Notes how the request of a claim ended; repeating it is harmless."""
        claim = self._claim_by_id.get(request_id)
        if claim is None or claim.phase is not _Phase.CLAIMED:
            return
        if claim.holder != holder:
            return
        if outcome is not Outcome.NOT_RUN:
            claim.phase = _Phase.RUN
        elif holder not in claim.released_by:
            # A repeated message about an earlier claim of the same holder
            # must not release a later one, so a holder releases once.
            claim.released_by.add(holder)
            claim.phase = _Phase.RELEASED

    def stop(self) -> None:
        """Grants nothing more; call it before `EntryLeave` is written."""
        self._stopped = True

    def _superseded(self, claim: _Claim, attempt: int) -> bool:
        return max(attempt, 1) <= max(claim.attempt, 1)

    def _refusal(self, request_id: RequestId) -> str | None:
        state = self._follower.state
        here = self._identity.data_centre_id
        entry_id = self._identity.entry_id
        if self._stopped or request_home(request_id) != here:
            return "not_owner"
        if not self._owns(state, here, request_id, entry_id):
            return "not_owner"
        if not self._owned_since_made(state, here, request_id, entry_id):
            return "owner_is_new"
        if request_id not in self._claim_by_id and len(self) >= self._most:
            return "claims_full"
        return None

    def _owns(
        self,
        state: State,
        here: DataCentreId,
        request_id: RequestId,
        entry_id: EntryId,
    ) -> bool:
        return membership.owns_exclusively(state, here, request_id, entry_id)

    def _owned_since_made(
        self,
        state: State,
        here: DataCentreId,
        request_id: RequestId,
        entry_id: EntryId,
    ) -> bool:
        return membership.owned_since_made(state, here, request_id, entry_id)

    def _remember(
        self,
        request_id: RequestId,
        made: float,
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
        due = made + REQUEST_ID_LIFETIME_SECONDS + CLOCK_ERROR_SECONDS
        heapq.heappush(self._expiry, (due, request_id))

    def _time(self) -> float:
        """Returns a time that never steps back.

        A claim that was forgotten would otherwise be granted again.
        """
        self._latest = max(self._latest, self._clock.now())
        return self._latest

    def _prune(self, now: float) -> None:
        while self._expiry and self._expiry[0][0] < now:
            _, request_id = heapq.heappop(self._expiry)
            del self._claim_by_id[request_id]


def _repeated(claim: _Claim) -> str:
    if claim.phase is _Phase.RUN:
        return "already_answered"
    return "duplicate_request"
