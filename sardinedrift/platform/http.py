"""Calls to the platform's services over HTTP."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import aiohttp
import msgspec

# Connections are opened within this time or the address counts as silent.
CONNECT_S = 0.5
# An idle connection may have gone silent, so it is not kept for long.
KEEPALIVE_S = 15.0
# Unacknowledged bytes break a connection after this long.
USER_TIMEOUT_MS = 2000
# Bulk answers may take this long in all; 1 MB over 5 Mbit/s needs 1.7 s, and
# longer beside other traffic.
BULK_S = 20.0


# Told the path of a call, its outcome and the seconds it took.
CallObserver = Callable[[str, str, float], None]


class NotSent(Exception):  # noqa: N818
    """No connection was opened."""


class NoAnswer(Exception):  # noqa: N818
    """The call was sent and no complete answer came."""


class Answer(msgspec.Struct, frozen=True):
    """A complete answer."""

    status: int
    body: bytes


class _Progress:
    """How far a call is.

    Attributes:
        connected: it has a connection.
        begun_at: event-loop time at which it began.
        heard_at: event-loop time of the newest bytes of the answer's body, or
            of the beginning of the call.
    """

    __slots__ = ("begun_at", "connected", "heard_at")

    def __init__(self, now: float) -> None:
        self.connected = False
        self.begun_at = now
        self.heard_at = now

    def deadline(self, timeout_s: float, bulk: bool) -> float:
        """Returns the event-loop time at which the call is given up."""
        if bulk:
            return min(self.heard_at + timeout_s, self.begun_at + BULK_S)
        return self.begun_at + timeout_s


class HttpClient:
    """One pool of connections; made inside a running event loop.

    Args:
        per_host: most connections to one address.
        observe: told each call.
    """

    def __init__(
        self,
        per_host: int,
        observe: CallObserver = lambda path, outcome, seconds: None,
    ):
        self._observe = observe
        self._session = _make_session(
            limit_per_host=per_host, keepalive_timeout=KEEPALIVE_S
        )
        self._fresh = _make_session(force_close=True)

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        timeout_s: float,
        body: bytes = b"",
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        fresh: bool = False,
        bulk: bool = False,
    ) -> Answer:
        """Sends one call and returns the whole answer.

        With `fresh` it goes over a new connection. With `bulk` the time
        limit starts anew whenever bytes arrive, for answers that a slow link
        delivers in parts, and BULK_S bounds the whole.

        Raises:
            NotSent: no connection was opened.
            NoAnswer: the outcome is unknown.
        """
        progress = _Progress(asyncio.get_running_loop().time())
        session = self._fresh if fresh else self._session
        work = self._send(
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
            answer = await self._wait(work, progress, address, timeout_s, bulk)
            outcome = str(answer.status)
        except NotSent:
            outcome = "not_sent"
            raise
        finally:
            took_s = asyncio.get_running_loop().time() - progress.begun_at
            self._observe(path, outcome, took_s)
        return answer

    async def _wait(
        self,
        work: Coroutine[Any, Any, Answer],
        progress: _Progress,
        address: str,
        timeout_s: float,
        bulk: bool,
    ) -> Answer:
        """Waits for an answer until the call's deadline."""
        # The time is kept here and not by nested timeouts: the event loop can
        # raise out of the timer that cancels a connection attempt, and the
        # call would then wait for ever.
        loop = asyncio.get_running_loop()
        task = loop.create_task(work)
        try:
            await asyncio.wait({task}, timeout=min(CONNECT_S, timeout_s))
            while not task.done() and progress.connected:
                left = progress.deadline(timeout_s, bulk) - loop.time()
                if left <= 0:
                    break
                await asyncio.wait({task}, timeout=left)
            if task.done():
                return task.result()
        finally:
            cancelled = _cancel(task)
        if cancelled and not progress.connected:
            raise NotSent(address)
        raise NoAnswer(f"{address}: no answer in {timeout_s} s")

    async def _send(
        self,
        session: aiohttp.ClientSession,
        progress: _Progress,
        method: str,
        url: str,
        **options: Any,
    ) -> Answer:
        try:
            async with session.request(
                method, url, trace_request_ctx=progress, **options
            ) as response:
                return Answer(response.status, await _read(response, progress))
        except aiohttp.ClientConnectorError as error:
            raise NotSent(f"{url}: {error!r}") from None
        except (aiohttp.ClientError, OSError, RuntimeError) as error:
            if not progress.connected:
                raise NotSent(f"{url}: {error!r}") from error
            raise NoAnswer(f"{url}: {error!r}") from error

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._session.close()
        await self._fresh.close()


async def _read(response: aiohttp.ClientResponse, progress: _Progress) -> bytes:
    loop = asyncio.get_running_loop()
    chunks = []
    async for chunk in response.content.iter_any():
        progress.heard_at = loop.time()
        chunks.append(chunk)
    return b"".join(chunks)


def _cancel(task: asyncio.Task) -> bool:
    """Cancels a task; returns False when the event loop fails to."""
    if task.done():
        return True
    # The outcome of what was cancelled is of no use to anybody.
    task.add_done_callback(_forget)
    with contextlib.suppress(RuntimeError):
        task.cancel()
        return True
    return False


def _forget(task: asyncio.Task) -> None:
    if not task.cancelled():
        task.exception()


def _make_session(**options: Any) -> aiohttp.ClientSession:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_note_connection)
    trace.on_connection_reuseconn.append(_note_connection)
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


async def _note_connection(
    session: aiohttp.ClientSession, context: Any, params: Any
) -> None:
    context.trace_request_ctx.connected = True


def _make_socket(info: tuple) -> socket.socket:
    family, kind, protocol, _, _ = info
    made = socket.socket(family, kind, protocol)
    made.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    return made
