"""Relays requests to other entries and decodes their replies."""

import http
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from sardinedrift.admission import Admitted
from sardinedrift.exceptions import AdmissionError, PeerError
from sardinedrift.follower import Follower
from sardinedrift.identifiers import (
    OUTCOME_HEADER,
    DataCentreId,
    EntryId,
    Identity,
    Outcome,
)
from sardinedrift.jsoncodec import decode_json
from sardinedrift.messages import RelayedRequest
from sardinedrift.peers import Peers
from sardinedrift.ports import Answer

MAX_HOPS = 2
RELAY_PATH = "/peer/requests"
RELAY_HEADER = "Sardinedrift-Relay"
ATTEMPT_HEADER = "Sardinedrift-Attempt"
# Extra time for a refusal that the peer sends at the deadline to arrive.
REPLY_GRACE_SECONDS = 1.0


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of every error response to a caller or a relaying entry."""

    code: str
    message: str
    outcome: Outcome
    request_id: str = ""


class RelayNotRun(Exception):  # noqa: N818
    """A relay failed, and the request was certainly not run by the peer.

    Attributes:
        refusal: the refusal by the peer, or None if it did not answer.
    """

    def __init__(self, refusal: AdmissionError | None = None):
        super().__init__("the peer did not run the relayed request")
        self.refusal = refusal


class Relays:
    """Selects entries that can run a request and relays requests to them.

    Args:
        identity: this entry.
        follower: holds the folded state.
        peers: liveness and exchanges of other entries, and calls to them.
    """

    def __init__(self, identity: Identity, follower: Follower, peers: Peers):
        self._identity = identity
        self._follower = follower
        self._peers = peers

    def members(self, admitted: Admitted) -> Iterator[EntryId]:
        """Yields live members to relay to, own data centre first.

        Yields none for a request that has already passed `MAX_HOPS` entries.
        """
        if len(admitted.hops) >= MAX_HOPS:
            return
        excluded = {self._identity.entry_id, *admitted.hops}
        for data_centre_id in self._data_centres_own_first():
            for entry_id in self._peers.live_members(data_centre_id):
                if entry_id not in excluded:
                    yield entry_id

    def members_with_endpoints(self, admitted: Admitted) -> Iterator[EntryId]:
        """Yields members that have endpoints of the pool."""
        for entry_id in self.members(admitted):
            exchange = self._peers.exchange_of(entry_id)
            if exchange and admitted.queue.pool_id in exchange.endpoints:
                yield entry_id

    def members_with_spare_units(self, admitted: Admitted) -> Iterator[EntryId]:
        """Yields members that have endpoints and a spare unit of the team."""
        for entry_id in self.members_with_endpoints(admitted):
            exchange = self._peers.exchange_of(entry_id)
            if exchange.spare_by_team.get(admitted.team_id, 0) > 0:
                yield entry_id

    async def relay(
        self, entry_id: EntryId, admitted: Admitted, claimed: bool
    ) -> Answer:
        """Relays a request to an entry and returns the answer.

        Args:
            entry_id: the entry.
            admitted: the request.
            claimed: the entry must not claim the request id itself.

        Raises:
            RelayNotRun: the entry did not run the request.
            AdmissionError: the entry may have run the request.
        """
        message = RelayedRequest(
            request_id=admitted.request_id,
            queue_id=admitted.queue.queue_id,
            team_id=admitted.team_id,
            deadline=admitted.deadline,
            content_type=admitted.content_type,
            hops=[*admitted.hops, self._identity.entry_id],
            claimed=claimed,
        )
        headers = {RELAY_HEADER: msgspec.json.encode(message).decode()}
        if admitted.attempt:
            headers[ATTEMPT_HEADER] = str(admitted.attempt)
        try:
            status, reply_headers, body = await self._peers.post(
                entry_id,
                RELAY_PATH,
                headers,
                admitted.body,
                admitted.deadline + REPLY_GRACE_SECONDS,
            )
        except PeerError as error:
            if error.sent is False:
                raise RelayNotRun from error
            raise relay_broken_error() from error
        return _decode_reply(status, _with_lower_names(reply_headers), body)

    def _data_centres_own_first(self) -> Iterable[DataCentreId]:
        own = self._identity.data_centre_id
        others = sorted(self._follower.state.tables.data_centre_by_id)
        return [own, *(each for each in others if each != own)]


def relay_broken_error() -> AdmissionError:
    """Returns the error for a relay without a valid reply."""
    return AdmissionError(
        "relay_broken",
        "the entry that may have run the request did not answer; "
        "check its effect before sending it again",
        504,
        Outcome.UNKNOWN,
    )


def _with_lower_names(headers: Mapping[str, str]) -> dict[str, str]:
    return {name.lower(): value for name, value in headers.items()}


def _decode_reply(status: int, headers: dict[str, str], body: bytes) -> Answer:
    outcome = headers.get(OUTCOME_HEADER.lower())
    if outcome == Outcome.ANSWERED.value:
        kind = headers.get("content-type", "application/octet-stream")
        return Answer(status, body, kind)
    if outcome not in (Outcome.NOT_RUN.value, Outcome.UNKNOWN.value):
        raise relay_broken_error()
    refusal = _decode_refusal(status, Outcome(outcome), body)
    if refusal.outcome is Outcome.NOT_RUN:
        raise RelayNotRun(refusal)
    raise refusal


def _decode_refusal(
    status: int, outcome: Outcome, body: bytes
) -> AdmissionError:
    try:
        error = decode_json(body, ErrorBody)
    except msgspec.DecodeError:
        phrase = http.HTTPStatus.BAD_GATEWAY.phrase
        return AdmissionError("relay_refused", phrase, status, outcome)
    return AdmissionError(error.code, error.message, status, outcome)
