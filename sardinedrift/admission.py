"""Checks a caller's request against the state before any work is done."""

import hashlib
import hmac
import math
import secrets
import time
import uuid
from typing import NoReturn

import msgspec
import uuid6

from sardinedrift import objects
from sardinedrift.exceptions import AdmissionError
from sardinedrift.identifiers import (
    DataCentreId,
    EntryId,
    KeyId,
    KeyState,
    Outcome,
    QueueId,
    RequestId,
    TeamId,
    request_home,
    request_time,
)
from sardinedrift.membership import CLOCK_ERROR_SECONDS
from sardinedrift.state import State

# Maximum wait for a slot when the caller sets no deadline.
DEFAULT_WAIT_SECONDS = 30.0
# Later deadlines are shortened, which bounds the requests that one caller can
# keep queued.
MAX_WAIT_SECONDS = 600.0


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The headers of a caller's request as received, before any check."""

    queue: str
    key: str | None = None
    team: str | None = None
    request_id: str | None = None
    attempt: str | None = None
    deadline: str | None = None
    content_type: str = "application/octet-stream"


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """A request that passed the checks.

    Attributes:
        made_by_caller: whether the caller made the id and so can repeat it.
        first_attempt: whether the caller states that no other attempt exists.
        attempt: attempt number given by the caller; 0 if none.
        deadline: unix seconds until which the caller waits.
        run_deadline_bound: unix seconds by which any run must have ended.
        hops: entries that have relayed the request, in order; the first
            received it from the caller.
    """

    request_id: RequestId
    made_by_caller: bool
    first_attempt: bool
    queue: objects.Queue
    team_id: TeamId
    deadline: float
    run_deadline_bound: float
    body: bytes = b""
    content_type: str = "application/octet-stream"
    hops: tuple[EntryId, ...] = ()
    attempt: int = 0

    @property
    def needs_claim(self) -> bool:
        """Whether the owner of the id must allow the request first."""
        return self.made_by_caller and not self.queue.idempotent

    @property
    def refusal_outcome(self) -> Outcome:
        """Outcome of a refusal before the id is claimed."""
        return outcome_before_claim(self.made_by_caller, self.first_attempt)


def outcome_before_claim(made_by_caller: bool, first_attempt: bool) -> Outcome:
    """Returns the outcome of a refusal before the request id is claimed.

    An earlier attempt with the same id may have run, unless the caller states
    that there is none.
    """
    if made_by_caller and not first_attempt:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN


def new_request_id(data_centre_id: DataCentreId) -> RequestId:
    """Returns a fresh request id with the given data centre as its home.

    Its time is that of the clock. `uuid6.uuid7` gives each id a millisecond of
    its own, so its ids lie in the future when they are made at a higher rate.
    """
    now_ms = time.time_ns() // 1_000_000
    number = now_ms << 80 | secrets.randbits(80)
    return RequestId(f"{data_centre_id}.{uuid6.UUID(int=number, version=7)}")


class Admission:
    """Checks requests at one entry.

    Args:
        data_centre_id: home of the ids made here.
    """

    def __init__(self, data_centre_id: DataCentreId):
        self._data_centre_id = data_centre_id

    def admit(
        self,
        state: State,
        request: CallerRequest,
        now: float,
        current_at: float,
    ) -> Admitted:
        """Checks everything but the body.

        Args:
            state: the folded state.
            request: the request as received.
            now: unix seconds.
            current_at: last unix time at which the state was known to be at
                the end of the log.

        Raises:
            AdmissionError: the request is refused.
        """
        try:
            return self._admit(state, request, now, current_at)
        except AdmissionError as error:
            error.outcome = outcome_before_claim(
                request.request_id is not None, request.attempt == "1"
            )
            raise

    def _admit(
        self,
        state: State,
        request: CallerRequest,
        now: float,
        current_at: float,
    ) -> Admitted:
        queue = _find_queue(state, request.queue)
        team_id = _resolve_team(state, queue, request)
        _check_team(state, queue, team_id, now - current_at)
        deadline = _parse_deadline(request.deadline, queue, now)
        attempt = _parse_attempt(request.attempt)
        return Admitted(
            request_id=self._resolve_request_id(state, request.request_id, now),
            made_by_caller=request.request_id is not None,
            first_attempt=attempt == 1,
            attempt=attempt or 0,
            queue=queue,
            team_id=team_id,
            deadline=deadline,
            run_deadline_bound=deadline,
            content_type=request.content_type,
        )

    def _resolve_request_id(
        self, state: State, text: str | None, now: float
    ) -> RequestId:
        if text is None:
            return new_request_id(self._data_centre_id)
        return check_request_id(state, text, now)


