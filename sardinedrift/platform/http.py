"""Calls to the platform's services over HTTP."""

import socket
from typing import Any

import aiohttp
import msgspec

# Connections are opened within this time or the address counts as silent.
CONNECT_S = 0.5
# An idle connection may have gone silent, so it is not kept for long.
KEEPALIVE_S = 15.0
# Unacknowledged bytes break a connection after this long.
USER_TIMEOUT_MS = 2000


class NotSent(Exception):  # noqa: N818
    """No connection was opened."""


class NoAnswer(Exception):  # noqa: N818
    """The call was sent and no complete answer came."""


class Answer(msgspec.Struct, frozen=True):
    """A complete answer."""

    status: int
    body: bytes


class HttpClient:
    """One pool of connections; made inside a running event loop.

    Args:
        per_host: most connections to one address.
    """

    def __init__(self, per_host: int):
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
    ) -> Answer:
        """Sends one call and returns the whole answer.

        With `fresh` it goes over a new connection.

        Raises:
            NotSent: no connection was opened.
            NoAnswer: the outcome is unknown.
        """
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=CONNECT_S, ceil_threshold=3600
        )
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        session = self._fresh if fresh else self._session
        try:
            async with session.request(
                method,
                f"http://{address}{path}",
                data=body or None,
                params=params,
                headers=all_headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return Answer(response.status, await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            raise NotSent(address) from None
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise NoAnswer(f"{address}: {error!r}") from error

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._session.close()
        await self._fresh.close()


def _make_session(**options: Any) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, socket_factory=_make_socket, **options
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        trust_env=False,
        auto_decompress=False,
    )


def _make_socket(info: tuple) -> socket.socket:
    family, kind, protocol, _, _ = info
    made = socket.socket(family, kind, protocol)
    made.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    return made
