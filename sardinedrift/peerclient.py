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
from sardinedrift.jsoncodec import decode_json
from sardinedrift.ports import Clock
from sardinedrift.state import State

Reply = TypeVar("Reply")

CONNECT_TIMEOUT_SECONDS = 0.5
# A connection is closed if sent bytes are not acknowledged for this long.
TCP_USER_TIMEOUT_MS = 2000
# Shorter than the keep-alive timeout of the server, so that the server does
# not close an idle connection that is about to be reused.
KEEPALIVE_TIMEOUT_SECONDS = 15.0


class PeerClient:
    """Sends requests to addresses of entries, without retries."""

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
        """Sends a request and returns the complete response.

        Args:
            method: "POST", or "GET" for reads only, which may be repeated.
            address: "host:port" with an IP address.
            path: path and query.
            headers: headers to send.
            body: body to send.
            deadline: unix seconds.

        Returns:
            Status, headers and body.

        Raises:
            PeerError: the entry could not be reached or its response is
                incomplete.
        """
        remaining = deadline - self._clock.now()
        if remaining <= 0:
            raise PeerError(f"{address}: deadline has passed", sent=False)
        timeout = aiohttp.ClientTimeout(
            total=remaining,
            sock_connect=min(remaining, CONNECT_TIMEOUT_SECONDS),
        )
        with _convert_errors(address):
            async with self._get_session().request(
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

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
                socket_factory=_make_socket,
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
def _convert_errors(address: str) -> Iterator[None]:
    """Converts errors of aiohttp into `PeerError`."""
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


def _make_socket(address: tuple[Any, ...]) -> socket.socket:
    """Creates a socket whose sends fail if the peer stops acknowledging."""
    family, kind, protocol, _, _ = address
    new_socket = socket.socket(family, kind, protocol)
    new_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    return new_socket


def decode_reply(
    status: int, body: bytes, reply_type: type[Reply], source: str
) -> Reply:
    """Decodes the message in a reply.

    Raises:
        PeerError: the reply has an error status or cannot be decoded.
    """
    if status != 200:
        raise PeerError(f"{source} answered {status}: {body[:200]!r}")
    try:
        return decode_json(body, reply_type)
    except msgspec.DecodeError as error:
        raise PeerError(f"{source}: {error}") from error


def decode_snapshot(status: int, body: bytes, source: str) -> State:
    """Decodes the state in a reply.

    Raises:
        PeerError: the reply has an error status or cannot be decoded.
    """
    if status != 200:
        raise PeerError(f"{source} answered {status}")
    try:
        return snapshots.decode(body)
    except (msgspec.DecodeError, zlib.error) as error:
        raise PeerError(f"{source}: {error}") from error
