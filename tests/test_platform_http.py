"""Tests of the HTTP client for the platform, over loopback sockets."""

import asyncio
import socket
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
                await reader.read()
                writer.close()

            server, address = await self.start_server(stop_midway)
            with self.assertRaises(NoResponse):
                await client.call("GET", address, "/", 0.2, bulk=True)
            server.close()

        self.run_scenario(scenario)

    def test_a_full_backlog_was_not_sent(self):
        """Guards against cancelled connection attempts that raise or hang."""

        async def scenario(client):
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
                        client.call(
                            "POST", address, "/", 0.1, new_connection=True
                        )
                        for _ in range(50)
                    ),
                    return_exceptions=True,
                )
                for filler in fillers:
                    filler.close()
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
