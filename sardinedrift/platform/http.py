"""HTTP client for the platform's services."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import aiohttp
import msgspec

# An address that accepts no connection within this time counts as
# unreachable.
CONNECT_TIMEOUT_S = 0.5
# Idle connections are closed after this time, as the peer may be gone without
# having closed them.
KEEPALIVE_TIMEOUT_S = 15.0
# The kernel breaks a connection whose sent bytes stay unacknowledged for this
# time.
TCP_USER_TIMEOUT_MS = 2000
# Total time limit of a bulk call: 1 MB over 5 Mbit/s needs 1.7 s, and longer
# when other traffic shares the link.
BULK_TIMEOUT_S = 20.0


# Receives the path of a call, its outcome and its duration in seconds.
CallObserver = Callable[[str, str, float], None]


class NotSent(Exception):  # noqa: N818
    """No connection was opened, so the request was not sent."""


class NoResponse(Exception):  # noqa: N818
    """The request was sent, but no complete response was received."""


class Response(msgspec.Struct, frozen=True):
    """A complete HTTP response."""

    status: int
    body: bytes


class _Progress:
    """Progress of one call.

    Attributes:
        connected: whether the call has a connection.
        started_at: event-loop time at which the call started.
        received_at: event-loop time at which the last part of the response body
            was received; the start of the call until then.
    """

    __slots__ = ("connected", "received_at", "started_at")

    def __init__(self, now: float) -> None:
        self.connected = False
        self.started_at = now
        self.received_at = now

    def deadline(self, timeout_s: float, bulk: bool) -> float:
        """Returns the event-loop time at which the call times out."""
        if bulk:
            return min(
                self.received_at + timeout_s, self.started_at + BULK_TIMEOUT_S
            )
        return self.started_at + timeout_s


class HttpClient:
    """HTTP client with a connection pool.

    It must be created inside a running event loop.

    Args:
        max_per_host: maximum number of pooled connections to one address.
        observe: called after each call.
    """

    def __init__(
        self,
        max_per_host: int,
        observe: CallObserver = lambda path, outcome, seconds: None,
    ):
        self._observe = observe
        self._pooled_session = _make_session(
            limit_per_host=max_per_host, keepalive_timeout=KEEPALIVE_TIMEOUT_S
        )
        self._unpooled_session = _make_session(force_close=True)

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        timeout_s: float,
        body: bytes = b"",
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        new_connection: bool = False,
        bulk: bool = False,
    ) -> Response:
        """Sends one request and returns the complete response.

        Args:
            method: HTTP method.
            address: "host:port" of the service.
            path: path of the URL.
            timeout_s: time limit in seconds.
            body: JSON body of the request, if any.
            params: query parameters.
            headers: headers besides the content type.
            new_connection: whether to use a new connection instead of a pooled
                one.
            bulk: whether the time limit restarts whenever bytes arrive, for
                responses that a slow link delivers in parts. The whole call
                is then limited by BULK_TIMEOUT_S.

        Raises:
            NotSent: no connection was opened.
            NoResponse: no complete response came; the outcome is unknown.
        """
        progress = _Progress(asyncio.get_running_loop().time())
        session = (
            self._unpooled_session if new_connection else self._pooled_session
        )
        request = self._send(
            session,
            progress,
            method,
            f"http://{address}{path}",
            data=body or None,
            params=params,
            headers={"Content-Type": "application/json", **(headers or {})},
            allow_redirects=False,
        )
        outcome = "no_answer"
        try:
            response = await self._wait_for_response(
                request, progress, address, timeout_s, bulk
            )
            outcome = str(response.status)
        except NotSent:
            outcome = "not_sent"
            raise
        finally:
            elapsed_s = asyncio.get_running_loop().time() - progress.started_at
            self._observe(path, outcome, elapsed_s)
        return response

    async def _wait_for_response(
        self,
        request: Coroutine[Any, Any, Response],
        progress: _Progress,
        address: str,
        timeout_s: float,
        bulk: bool,
    ) -> Response:
        """Waits for the response until the deadline of the call."""
        # The deadline is enforced here and not by nested timeouts: the event
        # loop can raise from the timer that cancels a connection attempt, and
        # the call would then never end.
        loop = asyncio.get_running_loop()
        task = loop.create_task(request)
        try:
            await asyncio.wait(
                {task}, timeout=min(CONNECT_TIMEOUT_S, timeout_s)
            )
            while not task.done() and progress.connected:
                remaining_s = progress.deadline(timeout_s, bulk) - loop.time()
                if remaining_s <= 0:
                    break
                await asyncio.wait({task}, timeout=remaining_s)
            if task.done():
                return task.result()
        finally:
            cancelled = _cancel(task)
        if cancelled and not progress.connected:
            raise NotSent(address)
        raise NoResponse(
            f"{address}: no complete response within {timeout_s} s"
        )

    async def _send(
        self,
        session: aiohttp.ClientSession,
        progress: _Progress,
        method: str,
        url: str,
        **options: Any,
    ) -> Response:
        try:
            async with session.request(
                method, url, trace_request_ctx=progress, **options
            ) as response:
                return Response(
                    response.status, await _read_body(response, progress)
                )
        except aiohttp.ClientConnectorError as error:
            raise NotSent(f"{url}: {error!r}") from None
        except (aiohttp.ClientError, OSError, RuntimeError) as error:
            if not progress.connected:
                raise NotSent(f"{url}: {error!r}") from error
            raise NoResponse(f"{url}: {error!r}") from error

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pooled_session.close()
        await self._unpooled_session.close()


async def _read_body(
    response: aiohttp.ClientResponse, progress: _Progress
) -> bytes:
    loop = asyncio.get_running_loop()
    chunks = []
    async for chunk in response.content.iter_any():
        progress.received_at = loop.time()
        chunks.append(chunk)
    return b"".join(chunks)


def _cancel(task: asyncio.Task) -> bool:
    """Cancels a task.

    Returns:
        False when the event loop raised an error instead of cancelling it.
    """
    if task.done():
        return True
    # Nothing awaits a cancelled task, and the event loop logs exceptions that
    # are never retrieved.
    task.add_done_callback(_retrieve_exception)
    with contextlib.suppress(RuntimeError):
        task.cancel()
        return True
    return False


def _retrieve_exception(task: asyncio.Task) -> None:
    if not task.cancelled():
        task.exception()


def _make_session(**options: Any) -> aiohttp.ClientSession:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_mark_connected)
    trace.on_connection_reuseconn.append(_mark_connected)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, socket_factory=_make_socket, **options
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        trust_env=False,
        auto_decompress=False,
        trace_configs=[trace],
        timeout=aiohttp.ClientTimeout(total=None),
    )


async def _mark_connected(
    session: aiohttp.ClientSession, context: Any, params: Any
) -> None:
    context.trace_request_ctx.connected = True


def _make_socket(info: tuple) -> socket.socket:
    family, kind, protocol, _, _ = info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    return sock