def check_request_id(state: State, text: str, now: float) -> RequestId:
    """Checks a request id made by a caller.

    Raises:
        AdmissionError: the id is malformed or has no known home.
    """
    request_id = RequestId(text)
    try:
        created_at = request_time(request_id)
    except ValueError:
        _refuse_request_id("Request-Id must be <data centre>.<UUIDv7>")
    # A different spelling of the same UUID would count as another request.
    uuid_text = text.rpartition(".")[2]
    if str(uuid.UUID(uuid_text)) != uuid_text:
        _refuse_request_id("write the UUID in lower case with hyphens")
    if created_at > now + CLOCK_ERROR_SECONDS:
        _refuse_request_id("its time is in the future; check the clock")
    home = request_home(request_id)
    if home is None:
        raise AdmissionError(
            "request_id_without_home",
            "prefix the id with its home data centre, or get one from "
            "GET /v1/request-ids",
            400,
        )
    if home not in state.tables.data_centre_by_id:
        raise AdmissionError(
            "unknown_home",
            f"no data centre {home!r}; get an id from GET /v1/request-ids",
            400,
        )
    return request_id


def check_body_size(admitted: Admitted, size: int) -> None:
    """Refuses a body above the limit of the queue.

    Raises:
        AdmissionError: code `body_too_large`.
    """
    if size > admitted.queue.max_body_bytes:
        raise AdmissionError(
            "body_too_large",
            f"send at most {admitted.queue.max_body_bytes} bytes",
            413,
            admitted.refusal_outcome,
        )


def _refuse_request_id(message: str) -> NoReturn:
    raise AdmissionError("malformed_request_id", message, 400)


def _find_queue(state: State, name: str) -> objects.Queue:
    queue = state.tables.queue_by_id.get(QueueId(name))
    if queue is None:
        raise AdmissionError(
            "unknown_queue", "check the queue's name in the path", 404
        )
    return queue


def _resolve_team(
    state: State, queue: objects.Queue, request: CallerRequest
) -> TeamId:
    if request.key is None and queue.open_team is not None:
        team_id = queue.open_team
    else:
        team_id = authenticate(state, request.key)
    if request.team is not None and request.team != team_id:
        raise AdmissionError(
            "team_mismatch",
            "Sardinedrift-Team differs from the team of the key; omit it",
            403,
        )
    return team_id


def authenticate(state: State, text: str | None) -> TeamId:
    """Returns the team of a key, sent as `<key_id>.<secret>`.

    Raises:
        AdmissionError: `key_missing`, or `key_refused` for unknown, wrong and
            withdrawn keys alike.
    """
    if not text:
        raise AdmissionError(
            "key_missing", "send the header Sardinedrift-Key", 401
        )
    key_id, _, secret = text.partition(".")
    digest = hashlib.sha256(secret.encode(errors="replace")).hexdigest()
    key = state.tables.key_by_id.get(KeyId(key_id))
    recorded = key.digest if key else ""
    equal = hmac.compare_digest(digest.encode(), recorded.lower().encode())
    if key is None or not equal or key.state is not KeyState.GRANTED:
        raise AdmissionError(
            "key_refused",
            "the key is not valid; ask an operator for a new one",
            401,
        )
    return key.team_id


def _check_team(
    state: State, queue: objects.Queue, team_id: TeamId, age: float
) -> None:
    is_open = queue.open_team == team_id
    if queue.team_ids and team_id not in queue.team_ids and not is_open:
        raise AdmissionError(
            "team_not_on_queue",
            "ask an operator to add the team to the queue",
            403,
        )
    team = state.tables.team_by_id.get(team_id)
    if team is None:
        raise AdmissionError(
            "key_refused",
            "the key is not valid; ask an operator for a new one",
            401,
        )
    max_age = team.max_configuration_age
    if max_age is not None and age > max_age:
        raise AdmissionError(
            "configuration_too_old",
            "this entry is cut off from changes; try another data centre",
            503,
        )


def _parse_attempt(text: str | None) -> int | None:
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()) or text.startswith("0"):
        raise AdmissionError(
            "malformed_attempt",
            "Sardinedrift-Attempt must be a whole number from 1",
            400,
        )
    return int(text[:9])


def _parse_deadline(
    text: str | None, queue: objects.Queue, now: float
) -> float:
    if text is None:
        return now + DEFAULT_WAIT_SECONDS + queue.max_run_seconds
    try:
        deadline = float(text)
    except ValueError:
        deadline = math.nan
    if not math.isfinite(deadline):
        raise AdmissionError(
            "malformed_deadline",
            "Sardinedrift-Deadline must be unix seconds",
            400,
        )
    if deadline <= now:
        raise AdmissionError(
            "deadline_passed", "send a deadline that is in the future", 408
        )
    return min(deadline, now + MAX_WAIT_SECONDS + queue.max_run_seconds)
