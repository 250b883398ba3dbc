"""Tests of entry processes against the stand-ins of the platform."""

import asyncio
import os
import pathlib
import signal
import tempfile
import unittest

import aiohttp

from sardinedrift import explain
from sardinedrift.engine.leases import LEASE_MS
from standins.platform.program import Program
from standins.platform.server import Platform
from tests.platform_case import (
    CONFIGURATION,
    JOB,
    STEP,
    TIMEOUT_S,
    PlatformTest,
)

# Time for which runs must be kept, in leases.
LEASES = 2


class PlatformProcessTest(PlatformTest):
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
        url = f"http://{first.metrics_address}/metrics"
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

    async def test_an_empty_key_admits_no_calls(self):
        """Guards against calls without a key for an account with an empty one.

        A call without the header was looked up as one with the empty key.
        """
        team = {"name": "team", "api_keys": ["", "key"], "weight": 1}
        self.platform.publish(
            "keyed.op", "config", {**CONFIGURATION, "tenants": [team]}
        )
        (entry,) = await self.start("n0")
        job = {"steps": [STEP]}
        status, body = await self.call(entry, "POST", f"/q/{JOB}", job, key="")
        self.assertEqual((status, body["code"]), (401, "key_refused"))

    async def test_a_withdrawn_key_is_refused(self):
        """Guards against accepting an API key after its withdrawal."""
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

    async def test_a_withdrawn_key_is_refused_after_a_restart(self):
        """Guards against an entry that begins with an older configuration.

        While the restarted entry cannot reach the store, it knows no keys.
        """
        (entry,) = await self.start("n0")
        tenants = [{"name": "team", "api_keys": []}]
        self.platform.publish(
            "keyed.op",
            "config",
            {**CONFIGURATION, "version": 2, "tenants": tenants},
        )
        await entry.kill()
        self.platform.store_status = 503
        await entry.start()
        job = {"steps": [STEP]}

        async def answered() -> bool:
            try:
                answer = await self.call(entry, "POST", f"/q/{JOB}", job)
            except aiohttp.ClientError:
                await self.is_up(entry)
                return False
            self.assertEqual(
                (answer[0], answer[1]["code"]), (503, "no_configuration")
            )
            return True

        await self.eventually(answered)
        self.platform.store_status = None
        await self.eventually(lambda: self.is_up(entry))
        status, body = await self.call(entry, "POST", f"/q/{JOB}", job)
        self.assertEqual((status, body["code"]), (401, "key_refused"))

    async def test_without_the_store_keyed_calls_are_refused(self):
        """Guards against accepting an API key that may have been withdrawn."""
        (entry,) = await self.start("n0")
        self.platform.store_status = 503
        status, body = await self.call(
            entry, "POST", f"/q/{JOB}", {"steps": [STEP]}
        )
        self.assertEqual((status, body["code"]), (503, "store_unavailable"))

        async def keyed_calls_refused() -> bool:
            answer = await self.call(entry, "GET", f"/q/{JOB}")
            return answer[1]["code"] == "configuration_too_old"

        await self.eventually(keyed_calls_refused)
        self.assertFalse(await self.is_ready(entry))
        self.platform.store_status = None
        await self.eventually(lambda: self.is_ready(entry))

    async def test_a_stop_hands_control_over_and_ends_in_order(self):
        """Guards against jobs that stop while entries are restarted."""
        programs = await self.start("n0", "n1")
        self.task_duration_s = 1.0
        await self.call(programs[0], "POST", f"/q/{JOB}", {"steps": [STEP]})
        controller = await self.find_controller(programs)
        controller.process.send_signal(signal.SIGTERM)
        self.assertEqual(await controller.process.wait(), 0)
        (other,) = [
            program for program in programs if program is not controller
        ]

        async def completed() -> bool:
            return await self.state(other) == "completed"

        await self.eventually(completed)
        self.assertEqual(controller.events()[-1]["event"], "stopped")
        files = [program.log.open("rb") for program in programs]
        for file in files:
            self.addCleanup(file.close)
        explanation = explain.explain(JOB, files)
        self.assertEqual(explanation.decision.fields["state"], "completed")
        self.assertEqual(explanation.missing, [])
        partial = explain.explain(JOB, [other.log.open("rb")])
        self.assertEqual(
            [each.node for each in partial.missing], [controller.name]
        )

    async def test_a_worker_that_closes_its_connections_keeps_its_runs(self):
        """Guards against leases that lapse as no connection is kept."""
        self.platform.closing_workers.add("w0")
        self.task_duration_s = None
        (entry,) = await self.start("n0")
        job = {"steps": [{**STEP, "long_running": True}]}
        await self.call(entry, "POST", f"/q/{JOB}", job)

        async def running() -> bool:
            return len(self.platform.histories()) == STEP["count"]

        await self.eventually(running)
        await asyncio.sleep(LEASE_MS / 1000 * LEASES)
        runs = self.platform.histories()
        self.assertEqual([run.how for run in runs], [""] * STEP["count"])

    async def test_a_killed_entry_is_replaced(self):
        """Guards against jobs that depend on one entry process."""
        programs = await self.start("n0", "n1")
        self.task_duration_s = 1.0
        await self.call(programs[0], "POST", f"/q/{JOB}", {"steps": [STEP]})
        controller = await self.find_controller(programs)
        controller.process.kill()
        await controller.process.wait()
        (other,) = [
            program for program in programs if program is not controller
        ]

        async def completed() -> bool:
            return await self.state(other) == "completed"

        await self.eventually(completed)

    async def test_settings_are_read_again(self):
        """Guards against settings that change only with a restart."""
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
        await self.eventually(self._fault_logged(entry, "settings"))
        self.assertTrue(await self.is_ready(entry), entry.events())

    async def test_a_reload_during_the_start_does_not_end_it(self):
        """Guards against an entry that a reload signal ends during its start.

        SIGHUP may arrive before the entry has installed its handler; the
        default action then ends the process.
        """
        program = self.make_program("n0")
        settings = program.settings.read_bytes()
        program.settings.unlink()
        # Opening a named pipe for reading blocks until it has a writer, which
        # stops the start at that point.
        os.mkfifo(program.settings)
        await program.start()
        self.stack.push_async_callback(program.kill)

        async def ignores_reloads() -> bool:
            return bool(_ignored_signals(program) & (1 << signal.SIGHUP - 1))

        await self.eventually(ignores_reloads)
        program.process.send_signal(signal.SIGHUP)
        regular = program.settings.with_suffix(".new")
        regular.write_bytes(settings)
        with program.settings.open("wb") as pipe:
            regular.replace(program.settings)
            pipe.write(settings)
        await self.eventually(lambda: self.is_ready(program))
        self.assertIsNone(program.process.returncode)

    def _fault_logged(self, entry: Program, where: str):
        async def found() -> bool:
            return any(e.get("where") == where for e in entry.events())

        return found


