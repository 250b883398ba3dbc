"""The client of the platform's services, over loopback sockets."""

import asyncio
import socket
import unittest

from sardinedrift.platform.http import HttpClient, NoAnswer, NotSent
from sardinedrift.runtime import new_event_loop

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TRICKLE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n"


async def trickle(reader, writer) -> None:
    """Answers in eight parts, 0.05 s apart."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(TRICKLE_HEAD)
    for _ in range(8):
        await asyncio.sleep(0.05)
        if writer.is_closing():
            return
        writer.write(b"x")
    writer.close()


class HttpClientTest(unittest.TestCase):
    def play(self, scenario) -> None:
        async def body() -> None:
            client = HttpClient(2)
            try:
                await scenario(client)
            finally:
                await client.aclose()

        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(body())

    async def serve(self, handle) -> tuple[asyncio.Server, str]:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        return server, f"{host}:{port}"

    def test_a_refused_connection_was_not_sent(self):
        """Guards against waiting for an order that nobody received."""

        async def scenario(client):
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                address = f"127.0.0.1:{probe.getsockname()[1]}"
                with self.assertRaises(NotSent):
                    await client.call("POST", address, "/", 1.0)

        self.play(scenario)

    def test_a_silent_peer_leaves_the_outcome_unknown(self):
        """Guards against a call that waits for ever, or counts as not sent."""

        async def scenario(client):
            async def swallow(reader, writer):
                await reader.read()
                writer.close()

            server, address = await self.serve(swallow)
            with self.assertRaises(NoAnswer):
                await client.call("POST", address, "/", 0.2)
            server.close()

        self.play(scenario)

    def test_a_bulk_answer_in_parts_outlasts_the_limit(self):
        """Guards against entries on slow links that never load the jobs.

        Found on ctac-sched-grown trouble-2 --seed 206645485910.
        """

        async def scenario(client):
            server, address = await self.serve(trickle)
            got = await client.call("GET", address, "/", 0.2, bulk=True)
            self.assertEqual(got.body, b"x" * 8)
            with self.assertRaises(NoAnswer):
                await client.call("GET", address, "/", 0.2)
            await asyncio.sleep(0.3)
            server.close()

        self.play(scenario)

    def test_a_bulk_answer_that_falls_silent_is_given_up(self):
        """Guards against a feed that waits for ever for the rest."""

        async def scenario(client):
            async def stop_midway(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(TRICKLE_HEAD + b"x")
                await reader.read()
                writer.close()

            server, address = await self.serve(stop_midway)
            with self.assertRaises(NoAnswer):
                await client.call("GET", address, "/", 0.2, bulk=True)
            server.close()

        self.play(scenario)

    def test_a_full_backlog_was_not_sent(self):
        """Guards against cancelled connection attempts that raise or hang."""

        async def scenario(client):
            with socket.socket() as full:
                full.bind(("127.0.0.1", 0))
                full.listen(0)
                address = f"127.0.0.1:{full.getsockname()[1]}"
                blockers = [socket.socket() for _ in range(8)]
                for blocker in blockers:
                    blocker.setblocking(False)
                    blocker.connect_ex(full.getsockname())
                outcomes = await asyncio.gather(
                    *(
                        client.call("POST", address, "/", 0.1, fresh=True)
                        for _ in range(50)
                    ),
                    return_exceptions=True,
                )
                for blocker in blockers:
                    blocker.close()
                kinds = {type(outcome) for outcome in outcomes}
                self.assertLessEqual(kinds, {NotSent, NoAnswer})
                self.assertIn(NotSent, kinds)

        self.play(scenario)

    def test_a_connection_closed_after_the_call_is_unknown(self):
        """Guards against a repeat of an order that was carried out."""

        async def scenario(client):
            async def close(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.close()

            server, address = await self.serve(close)
            with self.assertRaises(NoAnswer):
                await client.call("POST", address, "/", 1.0)
            server.close()

        self.play(scenario)

    def test_an_answer_is_returned_whole(self):
        """Guards against a truncated answer."""

        async def scenario(client):
            async def answer(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(ANSWER)
                await writer.drain()
                writer.close()

            server, address = await self.serve(answer)
            got = await client.call("GET", address, "/", 1.0)
            self.assertEqual((got.status, got.body), (200, b"ok"))
            server.close()

        self.play(scenario)
