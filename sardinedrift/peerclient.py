"""HTTP client for calls between entries."""

import asyncio
import contextlib
import errno
import socket
import zlib
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

import aiohttp
import msgspec

from sardinedrift import snapshots
from sardinedrift.exceptions import PeerError
from sardinedrift.ports import Clock
from sardinedrift.state import State

Reply = TypeVar("Reply")

CONNECT_SECONDS = 0.5
# Bytes not acknowledged for this long end a connection that went silent.
TCP_USER_TIMEOUT_MS = 2000
# Below the keep-alive time of the server, which closes idle connections.
KEEP_ALIVE_SECONDS = 15.0


class PeerClient:
    """Sends single requests to addresses of entries, never twice."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        deadline: float,
    ) -> tuple[int, Mapping[str, str], bytes]:
        """Returns status, headers and whole body of the answer.

        Args:
            method: "POST"; "GET" only for reads, which may be repeated.
            address: "host:port" with an IP address.
            path: path and query.
            headers: headers to send.
            body: body to send.
            deadline: unix seconds.

        Raises:
            PeerError: there is no complete answer.
        """
        rest = deadline - self._clock.now()
        if rest <= 0:
            raise PeerError(f"{address}: deadline has passed", sent=False)
        timeout = aiohttp.ClientTimeout(
            total=rest, sock_connect=min(rest, CONNECT_SECONDS)
        )
        with _translated(address):
            async with self._opened().request(
                method,
                f"http://{address}{path}",
                data=body or None,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return response.status, response.headers, await response.read()

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _opened(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=KEEP_ALIVE_SECONDS,
                socket_factory=_socket,
                loop=asyncio.get_running_loop(),
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                trust_env=False,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._session


@contextlib.contextmanager
def _translated(address: str) -> Iterator[None]:
    """Raises `PeerError` for the errors of aiohttp."""
    try:
        yield
    except aiohttp.ClientConnectorError as error:
        refused = error.os_error.errno == errno.ECONNREFUSED
        raise PeerError(
            f"{address}: {error}", sent=False, refused=refused
        ) from error
    except aiohttp.ConnectionTimeoutError as error:
        raise PeerError(f"{address}: no connection", sent=False) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise PeerError(f"{address}: {error!r}") from error


def _socket(address: tuple[Any, ...]) -> socket.socket:
    """Makes a socket whose sends fail when the peer goes silent."""
    family, kind, protocol, _, _ = address
    made = socket.socket(family, kind, protocol)
    made.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    return made


def decode_reply(
    status: int, body: bytes, reply_type: type[Reply], source: str
) -> Reply:
    """Returns the message in a reply.

    Raises:
        PeerError: the reply is an error or unreadable.
    """
    if status != 200:
        raise PeerError(f"{source} answered {status}: {body[:200]!r}")
    try:
        return msgspec.json.decode(body, type=reply_type)
    except msgspec.DecodeError as error:
        raise PeerError(f"{source}: {error}") from error


def decode_snapshot(status: int, body: bytes, source: str) -> State:
    """Returns the state in a reply.

    Raises:
        PeerError: the reply is an error or unreadable.
    """
    if status != 200:
        raise PeerError(f"{source} answered {status}")
    try:
        return snapshots.decode(body)
    except (msgspec.DecodeError, zlib.error) as error:
        raise PeerError(f"{source}: {error}") from error