def _ignored_signals(program: Program) -> int:
    """Returns the bit mask of the signals that a process ignores."""
    status = pathlib.Path(f"/proc/{program.process.pid}/status").read_text()
    (line,) = [
        line for line in status.splitlines() if line.startswith("SigIgn")
    ]
    return int(line.split()[1], 16)


class StandardOutputTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_reader_that_stops_costs_no_request(self):
        """Guards against an entry that blocks while writing its log.

        The reader of its standard output does not read, so the pipe fills.
        """
        platform = Platform()
        await platform.start()
        self.addAsyncCleanup(platform.aclose)
        await platform.add_worker("w0", "pool", lambda task: 0.01)
        platform.publish("keyed.op", "config", CONFIGURATION)
        with tempfile.TemporaryDirectory() as folder:
            program = Program(
                pathlib.Path(folder),
                "n0",
                platform.addresses["store"],
                platform.addresses["machines"],
            )
            read, write = os.pipe()
            await program.start(write)
            os.close(write)
            try:
                await self._send_calls(program)
            finally:
                await program.kill()
                os.close(read)

    async def _send_calls(self, program: Program) -> None:
        headers = {"Host": "jobs.example", "Credential": "wrong" * 40}
        url = f"http://{program.front_address}/q/{JOB}"
        async with (
            asyncio.timeout(TIMEOUT_S),
            aiohttp.ClientSession() as session,
        ):
            refused_count = 0
            while refused_count < 1500:
                try:
                    async with session.get(url, headers=headers) as response:
                        refused_count += response.status == 401
                except aiohttp.ClientError:
                    await asyncio.sleep(0.05)
