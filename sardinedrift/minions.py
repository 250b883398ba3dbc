"""Minions over HTTP: one send, one complete answer or a truthful error."""

import socket

import aiohttp
from aiohttp.connector import Connection

from sardinedrift.exceptions import (
    DialFailed,
    OutcomeUnknown,
    RefusedBeforeStart,
)
from sardinedrift.ports import Answer, Clock, Dispatch, MinionPort

CONNECT_SECONDS = 1.0
IDEMPOTENT_KEEPALIVE_SECONDS = 15.0
# An idle connection may have gone silent; a non-idempotent request lost on it
# cannot be sent again.
KEEPALIVE_SECONDS = 1.0
# Sent bytes that stay unacknowledged this long close the connection.
TCP_USER_TIMEOUT_MS = 2000
CONNECTIONS_PER_MINION = 64
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# A minion stops a request at its run deadline; that answer needs time to
# arrive.
ANSWER_MARGIN_SECONDS = 0.5
_CHUNK_BYTES = 64 * 1024
_NOT_SENT = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)
# ValueError: a header that cannot be written.
_BROKEN = (aiohttp.ClientError, OSError, TimeoutError, ValueError)
_REFUSALS = (429, 503)
_WITHOUT_BODY = (204, 304)


class HttpMinions(MinionPort):
    """Sends requests to minions; made inside a running event loop.

    Args:
        clock: against which run deadlines are measured.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._idempotent = _session(IDEMPOTENT_KEEPALIVE_SECONDS)
        self._once = _session(KEEPALIVE_SECONDS)
        self._fresh = _session(None)

    async def send(self, address: str, dispatch: Dispatch) -> Answer:
        """Sends one request and returns its answer; see `MinionPort`.

        An answer that is no refusal counts whatever its status is.
        """
        left = dispatch.run_deadline - self._clock.now()
        if left <= 0:
            raise DialFailed(f"{address}: not dialled after the run deadline")
        try:
            return await self._exchange(address, dispatch, left)
        except _NOT_SENT as error:
            raise DialFailed(f"{address}: {error}") from error
        except _BROKEN as error:
            raise OutcomeUnknown(f"{address}: {error!r}") from error

    async def probe(self, address: str, deadline: float) -> bool:
        """Tells whether a fresh connection to a minion is answered.

        Any HTTP answer counts, whatever its status is.
        """
        left = deadline - self._clock.now()
        if left <= 0:
            return False
        try:
            async with self._fresh.get(
                f"http://{address}/health",
                timeout=_timeout(left),
                allow_redirects=False,
            ):
                return True
        except _BROKEN:
            return False

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._idempotent.close()
        await self._once.close()
        await self._fresh.close()

    async def _exchange(
        self, address: str, dispatch: Dispatch, left: float
    ) -> Answer:
        session = self._idempotent if dispatch.idempotent else self._once
        async with session.post(
            f"http://{address}/work",
            data=dispatch.body,
            headers=_headers(dispatch),
            timeout=_timeout(left + ANSWER_MARGIN_SECONDS),
            allow_redirects=False,
        ) as response:
            try:
                return await _checked_answer(response, dispatch)
            except OutcomeUnknown:
                # What else arrives on this connection cannot be trusted.
                response.abort()
                raise


class _Response(aiohttp.ClientResponse):
    """A response whose connection can still be closed after its end.

    `close` does nothing once the whole answer has arrived, because the
    connection is then already back in the pool.
    """

    _transport = None

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Reads the head of the answer."""
        self._transport = connection.transport
        return await super().start(connection)

    def abort(self) -> None:
        """Closes the connection at once, in the pool or not."""
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
    """Returns the answer once it is complete and belongs to the dispatch."""
    echoed = response.headers.getall("Dispatch-Id", [])
    if echoed != [dispatch.dispatch_id]:
        raise OutcomeUnknown(f"answer to another dispatch: {echoed}")
    not_started = response.headers.get("Not-Started") == "1"
    if not_started and response.status in _REFUSALS:
        raise RefusedBeforeStart(
            f"refused with status {response.status}",
            draining=response.status == 503,
        )
    _check_delimited(response)
    return Answer(
        status=response.status,
        body=await _whole_body(response),
        content_type=response.headers.get(
            "Content-Type", "application/octet-stream"
        ),
    )


def _check_delimited(response: aiohttp.ClientResponse) -> None:
    """Refuses a body whose end is only marked by the end of the connection.

    Such a body cannot be told from a truncated one.
    """
    headers = response.headers
    chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    if response.status in _WITHOUT_BODY or chunked:
        return
    if "Content-Length" not in headers:
        raise OutcomeUnknown("answer without a length")


async def _whole_body(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise OutcomeUnknown("answer larger than 8 MiB")
    return bytes(body)


def _session(keepalive_seconds: float | None) -> aiohttp.ClientSession:
    """Returns a session; None as keepalive never reuses a connection."""
    reuse = {"keepalive_timeout": keepalive_seconds}
    if keepalive_seconds is None:
        reuse = {"force_close": True}
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=CONNECTIONS_PER_MINION,
        socket_factory=_open_socket,
        **reuse,
    )
    return aiohttp.ClientSession(
        connector=connector,
        response_class=_Response,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
    )


def _open_socket(address_info: tuple) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return opened


def _timeout(seconds: float) -> aiohttp.ClientTimeout:
    # Timeouts above 5 s are otherwise rounded up to a whole second.
    return aiohttp.ClientTimeout(
        total=seconds, connect=CONNECT_SECONDS, ceil_threshold=3600
    )
