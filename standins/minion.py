"""Stand-in for a minion: runs requests in slots and records executions."""

import asyncio
import hashlib
import json
import os
import time
from collections import Counter

import click
import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

from standins import serving

# Time after the last answer of a planned stop in which new work is refused.
LINGER_SECONDS = 0.5
DEFAULT_SIZE = 64


class WorkRequest(msgspec.Struct):
    """Body of a request; every field is optional."""

    run_seconds: float = 0.0
    size: int = DEFAULT_SIZE
    fail: bool = False
    tag: str = ""


class Execution(msgspec.Struct):
    """One execution; times are unix seconds, `end` is 0 until it ends."""

    request_id: str
    team_id: str
    dispatch_id: str
    start: float
    end: float = 0.0
    ended_by: str = ""


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to set; absent fields keep their values.

    Attributes:
        wrong_dispatch_id: number of next answers with a wrong dispatch id.
        truncate: number of next answers that end after half of their body.
        late: seconds by which answers are delayed after the execution.
        silent: True permanently stops traffic on the connections now open;
            False aborts them.
        fail_fast: answer 500 right after the start.
        draining: refuse new work.
        reboot: abort executions and connections, and refuse new connections
            for `reboot_seconds`.
    """

    wrong_dispatch_id: int | None = None
    truncate: int | None = None
    late: float | None = None
    silent: bool | None = None
    fail_fast: bool | None = None
    draining: bool | None = None
    reboot: bool | None = None
    reboot_seconds: float | None = None


def answer_bytes(tag: str, request_id: str, size: int) -> bytes:
    """Returns the body of the answer to a request."""
    digest = hashlib.sha256(f"{tag}|{request_id}".encode()).hexdigest()
    repeats = size // len(digest) + 1
    return (digest * repeats)[:size].encode()


class Minion:
    """State of one minion.

    Args:
        name: written to the journal.
        slots: maximum number of concurrent requests.
        connections: maximum number of connections that are served.
        journal: path of a file to which a JSON line is appended at the start
            and the end of each execution.
    """

    def __init__(
        self,
        name: str = "",
        slots: int = 8,
        connections: int = 64,
        journal: str | None = None,
    ):
        self.name = name
        self.slots = slots
        self.connections = connections
        self.faults = Control(0, 0, 0.0, False, False, False, False, 1.0)
        self.executions: list[Execution] = []
        self.running: list[Execution] = []
        self.refused = 0
        self.silenced: set[asyncio.Transport] = set()
        self.stopped = asyncio.Event()
        self._killed = asyncio.Event()
        self._idle = asyncio.Event()
        self._journal = journal

    async def execute(
        self, execution: Execution, seconds: float, deadline: float
    ) -> None:
        """Runs an execution and records how it ended."""
        self.executions.append(execution)
        self.running.append(execution)
        self._idle.clear()
        self._write_journal("start", execution)
        killed = self._killed
        allowed = max(deadline - time.time(), 0.0)
        ended_by = "done" if seconds <= allowed else "deadline"
        try:
            async with asyncio.timeout(min(seconds, allowed)):
                await killed.wait()
            ended_by = "killed"
        except TimeoutError:
            pass
        except asyncio.CancelledError:
            ended_by = "killed"
            raise
        finally:
            self.running.remove(execution)
            if not self.running:
                self._idle.set()
            execution.end = time.time()
            execution.ended_by = ended_by
            self._write_journal("end", execution)

    def kill(self) -> None:
        """Ends all executions without an answer."""
        self._killed.set()
        self._killed = asyncio.Event()

    async def drain(self) -> None:
        """Refuses new work and waits for the running executions."""
        self.faults.draining = True
        if self.running:
            await self._idle.wait()
        await asyncio.sleep(LINGER_SECONDS)
        self.stopped.set()

    def _write_journal(self, event: str, execution: Execution) -> None:
        if self._journal is None:
            return
        line = {"event": event, "minion": self.name, "time": time.time()}
        line |= msgspec.to_builtins(execution)
        # A single write in append mode cannot interleave with lines of other
        # minions.
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        descriptor = os.open(self._journal, flags, 0o644)
        try:
            os.write(descriptor, (json.dumps(line) + "\n").encode())
        finally:
            os.close(descriptor)


MINION = web.AppKey("minion", Minion)
REBOOTS = web.AppKey("reboots", set)


def make_app(**options) -> web.Application:
    """Returns the application; options are those of `Minion`."""
    app = web.Application(
        client_max_size=64 * 1024 * 1024, middlewares=[_block_silenced]
    )
    minion = Minion(**options)
    app[MINION] = minion
    app[REBOOTS] = set()
    app[serving.DRAIN] = minion.drain
    app.on_shutdown.append(_stop)
    app.router.add_post("/work", _work)
    app.router.add_get("/health", _health)
    app.router.add_get("/executions", _executions)
    app.router.add_post("/control", _control)
    return app


async def _stop(app: web.Application) -> None:
    app[MINION].stopped.set()
    app[MINION].kill()
    for task in tuple(app[REBOOTS]):
        task.cancel()


@web.middleware
async def _block_silenced(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    minion = request.app[MINION]
    transport = request.transport
    if transport in minion.silenced:
        await minion.stopped.wait()
    response = await handler(request)
    if transport in minion.silenced:
        await minion.stopped.wait()
    return response


def _refuse(request: web.Request, status: int, close: bool) -> web.Response:
    request.app[MINION].refused += 1
    response = web.Response(status=status, headers={"Not-Started": "1"})
    response.headers["Dispatch-Id"] = request.headers.get("Dispatch-Id", "")
    if close:
        response.force_close()
    return response


def _exceeds_connections(request: web.Request) -> bool:
    minion = request.app[MINION]
    transports = request.app[serving.SERVER].transports()
    return request.transport in transports[minion.connections :]


async def _work(request: web.Request) -> web.StreamResponse:
    minion = request.app[MINION]
    body = await request.read()
    if minion.faults.draining:
        return _refuse(request, 503, close=True)
    if _exceeds_connections(request):
        return _refuse(request, 429, close=True)
    if len(minion.running) >= minion.slots:
        return _refuse(request, 429, close=False)
    execution = Execution(
        request_id=request.headers.get("Request-Id", ""),
        team_id=request.headers.get("Team-Id", ""),
        dispatch_id=request.headers.get("Dispatch-Id", ""),
        start=time.time(),
    )
    deadline = float(request.headers.get("Run-Deadline", "inf"))
    work = _parse(body)
    failing = minion.faults.fail_fast
    seconds = 0.0 if failing else work.run_seconds
    await minion.execute(execution, seconds, deadline)
    if minion.faults.late:
        await asyncio.sleep(minion.faults.late)
    response = _answer(execution, work, failing)
    return await _send(request, response, execution)


def _parse(body: bytes) -> WorkRequest:
    try:
        return msgspec.json.decode(body, type=WorkRequest)
    except msgspec.MsgspecError:
        return WorkRequest()


def _answer(
    execution: Execution, work: WorkRequest, failing: bool
) -> web.Response:
    if execution.ended_by == "deadline":
        response = web.Response(status=504, headers={"Stopped": "1"})
    elif failing or work.fail:
        response = web.Response(status=500, body=b"failed")
    else:
        body = answer_bytes(work.tag, execution.request_id, work.size)
        response = web.Response(body=body)
    response.headers["Dispatch-Id"] = execution.dispatch_id
    return response


async def _send(
    request: web.Request, response: web.Response, execution: Execution
) -> web.StreamResponse:
    """Applies the faults that are set to an answer and sends it."""
    faults = request.app[MINION].faults
    if execution.ended_by == "killed":
        if request.transport is not None:
            request.transport.abort()
        return response
    if faults.wrong_dispatch_id > 0:
        faults.wrong_dispatch_id -= 1
        response.headers["Dispatch-Id"] = "another-dispatch"
        response.body = answer_bytes("another", "another", len(response.body))
    if faults.truncate > 0:
        faults.truncate -= 1
        return await _send_half(request, response)
    return response


async def _send_half(
    request: web.Request, response: web.Response
) -> web.StreamResponse:
    half = web.StreamResponse(status=response.status, headers=response.headers)
    half.content_length = len(response.body)
    await half.prepare(request)
    await half.write(response.body[: len(response.body) // 2])
    request.transport.close()
    return half


async def _health(request: web.Request) -> web.Response:
    del request
    return serving.json_response({"ok": True})


async def _executions(request: web.Request) -> web.Response:
    minion = request.app[MINION]
    running = Counter(each.team_id for each in minion.running)
    return serving.json_response(
        {
            "executions": minion.executions,
            "running_by_team": running,
            "refused": minion.refused,
        }
    )


async def _control(request: web.Request) -> web.Response:
    minion = request.app[MINION]
    control = await serving.read_json(request, Control)
    for name in Control.__struct_fields__:
        value = getattr(control, name)
        if value is not None:
            setattr(minion.faults, name, value)
    if control.silent is not None:
        _set_silent(request, control.silent)
    if control.reboot:
        minion.faults.reboot = False
        await _reboot(request)
    response = serving.json_response(minion.faults)
    # The caller's connection must not be among those silenced next time.
    response.force_close()
    return response


def _set_silent(request: web.Request, silent: bool) -> None:
    minion = request.app[MINION]
    for transport in request.app[serving.SERVER].transports():
        if transport is request.transport:
            continue
        if silent:
            minion.silenced.add(transport)
            transport.pause_reading()
        elif transport in minion.silenced:
            transport.abort()
    if not silent:
        minion.silenced.clear()


async def _reboot(request: web.Request) -> None:
    minion = request.app[MINION]
    server = request.app[serving.SERVER]
    await server.close_listener()
    minion.kill()
    minion.silenced.clear()
    for transport in server.transports():
        if transport is not request.transport:
            transport.abort()
    task = asyncio.create_task(_finish_reboot(request.app))
    request.app[REBOOTS].add(task)
    task.add_done_callback(request.app[REBOOTS].discard)


async def _finish_reboot(app: web.Application) -> None:
    await asyncio.sleep(app[MINION].faults.reboot_seconds)
    app[MINION].faults.draining = False
    await app[serving.SERVER].open_listener()


@click.command()
@serving.listen_options
@click.option("--name", default="", help="Written to the journal.")
@click.option("--slots", default=8)
@click.option("--connections", default=64)
@click.option("--journal", default=None, help="File for starts and ends.")
def main(host: str, port: int, **options) -> None:
    """Runs a minion until SIGTERM."""
    serving.run(make_app(**options), host, port)


if __name__ == "__main__":
    main()
