"""HTTP server whose clients are held within `ClientLimits`."""

import abc
import asyncio
import contextlib
import itertools
import logging
from collections import Counter
from collections.abc import Callable

import msgspec
from aiohttp import web
from aiohttp.http import HttpProcessingError

from sardinedrift.clientbounds import LegalBounds
from sardinedrift.clientconnection import ClientConnection
from sardinedrift.clientio import RequestHandler
from sardinedrift.clientlimits import ClientLimits
from sardinedrift.clientrecords import Cause, Client, Phase
from sardinedrift.clientrefusals import (
    REFUSAL_BY_CAUSE,
    Refusal,
    RequestRefused,
)
from sardinedrift.identifiers import Outcome
from sardinedrift.requestframing import (
    MAX_LINES_AT_ONCE,
    MAX_REQUEST_LINE_BYTES,
)

SWEEP_INTERVAL_S = 0.1
# A sweep later than this follows a pause of the process, after which received
# bytes are read before deadlines are enforced.
MAX_LATE_S = 0.25
REPORT_INTERVAL_S = 1.0
# Time for handlers to end after a stop has cancelled them.
CANCELLATION_S = 0.1
# Waiting requests for which slow ones are looked for in each sweep.
EVICTING_PER_SWEEP = 8
# Connections that continue with received bytes between other events.
RESUMED = 4
# The deadlines of `ClientLimits` apply instead of the library's.
LIBRARY_KEEPALIVE_S = 86_400.0
# Time for reading the rest of a body after an early response.
LINGERING_S = 1.5
# The library pauses a connection at twice this amount of unread body.
READ_BUFFER_BYTES = 65_536
# Shortest header line, of a name, a colon and a line end.
MIN_HEADER_LINE_BYTES = 4


class ClientObserver(abc.ABC):
    """Receives what the bounds have refused or closed."""

    @abc.abstractmethod
    def count(self, cause: Cause) -> None:
        """Counts one refused request or closed connection."""

    @abc.abstractmethod
    def report(self, cause: Cause, count: int) -> None:
        """Reports the count of a cause, at most once a second."""


# Errors that clients cause.
_CLIENT_ERRORS = (HttpProcessingError, RequestRefused, web.RequestPayloadError)


class _ClientErrors(logging.Filter):
    """Drops reports of errors that clients cause, as these are counted."""

    def filter(self, record: logging.LogRecord) -> bool:
        error = record.exc_info[1] if record.exc_info else None
        return not isinstance(error, _CLIENT_ERRORS)


_LOGGER = logging.getLogger("sardinedrift.http")
_LOGGER.addFilter(_ClientErrors())


