"""Client side of claims: claims request ids at the entries that own them."""

import asyncio
import uuid

from sardinedrift import membership
from sardinedrift.admission import Admitted
from sardinedrift.claims import Claims
from sardinedrift.exceptions import AdmissionError, PeerError
from sardinedrift.follower import Follower
from sardinedrift.identifiers import (
    EntryId,
    Identity,
    Outcome,
    RequestId,
    request_home,
)
from sardinedrift.messages import (
    Acknowledged,
    ClaimEnd,
    ClaimReply,
    ClaimRequest,
)
from sardinedrift.peers import Peers
from sardinedrift.ports import Clock

CLAIM_TIMEOUT_SECONDS = 2.0
# An id whose claim end cannot be delivered stays claimed, which is safe: the
# owner then refuses every later attempt.
MAX_END_ATTEMPTS = 5
END_RETRY_DELAY_SECONDS = 0.2


class Claim:
    """A claim of a request id; only the first call of `end` has an effect."""

    def __init__(
        self, client: "ClaimClient", admitted: Admitted, owner: EntryId
    ):
        self._client = client
        self._ended = False
        self.request_id = admitted.request_id
        self.attempt = admitted.attempt
        self.owner = owner
        # Unique per claim: a late end of an earlier request must not end the
        # claim of a repetition that arrived at the same entry.
        self.holder = EntryId(f"{client.entry_id}.{uuid.uuid4().hex}")

    def end(self, outcome: Outcome) -> None:
        """Reports the outcome of the request to the owner, without waiting."""
        if not self._ended:
            self._ended = True
            self._client.deliver_end(self, outcome)


class ClaimClient:
    """Claims request ids on behalf of this entry.

    Args:
        identity: this entry.
        follower: holds the folded state.
        peers: calls the owners of ids on other entries.
        claims: claims of the ids that this entry owns.
        clock: source of the time.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        peers: Peers,
        claims: Claims,
        clock: Clock,
    ):
        self.entry_id = identity.entry_id
        self._follower = follower
        self._peers = peers
        self._claims = claims
        self._clock = clock
        self._tasks: set[asyncio.Task] = set()

    def can_claim(self, request_id: RequestId) -> bool:
        """Returns whether the owner of an id is live."""
        home = request_home(request_id)
        owner = self._owner(request_id)
        return home is not None and owner in self._peers.live_members(home)

    def is_owned_by_live_peer(self, request_id: RequestId) -> bool:
        """Returns whether another entry owns an id and is live."""
        owner = self._owner(request_id)
        return owner != self.entry_id and self.can_claim(request_id)

    async def claim(self, admitted: Admitted) -> Claim:
        """Claims the id of a request at its owner.

        Raises:
            AdmissionError: the request must not run.
        """
        owner = self._owner(admitted.request_id)
        if owner is None:
            raise _owner_unreachable_error(admitted)
        claim = Claim(self, admitted, owner)
        try:
            reply = await self._request_claim(claim, admitted.deadline)
        except PeerError as error:
            claim.end(Outcome.NOT_RUN)
            raise _owner_unreachable_error(admitted) from error
        except asyncio.CancelledError:
            claim.end(Outcome.NOT_RUN)
            raise
        if reply.code != "claimed":
            raise _refusal_error(reply.code, admitted)
        return claim

    def deliver_end(self, claim: Claim, outcome: Outcome) -> None:
        """Reports the end of a claim to its owner, in the background."""
        if claim.owner == self.entry_id:
            self._claims.end(claim.request_id, claim.holder, outcome)
            return
        task = asyncio.create_task(self._deliver_with_retries(claim, outcome))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def flush(self) -> None:
        """Waits until no delivery of a claim end is in progress."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def _owner(self, request_id: RequestId) -> EntryId | None:
        home = request_home(request_id)
        if home is None:
            return None
        return membership.owner(self._follower.state, home, request_id)

    async def _request_claim(self, claim: Claim, deadline: float) -> ClaimReply:
        if claim.owner == self.entry_id:
            return self._claims.claim(
                claim.request_id, claim.holder, claim.attempt
            )
        message = ClaimRequest(
            request_id=claim.request_id,
            holder=claim.holder,
            attempt=claim.attempt,
        )
        deadline = min(deadline, self._clock.now() + CLAIM_TIMEOUT_SECONDS)
        return await self._peers.call(
            claim.owner, "/peer/claims", message, ClaimReply, deadline
        )

    async def _deliver_with_retries(
        self, claim: Claim, outcome: Outcome
    ) -> None:
        message = ClaimEnd(
            request_id=claim.request_id, holder=claim.holder, outcome=outcome
        )
        for attempt in range(MAX_END_ATTEMPTS):
            deadline = self._clock.now() + CLAIM_TIMEOUT_SECONDS
            try:
                await self._peers.call(
                    claim.owner,
                    "/peer/claims/end",
                    message,
                    Acknowledged,
                    deadline,
                )
            except PeerError:
                await asyncio.sleep(END_RETRY_DELAY_SECONDS * 2**attempt)
            else:
                return


def _owner_unreachable_error(admitted: Admitted) -> AdmissionError:
    return AdmissionError(
        "owner_unreachable",
        "the entry that knows this id is not reachable; send again later, "
        "or with a fresh id when the outcome is not_run",
        503,
        admitted.refusal_outcome,
    )


_STATUS_AND_TEXT_BY_CODE = {
    "duplicate_request": (
        409,
        "a request with this id is in progress; wait for its answer",
    ),
    "already_answered": (
        409,
        "a request with this id has ended; do not send it again",
    ),
    "owner_is_new": (
        409,
        "it is not known whether this id was run; check its effect",
    ),
    "expired": (
        409,
        "this id is too old to tell whether it was run; check its effect",
    ),
    "malformed": (400, "get an id from GET /v1/request-ids"),
    "not_owner": (
        503,
        "the owner of this id is changing; send the request again",
    ),
    "superseded": (
        409,
        "an attempt with this number or a higher one has ended as not run, "
        "so this one must not run any more; use a higher number",
    ),
    "claims_full": (503, "too many ids are in use; send again later"),
}
# With these codes the owner has not granted this attempt. An earlier attempt,
# if the caller does not rule one out, may have been granted by another owner.
_CODES_WITHOUT_GRANT = frozenset(
    {"not_owner", "owner_is_new", "claims_full", "malformed"}
)


def _refusal_error(code: str, admitted: Admitted) -> AdmissionError:
    status, text = _STATUS_AND_TEXT_BY_CODE.get(
        code, (503, "the owner of this id refused it; check its effect")
    )
    outcome = (
        admitted.refusal_outcome
        if code in _CODES_WITHOUT_GRANT
        else Outcome.UNKNOWN
    )
    return AdmissionError(code, text, status, outcome)
