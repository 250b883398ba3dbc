"""HTTP server for callers, readiness checks and metrics."""

import asyncio
import re
import time
from collections.abc import Callable

import msgspec
import prometheus_client as prometheus
from aiohttp import web

from sardinedrift.boundedserver import (
    BoundedServer,
    ClientObserver,
    held_seconds,
)
from sardinedrift.clientbounds import ClientBounds, LegalBounds, derive_bounds
from sardinedrift.clientlimits import ClientLimits
from sardinedrift.clientrecords import Cause
from sardinedrift.engine.clock import Clock
from sardinedrift.engine.entry import Entry
from sardinedrift.engine.events import Event, EventLog
from sardinedrift.engine.exceptions import CallError
from sardinedrift.engine.metrics import Metrics
from sardinedrift.platform.jobs import decode_job, find_job_id, parse_job_id
from sardinedrift.platform.settings import Limits

API_KEY_HEADER = "Credential"
DEADLINE_HEADER = "Deadline-Ms"
# Assumed waiting time of callers that send no deadline.
DEFAULT_WAIT_MS = 3000

_METHODS = ("GET", "POST", "DELETE")
_WAIT_MS = re.compile(r"[0-9]{1,9}")


class _Observer(ClientObserver):
    """Counts and logs what the bounds for callers refused or closed."""

    def __init__(self, log: EventLog, metrics: Metrics):
        self._log = log
        self._metrics = metrics

    def count(self, cause: Cause) -> None:
        self._metrics.connections_refused.labels(cause.value).inc()

    def report(self, cause: Cause, count: int) -> None:
        self._log.write(Event.CLIENTS_LIMITED, cause=cause.value, count=count)


class Server:
    """Serves callers, readiness checks and metrics.

    Args:
        entry: handles the calls.
        clock: clock for deadlines and acceptance times.
        log: event log.
        metrics: counters and latencies of calls.
        bounds: bounds for all callers together.
        legal: returns the published limits of one caller.

    Attributes:
        draining: whether readiness is withdrawn before the server closes.
    """

    def __init__(
        self,
        entry: Entry,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        bounds: ClientBounds | None = None,
        legal: Callable[[], LegalBounds] = LegalBounds,
    ):
        self._entry = entry
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._bounds = bounds or _bounds_of(Limits())
        self._legal = legal
        self._runners: list[web.ServerRunner] = []
        self.draining = False

    async def listen_callers(self, address: str) -> None:
        """Starts to accept calls at "host:port"."""
        server = BoundedServer(
            self._serve_caller,
            ClientLimits(self._bounds, self._legal()),
            _Observer(self._log, self._metrics),
            self._legal,
        )
        await self._listen(address, server)

    async def listen_readiness(self, address: str) -> None:
        """Starts to answer readiness checks at "host:port"."""
        server = web.Server(self._serve_readiness, access_log=None)
        await self._listen(address, server)

    async def listen_metrics(self, address: str) -> None:
        """Starts to serve metrics at "host:port"."""
        server = web.Server(self._serve_metrics, access_log=None)
        await self._listen(address, server)

    async def aclose(self, grace_s: float) -> None:
        """Stops listening and waits for calls in progress.

        Args:
            grace_s: maximum time to wait, in seconds.
        """
        self.draining = True
        for runner in self._runners:
            runner._shutdown_timeout = grace_s
            await runner.cleanup()

    async def _listen(self, address: str, server: web.Server) -> None:
        host, _, port = address.rpartition(":")
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, host, int(port), backlog=512).start()
        self._runners.append(runner)

    async def _serve_readiness(self, request: web.BaseRequest) -> web.Response:
        ready = self._entry.ready and not self.draining
        return web.Response(status=200 if ready else 503)

    async def _serve_metrics(self, request: web.BaseRequest) -> web.Response:
        return web.Response(
            body=self._metrics.render(),
            headers={"Content-Type": prometheus.CONTENT_TYPE_LATEST},
        )

    async def _serve_caller(self, request: web.BaseRequest) -> web.Response:
        started_at = time.monotonic()
        try:
            response = await self._dispatch(request)
        except CallError as error:
            response = self._refuse(request, error)
        operation = request.method if request.method in _METHODS else "other"
        self._metrics.calls.labels(operation, str(response.status)).inc()
        self._metrics.call_seconds.labels(operation).observe(
            time.monotonic() - started_at
        )
        return response

    async def _dispatch(self, request: web.BaseRequest) -> web.Response:
        deadline = self._deadline(request)
        host_parts = request.headers.get("Host", "").rpartition(":")
        host = (
            host_parts[0]
            if host_parts[1] and host_parts[2].isdigit()
            else host_parts[2]
        )
        path = request.path
        queue = self._entry.find_queue(host, path)
        team_id = self._entry.authenticate(
            queue, request.headers.get(API_KEY_HEADER)
        )
        suffix = path[len(queue.prefix) :]
        if not suffix and request.method == "GET":
            count = self._entry.waiting_count(queue)
            return _json_response(200, {"waiting": count})
        job_id = parse_job_id(suffix)
        match request.method:
            case "POST":
                body = await self._read_body(request, deadline)
                submission = decode_job(
                    body, job_id, queue, team_id, self._clock.unix_ms()
                )
                await self._entry.accept(submission, deadline)
                return _json_response(200, {})
            case "GET":
                state = await self._entry.state(job_id, team_id)
                self._log.write(Event.ANSWERED, job=job_id, state=state.value)
                return _json_response(200, {"state": state.value})
            case "DELETE":
                await self._entry.cancel(job_id, team_id, deadline)
                return _json_response(200, {})
        raise CallError(405, "method_not_allowed")

    def _deadline(self, request: web.BaseRequest) -> float:
        text = request.headers.get(DEADLINE_HEADER, "")
        wait_ms = int(text) if _WAIT_MS.fullmatch(text) else DEFAULT_WAIT_MS
        # The wait of the caller includes that for memory.
        held_s = held_seconds(request)
        return self._clock.boot() + wait_ms / 1000 - held_s

    async def _read_body(
        self, request: web.BaseRequest, deadline: float
    ) -> bytes:
        """Reads a body until the caller's deadline.

        `ClientLimits` refuses a body without progress sooner.
        """
        max_bytes = self._entry.max_body_bytes
        if (request.content_length or 0) > max_bytes:
            raise CallError(413, "body_too_large")
        body = bytearray()
        try:
            async with asyncio.timeout(deadline - self._clock.boot()):
                async for chunk in request.content.iter_any():
                    body += chunk
                    if len(body) > max_bytes:
                        raise CallError(413, "body_too_large")
        except TimeoutError as error:
            raise CallError(408, "body_timeout") from error
        return bytes(body)

    def _refuse(
        self, request: web.BaseRequest, error: CallError
    ) -> web.Response:
        self._log.write(
            Event.REFUSED,
            method=request.method,
            path=request.path,
            job=find_job_id(request.path),
            status=error.status,
            code=error.code,
            configuration_age_s=round(self._entry.configuration_age, 3),
            feed_age_s=round(self._entry.feed_age, 3),
        )
        headers = {}
        if error.retry_after_s is not None:
            headers["Retry-After"] = str(error.retry_after_s)
        body = {"code": error.code, "message": str(error)}
        return _json_response(error.status, body, headers)


def _bounds_of(limits: Limits) -> ClientBounds:
    return derive_bounds(limits.memory_mb, limits.max_fds)


def _json_response(
    status: int, body: dict, headers: dict[str, str] | None = None
) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        headers={"Content-Type": "application/json", **(headers or {})},
    )
