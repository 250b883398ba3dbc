"""Ends of client connections: refusals, deadlines and stops."""

import typing

from aiohttp import web

from sardinedrift.clientio import ConnectionBase
from sardinedrift.clientrecords import Cause, Phase
from sardinedrift.clientrefusals import RequestRefused
from sardinedrift.requestframing import Body

if typing.TYPE_CHECKING:
    from sardinedrift.boundedserver import BoundedServer

# Time in which the library calls the handler of a complete request. It does so
# at once unless its parser and this module understand the request differently.
HANDLER_START_S = 1.0


class ClosingConnection(ConnectionBase):
    """Refuses requests and closes the connection.

    Args:
        server: holds the limits and creates the library's protocols.
    """

    __slots__ = (
        "_body",
        "_buffered_bytes",
        "_ending",
        "_refused",
        "_request",
        "_responded",
        "_responding",
    )

    def __init__(self, server: "BoundedServer"):
        super().__init__(server)
        self._body: Body | None = None
        self._request: web.BaseRequest | None = None
        # Refusal of a request whose handler was not called yet.
        self._refused: RequestRefused | None = None
        # Whether the handler has returned before the end of the body.
        self._responded = False
        # Whether the response to a handled request is being written.
        self._responding = False
        # Whether the current request is the last one.
        self._ending = False
        # Output that was not sent at the last deadline while closing.
        self._buffered_bytes = 0

    def expire(self, cause: Cause | None) -> None:
        """Ends the connection or its request after its deadline."""
        if self.client.phase is Phase.CLOSING:
            self._expire_closing()
        elif cause is None:
            self._transport.close()
        else:
            self.refuse(cause)

    def _expire_closing(self) -> None:
        """Aborts a closing connection unless a response is delivered on it."""
        if self._request is not None or self._responding:
            return
        buffered = self._transport.get_write_buffer_size()
        advances = buffered < self._buffered_bytes or not self._buffered_bytes
        self._buffered_bytes = buffered
        if buffered and advances:
            self._enter(Phase.CLOSING)
        else:
            self._transport.abort()

    def check_handled(self, now: float) -> None:
        """Ends the connection if its request never reached a handler."""
        late = now >= self.client.since + HANDLER_START_S
        started = self._request is not None or self._responding
        if late and not started and not self._writing_paused:
            self.abort(Cause.MALFORMED)

    def shed(self, cause: Cause) -> None:
        """Closes the connection in favour of another one."""
        if self.client.phase is not Phase.IDLE:
            self.refuse(cause)
            return
        self._server.count(cause)
        if cause is not Cause.IDLE_CLOSED:
            self._transport.write(self._server.refusal(cause).encode())
        self._enter(Phase.CLOSING)
        self._transport.close()

    def refuse(self, cause: Cause) -> None:
        """Refuses the request, and closes the connection after the response.

        Once the handler of a request runs, its attempt to read the body fails
        with the refusal. A handler that does not read the body has its own
        response.
        """
        self._server.count(cause)
        refusal = self._server.refusal(cause)
        started = self._passed_on
        self._enter(Phase.CLOSING)
        self._pending = self._data = b""
        self._body = None
        if not started:
            self._detach(None)
            self._transport.write(refusal.encode())
            self.finish_writing()
        elif self._responded:
            if not self._responding:
                self.finish_writing()
        else:
            self._refused = RequestRefused(refusal)
            if self._request is not None:
                self._request.content.set_exception(self._refused)
        self.hold_back(False)

    def stop(self) -> None:
        """Closes the connection after the request in progress, if any."""
        self._ending = True
        match self.client.phase:
            case Phase.READY:
                self._pass_on(self._take_data())
                self._enter(Phase.HANDLING)
            case Phase.WAITING:
                self.refuse(Cause.MEMORY)
            case Phase.IDLE | Phase.HEAD:
                self._transport.close()

    def close(self) -> None:
        """Closes the connection at the request of the library."""
        if self.client.phase is Phase.CLOSING:
            # Closing at once could reset the connection before the client has
            # read the refusal.
            self.finish_writing()
        else:
            self._transport.close()
