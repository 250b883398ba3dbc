"""Tests of the HTTP client for the platform, over loopback sockets."""

import asyncio
import contextlib
import json
import socket
import subprocess
import sys
import time
import unittest

from sardinedrift.platform.http import HttpClient, NoResponse, NotSent
from sardinedrift.runtime import new_event_loop

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SLOW_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n"


async def respond_slowly(reader, writer) -> None:
    """Sends a response in eight parts, 0.05 s apart."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(SLOW_RESPONSE_HEAD)
    for _ in range(8):
        await asyncio.sleep(0.05)
        if writer.is_closing():
            return
        writer.write(b"x")
    writer.close()


class HttpClientTest(unittest.TestCase):
    def run_scenario(self, scenario) -> None:
        async def body() -> None:
            client = HttpClient(2)
            try:
                await scenario(client)
            finally:
                await client.aclose()

        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(body())

    async def start_server(self, handle) -> tuple[asyncio.Server, str]:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        return server, f"{host}:{port}"

    def test_a_refused_connection_was_not_sent(self):
        """Guards against awaiting an order that nobody received."""

        async def scenario(client):
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                address = f"127.0.0.1:{probe.getsockname()[1]}"
                with self.assertRaises(NotSent):
                    await client.call("POST", address, "/", 1.0)

        self.run_scenario(scenario)

    def test_a_silent_peer_leaves_the_outcome_unknown(self):
        """Guards against a call that never ends or counts as not sent."""

        async def scenario(client):
            async def never_respond(reader, writer):
                with contextlib.suppress(ConnectionResetError):
                    await reader.read()
                writer.close()

            server, address = await self.start_server(never_respond)
            with self.assertRaises(NoResponse):
                await client.call("POST", address, "/", 0.2)
            server.close()

        self.run_scenario(scenario)

    def test_a_bulk_response_in_parts_outlasts_the_timeout(self):
        """Guards against entries on slow links that never load the jobs.

        A slow link delivers a bulk response in parts, and the whole takes
        longer than the time limit of the call.
        """

        async def scenario(client):
            server, address = await self.start_server(respond_slowly)
            response = await client.call("GET", address, "/", 0.2, bulk=True)
            self.assertEqual(response.body, b"x" * 8)
            with self.assertRaises(NoResponse):
                await client.call("GET", address, "/", 0.2)
            await asyncio.sleep(0.3)
            server.close()

        self.run_scenario(scenario)

    def test_a_bulk_response_that_stalls_times_out(self):
        """Guards against a feed that never stops reading a response."""

        async def scenario(client):
            async def stop_midway(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(SLOW_RESPONSE_HEAD + b"x")
                with contextlib.suppress(ConnectionResetError):
                    await reader.read()
                writer.close()

            server, address = await self.start_server(stop_midway)
            with self.assertRaises(NoResponse):
                await client.call("GET", address, "/", 0.2, bulk=True)
            server.close()

        self.run_scenario(scenario)

    def test_a_full_backlog_was_not_sent(self):
        """Guards against cancelled connection attempts that raise or hang."""

        async def scenario(_):
            # Each call opens a connection of its own.
            client = HttpClient(50)
            with socket.socket() as listener:
                listener.bind(("127.0.0.1", 0))
                listener.listen(0)
                address = f"127.0.0.1:{listener.getsockname()[1]}"
                fillers = [socket.socket() for _ in range(8)]
                for filler in fillers:
                    filler.setblocking(False)
                    filler.connect_ex(listener.getsockname())
                outcomes = await asyncio.gather(
                    *(
                        client.call("POST", address, "/", 0.1)
                        for _ in range(50)
                    ),
                    return_exceptions=True,
                )
                for filler in fillers:
                    filler.close()
                await client.aclose()
                types = {type(outcome) for outcome in outcomes}
                self.assertLessEqual(types, {NotSent, NoResponse})
                self.assertIn(NotSent, types)

        self.run_scenario(scenario)

    def test_a_connection_closed_after_the_call_is_unknown(self):
        """Guards against repeating an order that may have been executed."""

        async def scenario(client):
            async def close_without_response(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.close()

            server, address = await self.start_server(close_without_response)
            with self.assertRaises(NoResponse):
                await client.call("POST", address, "/", 1.0)
            server.close()

        self.run_scenario(scenario)

    def test_a_response_is_returned_whole(self):
        """Guards against a truncated response."""

        async def scenario(client):
            async def respond(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(RESPONSE)
                await writer.drain()
                writer.close()

            server, address = await self.start_server(respond)
            response = await client.call("GET", address, "/", 1.0)
            self.assertEqual((response.status, response.body), (200, b"ok"))
            server.close()

        self.run_scenario(scenario)

    def test_a_late_event_loop_still_reads_the_response(self):
        """Guards against taking a paused caller for an unresponsive peer.

        The response arrives while this process does not run for longer than
        the time limit of the call.
        """

        async def scenario(client):
            received = asyncio.Event()

            async def respond(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(RESPONSE)
                received.set()

            server, address = await self.start_server(respond)
            call = asyncio.create_task(client.call("GET", address, "/", 0.2))
            await received.wait()
            time.sleep(0.4)  # noqa: ASYNC251
            self.assertEqual((await call).body, b"ok")
            server.close()

        self.run_scenario(scenario)

    def test_a_wait_for_other_calls_is_not_a_timeout(self):
        """Guards against taking a burst of calls for an unresponsive peer.

        Each response takes most of the time limit, and only two calls at once
        have a connection.
        """

        async def scenario(client):
            async def respond(reader, writer):
                with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                    while True:
                        await reader.readuntil(b"\r\n\r\n")
                        await asyncio.sleep(0.2)
                        writer.write(RESPONSE)
                writer.close()

            server, address = await self.start_server(respond)
            responses = await asyncio.gather(
                *(client.call("GET", address, "/", 0.3) for _ in range(8))
            )
            self.assertEqual([each.body for each in responses], [b"ok"] * 8)
            server.close()

        self.run_scenario(scenario)

    def test_a_request_without_permission_is_not_sent(self):
        """Guards against an order sent after the term of its sender.

        The permission ends while the call waits for a connection.
        """

        async def scenario(client):
            bodies = []
            permitted = True

            async def respond(reader, writer):
                nonlocal permitted
                with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                    while True:
                        await reader.readuntil(b"\r\n\r\n")
                        bodies.append(await reader.readexactly(2))
                        permitted = False
                        writer.write(RESPONSE)
                writer.close()

            server, address = await self.start_server(respond)
            outcomes = await asyncio.gather(
                *(
                    client.call(
                        "POST",
                        address,
                        "/",
                        1.0,
                        body=b"{}",
                        may_send=lambda: permitted,
                    )
                    for _ in range(3)
                ),
                return_exceptions=True,
            )
            self.assertEqual(len(bodies), 2)
            self.assertIsInstance(outcomes[2], NotSent)
            server.close()

        self.run_scenario(scenario)

    def test_a_timed_out_request_is_reset(self):
        """Guards against orders that arrive after their call has ended.

        A connection that is closed in the usual way still delivers what the
        kernel holds, for example once a partition heals.
        """

        async def scenario(client):
            ended = asyncio.get_running_loop().create_future()

            async def never_respond(reader, writer):
                try:
                    await reader.read()
                    ended.set_result(None)
                except ConnectionResetError as error:
                    ended.set_result(error)
                writer.close()

            server, address = await self.start_server(never_respond)
            with self.assertRaises(NoResponse):
                await client.call("POST", address, "/", 0.1)
            self.assertIsInstance(await ended, ConnectionResetError)
            server.close()

        self.run_scenario(scenario)

    def test_cancelled_connection_attempts_spare_the_process(self):
        """Guards against a descriptor that is closed while it is watched.

        Many connection attempts to an unresponsive address are cancelled
        beside calls that are answered: the process keeps running, and each
        response belongs to its own call.
        """
        for seed in (2, 3):
            program = subprocess.run(
                [sys.executable, "-m", "tests.connection_load", str(seed)],
                stdout=subprocess.PIPE,
                check=False,
            )
            self.assertEqual(program.returncode, 0)
            outcomes = set(json.loads(program.stdout))
            self.assertLessEqual(outcomes, {"own", "NotSent"})
            self.assertIn("own", outcomes)
