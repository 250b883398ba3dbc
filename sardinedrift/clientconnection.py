"""Protocol of one client connection, in front of that of the HTTP library.

It passes on one complete header section at a time and the bytes of its body,
as far as `ClientLimits` admits them, and keeps the others back.
"""

import typing

from aiohttp import web

from sardinedrift.clientbounds import SOCKET_BUFFER_BYTES
from sardinedrift.clientclosing import ClosingConnection
from sardinedrift.clientrecords import Cause, Phase
from sardinedrift.requestframing import (
    HEAD_END,
    LINE_END,
    MAX_REQUEST_LINE_BYTES,
    CodingError,
    FramingError,
    read_head,
    without_upgrade,
)

if typing.TYPE_CHECKING:
    from sardinedrift.boundedserver import BoundedServer

# Bytes received after a request that may be kept until its response.
MAX_EARLY_BYTES = 2 * SOCKET_BUFFER_BYTES
# A body may exceed its limit by this much before it is refused here, so that
# the handler of the request can refuse it.
BODY_EXCESS_BYTES = 65_536
# Steps in which the memory of a chunked body is charged as it arrives.
CHARGE_STEP_BYTES = 32_768
# Some clients send an empty line after a body.
MAX_EMPTY_LINE_BYTES = 2


class ClientConnection(ClosingConnection):
    """One connection of a client.

    Args:
        server: holds the limits and creates the library's protocols.

    Attributes:
        held_s: time for which the request waited for memory, in seconds.
    """

    __slots__ = (
        "_chunked",
        "_cost",
        "_fixed_cost",
        "_skipped_bytes",
        "held_s",
    )

    def __init__(self, server: "BoundedServer"):
        super().__init__(server)
        self._chunked = False
        # Charge for the current request, and the part that is not its body.
        self._cost = self._fixed_cost = 0
        self._skipped_bytes = 0
        self.held_s = 0.0

    def connection_lost(self, error: Exception | None) -> None:
        """Ends a request in progress and frees what the connection held."""
        self._detach(error)
        self._pending = self._data = b""
        self._body = None
        self._limits.disconnect(self.client)
        if self._request is None:
            self._limits.release(self.client)
        self._server.remove(self)

    def data_received(self, data: bytes) -> None:
        """Handles received bytes by the phase of the connection."""
        match self.client.phase:
            case Phase.IDLE | Phase.HEAD:
                self._receive_head(data)
            case Phase.BODY:
                self._receive_body(data)
            case Phase.CLOSING:
                self._discard(data)
            case _:
                self._receive_early(data)

    def begin_request(self, request: web.BaseRequest) -> None:
        """Notes that the handler of a request was called."""
        self._request = request
        if self._refused is not None:
            request.content.set_exception(self._refused)

    def end_request(self) -> None:
        """Notes that the handler of the request has returned."""
        self._request = None
        self._responding = True
        self._limits.release(self.client)
        if self.client.phase is Phase.BODY:
            # The rest of the body is read and not kept.
            self._responded = True
        if self.client.phase is not Phase.CLOSED:
            self._limits.hold(self.client, len(self._pending))
        self._server.wake()

    def end_response(self) -> None:
        """Notes that the response was written, or could not be."""
        self._responding = False
        match self.client.phase:
            case Phase.READY:
                self._pass_on(self._take_data())
                self._finish()
            case Phase.HANDLING:
                self._finish()
            case Phase.CLOSING:
                # The time for reading the response begins now.
                self._enter(Phase.CLOSING)
                if self._responded:
                    self.finish_writing()

    def retry(self, evict: bool) -> None:
        """Continues a request that waits for memory, if there is enough.

        Args:
            evict: whether slow requests are refused in favour of it.
        """
        client = self.client
        if self._transport.is_closing():
            return
        if client.phase is Phase.READY:
            waited_s = self._server.now() - client.since
            self._handle()
            if client.phase is not Phase.READY:
                self.held_s += waited_s
        elif client.phase is Phase.WAITING and (
            self._limits.hold(client, self._cost)
            or (evict and self._server.make_room(client, self._cost))
        ):
            self.held_s = self._server.now() - client.since
            self._start()

    def resume(self) -> None:
        """Continues with received bytes that were kept back."""
        if self._transport.is_closing():
            return
        pending = self._pending
        match self.client.phase:
            case Phase.IDLE | Phase.HEAD if pending:
                self._pending = b""
                self.hold_back(False)
                self._receive_head(pending)
            case Phase.BODY if pending:
                self._pending = b""
                self.hold_back(False)
                self._receive_body(pending)
            case Phase.IDLE | Phase.BODY:
                self.hold_back(False)

    def _receive_head(self, data: bytes) -> None:
        received = self._pending + data
        if self._writing_paused:
            self._keep(received)
            return
        data = received.lstrip(b"\r\n")
        self._skipped_bytes += len(received) - len(data)
        end = data.find(HEAD_END)
        if end < 0:
            self._pending = data
            self._await_head()
            return
        end += len(HEAD_END)
        self._pending = b""
        self._skipped_bytes = 0
        self._begin(data[:end], data[end:])

    def _await_head(self) -> None:
        """Bounds the bytes and the time of an incomplete header section."""
        size = len(self._pending)
        if not size and self._skipped_bytes <= MAX_EMPTY_LINE_BYTES:
            return
        if self.client.phase is Phase.IDLE:
            self._enter(Phase.HEAD)
        allowed = self._limits.legal.header_bytes + MAX_REQUEST_LINE_BYTES
        if size + self._skipped_bytes > allowed:
            self.refuse(Cause.HEADER_BYTES)
        elif not self._server.make_room(self.client, size):
            self.refuse(Cause.MEMORY)

    def _begin(self, head: bytes, rest: bytes) -> None:
        """Begins a request with a complete header section."""
        limits = self._limits
        line_bytes = head.find(LINE_END) + len(LINE_END)
        if (
            len(head) - line_bytes > limits.legal.header_bytes
            or line_bytes > MAX_REQUEST_LINE_BYTES
        ):
            self.refuse(Cause.HEADER_BYTES)
            return
        try:
            framing = read_head(head)
            self._body = body = framing.new_body()
            piece = body.feed(rest)
        except FramingError:
            self.refuse(Cause.MALFORMED)
            return
        except CodingError:
            self.refuse(Cause.CONTENT_CODING)
            return
        self._data = without_upgrade(head) + piece.data
        self._pending = piece.rest
        self._chunked = framing.content_length is None
        self._fixed_cost = len(piece.rest) + limits.request_cost(
            len(head), framing.lines, 0
        )
        self._cost = self._cost_of(framing.content_length)
        self._admit()

    def _cost_of(self, declared_bytes: int | None) -> int:
        """Returns the charge for the request as far as it is known."""
        size = declared_bytes
        if size is None:
            assert self._body is not None
            size = self._body.content_bytes
            if not self._body.complete:
                # Rounded up, so that not every piece changes the charge.
                size += CHARGE_STEP_BYTES - size % CHARGE_STEP_BYTES
        return self._fixed_cost + self._limits.request_cost(0, 0, size)

    def _charge_content(self) -> bool:
        """Charges a chunked body with its content; whether that fits."""
        if not self._chunked or self._responded:
            return True
        self._cost = self._cost_of(None)
        return self._cost == self.client.received or self._server.make_room(
            self.client, self._cost
        )

    def _admit(self) -> None:
        if self._server.make_room(self.client, self._cost):
            self.held_s = 0.0
            self._start()
        elif self._limits.may_wait():
            self._enter(Phase.WAITING)
            self.hold_back(True)
        else:
            self.refuse(Cause.MEMORY)

    def _start(self) -> None:
        """Passes an admitted request on."""
        assert self._body is not None
        if self._body.complete:
            self._handle()
            return
        self._enter(Phase.BODY)
        self._pass_on(self._take_data())
        self.resume()

    def _receive_body(self, data: bytes) -> None:
        body = self._body
        assert body is not None
        if self._pending:
            self._keep(self._pending + data)
            return
        now = self._server.now()
        self._limits.note_bytes(self.client, len(data), now)
        try:
            piece = body.feed(data)
        except FramingError:
            self.refuse(Cause.MALFORMED)
            return
        allowed = self._limits.legal.body_bytes + BODY_EXCESS_BYTES
        if body.complete and not self._charge_content():
            self.refuse(Cause.MEMORY)
        elif body.complete:
            self._pending = piece.rest
            self._complete(piece.data)
        elif body.content_bytes > allowed and not self._responded:
            self.refuse(Cause.BODY_BYTES)
        elif not self._charge_content():
            self.refuse(Cause.MEMORY)
        else:
            if piece.data:
                self._pass_on(piece.data)
            if piece.rest:
                self._keep(piece.rest)
                self._server.decode_later(self)

    def _complete(self, data: bytes) -> None:
        """Passes the end of a body on, once its copies are admitted."""
        if self._responding:
            self._enter(Phase.HANDLING)
            self._pass_on(data)
            return
        if self._responded:
            self._pass_on(data)
            self._finish()
            return
        self._data = data
        self._handle()

    def _handle(self) -> None:
        """Lets a complete request be handled, if memory permits."""
        assert self._body is not None
        if self._limits.process(self.client, self._body.content_bytes):
            self._enter(Phase.HANDLING)
            self._pass_on(self._take_data())
        elif self.client.phase is not Phase.READY:
            self._enter(Phase.READY)
        waits = self.client.phase is Phase.READY
        self.hold_back(waits or bool(self._pending))

    def _receive_early(self, data: bytes) -> None:
        """Keeps bytes that arrive before the current request has ended."""
        if self._ending:
            return
        client = self.client
        size = len(self._pending) + len(data)
        if client.phase is Phase.WAITING:
            if size > MAX_EARLY_BYTES:
                self.refuse(Cause.MEMORY)
                return
        elif size > MAX_EARLY_BYTES or not self._limits.hold(
            client, client.received + len(data)
        ):
            self._close_after_response()
            return
        self._keep(self._pending + data)

    def _close_after_response(self) -> None:
        """Drops the requests that follow the current one."""
        self._server.count(Cause.PIPELINED)
        self._limits.hold(self.client, self._cost)
        self._pending = b""
        self._ending = True
        self.hold_back(True)
        if self._handler is not None:
            self._handler.close()

    def _finish(self) -> None:
        """Ends a request; the next one may follow."""
        self._body = None
        self._passed_on = self._responded = False
        self._enter(Phase.IDLE)
        self._server.wake()
        if self._ending:
            self._pending = b""
            if self._handler is not None:
                self._handler.close()
        elif self._pending:
            self._limits.hold(self.client, len(self._pending))
            self._server.continue_later(self)
        else:
            self.hold_back(False)
