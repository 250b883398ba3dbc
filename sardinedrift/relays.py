"""Hands whole requests to other entries and reads what they answer."""

import http
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from sardinedrift.admission import Admitted
from sardinedrift.exceptions import AdmissionError, PeerError
from sardinedrift.follower import Follower
from sardinedrift.identifiers import (
    DataCentreId,
    EntryId,
    Identity,
    Outcome,
)
from sardinedrift.messages import RelayedRequest
from sardinedrift.peers import Peers
from sardinedrift.ports import Answer

MAX_HOPS = 2
RELAY_PATH = "/peer/requests"
RELAY_HEADER = "Sardinedrift-Relay"
ATTEMPT_HEADER = "Sardinedrift-Attempt"
OUTCOME_HEADER = "Sardinedrift-Outcome"
# Time for a refusal at the deadline to arrive.
REPLY_GRACE_SECONDS = 1.0


class ErrorBody(msgspec.Struct, frozen=True):
    """The JSON body of every error answered to a caller."""

    code: str
    message: str
    outcome: Outcome
    request_id: str = ""


class RelayNotRun(Exception):  # noqa: N818
    """A relay ended with proof that the peer did not run the request.

    Attributes:
        refusal: the peer's refusal, if it answered.
    """

    def __init__(self, refusal: AdmissionError | None = None):
        super().__init__("not run")
        self.refusal = refusal


class Relays:
    """Chooses entries to relay to, and relays.

    Args:
        identity: this entry.
        follower: holds the folded state.
        peers: liveness, exchanges and calls.
    """

    def __init__(self, identity: Identity, follower: Follower, peers: Peers):
        self._identity = identity
        self._follower = follower
        self._peers = peers

    def members(self, admitted: Admitted) -> Iterator[EntryId]:
        """Yields live members that may take a request, nearest first."""
        if len(admitted.hops) >= MAX_HOPS:
            return
        barred = {self._identity.entry_id, *admitted.hops}
        for data_centre_id in self._data_centres():
            for entry_id in self._peers.live_members(data_centre_id):
                if entry_id not in barred:
                    yield entry_id

    def with_endpoints(self, admitted: Admitted) -> Iterator[EntryId]:
        """Yields members whose data centre can run the request."""
        for entry_id in self.members(admitted):
            exchange = self._peers.exchange_of(entry_id)
            if exchange and admitted.queue.pool_id in exchange.endpoints:
                yield entry_id

    def with_spare(self, admitted: Admitted) -> Iterator[EntryId]:
        """Yields members that can run the request and have a spare unit."""
        for entry_id in self.with_endpoints(admitted):
            exchange = self._peers.exchange_of(entry_id)
            if exchange.spare_by_team.get(admitted.team_id, 0) > 0:
                yield entry_id

    async def relay(
        self, entry_id: EntryId, admitted: Admitted, claimed: bool
    ) -> Answer:
        """Relays a request to an entry and returns the answer.

        Raises:
            RelayNotRun: another entry may be tried.
            AdmissionError: the outcome is unknown.
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
            raise relay_unknown() from error
        return _read_reply(status, _lower(reply_headers), body)

    def _data_centres(self) -> Iterable[DataCentreId]:
        own = self._identity.data_centre_id
        others = sorted(self._follower.state.tables.data_centre_by_id)
        return [own, *(each for each in others if each != own)]


def relay_unknown() -> AdmissionError:
    """Returns the error for a relay without a usable reply."""
    return AdmissionError(
        "relay_broken",
        "the entry that may have run the request did not answer; "
        "check its effect before sending it again",
        504,
        Outcome.UNKNOWN,
    )


def _lower(headers: Mapping[str, str]) -> dict[str, str]:
    return {name.lower(): value for name, value in headers.items()}


def _read_reply(status: int, headers: dict[str, str], body: bytes) -> Answer:
    outcome = headers.get(OUTCOME_HEADER.lower())
    if outcome == Outcome.ANSWERED.value:
        kind = headers.get("content-type", "application/octet-stream")
        return Answer(status, body, kind)
    if outcome not in (Outcome.NOT_RUN.value, Outcome.UNKNOWN.value):
        raise relay_unknown()
    refusal = _refusal(status, Outcome(outcome), body)
    if refusal.outcome is Outcome.NOT_RUN:
        raise RelayNotRun(refusal)
    raise refusal


def _refusal(status: int, outcome: Outcome, body: bytes) -> AdmissionError:
    try:
        error = msgspec.json.decode(body, type=ErrorBody)
    except msgspec.DecodeError:
        phrase = http.HTTPStatus.BAD_GATEWAY.phrase
        return AdmissionError("relay_refused", phrase, status, outcome)
    return AdmissionError(error.code, error.message, status, outcome)
