"""Tests of requests for a worker's reports, over loopback sockets."""

import asyncio
import contextlib
import random
import unittest
from unittest import mock

import msgspec
import prometheus_client as prometheus

from sardinedrift.engine.exceptions import OrderError, OrderRefused
from sardinedrift.identifiers import NO_CONNECTION
from sardinedrift.platform.connector import Connector
from sardinedrift.platform.daemon import REPORT_CONNECTIONS
from sardinedrift.platform.http import HttpClient
from sardinedrift.platform.nextconnections import MIN_CHANGED_CONNECTIONS
from sardinedrift.platform.workers import HttpWorkerOrders
from sardinedrift.runtime import new_event_loop
from tests.engine_samples import report_request


class WorkerServer:
    """A worker process that answers requests for its report.

    Args:
        born_ms: its start time, in Unix milliseconds.
        keeps_connections: whether a connection carries several requests.
        announces_close: whether a response says that its connection ends.
        worker_id: its id; it refuses requests for other workers. None accepts
            all.

    Attributes:
        requests: bodies of the requests, in the order of their arrival.
        connection_count: number of connections that were opened to it.
        born_ms: its start time, in Unix milliseconds.
        request_timeout_s: time in which a request must follow a connection.
        silent: whether it leaves requests without a response.
    """

    def __init__(
        self,
        born_ms: int,
        keeps_connections: bool = True,
        announces_close: bool = True,
        worker_id: str | None = None,
    ):
        self.requests: list[dict] = []
        self.connection_count = 0
        self.request_timeout_s: float | None = None
        self.silent = False
        self._announces_close = announces_close
        self._worker_id = worker_id
        self._ended = False
        self.born_ms = born_ms
        self._keeps_connections = keeps_connections
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def listen(self, port: int = 0) -> int:
        """Begins to listen; returns the port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        return self._server.sockets[0].getsockname()[1]

    async def end(self) -> None:
        """Ends the process and its connections."""
        self._ended = True
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await self._server.wait_closed()

    async def _serve(self, reader, writer) -> None:
        if self._ended:
            # The connection was accepted, but its task starts only now.
            writer.transport.abort()
            return
        self._writers.append(writer)
        self.connection_count += 1
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                try:
                    async with asyncio.timeout(self.request_timeout_s):
                        head = await reader.readuntil(b"\r\n\r\n")
                except TimeoutError:
                    writer.close()
                    return
                length = int(
                    head.lower().split(b"content-length: ")[1].split(b"\r")[0]
                )
                body = await reader.readexactly(length)
                if not self._is_meant(head):
                    writer.write(
                        b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"
                    )
                    continue
                self.requests.append(msgspec.json.decode(body))
                if self.silent:
                    continue
                self._answer(writer)
                if not self._keeps_connections:
                    writer.close()
                    return

    def _is_meant(self, head: bytes) -> bool:
        if self._worker_id is None:
            return True
        expected = f"expected-instance: {self._worker_id}\r\n"
        return expected.encode() in head.lower()

    def _answer(self, writer: asyncio.StreamWriter) -> None:
        report = {"clock_ms": 5, "born": self.born_ms}
        body = msgspec.json.encode(report)
        fields = f"Content-Length: {len(body)}\r\n"
        if not self._keeps_connections and self._announces_close:
            fields += "Connection: close\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{fields}\r\n".encode() + body)


class ReportConnectionTest(unittest.TestCase):
    """What is meant for one process goes over its own connection only."""

    def run_scenario(self, scenario) -> None:
        async def body() -> None:
            client = HttpClient(4)
            try:
                await scenario(HttpWorkerOrders(client, client))
            finally:
                await client.aclose()

        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(body())

    def test_the_next_process_gets_no_acknowledgement_of_the_one_before(self):
        """Guards against ends that a restarted worker forgets unread."""

        async def scenario(orders):
            first, second = WorkerServer(1), WorkerServer(2)
            port = await first.listen()
            worker = mock.Mock(address=f"127.0.0.1:{port}", worker_id="w")

            async def renew(connection_id, number):
                request = report_request(connection_id, number)
                return await orders.renew(worker, request, 1.0)

            report = await renew(0, 0)
            report = await renew(report.connection_id, 9)
            self.assertEqual(self._acknowledged(first), [0, 9])
            await first.end()
            await second.listen(port)
            known = report.connection_id
            report = await renew(known, 123)
            self.assertNotEqual(report.connection_id, known)
            await renew(report.connection_id, 2)
            self.assertEqual(self._acknowledged(second), [0, 2])
            await second.end()

        self.run_scenario(scenario)

    def test_the_next_process_gets_no_lease_of_the_one_before(self):
        """Guards against a lease that was computed for another clock."""

        async def scenario(orders):
            first, second = WorkerServer(1), WorkerServer(2)
            port = await first.listen()
            worker = mock.Mock(address=f"127.0.0.1:{port}", worker_id="w")
            report = await orders.renew(worker, report_request(), 1.0)
            await first.end()
            await second.listen(port)
            for _ in range(2):
                request = report_request(
                    report.connection_id, lease_ms=4500, wait_ms=900
                )
                report = await orders.renew(worker, request, 1.0)
            plain, addressed = second.requests
            self.assertLessEqual(plain.keys(), {"fencing_token", "last_seen"})
            self.assertEqual(addressed["deadline_ms"], 4500)
            self.assertEqual(addressed["wait_ms"], 900)
            await second.end()

        self.run_scenario(scenario)

    def test_a_worker_that_closes_its_connections_is_renewed(self):
        """Guards against leases that lapse as no connection is kept."""

        async def scenario(orders):
            server = WorkerServer(1, keeps_connections=False)
            port = await server.listen()
            worker = mock.Mock(address=f"127.0.0.1:{port}", worker_id="w")
            report = await orders.renew(worker, report_request(), 1.0)
            for _ in range(5):
                request = report_request(report.connection_id, lease_ms=4500)
                report = await orders.renew(worker, request, 1.0)
            renewals = [
                request
                for request in server.requests
                if "deadline_ms" in request
            ]
            await server.end()
            self.assertTrue(renewals)

        self.run_scenario(scenario)

    def test_a_worker_that_closes_unannounced_is_renewed(self):
        """Guards against waiting for an announcement that servers may omit."""

        async def scenario(orders):
            server = WorkerServer(1, False, announces_close=False)
            worker = mock.Mock(
                address=f"127.0.0.1:{await server.listen()}", worker_id="w"
            )
            report = await orders.renew(worker, report_request(), 1.0)
            for _ in range(8):
                await asyncio.sleep(0.01)
                request = report_request(report.connection_id, lease_ms=4500)
                report = await orders.renew(worker, request, 1.0)
            await server.end()
            self.assertIn("deadline_ms", server.requests[-1])

        self.run_scenario(scenario)

    def test_a_worker_that_keeps_its_connection_gets_one(self):
        """Guards against connections that are opened but not needed."""

        async def scenario(orders):
            server = WorkerServer(1)
            port = await server.listen()
            worker = mock.Mock(address=f"127.0.0.1:{port}", worker_id="w")
            report = await orders.renew(worker, report_request(), 1.0)
            for _ in range(8):
                request = report_request(report.connection_id, lease_ms=4500)
                report = await orders.renew(worker, request, 1.0)
            await server.end()
            self.assertEqual(server.connection_count, 1)

        self.run_scenario(scenario)

    def _acknowledged(self, server: WorkerServer) -> list[int]:
        return [request["last_seen"] for request in server.requests]


class ReusedAddressTest(unittest.TestCase):
    """A worker listens at the address of a lost one that is still called."""

    def run_scenario(self, scenario) -> None:
        async def body() -> None:
            client = HttpClient(REPORT_CONNECTIONS)
            self.orders = HttpWorkerOrders(client, client)
            server = WorkerServer(1, worker_id="new")
            address = f"127.0.0.1:{await server.listen()}"
            self.lost = mock.Mock(address=address, worker_id="lost")
            self.new = mock.Mock(address=address, worker_id="new")
            try:
                await scenario()
            finally:
                await client.aclose()
                await server.end()
            first, *later = server.requests
            self.assertNotIn("deadline_ms", first)
            self.assertTrue(later)
            for request in later:
                self.assertIn("deadline_ms", request)

        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(body())

    async def renew(self, connection_id: int) -> int:
        """Requests a report of the new worker; returns its connection."""
        request = report_request(
            connection_id, lease_ms=4500 if connection_id else None
        )
        report = await self.orders.renew(self.new, request, 1.0)
        return report.connection_id

    async def call_lost(self) -> None:
        """Requests a report of the lost worker, which the new one refuses."""
        with self.assertRaises(OrderRefused):
            await self.orders.renew(self.lost, report_request(), 1.0)

    def test_a_worker_at_a_reused_address_is_renewed(self):
        """Guards against leases that lapse once two connections are pooled."""

        async def scenario():
            connection_id, _ = await asyncio.gather(
                self.renew(NO_CONNECTION), self.call_lost()
            )
            for _ in range(6):
                connection_id = await self.renew(connection_id)

        self.run_scenario(scenario)

    def test_calls_to_the_lost_worker_between_renewals(self):
        """Guards against leases left out as the lost worker is called."""

        async def scenario():
            connection_id = await self.renew(NO_CONNECTION)
            for _ in range(3):
                connection_id, _ = await asyncio.gather(
                    self.renew(connection_id), self.call_lost()
                )
                connection_id = await self.renew(connection_id)
                await self.call_lost()

        self.run_scenario(scenario)

    def test_two_requests_at_once_leave_one_connection(self):
        """Guards against leases left out after a session begins anew.

        The last request of the session before may still be in progress.
        """

        async def scenario():
            connection_id = await self.renew(NO_CONNECTION)
            await asyncio.gather(
                self.renew(connection_id), self.renew(connection_id)
            )
            for _ in range(3):
                connection_id = await self.renew(connection_id)

        self.run_scenario(scenario)


class ClosedConnectionTest(unittest.TestCase):
    """A worker closes its connections and starts again in between.

    Each process must get only what was meant for it.
    """

    def setUp(self) -> None:
        self.servers: list[WorkerServer] = []
        self.port = 0
        self.known_born_ms = 0
        self.connection_id = NO_CONNECTION

    def run_scenario(self, scenario) -> None:
        async def body() -> None:
            client = HttpClient(4)
            self.orders = HttpWorkerOrders(client, client)
            try:
                await self.restart()
                await scenario()
                await self.servers[-1].end()
            finally:
                await client.aclose()
            for server in self.servers:
                own = server.born_ms
                for request in server.requests:
                    self.assertIn(request["last_seen"], (0, own))
                    self.assertIn(request.get("deadline_ms", own), (own,))

        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(body())

    async def restart(self) -> WorkerServer:
        """Ends the process, if any, and starts the next one."""
        if self.servers:
            await self.servers[-1].end()
        server = WorkerServer(len(self.servers) + 1, keeps_connections=False)
        self.port = await server.listen(self.port)
        self.servers.append(server)
        return server

    async def renew(self) -> bool:
        """Requests a report; returns whether all was sent that was meant.

        The number to acknowledge and the lease are the start time of the
        process that gave the last report.
        """
        worker = mock.Mock(address=f"127.0.0.1:{self.port}", worker_id="w")
        born_ms = self.known_born_ms
        request = report_request(self.connection_id, born_ms, born_ms or None)
        try:
            report = await self.orders.renew(worker, request, 0.3)
        except OrderError:
            return False
        self.known_born_ms = report.born_ms
        self.connection_id = report.connection_id
        return report.addressed

    async def settle(self) -> None:
        """Requests reports until the next one goes to a known process."""
        for _ in range(MIN_CHANGED_CONNECTIONS + 2):
            await self.renew()
        self.assertTrue(await self.renew())

    def test_a_restart_between_two_calls(self):
        """Guards against acknowledgements of ends that nobody has read."""

        async def scenario():
            await self.settle()
            second = await self.restart()
            self.assertFalse(await self.renew())
            self.assertEqual(self._numbers(second), [0])
            self.assertTrue(await self.renew())
            self.assertEqual(self._numbers(second), [0, 2])

        self.run_scenario(scenario)

    def test_a_restart_during_a_call(self):
        """Guards against an acknowledgement after an unanswered call."""

        async def scenario():
            await self.settle()
            self.servers[-1].silent = True
            self.assertFalse(await self.renew())
            second = await self.restart()
            self.assertFalse(await self.renew())
            self.assertEqual(self._numbers(second), [0])
            self.assertTrue(await self.renew())

        self.run_scenario(scenario)

    def test_a_restart_while_the_next_connection_opens_slowly(self):
        """Guards against a next connection that leads to the next process.

        It must be open before the request of the call before is complete.
        """
        open_connection = Connector._open

        async def open_slowly(connector, key, follows=NO_CONNECTION):
            if follows != NO_CONNECTION:
                await asyncio.sleep(0.05)
            return await open_connection(connector, key, follows)

        async def scenario():
            await self.settle()
            first = self.servers[-1]
            count = len(first.requests)
            call = asyncio.create_task(self.renew())
            while len(first.requests) == count:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.01)
            second = await self.restart()
            await call
            await asyncio.sleep(0.1)
            self.assertFalse(await self.renew())
            self.assertEqual(self._numbers(second), [0])

        with mock.patch.object(Connector, "_open", open_slowly):
            self.run_scenario(scenario)

    def test_restarts_at_any_time(self):
        """Guards against an order of events that the other tests leave out."""
        chance = random.Random(1)

        async def restart_repeatedly() -> None:
            for _ in range(60):
                await asyncio.sleep(chance.uniform(0.0, 0.02))
                await self.restart()

        async def scenario():
            await self.settle()
            restarts = asyncio.create_task(restart_repeatedly())
            addressed = 0
            while not restarts.done():
                addressed += await self.renew()
                await asyncio.sleep(chance.uniform(0.0, 0.003))
            self.assertGreater(addressed, 0)

        self.run_scenario(scenario)

    def test_an_unused_connection_that_the_worker_closes(self):
        """Guards against calls that fail over a closed connection."""

        async def scenario():
            self.servers[-1].request_timeout_s = 0.05
            await self.settle()
            await asyncio.sleep(0.15)
            self.assertFalse(await self.renew())
            self.assertTrue(await self.renew())

        self.run_scenario(scenario)

    def test_a_next_connection_that_cannot_be_opened_is_counted(self):
        """Guards against renewals that are unaddressed for no visible cause."""
        open_connection = Connector._open

        async def open_only_now(connector, key, follows=NO_CONNECTION):
            if follows != NO_CONNECTION:
                raise ConnectionRefusedError
            return await open_connection(connector, key, follows)

        async def scenario():
            for _ in range(MIN_CHANGED_CONNECTIONS + 4):
                self.assertFalse(await self.renew())

        name = "sardinedrift_next_connection_failures_total"
        before = prometheus.REGISTRY.get_sample_value(name)
        with mock.patch.object(Connector, "_open", open_only_now):
            self.run_scenario(scenario)
        after = prometheus.REGISTRY.get_sample_value(name)
        self.assertGreater(after, before)

    def _numbers(self, server: WorkerServer) -> list[int]:
        return [request["last_seen"] for request in server.requests]
