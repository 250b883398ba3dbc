"""Serves the application of a stand-in at one address."""

import asyncio
import contextlib
import json
import signal
from collections.abc import AsyncIterator, Awaitable, Callable

import click
import msgspec
from aiohttp import web

SERVER = web.AppKey("server", "Server")
DRAIN = web.AppKey("drain", Callable[[], Awaitable[None]])


class Server:
    """Serves an application; the listener can be closed and reopened."""

    def __init__(self, app: web.Application, host: str, port: int):
        # Long polls end only when their connection closes. Only stand-ins that
        # drain get time to finish running requests.
        shutdown_seconds = 5.0 if DRAIN in app else 0.1
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=shutdown_seconds,
            keepalive_timeout=600,
        )
        self._host = host
        self._port = port
        self._site = None
        app[SERVER] = self

    @property
    def address(self) -> str:
        """The bound address as "host:port"."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Binds the address and starts to serve."""
        await self._runner.setup()
        await self.open_listener()

    async def open_listener(self) -> None:
        """Starts to listen; port 0 is replaced by the port that was bound."""
        self._site = web.TCPSite(
            self._runner, self._host, self._port, reuse_address=True
        )
        await self._site.start()
        self._port = self._runner.addresses[0][1]

    async def close_listener(self) -> None:
        """Stops listening, so that new connections are refused."""
        await self._site.stop()

    def transports(self) -> list[asyncio.Transport]:
        """Returns the transports of the open connections, oldest first."""
        handlers = self._runner.server.connections
        return [
            handler.transport
            for handler in handlers
            if handler.transport is not None
        ]

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        await self._runner.cleanup()


@contextlib.asynccontextmanager
async def serve(
    app: web.Application, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[str]:
    """Serves an application and yields its address."""
    server = Server(app, host, port)
    await server.start()
    try:
        yield server.address
    finally:
        await server.stop()


def listen_options(command: Callable) -> Callable:
    """Adds the options for the address that a stand-in listens on."""
    for option in (
        click.option("--port", default=0, help="0 binds any free port."),
        click.option("--host", default="127.0.0.1"),
    ):
        command = option(command)
    return command


def run(app: web.Application, host: str, port: int) -> None:
    """Serves until SIGTERM or SIGINT; prints the bound address first."""
    asyncio.run(_run(app, host, port))


async def _run(app: web.Application, host: str, port: int) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    async with serve(app, host, port) as address:
        print(json.dumps({"address": address}), flush=True)
        await stopping.wait()
        if DRAIN in app:
            await app[DRAIN]()


def json_response(message: object, status: int = 200) -> web.Response:
    """Returns a message as a JSON answer."""
    return web.Response(
        body=msgspec.json.encode(message),
        status=status,
        content_type="application/json",
    )


def error_response(status: int, code: str) -> web.Response:
    """Returns a JSON answer with an error code."""
    return json_response({"code": code}, status)


async def read_json(request: web.Request, message_type: type) -> object:
    """Decodes the body of a request.

    Raises:
        web.HTTPBadRequest: the body is not a valid `message_type`.
    """
    try:
        return msgspec.json.decode(await request.read(), type=message_type)
    except msgspec.MsgspecError as decode_error:
        raise web.HTTPBadRequest(text=str(decode_error)) from decode_error


def source_blocked(request: web.Request, blocked: frozenset[str]) -> bool:
    """Returns whether the `Source` header names a blocked source."""
    names = request.headers.get("Source", "").split(",")
    return any(name.strip() in blocked for name in names)
