"""Tests of requests for a worker's reports, over loopback sockets."""

import asyncio
import contextlib
import unittest
from unittest import mock

import msgspec

from sardinedrift.platform.http import HttpClient
from sardinedrift.platform.workers import HttpWorkerOrders
from sardinedrift.runtime import new_event_loop
from tests.engine_samples import report_request


class WorkerServer:
    """A worker process that answers requests for its report.

    Args:
        born_ms: its start time, in Unix milliseconds.
        keeps_connections: whether a connection carries several requests.

    Attributes:
        requests: bodies of the requests, in the order of their arrival.
    """

    def __init__(self, born_ms: int, keeps_connections: bool = True):
        self.requests: list[dict] = []
        self._born_ms = born_ms
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
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await self._server.wait_closed()

    async def _serve(self, reader, writer) -> None:
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(
                    head.lower().split(b"content-length: ")[1].split(b"\r")[0]
                )
                body = await reader.readexactly(length)
                self.requests.append(msgspec.json.decode(body))
                self._answer(writer)
                if not self._keeps_connections:
                    writer.close()
                    return

    def _answer(self, writer: asyncio.StreamWriter) -> None:
        report = {"clock_ms": 5, "born": self._born_ms}
        body = msgspec.json.encode(report)
        fields = f"Content-Length: {len(body)}\r\n"
        if not self._keeps_connections:
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

    def _acknowledged(self, server: WorkerServer) -> list[int]:
        return [request["last_seen"] for request in server.requests]
