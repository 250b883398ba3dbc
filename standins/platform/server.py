"""HTTP services of the platform on loopback: log, workers and machines."""

import asyncio
import base64
import json
import struct
import time
from collections.abc import Awaitable, Callable

from aiohttp import web

from standins.platform.log import Log, Refused
from standins.platform.worker import (
    RunHistory,
    UnreadAcknowledgement,
    Worker,
)

_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">QQ")
# Interval at which a waiting read checks for new records.
POLL_INTERVAL_S = 0.005
# Interval at which a worker registers again while it is cold.
HEARTBEAT_S = 1.5
# Time after its last join at which a member is left out of /log-owners.
MEMBER_TIMEOUT_S = 1.2

Handler = Callable[[web.Request], Awaitable[web.Response]]


def _json_response(status: int, body: dict) -> web.Response:
    return web.Response(
        status=status,
        body=json.dumps(body).encode(),
        content_type="application/json",
    )


class Platform:
    """The services of the platform, each listening on its own address.

    Attributes:
        log: topics and consumer groups of the store.
        store_status: HTTP status that the store answers every request with,
            without executing it; None for normal operation.
        addresses: "host:port" by service name.
        drops_responses: whether the store executes requests and then aborts
            the connection instead of responding.
        silent_workers: names of workers that execute orders and never respond.
        closing_workers: names of workers that close their connections after
            each response.
    """

    def __init__(self) -> None:
        self.log = Log()
        self.store_status: int | None = None
        self.addresses: dict[str, str] = {}
        self.drops_responses = False
        self.silent_workers: set[str] = set()
        self.closing_workers: set[str] = set()
        self._crashed_workers: list[Worker] = []
        self._worker_by_name: dict[str, Worker] = {}
        self._runner_by_name: dict[str, web.AppRunner] = {}
        self._heartbeats: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts the store and the machine service."""
        await self._serve(
            "store",
            {
                ("POST", "/log-append"): self._append,
                ("GET", "/log-read"): self._read,
                ("GET", "/log-newest"): self._newest,
                ("POST", "/log-join"): self._join,
                ("POST", "/log-leave"): self._leave,
                ("GET", "/log-owners"): self._owners,
            },
        )
        await self._serve("machines", {("GET", "/machines"): self._machines})

    async def add_worker(
        self,
        name: str,
        pool: str,
        task_duration_s: Callable[[str], float | None],
        fails: Callable[[str], bool] = lambda task: False,
        clock_rate: float = 1.0,
        advertised: str = "",
        zone: str = "zone",
        cold_s: float = 0.0,
    ) -> Worker:
        """Starts a worker, or restarts one that crashed, and registers it.

        Args:
            name: id of the worker.
            pool: pool that it serves.
            task_duration_s: returns the seconds that a task takes, given its
                name, or None for a task that runs until it is stopped.
            fails: returns whether a run fails, given the task name.
            clock_rate: rate of its clock relative to real time.
            advertised: address to register instead of its own, if any.
            zone: its data centre.
            cold_s: seconds for which it is cold after its start.
        """
        born_ms = time.time_ns() // 1_000_000
        worker = Worker(
            name,
            born_ms,
            32_000,
            task_duration_s,
            fails,
            clock_rate,
            zone,
            cold_s,
        )
        self._worker_by_name[name] = worker
        routes = {
            ("POST", "/run-start"): self._order_handler(worker, self._start),
            ("POST", "/run-stop"): self._order_handler(worker, self._stop),
            ("POST", "/hold"): self._order_handler(worker, self._hold),
        }
        address = await self._serve(name, routes)
        registration = {
            "service": pool,
            "address": advertised or address,
            "zone": zone,
            "state": "ready",
            "capacity": {"cpu": 32_000, "mem_mb": 64_000, "gpu": 0},
            "labels": ["kind", "rack"],
            "born": born_ms,
            "machine": f"m-{name}",
        }
        self._register(worker, registration)
        heartbeat = asyncio.create_task(
            self._register_while_cold(worker, registration)
        )
        self._heartbeats.add(heartbeat)
        heartbeat.add_done_callback(self._heartbeats.discard)
        return worker

    async def _register_while_cold(
        self, worker: Worker, registration: dict
    ) -> None:
        while worker.cold_left_ms and worker.alive:
            await asyncio.sleep(min(HEARTBEAT_S, worker.cold_left_ms / 1000))
            if worker.alive:
                self._register(worker, registration)

    def _register(self, worker: Worker, registration: dict) -> None:
        cold = {"cold_left_ms": worker.cold_left_ms}
        fields = registration | (cold if worker.cold_left_ms else {})
        self.publish("keyed.servers", worker.name, fields)

    @property
    def worker_names(self) -> set[str]:
        """Names of the running workers."""
        return set(self._worker_by_name)

    async def crash_worker(self, name: str) -> None:
        """Crashes a worker; its address then refuses connections."""
        worker = self._worker_by_name.pop(name)
        worker.crash()
        self._crashed_workers.append(worker)
        await self._runner_by_name.pop(name).cleanup()

    def histories(self) -> list[RunHistory]:
        """Returns the runs of all workers, including crashed ones."""
        return [
            run for worker in self._all_workers() for run in worker.histories
        ]

    def unread_acknowledgements(self) -> list[UnreadAcknowledgement]:
        """Returns acknowledgements of ends that their worker has not listed."""
        return [
            acknowledged
            for worker in self._all_workers()
            for acknowledged in worker.unread_acknowledgements
        ]

    def _all_workers(self) -> list[Worker]:
        return [*self._crashed_workers, *self._worker_by_name.values()]

    def publish(self, topic: str, key: str, value: dict | None) -> None:
        """Appends a keyed record, or removes the key, as an operator does."""
        content = b"" if value is None else json.dumps(value).encode()
        record = bytes((len(key),)) + key.encode() + content
        self.log.append(topic, [record])

    def evacuate(self, zone: str) -> None:
        """Requests the evacuation of a data centre."""
        self.publish("keyed.op", f"evacuate/{zone}", {})

    def withdraw_evacuation(self, zone: str) -> None:
        """Withdraws the evacuation of a data centre."""
        self.publish("keyed.op", f"evacuate/{zone}", None)

    async def aclose(self) -> None:
        """Stops all services."""
        for heartbeat in self._heartbeats:
            heartbeat.cancel()
        for runner in self._runner_by_name.values():
            await runner.cleanup()

    async def _serve(
        self, name: str, routes: dict[tuple[str, str], Handler]
    ) -> str:
        app = web.Application(client_max_size=1 << 22)
        for (method, path), handler in routes.items():
            app.router.add_route(method, path, self._with_faults(name, handler))
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self._runner_by_name[name] = runner
        port = runner.addresses[0][1]
        self.addresses[name] = f"127.0.0.1:{port}"
        return self.addresses[name]

    def _with_faults(self, name: str, handler: Handler) -> Handler:
        async def handle(request: web.Request) -> web.Response:
            if name == "store" and self.store_status is not None:
                return web.Response(status=self.store_status)
            try:
                answer = await handler(request)
            except Refused as error:
                answer = _json_response(error.status, error.body)
            dropped = name == "store" and self.drops_responses
            if dropped and request.transport is not None:
                request.transport.abort()
            if name in self.silent_workers:
                await asyncio.Event().wait()
            if name in self.closing_workers:
                answer.force_close()
            return answer

        return handle

    async def _append(self, request: web.Request) -> web.Response:
        body = await request.read()
        records, position = [], 0
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            records.append(body[position : position + length])
            position += length
        query = request.query
        offset, end = self.log.append(
            query["topic"],
            records,
            query.get("producer"),
            int(query.get("epoch", 0)),
            int(query.get("seq", 0)),
        )
        return _json_response(200, {"offset": offset, "end": end})

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        topic, start = query["topic"], int(query["from"])
        partition = self.log.partition(topic)
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while partition.end <= start and time.monotonic() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
        records = self.log.read(topic, start)
        body = _HEADER.pack(partition.end, partition.first)
        body += b"".join(
            _LENGTH.pack(len(record)) + record for record in records
        )
        return web.Response(body=body)

    async def _newest(self, request: web.Request) -> web.Response:
        query = request.query
        rows, more, end = self.log.newest(
            query["topic"], query.get("after", "")
        )
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, value, offset in rows
        ]
        return _json_response(200, {"items": items, "more": more, "end": end})

    async def _join(self, request: web.Request) -> web.Response:
        body = await request.json()
        generation, is_owner = self.log.join(
            body["group"],
            body["member"],
            body["generation"],
            body["ttl_ms"] / 1000,
            time.monotonic(),
        )
        parts = [[body["topics"][0], 0, 0]] if is_owner else []
        answer = {"generation": generation, "ttl_ms": body["ttl_ms"]}
        return _json_response(200, {**answer, "parts": parts})

    async def _leave(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.log.leave(body["group"], body["member"])
        return _json_response(200, {})

    async def _owners(self, request: web.Request) -> web.Response:
        owner, _ = self.log.members(
            request.query["group"], MEMBER_TIMEOUT_S, time.monotonic()
        )
        parts = [["sardinedrift-owner", 0, owner, 0]] if owner else []
        return _json_response(200, {"parts": parts})

    async def _machines(self, request: web.Request) -> web.Response:
        machines = [
            {
                "machine": f"m-{name}",
                "pool": "pool",
                "state": "up",
                "zone": worker.zone,
                "labels": ["kind", "rack"],
                "capacity": {"cpu": 32_000, "mem_mb": 64_000, "gpu": 0},
                "id": name,
            }
            for name, worker in self._worker_by_name.items()
        ]
        return _json_response(200, {"machines": machines, "next_token": None})

    def _order_handler(
        self,
        worker: Worker,
        execute: Callable[[Worker, dict], Awaitable[dict]],
    ) -> Handler:
        async def handle(request: web.Request) -> web.Response:
            if request.headers.get("Expected-Instance") != worker.name:
                return web.Response(status=421)
            answer = await execute(worker, await request.json())
            state = {"clock_ms": worker.clock_ms, "born": worker.born_ms}
            return _json_response(200, {**state, **answer})

        return handle

    async def _start(self, worker: Worker, body: dict) -> dict:
        worker.start(
            body["task"],
            body["run"],
            1000,
            body["deadline_ms"],
            body["fencing_token"],
        )
        return {}

    async def _stop(self, worker: Worker, body: dict) -> dict:
        worker.stop(body["task"], body["run"], body["fencing_token"])
        return {}

    async def _hold(self, worker: Worker, body: dict) -> dict:
        running, ended = await worker.renew_lease(
            body["fencing_token"],
            body["last_seen"],
            body.get("deadline_ms"),
            body.get("wait_ms", 0) / 1000,
        )
        return {"running": running, "ended": ended}
