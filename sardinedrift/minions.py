"""Sends requests to minions over HTTP.

A send ends with the complete answer to the request or with an error that
says whether the minion may have run it.
"""

import socket

import aiohttp
from aiohttp.connector import Connection

from sardinedrift.exceptions import (
    DialFailed,
    OutcomeUnknown,
    RefusedBeforeStart,
)
from sardinedrift.ports import Answer, Clock, Dispatch, MinionPort

CONNECT_TIMEOUT_SECONDS = 1.0
IDEMPOTENT_KEEPALIVE_TIMEOUT_SECONDS = 15.0
# An idle connection may be broken without notice. A non-idempotent request
# that is lost on it cannot be sent again, so this timeout is short.
KEEPALIVE_TIMEOUT_SECONDS = 1.0
# The connection is closed if sent bytes are not acknowledged within this time.
TCP_USER_TIMEOUT_MS = 2000
MAX_CONNECTIONS_PER_MINION = 64
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# A minion stops a request at its run deadline; this is the extra time for its
# answer to arrive.
ANSWER_MARGIN_SECONDS = 0.5
_CHUNK_BYTES = 64 * 1024
_NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)
# ValueError: a header contains characters that cannot be sent.
_TRANSPORT_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)
_REFUSAL_STATUSES = (429, 503)
_BODILESS_STATUSES = (204, 304)


class HttpMinions(MinionPort):
    """Sends requests to minions; must be created in a running event loop.

    Args:
        clock: source of the time, compared with run deadlines.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._idempotent_session = _new_session(
            IDEMPOTENT_KEEPALIVE_TIMEOUT_SECONDS
        )
        self._non_idempotent_session = _new_session(KEEPALIVE_TIMEOUT_SECONDS)
        self._probe_session = _new_session(None)

    async def send(self, address: str, dispatch: Dispatch) -> Answer:
        """Sends one request and returns its answer; see `MinionPort`.

        Any complete answer other than a refusal is returned, whatever its
        status is.
        """
        remaining = dispatch.run_deadline - self._clock.now()
        if remaining <= 0:
            raise DialFailed(f"{address}: run deadline passed before dialling")
        try:
            return await self._post(address, dispatch, remaining)
        except _NOT_SENT_ERRORS as error:
            raise DialFailed(f"{address}: {error}") from error
        except _TRANSPORT_ERRORS as error:
            raise OutcomeUnknown(f"{address}: {error!r}") from error

    async def probe(self, address: str, deadline: float) -> bool:
        """Returns whether a minion answers on a new connection.

        Any HTTP response counts, whatever its status is.
        """
        remaining = deadline - self._clock.now()
        if remaining <= 0:
            return False
        try:
            async with self._probe_session.get(
                f"http://{address}/health",
                timeout=_timeout(remaining),
                allow_redirects=False,
            ):
                return True
        except _TRANSPORT_ERRORS:
            return False

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._idempotent_session.close()
        await self._non_idempotent_session.close()
        await self._probe_session.close()

    async def _post(
        self, address: str, dispatch: Dispatch, remaining: float
    ) -> Answer:
        session = (
            self._idempotent_session
            if dispatch.idempotent
            else self._non_idempotent_session
        )
        async with session.post(
            f"http://{address}/work",
            data=dispatch.body,
            headers=_headers(dispatch),
            timeout=_timeout(remaining + ANSWER_MARGIN_SECONDS),
            allow_redirects=False,
        ) as response:
            try:
                return await _checked_answer(response, dispatch)
            except OutcomeUnknown:
                # Later responses on this connection may belong to other
                # requests.
                response.abort()
                raise


class _Response(aiohttp.ClientResponse):
    """A response whose connection can be closed after the whole body.

    `close` has no effect once the whole body has arrived, because the
    connection has already been returned to the connection pool.
    """

    _transport = None

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Reads the head of the response and keeps its transport."""
        self._transport = connection.transport
        return await super().start(connection)

    def abort(self) -> None:
        """Closes the connection at once, also if it is back in the pool."""
        if self._transport is not None:
            self._transport.abort()


def _headers(dispatch: Dispatch) -> dict[str, str]:
    return {
        "Dispatch-Id": dispatch.dispatch_id,
        "Request-Id": dispatch.request_id,
        "Team-Id": dispatch.team_id,
        "Run-Deadline": f"{dispatch.run_deadline:.3f}",
        "Content-Type": dispatch.content_type,
    }


async def _checked_answer(response: _Response, dispatch: Dispatch) -> Answer:
    """Reads the answer; checks that it is complete and for this dispatch."""
    echoed = response.headers.getall("Dispatch-Id", [])
    if echoed != [dispatch.dispatch_id]:
        raise OutcomeUnknown(f"answer has a wrong Dispatch-Id: {echoed}")
    not_started = response.headers.get("Not-Started") == "1"
    if not_started and response.status in _REFUSAL_STATUSES:
        raise RefusedBeforeStart(
            f"refused with status {response.status}",
            draining=response.status == 503,
        )
    _check_delimited(response)
    return Answer(
        status=response.status,
        body=await _read_body(response),
        content_type=response.headers.get(
            "Content-Type", "application/octet-stream"
        ),
    )


def _check_delimited(response: aiohttp.ClientResponse) -> None:
    """Refuses a body that is delimited only by the end of the connection.

    Such a body cannot be distinguished from a truncated one.
    """
    headers = response.headers
    chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    if response.status in _BODILESS_STATUSES or chunked:
        return
    if "Content-Length" not in headers:
        raise OutcomeUnknown("answer has no length and is not chunked")


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise OutcomeUnknown("answer body is larger than 8 MiB")
    return bytes(body)


def _new_session(keepalive_seconds: float | None) -> aiohttp.ClientSession:
    """Returns a session; with None, each request opens a new connection."""
    reuse = {"keepalive_timeout": keepalive_seconds}
    if keepalive_seconds is None:
        reuse = {"force_close": True}
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=MAX_CONNECTIONS_PER_MINION,
        socket_factory=_new_socket,
        **reuse,
    )
    return aiohttp.ClientSession(
        connector=connector,
        response_class=_Response,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
    )


def _new_socket(address_info: tuple) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return opened


def _timeout(seconds: float) -> aiohttp.ClientTimeout:
    # By default, aiohttp rounds timeouts above 5 s up to a whole second.
    return aiohttp.ClientTimeout(
        total=seconds, connect=CONNECT_TIMEOUT_SECONDS, ceil_threshold=3600
    )
