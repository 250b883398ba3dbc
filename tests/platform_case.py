"""Base class of tests that run entry processes against the stand-ins."""

import asyncio
import contextlib
import json
import pathlib
import tempfile
import unittest
from collections.abc import Awaitable, Callable

import aiohttp

from standins.platform.program import Program
from standins.platform.server import Platform

TIMEOUT_S = 30.0
JOB = "5c0e7a21d94b36f8"
STEP = {"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 100}
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "keyed",
            "host": "jobs.example",
            "path_prefix": "/q/",
            "service": "pool",
            "max_attempts": 2,
        },
        {
            "name": "open",
            "host": "jobs.example",
            "path_prefix": "/open/",
            "service": "pool",
            "max_attempts": 2,
            "anonymous": True,
        },
    ],
    "services": [{"name": "pool"}],
    "limits": {"max_body_bytes": 2000},
    "tenants": [{"name": "team", "api_keys": ["key"], "weight": 1}],
}


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        self.folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.platform = Platform()
        await self.platform.start()
        stack.push_async_callback(self.platform.aclose)
        self.task_duration_s = 0.1
        await self.platform.add_worker(
            "w0", "pool", lambda task: self.task_duration_s
        )
        self.platform.publish("keyed.op", "config", CONFIGURATION)
        self.session = await stack.enter_async_context(aiohttp.ClientSession())
        self.stack = stack

    def make_program(self, name: str) -> Program:
        addresses = self.platform.addresses
        return Program(
            self.folder, name, addresses["store"], addresses["machines"]
        )

    async def start(self, *names: str) -> list[Program]:
        programs = [self.make_program(name) for name in names]
        for program in programs:
            await program.start()
            self.stack.push_async_callback(program.kill)
        for program in programs:
            await self.eventually(lambda p=program: self.is_up(p))
        return programs

    async def is_up(self, program: Program) -> bool:
        # Another process may have taken a port after it was chosen, so an entry
        # that has ended is started again on other ports.
        if program.process.returncode is not None:
            program.choose_addresses()
            await program.start()
        return await self.is_ready(program)

    async def is_ready(self, program: Program) -> bool:
        try:
            url = f"http://{program.readiness_address}/ready"
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def eventually(self, check: Callable[[], Awaitable[bool]]) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not await check():  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    async def find_controller(self, programs: list[Program]) -> Program:
        """Waits for an entry to place a task, and returns that entry."""

        def placed(program: Program) -> bool:
            return any(e["event"] == "placed" for e in program.events())

        async def found() -> bool:
            return any(placed(program) for program in programs)

        await self.eventually(found)
        return next(program for program in programs if placed(program))

    async def call(
        self, program: Program, method: str, path: str, body=None, key="key"
    ) -> tuple[int, dict]:
        headers = {"Host": "jobs.example", "Credential": key}
        data = body if isinstance(body, bytes | None) else json.dumps(body)
        async with self.session.request(
            method,
            f"http://{program.front_address}{path}",
            data=data,
            headers=headers,
        ) as response:
            return response.status, await response.json()

    async def state(self, program: Program, job: str = JOB) -> str:
        status, body = await self.call(program, "GET", f"/q/{job}")
        return body["state"] if status == 200 else str(status)
