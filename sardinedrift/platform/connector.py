"""Connections of the HTTP client, opened by the event loop itself."""

import asyncio
import itertools
import os
import socket
import struct

import aiohttp
from aiohttp.client_proto import ResponseHandler

from sardinedrift.identifiers import ConnectionId

# The kernel breaks a connection whose sent bytes stay unacknowledged for this
# time.
TCP_USER_TIMEOUT_MS = 2000
# Value of SO_LINGER that makes closing a connection reset it.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_connection_ids = itertools.count(1)


class Connection(ResponseHandler):
    """Protocol of one connection.

    Attributes:
        connection_id: number of the connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self.connection_id = ConnectionId(next(_connection_ids))


class Connector(aiohttp.BaseConnector):
    """Opens connections to addresses given as IP and port.

    The event loop creates and closes the sockets. With `TCPConnector` the
    socket of a cancelled attempt is closed while the event loop still watches
    its descriptor, whose number the next connection may reuse; libuv then ends
    the process.

    Closing a connection resets it. Bytes that the peer has not received yet are
    dropped, so a request cannot arrive after its call has timed out.
    """

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list,
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        try:
            transport, protocol = await self._loop.create_connection(
                lambda: Connection(self._loop), req.url.host, req.url.port
            )
        except OSError as error:
            raise aiohttp.ClientConnectorError(
                req.connection_key, error
            ) from error
        try:
            _set_options(transport.get_extra_info("socket").fileno())
        except OSError as error:
            transport.abort()
            raise aiohttp.ClientConnectorError(
                req.connection_key, error
            ) from error
        return protocol


def _set_options(descriptor: int) -> None:
    # The options belong to the open socket, which both descriptors share.
    with socket.socket(fileno=os.dup(descriptor)) as sock:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
