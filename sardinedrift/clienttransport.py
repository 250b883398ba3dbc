"""Transport through which the HTTP library uses a client connection."""

import asyncio
import typing
from collections.abc import Iterable
from typing import Any

if typing.TYPE_CHECKING:
    from sardinedrift.clientconnection import ClientConnection


class LibraryTransport(asyncio.Transport):
    """Passes calls on to a transport until it is detached.

    Args:
        transport: the transport of the connection.
        connection: protocol of that transport. It closes the transport, and
            can hold back reading as well.

    Attributes:
        reading_paused: whether the library has paused reading.
    """

    __slots__ = ("_connection", "_detached", "_transport", "reading_paused")

    def __init__(
        self, transport: asyncio.Transport, connection: "ClientConnection"
    ):
        self._transport = transport
        self._connection = connection
        self._detached = False
        self.reading_paused = False

    def detach(self) -> None:
        """Makes every further call have no effect on the transport."""
        self._detached = True

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns information about the connection."""
        return self._transport.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Whether the transport is closing or no longer used."""
        return self._detached or self._transport.is_closing()

    def write(self, data: Any) -> None:
        """Sends a part of a response."""
        if not self._detached:
            self._connection.note_write(len(data))
            self._transport.write(data)

    def writelines(self, list_of_data: Iterable[Any]) -> None:
        """Sends parts of a response."""
        if not self._detached:
            self.write(b"".join(list_of_data))

    def close(self) -> None:
        """Closes the connection after the response."""
        if not self._detached:
            self._connection.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        if not self._detached:
            self._transport.abort()

    def pause_reading(self) -> None:
        """Pauses reading for the library."""
        if not self._detached and not self.reading_paused:
            self.reading_paused = True
            self._connection.apply_reading()

    def resume_reading(self) -> None:
        """Continues to read, unless the connection holds it back."""
        if not self._detached and self.reading_paused:
            self.reading_paused = False
            self._connection.apply_reading()

    def get_write_buffer_size(self) -> int:
        """Returns how many bytes wait to be sent."""
        return self._transport.get_write_buffer_size()
