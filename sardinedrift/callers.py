"""HTTP application for callers, and the receiving side of relays."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator

import msgspec
from aiohttp import web

from sardinedrift.admission import (
    Admission,
    Admitted,
    CallerRequest,
    check_body_size,
    new_request_id,
    outcome_before_claim,
)
from sardinedrift.dispatch import Dispatcher
from sardinedrift.exceptions import AdmissionError
from sardinedrift.follower import Follower
from sardinedrift.identifiers import OUTCOME_HEADER, Identity, RequestId
from sardinedrift.jsoncodec import decode_json
from sardinedrift.messages import RelayedRequest
from sardinedrift.ports import Answer, Clock
from sardinedrift.recorder import RequestObserver
from sardinedrift.relays import (
    ATTEMPT_HEADER,
    RELAY_HEADER,
    RELAY_PATH,
    ErrorBody,
)

REQUEST_ID_HEADER = "Sardinedrift-Request-Id"
DATA_CENTRE_HEADER = "Sardinedrift-Data-Centre"
_DRAIN_POLL_INTERVAL_SECONDS = 0.05
# With half of the owners dead, one id in a million finds no live owner.
_MAX_ID_TRIES = 20


class CallerServer:
    """Serves callers and counts the requests in progress.

    Args:
        identity: this entry.
        follower: holds the folded state.
        dispatcher: handles admitted requests.
        clock: source of the time.
        observer: notified of requests that are not admitted.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        dispatcher: Dispatcher,
        clock: Clock,
        observer: RequestObserver | None = None,
    ):
        self._identity = identity
        self._follower = follower
        self._dispatcher = dispatcher
        self._clock = clock
        self._admission = Admission(identity.data_centre_id)
        self._observer = observer or RequestObserver()
        self._leaving = False
        self._stopping = False
        self._in_progress = 0

    @property
    def in_progress(self) -> int:
        """Number of requests being handled."""
        return self._in_progress

    def application(self) -> web.Application:
        """Returns the application for callers."""
        application = web.Application()
        application.add_routes(
            [
                web.post("/v1/queues/{queue}/requests", self.receive),
                web.get("/v1/request-ids", self.make_request_id),
            ]
        )
        return application

    def peer_routes(self) -> list[web.RouteDef]:
        """Returns the routes for relays by other entries."""
        return [web.post(RELAY_PATH, self.receive_relay)]

    def leave(self) -> None:
        """Makes each further response close its connection.

        A connection left open would be closed at the end of the stop, possibly
        while its caller sends a request on it.
        """
        self._leaving = True

    def stop(self) -> None:
        """Refuses further requests; those in progress continue."""
        self._stopping = True

    async def drain(self, deadline: float) -> bool:
        """Waits until no request is in progress.

        Returns:
            False if requests are in progress at the deadline (unix seconds).
        """
        while self._in_progress:
            if self._clock.now() >= deadline:
                return False
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_SECONDS)
        return True

    async def make_request_id(self, request: web.Request) -> web.Response:
        """Responds with a fresh request id homed in this data centre.

        Avoids ids whose owner is not live. Ids of an owner that has ended are
        refused until the log records it as gone.
        """
        for _ in range(_MAX_ID_TRIES):
            request_id = new_request_id(self._identity.data_centre_id)
            if self._dispatcher.can_claim(request_id):
                break
        return web.json_response({"request_id": request_id})

    async def receive(self, request: web.Request) -> web.Response:
        """Handles a request of a caller."""
        with self._count_in_progress():
            caller_request = _parse_caller_request(request)
            return await self._respond(
                caller_request.request_id or "",
                self._handle(request, caller_request),
            )

    async def receive_relay(self, request: web.Request) -> web.Response:
        """Handles a request relayed by another entry."""
        with self._count_in_progress():
            try:
                relayed = decode_json(
                    request.headers.get(RELAY_HEADER, ""), RelayedRequest
                )
            except msgspec.DecodeError as error:
                return web.Response(status=400, text=str(error))
            return await self._respond(
                relayed.request_id, self._handle_relay(request, relayed)
            )

    async def _handle(
        self, request: web.Request, caller_request: CallerRequest
    ) -> tuple[RequestId, Answer]:
        self._check_serving(
            caller_request.request_id is not None, caller_request.attempt == "1"
        )
        admitted = self._admission.admit(
            self._follower.state,
            caller_request,
            self._clock.now(),
            self._follower.current_at,
        )
        return await self._dispatch(request, admitted)

    async def _handle_relay(
        self, request: web.Request, relayed: RelayedRequest
    ) -> tuple[RequestId, Answer]:
        made_by_caller = not relayed.claimed
        attempt = _parse_attempt(request.headers.get(ATTEMPT_HEADER, ""))
        first_attempt = attempt == 1
        self._check_serving(made_by_caller, first_attempt)
        queue = self._follower.state.tables.queue_by_id.get(relayed.queue_id)
        if queue is None:
            raise AdmissionError(
                "unknown_queue",
                "the queue is not known at the entry with endpoints",
                503,
                outcome_before_claim(made_by_caller, first_attempt),
            )
        admitted = Admitted(
            request_id=relayed.request_id,
            made_by_caller=made_by_caller,
            first_attempt=first_attempt,
            queue=queue,
            team_id=relayed.team_id,
            deadline=relayed.deadline,
            run_deadline_bound=relayed.deadline,
            content_type=relayed.content_type,
            hops=tuple(relayed.hops),
            attempt=attempt,
        )
        return await self._dispatch(request, admitted)

    async def _dispatch(
        self, request: web.Request, admitted: Admitted
    ) -> tuple[RequestId, Answer]:
        body = await self._read_body(request, admitted)
        admitted = msgspec.structs.replace(admitted, body=body)
        try:
            answer = await self._dispatcher.handle(admitted)
        except AdmissionError as error:
            error.request_id = admitted.request_id
            raise
        return admitted.request_id, answer

    async def _read_body(
        self, request: web.Request, admitted: Admitted
    ) -> bytes:
        """Reads the body, and stops at the limit of the queue."""
        check_body_size(admitted, request.content_length or 0)
        body = bytearray()
        try:
            async with asyncio.timeout(admitted.deadline - self._clock.now()):
                async for chunk in request.content.iter_any():
                    body += chunk
                    check_body_size(admitted, len(body))
        except TimeoutError as error:
            raise AdmissionError(
                "body_too_slow",
                "the body did not arrive before the deadline",
                408,
                admitted.refusal_outcome,
            ) from error
        return bytes(body)

    def _check_serving(self, made_by_caller: bool, first: bool) -> None:
        outcome = outcome_before_claim(made_by_caller, first)
        if self._stopping:
            text = "this entry is stopping; send to another one"
            raise AdmissionError("stopping", text, 503, outcome)
        if not self._follower.ready:
            text = "this entry is starting; send to another one"
            raise AdmissionError("not_ready", text, 503, outcome)

    async def _respond(
        self, request_id: str, work: Awaitable[tuple[RequestId, Answer]]
    ) -> web.Response:
        try:
            request_id, answer = await work
        except AdmissionError as error:
            # An error with an id was already reported by the dispatcher.
            if not error.request_id:
                self._observer.admission_refused(error)
            known = error.request_id or request_id
            return self._refusal(error, known)
        headers = self._headers(request_id, "answered")
        headers["Content-Type"] = answer.content_type
        return self._response(answer.status, answer.body, headers)

    def _refusal(self, error: AdmissionError, request_id: str) -> web.Response:
        body = ErrorBody(error.code, str(error), error.outcome, request_id)
        headers = self._headers(request_id, error.outcome.value)
        headers["Content-Type"] = "application/json"
        return self._response(error.status, msgspec.json.encode(body), headers)

    def _response(
        self, status: int, body: bytes, headers: dict[str, str]
    ) -> web.Response:
        response = web.Response(status=status, body=body, headers=headers)
        if self._leaving:
            response.force_close()
        return response

    def _headers(self, request_id: str, outcome: str) -> dict[str, str]:
        return {
            REQUEST_ID_HEADER: request_id,
            OUTCOME_HEADER: outcome,
            DATA_CENTRE_HEADER: self._identity.data_centre_id,
        }

    @contextlib.contextmanager
    def _count_in_progress(self) -> Iterator[None]:
        self._in_progress += 1
        try:
            yield
        finally:
            self._in_progress -= 1


def _parse_attempt(text: str) -> int:
    """Returns the number of a relayed attempt; 0: the caller gave none."""
    return int(text) if text.isascii() and text.isdigit() else 0


def _parse_caller_request(request: web.Request) -> CallerRequest:
    get: Callable[[str], str | None] = request.headers.get
    return CallerRequest(
        queue=request.match_info["queue"],
        key=get("Sardinedrift-Key"),
        team=get("Sardinedrift-Team"),
        request_id=get("Request-Id"),
        attempt=get(ATTEMPT_HEADER),
        deadline=get("Sardinedrift-Deadline"),
        content_type=get("Content-Type") or "application/octet-stream",
    )
