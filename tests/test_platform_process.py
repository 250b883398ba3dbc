"""The program on the platform: real processes against the stand-ins."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import unittest
from collections.abc import Awaitable, Callable

import aiohttp

from sardinedrift import explain
from standins.platform.server import Platform

ROOT = pathlib.Path(__file__).resolve().parent.parent
PATIENCE_S = 30.0
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


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class Program:
    """One process of the program."""

    def __init__(self, platform: Platform, folder: pathlib.Path, name: str):
        self.name = name
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.conf"
        self.process: asyncio.subprocess.Process | None = None
        self._platform = platform
        self.choose_addresses()

    def choose_addresses(self) -> None:
        """Takes addresses that are free now, and writes the settings."""
        self.front, self.ready = free_address(), free_address()
        self.metrics = free_address()
        self.settings.write_text(
            f"node={self.name}\nzone=zone\nip=127.0.0.1\n"
            f"listen.front={self.front}\n"
            f"listen.readiness_addr={self.ready}\n"
            f"platform.address={self._platform.addresses['store']}\n"
            f"cloud.address={self._platform.addresses['machines']}\n"
            "new.unknown.field=1\nbounds.revoke_ms=5000\n"
        )

    async def start(self) -> None:
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sardinedrift.platform",
                cwd=ROOT,
                stdout=log,
                env={
                    **os.environ,
                    "SARDINEDRIFT_CONFIG": str(self.settings),
                    "SARDINEDRIFT_METRICS": self.metrics,
                },
            )

    async def end(self) -> None:
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def events(self) -> list[dict]:
        lines = self.log.read_bytes().splitlines()
        return [json.loads(line) for line in lines]


class PlatformProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        self.folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.platform = Platform()
        await self.platform.start()
        stack.push_async_callback(self.platform.aclose)
        self.work_s = 0.1
        await self.platform.add_worker("w0", "pool", lambda task: self.work_s)
        self.platform.publish("keyed.op", "config", CONFIGURATION)
        self.session = await stack.enter_async_context(aiohttp.ClientSession())
        self.stack = stack

    async def start(self, *names: str) -> list[Program]:
        programs = [Program(self.platform, self.folder, name) for name in names]
        for program in programs:
            await program.start()
            self.stack.push_async_callback(program.end)
        for program in programs:
            await self.eventually(lambda p=program: self.is_up(p))
        return programs

    async def is_up(self, program: Program) -> bool:
        # Another process may have taken a port since it was chosen.
        if program.process.returncode is not None:
            program.choose_addresses()
            await program.start()
        return await self.is_ready(program)

    async def is_ready(self, program: Program) -> bool:
        try:
            url = f"http://{program.ready}/ready"
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def eventually(self, check: Callable[[], Awaitable[bool]]) -> None:
        async with asyncio.timeout(PATIENCE_S):
            while not await check():  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    async def controller(self, programs: list[Program]) -> Program:
        """Returns the entry that placed the first task."""

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
            method, f"http://{program.front}{path}", data=data, headers=headers
        ) as response:
            return response.status, await response.json()

    async def state(self, program: Program, job: str = JOB) -> str:
        status, body = await self.call(program, "GET", f"/q/{job}")
        return body["state"] if status == 200 else str(status)

    async def test_a_job_is_served_by_any_entry(self):
        """Guards against an entry that knows only its own jobs."""
        first, second = await self.start("n0", "n1")
        job = {"spec": "text", "steps": [STEP, {**STEP, "after": [0]}]}
        status, _ = await self.call(first, "POST", f"/q/{JOB}", job)
        self.assertEqual(status, 200)
        status, _ = await self.call(second, "POST", f"/q/{JOB}", job)
        self.assertEqual(status, 200)

        async def completed() -> bool:
            return await self.state(second) == "completed"

        await self.eventually(completed)
        status, body = await self.call(second, "GET", "/q/")
        self.assertEqual((status, body), (200, {"waiting": 0}))
        url = f"http://{first.metrics}/metrics"
        async with self.session.get(url) as response:
            self.assertIn("sardinedrift_calls_total", await response.text())

    async def test_bad_calls_get_a_coded_error_and_store_nothing(self):
        """Guards against bad input that is stored or ends the process."""
        (entry,) = await self.start("n0")
        end = self.platform.log.partition("keyed.sardinedrift").end
        job = {"steps": [STEP]}
        bad_steps = (
            {**STEP, "after": [0]},
            {**STEP, "after": [1]},
            {**STEP, "count": 0},
            {**STEP, "cpu": -1},
            {**STEP, "cpu": "many"},
        )
        cases = [
            ("POST", f"/q/{JOB}", {"steps": [step]}, "key", 400, "bad_job")
            for step in bad_steps
        ]
        cases += [
            ("POST", f"/q/{JOB}", b"{not json", "key", 400, "bad_job"),
            ("POST", f"/q/{JOB}", {"steps": []}, "key", 400, "bad_job"),
            ("POST", "/q/xyz", job, "key", 400, "bad_job_id"),
            ("POST", f"/q/{JOB}", b"x" * 3000, "key", 413, "body_too_large"),
            ("POST", f"/q/{JOB}", job, "wrong", 401, "key_refused"),
            ("POST", f"/none/{JOB}", job, "key", 404, "no_such_queue"),
            ("GET", f"/q/{JOB}", None, "key", 410, "no_such_job"),
            ("DELETE", f"/q/{JOB}", None, "key", 410, "no_such_job"),
            ("PUT", f"/q/{JOB}", None, "key", 405, "method_not_allowed"),
        ]
        for method, path, body, key, status, code in cases:
            answer = await self.call(entry, method, path, body, key)
            self.assertEqual((answer[0], answer[1]["code"]), (status, code))
        await asyncio.sleep(0.2)
        records = self.platform.log.read("keyed.sardinedrift", end)
        self.assertFalse([r for r in records if r[1:2] == b"j"])

    async def test_a_withdrawn_key_is_refused(self):
        """Guards against a key that works after it was taken away."""
        (entry,) = await self.start("n0")
        tenants = [{"name": "team", "api_keys": []}]
        self.platform.publish(
            "keyed.op",
            "config",
            {**CONFIGURATION, "version": 2, "tenants": tenants},
        )

        async def refused() -> bool:
            return await self.state(entry) == "401"

        await self.eventually(refused)
        status, _ = await self.call(
            entry, "POST", f"/open/{JOB}", {"steps": [STEP]}
        )
        self.assertEqual(status, 200)

    async def test_without_the_store_keyed_calls_are_refused(self):
        """Guards against work under a key that may have been withdrawn."""
        (entry,) = await self.start("n0")
        self.platform.store_status = 503
        status, body = await self.call(
            entry, "POST", f"/q/{JOB}", {"steps": [STEP]}
        )
        self.assertEqual((status, body["code"]), (503, "store_unavailable"))

        async def too_old() -> bool:
            answer = await self.call(entry, "GET", f"/q/{JOB}")
            return answer[1]["code"] == "configuration_too_old"

        await self.eventually(too_old)
        self.assertFalse(await self.is_ready(entry))
        self.platform.store_status = None
        await self.eventually(lambda: self.is_ready(entry))

    async def test_a_stop_hands_control_over_and_ends_in_order(self):
        """Guards against work that stops while entries are restarted."""
        programs = await self.start("n0", "n1")
        self.work_s = 1.0
        await self.call(programs[0], "POST", f"/q/{JOB}", {"steps": [STEP]})
        begun = await self.controller(programs)
        begun.process.send_signal(signal.SIGTERM)
        self.assertEqual(await begun.process.wait(), 0)
        (other,) = [each for each in programs if each is not begun]

        async def completed() -> bool:
            return await self.state(other) == "completed"

        await self.eventually(completed)
        self.assertEqual(begun.events()[-1]["event"], "stopped")
        files = [program.log.open("rb") for program in programs]
        for file in files:
            self.addCleanup(file.close)
        told = explain.explain(JOB, files)
        self.assertEqual(told.decision.fields["state"], "completed")
        self.assertEqual(told.missing, [])
        alone = explain.explain(JOB, [other.log.open("rb")])
        self.assertEqual([each.node for each in alone.missing], [begun.name])

    async def test_a_killed_entry_is_replaced(self):
        """Guards against work that depends on one process."""
        programs = await self.start("n0", "n1")
        self.work_s = 1.0
        await self.call(programs[0], "POST", f"/q/{JOB}", {"steps": [STEP]})
        begun = await self.controller(programs)
        begun.process.kill()
        await begun.process.wait()
        (other,) = [each for each in programs if each is not begun]

        async def completed() -> bool:
            return await self.state(other) == "completed"

        await self.eventually(completed)

    async def test_settings_are_read_again(self):
        """Guards against a change of settings that needs a restart."""
        (entry,) = await self.start("n0")

        async def reloaded(cause: str) -> bool:
            events = entry.events()
            return any(
                e["event"] == "reloaded" and e["cause"] == cause for e in events
            )

        text = entry.settings.read_text()
        entry.settings.write_text(
            text.replace("revoke_ms=5000", "revoke_ms=6000")
        )
        await self.eventually(lambda: reloaded("file"))
        entry.process.send_signal(signal.SIGHUP)
        await self.eventually(lambda: reloaded("signal"))
        entry.settings.write_text("x" * (2 << 20))
        await self.eventually(self._fault(entry, "settings"))
        self.assertTrue(await self.is_ready(entry), entry.events())

    def _fault(self, entry: Program, where: str):
        async def found() -> bool:
            return any(e.get("where") == where for e in entry.events())

        return found


class StandardOutputTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_reader_that_stops_costs_no_request(self):
        """Guards against a process that waits for the reader of its log."""
        platform = Platform()
        await platform.start()
        self.addAsyncCleanup(platform.aclose)
        await platform.add_worker("w0", "pool", lambda task: 0.01)
        platform.publish("keyed.op", "config", CONFIGURATION)
        with tempfile.TemporaryDirectory() as folder:
            program = Program(platform, pathlib.Path(folder), "n0")
            read, write = os.pipe()
            program.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sardinedrift.platform",
                cwd=ROOT,
                stdout=write,
                env={
                    **os.environ,
                    "SARDINEDRIFT_CONFIG": str(program.settings),
                    "SARDINEDRIFT_METRICS": program.metrics,
                },
            )
            os.close(write)
            try:
                await self._load(program)
            finally:
                await program.end()
                os.close(read)

    async def _load(self, program: Program) -> None:
        headers = {"Host": "jobs.example", "Credential": "wrong" * 40}
        url = f"http://{program.front}/q/{JOB}"
        async with (
            asyncio.timeout(PATIENCE_S),
            aiohttp.ClientSession() as session,
        ):
            answered = 0
            while answered < 1500:
                try:
                    async with session.get(url, headers=headers) as response:
                        answered += response.status == 401
                except aiohttp.ClientError:
                    await asyncio.sleep(0.05)
