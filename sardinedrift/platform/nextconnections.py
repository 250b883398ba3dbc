"""Connections opened ahead of calls to peers that close them."""

import asyncio
import collections
import itertools
from collections.abc import Awaitable, Callable

import prometheus_client as prometheus
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey

from sardinedrift.identifiers import NO_CONNECTION, ConnectionId

# A peer closes its connections if this many consecutive responses came over
# other connections than the ones before them. A restart changes one.
MIN_CHANGED_CONNECTIONS = 3
# Part of the time limit of a call that opening the next connection may take.
OPEN_TIMEOUT_S = 0.2
# An unused connection is closed after this time.
UNUSED_TIMEOUT_S = 15.0

_FAILED_OPENS = prometheus.Counter(
    "sardinedrift_next_connection_failures",
    "Connections that could not be opened ahead of a call",
)

_connection_ids = itertools.count(1)


class Connection(ResponseHandler):
    """Protocol of one connection.

    Args:
        loop: the event loop.
        key: address of the peer.
        follows: connection during whose call it was opened, if any.

    Attributes:
        connection_id: number of the connection.
        key: address of the peer.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        key: ConnectionKey,
        follows: ConnectionId = NO_CONNECTION,
    ):
        super().__init__(loop)
        self.connection_id = ConnectionId(next(_connection_ids))
        self.key = key
        self._follows = follows

    def leads_to_process_of(self, connection_id: ConnectionId) -> bool:
        """Whether the process that answered over a connection gets a request.

        Args:
            connection_id: the connection; `NO_CONNECTION` leads to none.
        """
        return connection_id != NO_CONNECTION and connection_id in (
            self.connection_id,
            self._follows,
        )


class NextConnections:
    """Opens the next connection to a peer before a request is complete.

    A process that answers a request was there when the next connection was
    opened, as it had the request's connection before and read the request after
    that. So the next connection leads to it as well, and ends with it. This
    holds while one process at a time listens on an address.

    Args:
        open_connection: opens a connection to an address that follows another
            one. It raises OSError.
    """

    def __init__(
        self,
        open_connection: Callable[
            [ConnectionKey, ConnectionId], Awaitable[Connection]
        ],
    ):
        self._open_connection = open_connection
        self._changes_by_key: collections.Counter[ConnectionKey] = (
            collections.Counter()
        )
        self._next_by_key: dict[ConnectionKey, Connection] = {}

    def record_response(
        self, connection: Connection, previous: ConnectionId
    ) -> None:
        """Records over which connection a response came.

        Args:
            connection: the connection.
            previous: connection of the previous response, or `NO_CONNECTION`.
        """
        if previous == connection.connection_id:
            self.forget(connection.key)
        elif previous != NO_CONNECTION:
            self._changes_by_key[connection.key] += 1

    async def prepare(self, connection: Connection) -> None:
        """Opens the next connection, if the peer closes its connections.

        It must be called once a connection is open and before the request on it
        is complete.
        """
        key = connection.key
        if self._changes_by_key[key] < MIN_CHANGED_CONNECTIONS:
            return
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                opened = await self._open_connection(
                    key, connection.connection_id
                )
        except OSError:
            # TimeoutError is an OSError. The next call opens its connection
            # itself, so it carries nothing that is meant for one process.
            _FAILED_OPENS.inc()
            return
        self._close(key)
        self._next_by_key[key] = opened
        asyncio.get_running_loop().call_later(
            UNUSED_TIMEOUT_S, self._close_unused, opened
        )

    def take(self, key: ConnectionKey) -> Connection | None:
        """Returns the next connection to an address, if it is still open."""
        connection = self._next_by_key.pop(key, None)
        if connection is None:
            return None
        if connection.is_connected() and not connection.should_close:
            return connection
        connection.abort()
        return None

    def forget(self, key: ConnectionKey) -> None:
        """Forgets what is known of an address."""
        self._changes_by_key.pop(key, None)
        self._close(key)

    def close(self) -> None:
        """Closes all connections that were not used."""
        for key in list(self._next_by_key):
            self._close(key)

    def _close(self, key: ConnectionKey) -> None:
        connection = self._next_by_key.pop(key, None)
        if connection is not None:
            connection.abort()

    def _close_unused(self, connection: Connection) -> None:
        if self._next_by_key.get(connection.key) is connection:
            self._close(connection.key)
