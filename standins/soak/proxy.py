"""Loopback TCP proxy that injects faults into its connections."""

import asyncio
import contextlib
import enum

CHUNK_BYTES = 1 << 16


class LinkFault(enum.Enum):
    """Fault that a proxy injects into its connections.

    LOSE_CALLS drops bytes to the target, LOSE_ANSWERS bytes from it, and
    SILENT both; the connections stay open.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    LOSE_CALLS = "lose calls"
    LOSE_ANSWERS = "lose answers"
    SILENT = "silent"


class Proxy:
    """Forwards connections to a target.

    Attributes:
        address: "host:port" that it listens on.
        target: "host:port" that new connections are forwarded to; it may
            change.
        fault: fault in effect.
        delay_s: delay of each chunk in seconds while the fault is DELAY.
    """

    def __init__(self, target: str = ""):
        self.target = target
        self.fault = LinkFault.NONE
        self.delay_s = 0.0
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def aclose(self) -> None:
        """Stops listening and aborts all connections."""
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Aborts the open connections."""
        for writer in self._writers:
            writer.transport.abort()

    def set_fault(self, fault: LinkFault, delay_s: float = 0.0) -> None:
        """Sets the fault; RESET also aborts the open connections."""
        self.fault, self.delay_s = fault, delay_s
        if fault is LinkFault.RESET:
            self.reset()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is LinkFault.RESET:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target[1]}
        try:
            await asyncio.gather(
                self._forward(reader, target[1], LinkFault.LOSE_CALLS),
                self._forward(target[0], writer, LinkFault.LOSE_ANSWERS),
            )
        finally:
            self._writers -= {writer, target[1]}
            writer.transport.abort()
            target[1].transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        losing_fault: LinkFault,
    ) -> None:
        # Bytes that follow a dropped chunk would be misread, so a connection
        # that dropped one forwards nothing any more in that direction.
        dropped = False
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                dropped = dropped or self.fault in (
                    losing_fault,
                    LinkFault.SILENT,
                )
                if dropped:
                    continue
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self.delay_s)
                writer.write(chunk)
                await writer.drain()
            if not dropped:
                writer.close()
