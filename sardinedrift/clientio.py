"""Transport side of a client connection, and the library's protocol on it."""

import abc
import array
import asyncio
import fcntl
import socket
import termios
import typing

from aiohttp import web

from sardinedrift.clientbounds import SOCKET_BUFFER_BYTES
from sardinedrift.clientrecords import Cause, Phase
from sardinedrift.clienttransport import LibraryTransport

if typing.TYPE_CHECKING:
    from sardinedrift.boundedserver import BoundedServer

# Response bytes kept in the process before no further request is started.
WRITE_BUFFER_BYTES = 4096
# Input that is discarded after a refusal.
MAX_DISCARDED_BYTES = 262_144


class RequestHandler(web.RequestHandler):
    """Protocol of the HTTP library.

    Attributes:
        connection: the connection that it serves.
    """

    __slots__ = ("connection",)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Writes a response."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self.connection.end_response()


class ConnectionBase(asyncio.Protocol, abc.ABC):
    """Reads from and writes to the transport of a client connection.

    Args:
        server: holds the limits and creates the library's protocols.

    Attributes:
        client: the record of the connection at the limits.
        sent_bytes: size of all responses so far.
    """

    __slots__ = (
        "_data",
        "_discarded_bytes",
        "_handler",
        "_held_back",
        "_library",
        "_limits",
        "_passed_on",
        "_pending",
        "_reading_paused",
        "_server",
        "_transport",
        "_writing_paused",
        "client",
        "sent_bytes",
    )

    def __init__(self, server: "BoundedServer"):
        self._server = server
        self._limits = server.limits
        self._handler: RequestHandler | None = None
        self._library: LibraryTransport | None = None
        self._held_back = False
        self._reading_paused = False
        self._writing_paused = False
        # Received bytes that no decoder has seen.
        self._pending = b""
        # Decoded bytes that the library has not received.
        self._data = b""
        self._discarded_bytes = 0
        # Whether the library has received a part of the current request.
        self._passed_on = False
        self.sent_bytes = 0

    @abc.abstractmethod
    def resume(self) -> None:
        """Continues with received bytes that were kept back."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connection at the request of the library."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Records the connection and limits its buffers."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        accepted = transport.get_extra_info("socket")
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            accepted.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        peer = transport.get_extra_info("peername")
        self.client = self._limits.connect(
            peer[0] if peer else "", self._server.now()
        )
        self._server.add(self)

    def eof_received(self) -> None:
        """Lets the transport close, as the library's protocol does."""

    def pause_writing(self) -> None:
        """Stops starting requests, as the client does not read responses."""
        self._writing_paused = True
        if self._handler is not None:
            self._handler.pause_writing()

    def resume_writing(self) -> None:
        """Continues to start requests."""
        self._writing_paused = False
        if self._handler is not None:
            self._handler.resume_writing()
        self.resume()

    def abort(self, cause: Cause) -> None:
        """Closes the connection without sending what is buffered."""
        self._server.count(cause)
        self._transport.abort()

    def finish_writing(self) -> None:
        """Tells the client that nothing more will be sent."""
        if not self._transport.is_closing():
            self._transport.write_eof()

    def apply_reading(self) -> None:
        """Reads unless this protocol or the library does not want to."""
        library = self._library
        paused = self._held_back or (
            library is not None and library.reading_paused
        )
        if paused == self._reading_paused or self._transport.is_closing():
            return
        self._reading_paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def note_write(self, size: int) -> None:
        """Notes that the library has sent a part of a response."""
        if self not in self._server.unread:
            self._server.unread.add(self)
            self.client.read_at = self._server.now()
        self.sent_bytes += size

    def unread_bytes(self) -> int:
        """Returns how many bytes of responses the client has not confirmed."""
        buffered = self._transport.get_write_buffer_size()
        if self._transport.is_closing():
            return buffered
        return buffered + _unconfirmed_bytes(
            self._transport.get_extra_info("socket").fileno()
        )

    def hold_back(self, held_back: bool) -> None:
        """Stops or continues to read from the connection."""
        self._held_back = held_back
        self.apply_reading()

    def _discard(self, data: bytes) -> None:
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.hold_back(True)

    def _pass_on(self, data: bytes) -> None:
        """Passes bytes on to the library, which fails after the end."""
        if self._transport.is_closing():
            return
        if self._handler is None:
            self._handler = self._server.new_handler()
            self._handler.connection = self
            self._library = LibraryTransport(self._transport, self)
            self._handler.connection_made(self._library)
        self._passed_on = True
        self._handler.data_received(data)

    def _take_data(self) -> bytes:
        data, self._data = self._data, b""
        return data

    def _keep(self, data: bytes) -> None:
        self._pending = data
        self.hold_back(True)

    def _discard(self, data: bytes) -> None:
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.hold_back(True)

    def _detach(self, error: Exception | None) -> None:
        """Ends the library's protocol without closing the transport."""
        handler, self._handler = self._handler, None
        if handler is not None and self._library is not None:
            self._library.detach()
            handler.connection_lost(error)

    def _enter(self, phase: Phase) -> None:
        self._limits.enter(self.client, phase, self._server.now())


def _unconfirmed_bytes(descriptor: int) -> int:
    """Returns how many bytes of a socket's output the peer has not received."""
    count = array.array("i", [0])
    fcntl.ioctl(descriptor, termios.TIOCOUTQ, count)
    return count[0]
