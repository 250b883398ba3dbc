"""Clients that misuse their connections to an entry."""

import asyncio
import contextlib
import enum
import itertools
import socket
from collections.abc import AsyncIterator, Iterator
from typing import NamedTuple

MAX_BODY_BYTES = 262_144
RETRY_INTERVAL_S = 0.2
# Small, so that responses soon wait in the server.
RECEIVE_BUFFER_BYTES = 4096
# The peers of a crowd, other than the address of ordinary clients.
GROUP_ADDRESSES = tuple(f"127.0.0.{number}" for number in range(2, 6))
# "Without end" for the length of a test.
ENDLESS = 1_000_000


class Kind(enum.Enum):
    """Kind of misuse; the value is its name on the command line."""

    LONG_HEADERS = "long-headers"
    UNENDED_HEADERS = "unended-headers"
    MANY_HEADERS = "many-headers"
    SHORT_HEADERS = "short-headers"
    SLOW_HEADERS = "slow-headers"
    EMPTY_LINES = "empty-lines"
    SILENT = "silent"
    IDLE = "idle"
    WHOLE_BODY = "whole-body"
    BODY_PIECES = "body-pieces"
    LARGE_CHUNK = "large-chunk"
    SMALL_CHUNKS = "small-chunks"
    CHUNK_SIZE = "chunk-size"
    CHUNK_EXTENSION = "chunk-extension"
    TRAILERS = "trailers"
    UNREAD = "unread"
    PIPELINED = "pipelined"
    ENDED_BODY = "ended-body"
    SHORT_LENGTH = "short-length"
    HUGE_LENGTH = "huge-length"
    UPGRADE = "upgrade"
    EXPECT = "expect"


class Payload(NamedTuple):
    """What one client sends.

    Attributes:
        start: bytes sent first.
        piece: bytes sent after them, `count` times.
        interval_s: pause after each piece.
        ends: whether the client then ends its direction of the connection.
    """

    start: bytes = b""
    piece: bytes = b""
    count: int = 0
    interval_s: float = 0.0
    ends: bool = False


class Requests(NamedTuple):
    """Legal requests that the misuse starts from.

    Attributes:
        post: head of a request with a body, without its last, empty line.
        get: a whole request without a body.
        body_bytes: maximum size of a body.
    """

    post: bytes
    get: bytes
    body_bytes: int = MAX_BODY_BYTES


def make_payload(kind: Kind, requests: Requests) -> Payload:
    """Returns what a client of a kind sends."""
    post, get, size = requests
    length = post + b"Content-Length: %d\r\n" % size
    chunked = post + b"Transfer-Encoding: chunked\r\n\r\n"
    filler = b"x" * 1024
    match kind:
        case Kind.LONG_HEADERS:
            return Payload(post, b"X-Long: " + filler * 7 + b"\r\n", 36)
        case Kind.UNENDED_HEADERS:
            # As much as a header section may have, and no end.
            return Payload(post, b"X-Long: " + filler * 3 + b"\r\n", 5)
        case Kind.MANY_HEADERS:
            # Fewer lines than the HTTP library refuses.
            return Payload(post, b"a: " + filler * 2 + b"\r\n", 120)
        case Kind.SHORT_HEADERS:
            return Payload(post, b"a: b\r\n" * 1000, 50)
        case Kind.SLOW_HEADERS:
            return Payload(post, b"x", ENDLESS, 0.1)
        case Kind.EMPTY_LINES:
            return Payload(b"", b"\r\n" * 50, ENDLESS, 0.1)
        case Kind.SILENT:
            return Payload()
        case Kind.IDLE:
            return Payload(get)
        case Kind.WHOLE_BODY:
            return Payload(length + b"\r\n" + b"x" * (size - 1))
        case Kind.BODY_PIECES:
            count = size // len(filler)
            return Payload(length + b"\r\n" + filler[1:], filler, count - 1)
        case Kind.LARGE_CHUNK:
            return Payload(chunked + b"%x\r\n" % size, b"x" * (size - 1), 1)
        case Kind.SMALL_CHUNKS:
            return Payload(chunked, b"1\r\nx\r\n" * 1024, size // 1024 - 1)
        case Kind.CHUNK_SIZE:
            return Payload(chunked, b"0" * 50, ENDLESS, 0.1)
        case Kind.CHUNK_EXTENSION:
            return Payload(chunked + b"1;", b"x" * 50, ENDLESS, 0.1)
        case Kind.TRAILERS:
            return Payload(
                chunked + b"0\r\n", b"a: " + filler * 2 + b"\r\n", 120
            )
        case Kind.UNREAD:
            return Payload(b"", get, ENDLESS, 0.01)
        case Kind.PIPELINED:
            return Payload(b"", get * 100, ENDLESS)
        case Kind.ENDED_BODY:
            return Payload(length + b"\r\n" + b"x" * (size - 1), ends=True)
        case Kind.SHORT_LENGTH:
            head = post + b"Content-Length: 1\r\n\r\n"
            return Payload(head, filler, size // len(filler))
        case Kind.HUGE_LENGTH:
            head = post + b"Content-Length: 999999999999\r\n\r\n"
            return Payload(head, filler, ENDLESS)
        case Kind.UPGRADE:
            head = length + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
            return Payload(head, filler, size // len(filler))
        case Kind.EXPECT:
            head = length + b"Expect: 100-continue\r\n\r\n"
            return Payload(head + b"x" * (size - 1))


class Crowd:
    """Clients of one kind, which hold their connections until the end.

    Args:
        address: "host:port" of the entry.
        payload: what each client sends.
        connections: number of clients.
        peers: addresses that the clients connect from, in turn.
        attempts: number of times that a client whose connection breaks while
            it sends connects.
    """

    def __init__(
        self,
        address: str,
        payload: Payload,
        connections: int,
        peers: tuple[str, ...] = GROUP_ADDRESSES,
        attempts: int = 3,
    ):
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._payload = payload
        self._connections = connections
        self._peers = peers
        self._attempts = attempts

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Runs the clients during the block."""
        peers = itertools.cycle(self._peers)
        clients = [
            asyncio.create_task(self._run_client(next(peers)))
            for _ in range(self._connections)
        ]
        try:
            yield
        finally:
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)

    async def _run_client(self, peer: str) -> None:
        for _ in range(self._attempts):
            with _client_socket(peer) as connection:
                try:
                    await self._send(connection)
                except OSError:
                    await asyncio.sleep(RETRY_INTERVAL_S)
                    continue
                await asyncio.Event().wait()

    async def _send(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        payload = self._payload
        await loop.sock_connect(connection, self._address)
        await loop.sock_sendall(connection, payload.start)
        for _ in range(payload.count):
            await loop.sock_sendall(connection, payload.piece)
            await asyncio.sleep(payload.interval_s)
        if payload.ends:
            connection.shutdown(socket.SHUT_WR)


@contextlib.contextmanager
def _client_socket(peer: str) -> Iterator[socket.socket]:
    """Yields a socket that is bound to a peer address and never read from."""
    with socket.socket() as connection:
        connection.setblocking(False)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # The port is chosen when the socket connects, for each destination.
        connection.setsockopt(
            socket.IPPROTO_IP, socket.IP_BIND_ADDRESS_NO_PORT, 1
        )
        connection.bind((peer, 0))
        yield connection