class BoundedServer(web.Server):
    """A server of the HTTP library with bounds for its clients.

    Args:
        handler: handles the requests.
        limits: admits connections and requests.
        observer: receives what is refused or closed.
        legal: returns what a client within the published limits may do.
        outcome: outcome that refusals report, for an interface that has them.
        **options: arguments of `web.Server`.

    Attributes:
        limits: admits connections and requests.
        unread: connections with responses that may not have been sent.
    """

    def __init__(
        self,
        handler: Callable,
        limits: ClientLimits,
        observer: ClientObserver,
        legal: Callable[[], LegalBounds],
        outcome: Outcome | None = None,
        **options,
    ):
        super().__init__(self._handle, **options)
        self.limits = limits
        self.unread: set[ClientConnection] = set()
        self._bounded_handler = handler
        self._observer = observer
        self._legal = legal
        self._outcome = outcome
        self._connection_by_client: dict[Client, ClientConnection] = {}
        self._count_by_cause: Counter[Cause] = Counter()
        self._reported_at = 0.0
        # Set when a stop finds no connection any more.
        self._ended: asyncio.Event | None = None
        # Whether the last sweep has postponed the deadlines.
        self._postponed = False
        self._logged_errors: set[type[Exception]] = set()
        # In the order of their turns.
        self._resumable: dict[ClientConnection, None] = {}
        self._undecoded: dict[ClientConnection, None] = {}
        self._resume_handle: asyncio.Handle | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._wake_handle: asyncio.Handle | None = None
        self.now = self._loop.time
        self.call_soon = self._loop.call_soon

    def __call__(self) -> ClientConnection:
        """Returns the protocol of a new connection."""
        return ClientConnection(self)

    def new_handler(self) -> RequestHandler:
        """Returns a protocol of the library for one connection."""
        header_bytes = self.limits.legal.header_bytes
        return RequestHandler(
            self,
            loop=self._loop,
            access_log=None,
            logger=_LOGGER,
            keepalive_timeout=LIBRARY_KEEPALIVE_S,
            lingering_time=LINGERING_S,
            read_bufsize=READ_BUFFER_BYTES,
            # A decompressed body could be larger than what was charged.
            auto_decompress=False,
            max_line_size=MAX_REQUEST_LINE_BYTES,
            max_field_size=header_bytes,
            max_headers=header_bytes // MIN_HEADER_LINE_BYTES,
        )

    def refusal(self, cause: Cause) -> Refusal:
        """Returns the response to a request that is refused."""
        return msgspec.structs.replace(
            REFUSAL_BY_CAUSE[cause], outcome=self._outcome
        )

    def add(self, connection: ClientConnection) -> None:
        """Adds a new connection, and closes one above the bounds."""
        self._connection_by_client[connection.client] = connection
        if self._sweep_timer is None:
            self._schedule_sweep()
        excess = self.limits.excess_connection(connection.client, self.now())
        if excess is None:
            return
        if excess is connection.client:
            cause = Cause.CONNECTIONS
        elif excess.phase is Phase.IDLE:
            cause = Cause.IDLE_CLOSED
        else:
            cause = Cause.INCOMPLETE_CLOSED
        self._connection_by_client[excess].shed(cause)

    def remove(self, connection: ClientConnection) -> None:
        """Removes a connection that has ended."""
        del self._connection_by_client[connection.client]
        self.unread.discard(connection)
        self._resumable.pop(connection, None)
        self._undecoded.pop(connection, None)
        if self._ended is not None and not self._connection_by_client:
            self._ended.set()
        self.wake()

    def make_room(self, client: Client, cost: int) -> bool:
        """Charges a request, in favour of which slow ones are refused."""
        if self.limits.hold(client, cost):
            return True
        for slow in self.limits.slow_requests(client, cost, self.now()):
            connection = self._connection_by_client[slow]
            connection.refuse(Cause.INCOMPLETE_CLOSED)
        return self.limits.hold(client, cost)

    def decode_later(self, connection: ClientConnection) -> None:
        """Lets a body of very many chunks continue as the rate permits."""
        self._undecoded[connection] = None
        self._resume_undecoded(self.now())

    def continue_later(self, connection: ClientConnection) -> None:
        """Lets a connection continue with bytes that it has received.

        Only a few connections do so between other events. Otherwise requests
        that clients send ahead would delay those of others.
        """
        self._resumable[connection] = None
        if self._resume_handle is None:
            self._resume_handle = self.call_soon(self._resume_some)

    def wake(self) -> None:
        """Lets waiting requests continue, as memory was released."""
        if self._wake_handle is None and self.limits.has_waiting:
            self._wake_handle = self.call_soon(self._wake)

    def count(self, cause: Cause) -> None:
        """Counts a refused request or a closed connection."""
        self._observer.count(cause)
        self._count_by_cause[cause] += 1

    def pre_shutdown(self) -> None:
        """Closes each connection after its request in progress, if any.

        The library's method would drop the rest of a body.
        """
        for connection in list(self._connection_by_client.values()):
            connection.stop()

    async def shutdown(self, timeout: float | None = None) -> None:
        """Waits for the requests in progress, and ends what remains.

        Args:
            timeout: time for the requests in seconds; None for no bound.
        """
        self._ended = asyncio.Event()
        if self._connection_by_client:
            # What is not complete by then is ended below.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout):
                    await self._ended.wait()
        # The library's method drops the rest of bodies at once.
        await super().shutdown(CANCELLATION_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        handler = request.protocol
        assert isinstance(handler, RequestHandler)
        connection = handler.connection
        if not handler.connected:
            # Reading a body would wait for a client that is gone.
            request.content.set_exception(ConnectionResetError())
        connection.begin_request(request)
        try:
            return await self._bounded_handler(request)
        except RequestRefused as error:
            # The request refers to the error, whose traceback would keep the
            # body in a reference cycle.
            error.with_traceback(None)
            return _refused_response(error.refusal)
        except web.RequestPayloadError as error:
            error.with_traceback(None)
            self.count(Cause.MALFORMED)
            return _refused_response(self.refusal(Cause.MALFORMED))
        except ConnectionError as error:
            if error is not request.content.exception():
                raise
            # The client is gone. The error would be logged, and the response
            # is not sent.
            error.with_traceback(None)
            return web.Response(status=400)
        finally:
            connection.end_request()

    def _wake(self) -> None:
        self._wake_handle = None
        self._retry_waiting(evict=False)

    def _retry_waiting(self, evict: bool) -> None:
        for number, client in enumerate(self.limits.waiting()):
            self._connection_by_client[client].retry(
                evict and number < EVICTING_PER_SWEEP
            )

    def _schedule_sweep(self) -> None:
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Enforces the deadlines of all connections."""
        now = self.now()
        late_s = self._lateness_s()
        # An overloaded process is always late, but must enforce deadlines.
        self._postponed = late_s > MAX_LATE_S and not self._postponed
        try:
            if self._postponed:
                self.limits.postpone(late_s, now)
            else:
                self._attempt(self._enforce, now)
        finally:
            if self._connection_by_client or self._count_by_cause:
                self._schedule_sweep()
            else:
                self._sweep_timer = None

    def _lateness_s(self) -> float:
        if self._sweep_timer is None:
            return 0.0
        return self._loop.time() - self._sweep_timer.when()

    def _update_legal(self) -> None:
        self.limits.legal = self._legal()

    def _enforce(self, now: float) -> None:
        self._attempt(self._update_legal)
        for expired in list(self.limits.expired(now)):
            connection = self._connection_by_client[expired.client]
            self._attempt(connection.expire, expired.cause)
        for client in list(self.limits.clients(Phase.HANDLING)):
            connection = self._connection_by_client[client]
            self._attempt(connection.check_handled, now)
        for connection in list(self.unread):
            self._attempt(self._check_unread, connection, now)
        self._attempt(self._retry_waiting, True)
        self._attempt(self._resume_undecoded, now)
        self._attempt(self._report, now)

    def _attempt(self, action: Callable, *arguments) -> None:
        """Calls a step of a sweep; an error must not prevent the others."""
        try:
            action(*arguments)
        except Exception as error:
            kind = type(error)
            if kind not in self._logged_errors:
                self._logged_errors.add(kind)
                _LOGGER.exception("enforcing the bounds for clients failed")

    def _resume_some(self) -> None:
        self._resume_handle = None
        for connection in list(itertools.islice(self._resumable, RESUMED)):
            del self._resumable[connection]
            connection.resume()
        if self._resumable and self._resume_handle is None:
            self._resume_handle = self.call_soon(self._resume_some)

    def _resume_undecoded(self, now: float) -> None:
        for connection in list(self._undecoded):
            if not self.limits.may_decode(MAX_LINES_AT_ONCE, now):
                return
            del self._undecoded[connection]
            self.continue_later(connection)

    def _check_unread(self, connection: ClientConnection, now: float) -> None:
        unread = connection.unread_bytes()
        if self.limits.note_unread(
            connection.client, connection.sent_bytes, unread, now
        ):
            connection.abort(Cause.RESPONSE_UNREAD)
        elif not unread:
            self.unread.discard(connection)

    def _report(self, now: float) -> None:
        if now < self._reported_at + REPORT_INTERVAL_S:
            return
        self._reported_at = now
        for cause, count in self._count_by_cause.items():
            self._observer.report(cause, count)
        self._count_by_cause.clear()


class BoundedAppRunner(web.AppRunner):
    """Runs a web application on a `BoundedServer`.

    Args:
        application: the application.
        bound: creates the bounded server from the handler of the application
            and the options of its server.
        **options: arguments of `web.AppRunner`.
    """

    __slots__ = ("_bound",)

    def __init__(
        self,
        application: web.Application,
        bound: Callable[..., BoundedServer],
        **options,
    ):
        super().__init__(application, **options)
        self._bound = bound

    async def _make_server(self) -> BoundedServer:
        server = await super()._make_server()
        return self._bound(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
        )


def held_seconds(request: web.BaseRequest) -> float:
    """Returns how long a request waited for memory, in seconds."""
    handler = request.protocol
    if isinstance(handler, RequestHandler):
        return handler.connection.held_s
    return 0.0


def _refused_response(refusal: Refusal) -> web.Response:
    response = web.Response(
        status=refusal.status, body=refusal.body(), headers=refusal.headers()
    )
    response.force_close()
    return response
