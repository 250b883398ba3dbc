"""HTTP client for the platform's services."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec
from aiohttp.abc import AbstractStreamWriter

from sardinedrift.identifiers import NO_CONNECTION, ConnectionId
from sardinedrift.platform.calltimer import CallTimer
from sardinedrift.platform.connector import Connector
from sardinedrift.platform.nextconnections import Connection, NextConnections

# An address that accepts no connection within this time counts as
# unreachable.
CONNECT_TIMEOUT_S = 0.5
# Idle connections are closed after this time, as the peer may be gone without
# having closed them.
KEEPALIVE_TIMEOUT_S = 15.0
# Total time limit of a bulk call: 1 MB over 5 Mbit/s needs 1.7 s, and longer
# when other traffic shares the link.
BULK_TIMEOUT_S = 20.0


# Receives the path of a call, its outcome and its duration in seconds.
CallObserver = Callable[[str, str, float], None]


class NotSent(Exception):  # noqa: N818
    """The request was not sent, or not whole."""


class NoResponse(Exception):  # noqa: N818
    """The request was sent, but no complete response was received."""


class AddressedBody(msgspec.Struct, frozen=True):
    """Request body of which a part is meant for one process only.

    Attributes:
        peer: name of the peer that the process belongs to. Calls to other peers
            at the same address use connections of their own.
        connection_id: connection over which that process has answered.
        content: the whole body, for connections that lead to it.
        other_content: the body for any other connection. Both have the same
            length, as that is sent before the connection is known.
    """

    peer: str
    connection_id: ConnectionId
    content: bytes
    other_content: bytes


class Response(msgspec.Struct, frozen=True):
    """A complete HTTP response.

    Attributes:
        connection_id: connection that carried an `AddressedBody`, else
            `NO_CONNECTION`.
        addressed: whether the whole content of that body was sent.
    """

    status: int
    body: bytes
    connection_id: ConnectionId = NO_CONNECTION
    addressed: bool = False


class _Progress:
    """Progress of one call; sets its deadline at each stage.

    Args:
        timer: ends the call.
        timeout_s: time limit for the response, in seconds.
        bulk: whether this limit restarts whenever bytes arrive.

    Attributes:
        connected: whether the call has a connection.
    """

    def __init__(self, timer: CallTimer, timeout_s: float, bulk: bool):
        self._timer = timer
        self._timeout_s = timeout_s
        self._bulk = bulk
        self._bulk_deadline = 0.0
        self.connected = False

    def begin_connecting(self) -> None:
        """Begins to limit the time for opening a connection."""
        self._timer.start(_loop_time() + CONNECT_TIMEOUT_S)

    def begin_queueing(self) -> None:
        """Suspends the limit while the call waits for other calls.

        The calls that it waits for have limits of their own.
        """
        self._timer.stop()

    def begin_request(self) -> None:
        """Begins to limit the time for the response."""
        self.connected = True
        now = _loop_time()
        self._bulk_deadline = now + BULK_TIMEOUT_S
        self._timer.start(now + self._timeout_s)

    def note_received(self) -> None:
        """Extends the limit of a bulk call after bytes have arrived."""
        if self._bulk:
            due = _loop_time() + self._timeout_s
            self._timer.start(min(due, self._bulk_deadline))


class _GuardedBody(aiohttp.payload.BytesPayload):
    """Request body that is sent only while a permission lasts.

    A request without its body is incomplete, so its receiver ignores it.
    """

    def __init__(self, body: bytes, may_send: Callable[[], bool]):
        super().__init__(body)
        self._may_send = may_send
        self.withheld = False

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Writes the body, or fails when the permission has ended.

        Raises:
            PermissionError: the permission has ended.
        """
        if not self._may_send():
            self.withheld = True
            raise PermissionError("permission to send has ended")
        await super().write_with_length(writer, content_length)


