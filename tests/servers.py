"""Helpers that serve stand-ins in the test process and call them."""

import asyncio
import contextlib

import aiohttp

from sardinedrift.identifiers import Identity
from standins.serving import serve

IDENTITY = Identity("e1", "dc1", "127.0.0.1:0")

__all__ = [
    "IDENTITY",
    "control",
    "get",
    "raw_server",
    "serve",
    "until",
]


async def control(address: str, **message) -> dict:
    """Sends a control message to a stand-in; returns its answer."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"http://{address}/control", json=message) as response,
    ):
        assert response.status == 200, await response.text()
        return await response.json()


async def get(address: str, path: str) -> dict:
    """Returns the JSON answer of a stand-in."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{address}{path}") as response,
    ):
        return await response.json()


async def until(condition) -> None:
    """Waits until an asynchronous condition holds, for about 20 s at most."""
    for _ in range(2000):
        if await condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not hold within about 20 s")


@contextlib.asynccontextmanager
async def raw_server(answers: list[bytes]):
    """Serves the given answers, one per request, on any number of connections.

    An empty answer closes the connection after the request was read.

    Yields:
        The address, and a list with the peer address of each request received.
    """
    requests = []

    async def handle_connection(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                requests.append(writer.get_extra_info("peername"))
                answer = answers.pop(0)
                writer.write(answer)
                await writer.drain()
                if not answer or b"Connection: close" in answer:
                    break
        writer.close()

    server = await asyncio.start_server(handle_connection, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port}", requests
    finally:
        server.close()
