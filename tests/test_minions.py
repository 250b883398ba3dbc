"""Sends to minions: "not run" needs proof, answers must be whole and match."""

import asyncio
import contextlib
import json
import time
import unittest

from sardinedrift.exceptions import (
    DialFailed,
    OutcomeUnknown,
    RefusedBeforeStart,
)
from sardinedrift.minions import KEEPALIVE_TIMEOUT_SECONDS, HttpMinions
from sardinedrift.ports import Dispatch
from standins import minion
from tests import servers
from tests.fakes import SystemClock


def dispatch(name, idempotent=False, seconds=20.0, **work):
    return Dispatch(
        dispatch_id=f"d-{name}",
        request_id=f"r-{name}",
        team_id="red",
        run_deadline=time.time() + seconds,
        idempotent=idempotent,
        body=json.dumps(work).encode() if work else b"",
    )


def http_response(dispatch_id, body=b"ok", length=True, extra=""):
    head = f"HTTP/1.1 200 OK\r\nDispatch-Id: {dispatch_id}\r\n{extra}"
    if length:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class MinionsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        self.address = await stack.enter_async_context(
            servers.serve(minion.make_app(slots=1))
        )
        self.minions = HttpMinions(SystemClock())
        stack.push_async_callback(self.minions.aclose)

    async def send(self, *arguments, address=None, **keywords):
        sent = dispatch(*arguments, **keywords)
        return await self.minions.send(address or self.address, sent)

    async def executions(self):
        return await servers.get(self.address, "/executions")

    async def running(self):
        return bool((await self.executions())["running_by_team"])

    async def test_answer_is_whole_and_own(self):
        """Guards against large answers that are truncated or mixed up."""
        answer = await self.send("a", size=1_000_000, tag="t")
        self.assertEqual(answer.status, 200)
        expected = minion.answer_bytes("t", "r-a", 1_000_000)
        self.assertEqual(answer.body, expected)

    async def test_answer_of_another_dispatch_is_refused(self):
        """Guards against returning the answer of another request.

        The connection that carried it must not be used again.
        """
        await servers.control(self.address, wrong_dispatch_id=1)
        with self.assertRaises(OutcomeUnknown):
            await self.send("a", idempotent=True)
        answer = await self.send("b", idempotent=True)
        self.assertEqual(answer.body, minion.answer_bytes("", "r-b", 64))

    async def test_wrong_id_closes_the_connection(self):
        """Guards against later answers for other requests on a connection."""
        answers = [http_response("d-other", b""), http_response("d-b")]
        async with servers.raw_server(answers) as (address, requests):
            with self.assertRaises(OutcomeUnknown):
                await self.send("a", address=address)
            await self.send("b", address=address)
        self.assertEqual(len(set(requests)), 2)

    async def test_refusal_for_another_dispatch_is_no_proof(self):
        """Guards against `not_run` for a request that may have run."""
        refusal = http_response("d-other", extra="Not-Started: 1\r\n")
        refusal = refusal.replace(b"200 OK", b"503 Service Unavailable")
        async with servers.raw_server([refusal]) as (address, _):
            with self.assertRaises(OutcomeUnknown):
                await self.send("a", address=address)

    async def test_truncated_answer_is_unknown(self):
        """Guards against returning a truncated answer."""
        await servers.control(self.address, truncate=1)
        with self.assertRaises(OutcomeUnknown):
            await self.send("a", size=100_000)

    async def test_answer_without_length_is_unknown(self):
        """Guards against a truncated answer that looks complete."""
        undelimited = http_response(
            "d-a", length=False, extra="Connection: close\r\n"
        )
        async with servers.raw_server([undelimited]) as (address, _):
            with self.assertRaises(OutcomeUnknown):
                await self.send("a", address=address)

    async def test_oversized_answer_is_unknown(self):
        """Guards against an answer that exhausts the memory of the entry."""
        with self.assertRaises(OutcomeUnknown):
            await self.send("a", size=8 * 1024 * 1024 + 1)

    async def test_reused_connection_lost_after_sending(self):
        """Guards against a silent second send of the same request."""
        for idempotent in (False, True):
            answers = [http_response("d-a"), b"", http_response("d-b")]
            async with servers.raw_server(answers) as (address, requests):
                await self.send("a", idempotent, address=address)
                with self.assertRaises(OutcomeUnknown):
                    await self.send("b", idempotent, address=address)
                self.assertEqual(len(requests), 2)

    async def test_silent_reused_connection_is_unknown(self):
        """Guards against a minion considered dead, and a false not_run.

        The minion stops answering on a reused connection only.
        """
        await self.send("a")
        await self.send("a", idempotent=True)
        await servers.control(self.address, silent=True)
        with self.assertRaises(OutcomeUnknown):
            await self.send("b", seconds=0.3)
        deadline = time.time() + 20
        self.assertTrue(await self.minions.probe(self.address, deadline))
        self.assertEqual((await self.send("c")).status, 200)

    async def test_idle_connection_is_not_reused(self):
        """Guards against losing a request on a silently broken connection."""
        await self.send("a")
        await servers.control(self.address, silent=True)
        await asyncio.sleep(KEEPALIVE_TIMEOUT_SECONDS + 0.1)
        self.assertEqual((await self.send("b")).status, 200)

    async def test_refused_dial_is_not_run(self):
        """Guards against omitting a retry that is safe."""
        await servers.control(self.address, reboot=True, reboot_seconds=60)
        with self.assertRaises(DialFailed):
            await self.send("a")
        deadline = time.time() + 5
        self.assertFalse(await self.minions.probe(self.address, deadline))

    async def test_reboot_while_running_is_unknown(self):
        """Guards against `not_run` for a request ended by a reboot."""
        sending = asyncio.create_task(self.send("a", run_seconds=15))
        await servers.until(self.running)
        await servers.control(self.address, reboot=True, reboot_seconds=0)
        with self.assertRaises(OutcomeUnknown):
            await sending

    async def test_refusals_before_start(self):
        """Guards against counting a full or draining minion as failed."""
        sending = asyncio.create_task(self.send("a", run_seconds=15))
        await servers.until(self.running)
        with self.assertRaises(RefusedBeforeStart) as full:
            await self.send("b")
        self.assertFalse(full.exception.draining)
        await servers.control(self.address, draining=True)
        with self.assertRaises(RefusedBeforeStart) as draining:
            await self.send("c")
        self.assertTrue(draining.exception.draining)
        self.assertEqual(len((await self.executions())["executions"]), 1)
        sending.cancel()

    async def test_failed_run_and_stopped_run_are_answers(self):
        """Guards against repeating a request that ran and failed."""
        self.assertEqual((await self.send("a", fail=True)).status, 500)
        stopped = await self.send("b", seconds=0.2, run_seconds=30)
        self.assertEqual(stopped.status, 504)

    async def test_unmarked_503_is_an_answer(self):
        """Guards against `not_run` that the minion has not stated."""
        plain = http_response("d-a").replace(
            b"200 OK", b"503 Service Unavailable"
        )
        async with servers.raw_server([plain]) as (address, _):
            answer = await self.send("a", address=address)
        self.assertEqual(answer.status, 503)
