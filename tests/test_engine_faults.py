"""Tests that one bad message or unexpected error stays without effect."""

import asyncio
import unittest
from unittest import mock

import msgspec

from sardinedrift.engine.catalogue import submission_record
from sardinedrift.engine.exceptions import (
    CallError,
    OrderUnknown,
    StoreRefused,
    StoreUnknown,
)
from sardinedrift.engine.model import JobState
from sardinedrift.engine.storeports import KeyedRecord
from sardinedrift.engine.workerreports import ReportApplier
from sardinedrift.identifiers import JobId, TeamId
from sardinedrift.platform.http import Response
from sardinedrift.platform.jobs import decode_job
from sardinedrift.platform.store import LogStore
from sardinedrift.platform.workers import HttpWorkerOrders
from tests.engine_case import EngineTest
from tests.engine_samples import report_request
from tests.engine_store import encode_records
from tests.engine_world import (
    QUEUE,
    TOPIC,
    configuration,
    long_running,
    short,
    submission,
)


class UnexpectedErrorTest(EngineTest):
    def test_a_record_that_breaks_a_rule_does_not_block_the_others(self):
        """Guards against entries that end on one decodable record.

        A step that waits for a later one cannot be submitted, but it can be
        stored by another version.
        """

        async def scenario(world, nodes):
            bad = submission("bad", short(1, after=(3,)))
            world.log.append(TOPIC, encode_records([submission_record(bad)]))
            await self.accept(world, nodes[0], submission("a", short(1)))
            await asyncio.sleep(2.0)
            self.assertIs(self.state(nodes[1], "a"), JobState.COMPLETED)
            # The successor has to restore the bad record.
            await self.controller(world, nodes).stop()
            await self.accept(world, nodes[2], submission("b", short(1)))
            await asyncio.sleep(4.0)
            node = self.controller(world, nodes)
            self.assertIs(self.state(node, "b"), JobState.COMPLETED)

        self.run_scenario(scenario)

    def test_an_error_with_one_worker_does_not_end_the_term(self):
        """Guards against one worker whose reports end each controller."""

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", long_running(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            terms = len(world.controller_states)
            apply_run = ReportApplier._apply_run
            broken = iter(range(2))

            def fail_twice(applier, row, now):
                if next(broken, None) is not None:
                    raise TypeError("unexpected")
                apply_run(applier, row, now)

            with mock.patch.object(ReportApplier, "_apply_run", fail_twice):
                await asyncio.sleep(6.0)
            self.assertEqual(len(world.controller_states), terms)
            self.assertEqual(len(world.histories()), 3)

        self.run_scenario(scenario, task_duration_s=lambda task: None)

    def test_an_error_in_a_feed_does_not_end_it(self):
        """Guards against a process that ends on an undecodable response."""

        async def scenario(world, nodes):
            node = nodes[0]
            read, broken = node.store.read, iter(range(2))

            async def fail_twice(*arguments):
                if next(broken, None) is not None:
                    raise TypeError("unexpected")
                return await read(*arguments)

            with mock.patch.object(node.store, "read", fail_twice):
                await self.accept(world, nodes[1], submission("a", short(1)))
                await asyncio.sleep(4.0)
                self.assertIs(self.state(node, "a"), JobState.COMPLETED)

        self.run_scenario(scenario)


class MalformedMessageTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_malformed_report_counts_as_no_answer(self):
        """Guards against rows of other types that fail where they are used."""
        row = ["00000000000000aa.0.0.0", 1, "", 40, 0]
        end = [1, "00000000000000aa.0.0.0", 1, "done", ""]
        for bad in (
            {"running": [["x", *row[1:]]]},
            {"running": [[row[0], "1", *row[2:]]]},
            {"running": [row[:2]]},
            {"running": [7]},
            {"ended": [["1", *end[1:]]]},
            {"ended": [[*end[:3], "unheard", ""]]},
            {"ended": [end[:3]]},
            {"clock_ms": "soon"},
        ):
            body = {"clock_ms": 5, "running": [row], "ended": [end], **bad}
            client = mock.Mock()
            client.call = mock.AsyncMock(
                return_value=Response(200, msgspec.json.encode(body))
            )
            worker = mock.Mock(address="10.0.0.1:1", worker_id="w")
            with self.subTest(bad=bad), self.assertRaises(OrderUnknown):
                await HttpWorkerOrders(client, client).renew(
                    worker, report_request(), 0.4
                )

    async def test_a_full_page_of_ends_is_not_taken_for_all_of_them(self):
        """Guards against runs that count as lost, as their ends come later."""
        for count, complete in ((0, True), (499, True), (500, False)):
            ended = [
                [number, f"00000000000000aa.0.0.{number}", 1, "done", ""]
                for number in range(count)
            ]
            body = {"clock_ms": 5, "running": [], "ended": ended}
            client = mock.Mock()
            client.call = mock.AsyncMock(
                return_value=Response(200, msgspec.json.encode(body))
            )
            worker = mock.Mock(address="10.0.0.1:1", worker_id="w")
            report = await HttpWorkerOrders(client, client).renew(
                worker, report_request(), 0.4
            )
            with self.subTest(count=count):
                self.assertEqual(report.complete, complete)

    async def test_a_server_error_leaves_the_outcome_unknown(self):
        """Guards against telling a caller that a stored job was refused."""
        for status, expected in (
            (429, StoreRefused),
            (503, StoreRefused),
            (507, StoreRefused),
            (500, StoreUnknown),
            (502, StoreUnknown),
            (504, StoreUnknown),
        ):
            client = mock.Mock()
            client.call = mock.AsyncMock(return_value=Response(status, b"{}"))
            store = LogStore(client, lambda: "10.0.0.1:1", "n")
            with self.subTest(status=status), self.assertRaises(expected):
                await store.append(TOPIC, [KeyedRecord("j/a", b"x")])

    def test_a_job_with_countless_due_times_is_refused(self):
        """Guards against a call that fills the memory of the controller."""
        now_ms = 1_700_000_000_000
        queue = configuration().queue_by_id[QUEUE]
        job = {"steps": [{"count": 1}], "repeats": 1_000_000_000}
        for times in (
            {},
            {"start_at_ms": now_ms},
            {"start_at_ms": 5, "interval_ms": 1},
        ):
            body = msgspec.json.encode({**job, **times})
            with self.subTest(times=times), self.assertRaises(CallError):
                decode_job(body, JobId("a"), queue, TeamId("t"), now_ms)
        future = {**job, "start_at_ms": now_ms, "interval_ms": 60_000}
        decode_job(
            msgspec.json.encode(future),
            JobId("a"),
            queue,
            TeamId("t"),
            now_ms,
        )
