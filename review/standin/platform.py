"""The platform's store, minions and machine list on loopback addresses."""

import asyncio
import base64
import json
import struct
import time
from collections.abc import Awaitable, Callable

from aiohttp import web

from review.standin.minion import Minion, Rejected, Run, Unit
from standins.platform.log import Log, Refused

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
APPEND_S = 0.002
HEARTBEAT_S = 1.5
MEMBER_TIMEOUT_S = 1.2
_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">QQ")

Handler = Callable[[web.Request], Awaitable[web.Response]]


def _answer(status: int, body: dict) -> web.Response:
    return web.Response(
        status=status,
        body=json.dumps(body).encode(),
        content_type="application/json",
    )


class Platform:
    """The platform, with its store, machine list and minions.

    Args:
        record: receives a line for each event.

    Attributes:
        log: topics and groups of the store.
        away_topics: topics whose partitions do not answer at present.
        before_start: called with a minion and the body of a start; may reject
            it, or return seconds after which it is carried out unanswered.
        refused_appends: number of appends refused for their size.
        minions: the minions by id.
        lives: all minions, including those that have crashed.
    """

    def __init__(self, record: Callable[[str], None]):
        self.log = Log()
        self.record = record
        self.away_topics: set[str] = set()
        self.before_start: Callable[[Minion, dict], float | None] = (
            lambda minion, body: None
        )
        self.minions: dict[str, Minion] = {}
        self.lives: list[Minion] = []
        self.store_address = ""
        self.cloud_address = ""
        self.refused_appends = 0
        self._pool_by_minion: dict[str, str] = {}
        self._address_by_minion: dict[str, str] = {}
        self._runner_by_minion: dict[str, web.AppRunner] = {}
        self._beat_by_minion: dict[str, asyncio.Task] = {}
        self._append_turn = asyncio.Lock()
        self._runners: list[web.AppRunner] = []
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts the store and the machine list."""
        self.store_address, _ = await self._serve(
            {
                ("POST", "/log-append"): self._append,
                ("GET", "/log-read"): self._read,
                ("GET", "/log-newest"): self._newest,
                ("POST", "/log-join"): self._join,
                ("POST", "/log-leave"): self._leave,
                ("GET", "/log-owners"): self._owners,
            }
        )
        self.cloud_address, _ = await self._serve(
            {
                ("GET", "/machines"): self._machines,
                ("POST", "/machine-move"): self._refuse_order,
                ("POST", "/machine-upkeep"): self._refuse_order,
            }
        )

    async def add_minion(
        self, name: str, pool: str, unit_of: Callable[[str], Unit]
    ) -> Minion:
        """Starts a minion, or starts it again after a crash.

        It has the id and the address of before, and writes its entry at each
        heartbeat.
        """
        minion = Minion(name, unit_of, self.record)
        self.minions[name] = minion
        self.lives.append(minion)
        self._pool_by_minion[name] = pool
        address, runner = await self._serve(
            {
                ("POST", "/run-start"): self._start_handler(minion),
                ("POST", "/run-stop"): self._order_handler(minion, minion.stop),
                ("POST", "/hold"): self._order_handler(minion, minion.hold),
                ("POST", "/pace"): self._order_handler(minion, minion.pace),
            },
            self._address_by_minion.get(name, "127.0.0.1:0"),
        )
        self._address_by_minion[name] = address
        self._runner_by_minion[name] = runner
        self._beat_by_minion[name] = self._spawn(
            self._beat(minion, pool, address)
        )
        return minion

    async def crash_minion(self, name: str) -> None:
        """Ends a minion and all that it runs; its address then refuses."""
        self._beat_by_minion.pop(name).cancel()
        self.minions[name].crash()
        runner = self._runner_by_minion.pop(name)
        self._runners.remove(runner)
        await runner.cleanup()

    def runs(self) -> list[Run]:
        """Returns the runs of all minions, including those that crashed."""
        return [run for minion in self.lives for run in minion.runs]

    def publish(self, topic: str, key: str, value: dict) -> None:
        """Appends a keyed record, as the operator or a minion does."""
        content = bytes((len(key),)) + key.encode() + json.dumps(value).encode()
        self.log.append(topic, [content])

    async def aclose(self) -> None:
        """Stops all services."""
        for task in self._tasks:
            task.cancel()
        for runner in self._runners:
            await runner.cleanup()

    def _spawn(self, work: Awaitable[None]) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _serve(
        self,
        routes: dict[tuple[str, str], Handler],
        address: str = "127.0.0.1:0",
    ) -> tuple[str, web.AppRunner]:
        app = web.Application(client_max_size=1 << 22)
        for (method, path), handler in routes.items():
            app.router.add_route(method, path, self._guard(handler))
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port), backlog=1024).start()
        self._runners.append(runner)
        return f"{host}:{runner.addresses[0][1]}", runner

    def _guard(self, handler: Handler) -> Handler:
        async def handle(request: web.Request) -> web.Response:
            if request.query.get("topic") in self.away_topics:
                await asyncio.Event().wait()
            try:
                return await handler(request)
            except Refused as error:
                return _answer(error.status, error.body)

        return handle

    async def _beat(self, minion: Minion, pool: str, address: str) -> None:
        seq = 0
        while True:
            seq += 1
            entry = {
                "service": pool,
                "address": address,
                "zone": "zone-a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {
                    "cpu": minion.cpu,
                    "mem_mb": minion.mem_mb,
                    "gpu": 0,
                },
                "labels": ["a", "r1-1"],
                "machine": f"m-{minion.name[2:7]}",
                "born": minion.born_ms,
                "clock_ms": minion.clock_ms,
                "seq": seq,
            }
            self.publish("keyed.servers", minion.name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _append(self, request: web.Request) -> web.Response:
        body = await request.read()
        records, position = [], 0
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            records.append(body[position : position + length])
            position += length
        query = request.query
        longest = max((len(record) for record in records), default=0)
        if longest > RECORD_BYTES or len(body) > CALL_BYTES:
            self.refused_appends += 1
            self.record(
                f"store refuses an append to {query['topic']}: "
                f"record of {longest} bytes"
            )
            return _answer(400, {"reason": "record_bytes"})
        async with self._append_turn:
            await asyncio.sleep(APPEND_S)
            offset, end = self.log.append(
                query["topic"],
                records,
                query.get("producer"),
                int(query.get("epoch", 0)),
                int(query.get("seq", 0)),
            )
        return _answer(200, {"offset": offset, "end": end})

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        topic, start = query["topic"], int(query["from"])
        partition = self.log.partition(topic)
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while partition.end <= start and time.monotonic() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(0.004)
        left = int(query.get("max_kb", 1024)) * 1024
        parts = [_HEADER.pack(partition.end, partition.first)]
        for record in self.log.read(topic, start):
            left -= _LENGTH.size + len(record)
            if left < 0 and len(parts) > 1:
                break
            parts.append(_LENGTH.pack(len(record)) + record)
        return web.Response(body=b"".join(parts))

    async def _newest(self, request: web.Request) -> web.Response:
        query = request.query
        rows, more, end = self.log.newest(
            query["topic"], query.get("after", "")
        )
        items, left = [], 1 << 20
        for key, value, offset in rows:
            left -= len(value)
            if left < 0 and items:
                more = True
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        return _answer(200, {"items": items, "more": more, "end": end})

    async def _join(self, request: web.Request) -> web.Response:
        body = await request.json()
        generation, owns = self.log.join(
            body["group"],
            body["member"],
            body["generation"],
            body["ttl_ms"] / 1000,
            time.monotonic(),
        )
        parts = [[body["topics"][0], 0, 0]] if owns else []
        return _answer(200, {"generation": generation, "parts": parts})

    async def _leave(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.log.leave(body["group"], body["member"])
        return _answer(200, {})

    async def _owners(self, request: web.Request) -> web.Response:
        group = request.query["group"]
        owner, _ = self.log.members(group, MEMBER_TIMEOUT_S, time.monotonic())
        parts = [["sardinedrift-owner", 0, owner, 0]] if owner else []
        return _answer(200, {"parts": parts})

    async def _machines(self, request: web.Request) -> web.Response:
        machines = [
            {
                "machine": f"m-{name[2:7]}",
                "pool": self._pool_by_minion[name],
                "state": "up",
                "zone": "zone-a",
                "labels": ["a", "r1-1"],
                "capacity": {
                    "cpu": minion.cpu,
                    "mem_mb": minion.mem_mb,
                    "gpu": 0,
                },
                "id": name,
            }
            for name, minion in self.minions.items()
        ]
        return _answer(200, {"machines": machines, "next_token": None})

    async def _refuse_order(self, request: web.Request) -> web.Response:
        return _answer(400, {})

    def _order_handler(self, minion: Minion, execute: Callable) -> Handler:
        async def handle(request: web.Request) -> web.Response:
            if request.headers.get("Expected-Instance") != minion.name:
                return web.Response(status=421)
            return await self._execute(minion, execute, await request.json())

        return handle

    def _start_handler(self, minion: Minion) -> Handler:
        async def handle(request: web.Request) -> web.Response:
            if request.headers.get("Expected-Instance") != minion.name:
                return web.Response(status=421)
            body = await request.json()
            try:
                late_s = self.before_start(minion, body)
            except Rejected as error:
                return self._rejection(minion, error)
            if late_s is None:
                return await self._execute(minion, minion.start, body)
            self._spawn(self._start_late(minion, body, late_s))
            return await asyncio.get_running_loop().create_future()

        return handle

    async def _start_late(
        self, minion: Minion, body: dict, late_s: float
    ) -> None:
        await asyncio.sleep(late_s)
        response = await self._execute(minion, minion.start, body)
        self.record(
            f"{minion.name} has carried out late the start of {body['task']} "
            f"run {body['run']}: {response.status}"
        )

    async def _execute(
        self, minion: Minion, execute: Callable, body: dict
    ) -> web.Response:
        try:
            result = execute(body)
            if asyncio.iscoroutine(result):
                result = await result
        except Rejected as error:
            return self._rejection(minion, error)
        state = {"clock_ms": minion.clock_ms, "born": minion.born_ms}
        return _answer(200, {**state, **result})

    def _rejection(self, minion: Minion, error: Rejected) -> web.Response:
        state = {"clock_ms": minion.clock_ms, "born": minion.born_ms}
        return _answer(error.status, {**state, "reason": error.reason})