class _AddressedPayload(aiohttp.payload.BytesPayload):
    """Writes an addressed body, once its connection is known."""

    def __init__(self, body: AddressedBody, next_connections: NextConnections):
        super().__init__(body.content)
        self._body = body
        self._next_connections = next_connections
        self._connection: Connection | None = None
        self._addressed = False

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Writes the content for the connection of the writer."""
        self._connection = writer.protocol
        process = self._body.connection_id
        self._addressed = self._connection.leads_to_process_of(process)
        if not self._addressed:
            self._value = self._body.other_content
        await self._next_connections.prepare(self._connection)
        await super().write_with_length(writer, content_length)

    def complete(self, response: Response) -> Response:
        """Returns a response with what is known of its connection."""
        if self._connection is None:
            return response
        self._next_connections.record_response(
            self._connection, self._body.connection_id
        )
        return msgspec.structs.replace(
            response,
            connection_id=self._connection.connection_id,
            addressed=self._addressed,
        )


class HttpClient:
    """HTTP client with a connection pool.

    It must be created inside a running event loop.

    Args:
        max_per_host: maximum number of connections to one address, and of
            those for the addressed bodies of each peer there.
        observe: called after each call.
    """

    def __init__(
        self,
        max_per_host: int,
        observe: CallObserver = lambda path, outcome, seconds: None,
    ):
        self._observe = observe
        connector = Connector(
            limit=0,
            limit_per_host=max_per_host,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
        )
        self._next_connections = connector.next_connections
        self._session = _make_session(connector)

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        timeout_s: float,
        body: bytes | AddressedBody = b"",
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        bulk: bool = False,
        may_send: Callable[[], bool] | None = None,
    ) -> Response:
        """Sends one request and returns the complete response.

        Args:
            method: HTTP method.
            address: "host:port" of the service; the host is an IP address.
            path: path of the URL.
            timeout_s: time limit for the response, in seconds, from when the
                call has a connection.
            body: JSON body of the request, if any. An addressed body takes no
                `may_send`.
            params: query parameters.
            headers: headers besides the content type.
            bulk: whether the time limit restarts whenever bytes arrive, for
                responses that a slow link delivers in parts. The whole call
                is then limited by BULK_TIMEOUT_S.
            may_send: returns whether the request may still be sent; evaluated
                just before its body is written, after any wait for a
                connection. None permits it at any time.

        Raises:
            NotSent: no connection was opened, or `may_send` returned False.
            NoResponse: no complete response came; the outcome is unknown.
        """
        data = self._payload(body, may_send)
        started_at = _loop_time()
        outcome = "no_answer"
        try:
            response = await _send(
                self._session,
                timeout_s,
                bulk,
                method,
                f"http://{address}{path}",
                data=data or None,
                params=params,
                headers={"Content-Type": "application/json", **(headers or {})},
                allow_redirects=False,
                # It is part of the key by which connections are pooled, and
                # has no other effect without TLS.
                server_hostname=_peer_of(body),
            )
            outcome = str(response.status)
            if isinstance(data, _AddressedPayload):
                return data.complete(response)
            return response
        except NotSent:
            outcome = "not_sent"
            raise
        except NoResponse:
            if isinstance(data, _GuardedBody) and data.withheld:
                outcome = "withheld"
                raise NotSent(f"{address}: permission has ended") from None
            raise
        finally:
            self._observe(path, outcome, _loop_time() - started_at)

    async def aclose(self) -> None:
        """Closes all connections."""
        self._next_connections.close()
        await self._session.close()

    def _payload(
        self, body: bytes | AddressedBody, may_send: Callable[[], bool] | None
    ) -> bytes | aiohttp.payload.BytesPayload:
        if isinstance(body, AddressedBody):
            return _AddressedPayload(body, self._next_connections)
        return body if may_send is None else _GuardedBody(body, may_send)


async def _send(
    session: aiohttp.ClientSession,
    timeout_s: float,
    bulk: bool,
    method: str,
    url: str,
    **options: Any,
) -> Response:
    scope = asyncio.timeout(None)
    timer = CallTimer(scope)
    progress = _Progress(timer, timeout_s, bulk)
    try:
        async with scope:
            progress.begin_connecting()
            async with session.request(
                method, url, trace_request_ctx=progress, **options
            ) as response:
                body = await _read_body(response, progress)
                return Response(response.status, body)
    except (aiohttp.ClientError, OSError, ValueError, OverflowError) as error:
        # TimeoutError is an OSError. The others are caused by a malformed
        # address, header or response.
        if progress.connected:
            raise NoResponse(f"{url}: {error!r}") from error
        raise NotSent(f"{url}: {error!r}") from error
    finally:
        timer.stop()


async def _read_body(
    response: aiohttp.ClientResponse, progress: _Progress
) -> bytes:
    chunks = []
    async for chunk in response.content.iter_any():
        progress.note_received()
        chunks.append(chunk)
    return b"".join(chunks)


def _peer_of(body: bytes | AddressedBody) -> str | None:
    return body.peer if isinstance(body, AddressedBody) else None


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


def _make_session(connector: Connector) -> aiohttp.ClientSession:
    trace = aiohttp.TraceConfig()
    trace.on_connection_queued_start.append(_on_queued)
    trace.on_connection_queued_end.append(_on_dequeued)
    trace.on_connection_create_end.append(_on_connected)
    trace.on_connection_reuseconn.append(_on_connected)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        trust_env=False,
        auto_decompress=False,
        trace_configs=[trace],
        timeout=aiohttp.ClientTimeout(total=None),
    )


async def _on_queued(
    session: aiohttp.ClientSession, context: Any, params: Any
) -> None:
    context.trace_request_ctx.begin_queueing()


async def _on_dequeued(
    session: aiohttp.ClientSession, context: Any, params: Any
) -> None:
    context.trace_request_ctx.begin_connecting()


async def _on_connected(
    session: aiohttp.ClientSession, context: Any, params: Any
) -> None:
    context.trace_request_ctx.begin_request()
