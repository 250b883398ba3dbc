"""A loopback proxy whose connections can be harmed."""

import asyncio
import contextlib
import enum

CHUNK_BYTES = 1 << 16


class Harm(enum.Enum):
    """What happens to the bytes of a link."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    LOSE_CALLS = "lose calls"
    LOSE_ANSWERS = "lose answers"
    SILENT = "silent"


class Proxy:
    """Forwards connections to a target.

    Attributes:
        address: where it listens.
        target: "host:port" of the other side; it may change.
        harm: in force now.
        delay_s: of each chunk while the harm is DELAY.
    """

    def __init__(self, target: str = ""):
        self.target = target
        self.harm = Harm.NONE
        self.delay_s = 0.0
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(self._take, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def aclose(self) -> None:
        """Ends all connections."""
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Resets the open connections."""
        for writer in self._writers:
            writer.transport.abort()

    def set_harm(self, harm: Harm, delay_s: float = 0.0) -> None:
        """Puts a harm in force."""
        self.harm, self.delay_s = harm, delay_s
        if harm is Harm.RESET:
            self.reset()

    def _take(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.harm is Harm.RESET:
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
                self._pass(reader, target[1], Harm.LOSE_CALLS),
                self._pass(target[0], writer, Harm.LOSE_ANSWERS),
            )
        finally:
            self._writers -= {writer, target[1]}
            writer.transport.abort()
            target[1].transport.abort()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        losing: Harm,
    ) -> None:
        # A lost chunk would corrupt what follows, so a connection that lost
        # one stays silent for good.
        lost = False
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                lost = lost or self.harm in (losing, Harm.SILENT)
                if lost:
                    continue
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(self.delay_s)
                writer.write(chunk)
                await writer.drain()
            if not lost:
                writer.close()
