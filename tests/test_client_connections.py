"""Tests of client connections on transports in memory, with a manual clock."""

import asyncio
import gc
import gzip
import random
import unittest
import weakref
from unittest import mock

import msgspec
from aiohttp import web

from sardinedrift import boundedserver, clientio
from sardinedrift.boundedserver import BoundedServer
from sardinedrift.clientbounds import LegalBounds, derive_bounds
from sardinedrift.clientconnection import ClientConnection
from sardinedrift.clientlimits import ClientLimits
from sardinedrift.clientrecords import Cause, Phase
from tests.client_fakes import MemoryTransport, RecordingObserver

LOGGER = "sardinedrift.http"
GET = b"GET /state HTTP/1.1\r\nHost: a\r\n\r\n"
BOUNDS = derive_bounds(200.0, 4100)


def post(size, path="/job"):
    text = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n"
    return text.encode()


CHUNKED = b"POST /job HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
FRAGMENTS = (
    GET,
    GET[:-2] + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
    GET[:-2] + b"Connection: close\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
    post(5),
    post(5, "/cancel"),
    post(300_000),
    CHUNKED,
    b"5\r\nabcde\r\n",
    b"1\r\nx\r\n" * 3000,
    b"0\r\n\r\n",
    b"\r\n",
    b"x" * 70_000,
)


class HeldBody:
    """What a handler holds while it reads a body."""


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        confirmed = mock.patch.object(
            clientio, "_unconfirmed_bytes", return_value=0
        )
        self.enterContext(confirmed)
        self.bodies: list[bytes] = []
        self.release = asyncio.Event()
        self.release.set()
        self.observer = RecordingObserver()
        self.make_server(BOUNDS)

    def make_server(self, bounds):
        self.limits = ClientLimits(bounds, LegalBounds())
        self.server = BoundedServer(
            self.handle, self.limits, self.observer, LegalBounds
        )
        self.now = 100.0
        self.server.now = lambda: self.now

    async def handle(self, request):
        """Reads the body, except on the path "/cancel"."""
        held = HeldBody()
        self.held = weakref.ref(held)
        if request.path != "/cancel":
            self.bodies.append(await request.read())
        await self.release.wait()
        return web.Response(text=f"done {request.method}")

    def connect(self):
        connection = self.server()
        transport = MemoryTransport(connection)
        connection.connection_made(transport)
        return connection, transport

    async def settle(self):
        for _ in range(30):
            await asyncio.sleep(0)

    async def send(self, connection, *parts):
        for part in parts:
            connection.data_received(part)
            await self.settle()

    async def advance(self, seconds):
        self.now += seconds
        self.server._sweep()
        await self.settle()

    async def test_a_request_in_any_pieces_is_served(self):
        """Guards against legal requests that are lost by their division."""
        chunked = (
            b"POST /job HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        )
        for data in (post(3) + b"abc", chunked):
            for size in (1, 7, len(data)):
                with self.subTest(size=size):
                    connection, transport = self.connect()
                    parts = range(0, len(data), size)
                    await self.send(
                        connection, *(data[at : at + size] for at in parts)
                    )
                    self.assertIn(b"done POST", transport.output)
                    self.assertEqual(self.bodies.pop(), b"abc")
        self.assertEqual(self.limits.received, 0)

    async def test_requests_sent_ahead_are_handled_in_turn(self):
        """Guards against requests held without bound, or answered twice."""
        connection, transport = self.connect()
        self.release.clear()
        await self.send(connection, GET + post(2) + b"abGET /st")
        self.assertEqual(len(self.bodies), 1)
        self.assertTrue(transport.reading_paused)
        self.release.set()
        await self.settle()
        self.assertEqual(self.bodies, [b"", b"ab"])
        await self.send(connection, b"ate HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertEqual(transport.output.count(b"200 OK"), 3)
        self.assertFalse(transport.reading_paused)

    async def test_too_many_requests_sent_ahead_end_the_connection(self):
        """Guards against memory for requests that wait on one connection."""
        connection, transport = self.connect()
        self.release.clear()
        await self.send(connection, GET, GET * 1500, GET * 1500)
        self.release.set()
        await self.settle()
        self.assertEqual(transport.output.count(b"200 OK"), 1)
        self.assertTrue(transport.closing)
        self.assertEqual(self.observer.counted, ["pipelined"])

    async def test_a_large_header_section_is_refused(self):
        """Guards against header sections without end."""
        start = b"GET /state HTTP/1.1\r\nHost: a\r\nX: "
        for part in (b"x" * 5000, b"\r\nX: x" * 1000):
            connection, transport = self.connect()
            await self.send(connection, start, *[part] * 8)
            self.assertIn(b"431", transport.output)
            self.assertTrue(transport.write_ended)
        self.assertEqual(self.bodies, [])

    async def test_the_size_of_a_header_section_is_checked_first(self):
        """Guards against decoding the fields of a section of any size."""
        section = b"GET / HTTP/1.1\r\nTransfer-Encoding: x\r\nX: %b\r\n\r\n"
        connection, transport = self.connect()
        await self.send(connection, section % (b"x" * 20_000))
        self.assertIn(b"431", transport.output)

    async def test_a_compressed_body_is_refused(self):
        """Guards against bodies that grow beyond what was charged."""
        data = gzip.compress(b"x" * 100_000)
        head = post(len(data))[:-2] + b"Content-Encoding: gzip\r\n\r\n"
        connection, transport = self.connect()
        with self.assertNoLogs(LOGGER):
            await self.send(connection, head + data)
        self.assertIn(b" 415 ", transport.output)
        self.assertEqual((self.bodies, self.limits.received), ([], 0))

    async def test_the_largest_legal_header_section_is_served(self):
        """Guards against a limit below the published one."""
        start = b"GET /state HTTP/1.1\r\n"
        for field in (b"X: " + b"x" * 8000, b"X: x"):
            lines = b"Host: a\r\n"
            while len(lines) + len(field) + 4 <= LegalBounds().header_bytes:
                lines += field + b"\r\n"
            connection, transport = self.connect()
            await self.send(connection, start + lines + b"\r\n")
            self.assertIn(b"200 OK", transport.output)

    async def test_a_body_that_stops_is_refused(self):
        """Guards against bodies that stop before their end."""
        connection, transport = self.connect()
        with self.assertNoLogs(LOGGER):
            await self.send(connection, post(10) + b"abc")
            await self.advance(BOUNDS.progress_s)
        self.assertIn(b"408", transport.output)
        self.assertEqual((self.bodies, self.limits.received), ([], 0))
        await self.advance(BOUNDS.linger_s)
        self.assertTrue(transport.closing)

    async def test_a_refused_body_is_freed_at_once(self):
        """Guards against bodies kept until the next garbage collection.

        The request refers to its error, whose traceback refers to the body.
        """
        gc.disable()
        self.addCleanup(gc.enable)
        for refused in (True, False):
            connection, transport = self.connect()
            await self.send(connection, post(10) + b"abc")
            if refused:
                await self.advance(BOUNDS.progress_s)
            else:
                transport.close()
                await self.settle()
            self.assertIsNone(self.held())

    async def test_a_refusal_does_not_contradict_the_handler(self):
        """Guards against a refusal of what a handler has done.

        A handler that does not need the body may do its work before the body
        is complete.
        """
        connection, transport = self.connect()
        self.release.clear()
        await self.send(connection, post(10, "/cancel") + b"abc")
        await self.advance(BOUNDS.progress_s)
        await self.advance(BOUNDS.linger_s)
        self.assertFalse(transport.closing)
        self.release.set()
        await self.settle()
        self.assertIn(b"200 OK", transport.output)
        self.assertNotIn(b"408", transport.output)

    async def test_a_caller_that_disconnects_leaves_no_error(self):
        """Guards against a traceback for each interrupted body."""
        connection, transport = self.connect()
        with self.assertNoLogs(LOGGER):
            await self.send(connection, post(10) + b"abc")
            transport.close()
            await self.settle()
        self.assertEqual(
            (self.limits.connections, self.limits.received), (0, 0)
        )

    async def test_a_request_without_a_caller_still_counts(self):
        """Guards against clients that disconnect after each request."""
        connection, transport = self.connect()
        self.release.clear()
        await self.send(connection, post(3) + b"abc")
        transport.close()
        await self.settle()
        self.assertGreater(self.limits.received, 0)
        self.release.set()
        await self.settle()
        self.assertEqual(self.limits.received, 0)

    async def test_a_body_waits_unread_for_memory(self):
        """Guards against more bodies at once than memory permits."""
        self.make_server(
            msgspec.structs.replace(
                BOUNDS, received_bytes=500_000, address_share=1.0
            )
        )
        first, first_transport = self.connect()
        await self.send(first, post(262_144) + b"x" * 1000)
        second, second_transport = self.connect()
        await self.send(second, post(262_144) + b"x" * 1000)
        self.assertIs(second.client.phase, Phase.WAITING)
        self.assertTrue(second_transport.reading_paused)
        await self.send(first, b"x" * 261_144)
        self.assertIn(b"200 OK", first_transport.output)
        self.assertFalse(second_transport.reading_paused)
        await self.send(second, b"x" * 261_144)
        self.assertIn(b"200 OK", second_transport.output)

    async def test_a_request_that_finds_no_memory_is_refused(self):
        """Guards against requests held until their caller gives up."""
        self.make_server(
            msgspec.structs.replace(BOUNDS, received_bytes=400_000)
        )
        self.release.clear()
        first, _ = self.connect()
        await self.send(first, post(200_000) + b"x" * 200_000)
        second, transport = self.connect()
        await self.send(second, post(200_000) + b"x" * 1000)
        await self.advance(BOUNDS.waiting_s)
        self.assertIn(b"503", transport.output)
        self.assertIn(b"Retry-After: 1", transport.output)
        self.assertEqual(len(self.bodies), 1)

    async def test_a_later_request_is_refused_with_a_response(self):
        """Guards against a refusal left to a handler that is not called."""
        connection, transport = self.connect()
        await self.send(connection, GET, GET[:10])
        await self.advance(4.0)
        self.assertIn(b" 408 ", transport.output)

    async def fill_copies(self):
        """Leaves no memory for copies of a further body."""
        self.make_server(
            msgspec.structs.replace(BOUNDS, processed_bytes=200_000)
        )
        self.release.clear()
        first, _ = self.connect()
        await self.send(first, post(50_000) + b"x" * 50_000)

    async def test_a_complete_request_that_finds_no_memory_is_refused(self):
        """Guards against a connection that is reset without a response."""
        await self.fill_copies()
        connection, transport = self.connect()
        await self.send(connection, post(3) + b"abc")
        self.assertIs(connection.client.phase, Phase.READY)
        await self.advance(BOUNDS.waiting_s)
        self.assertIn(b" 503 ", transport.output)
        self.assertIn(b"Retry-After: 1", transport.output)
        self.assertEqual(len(self.bodies), 1)

    async def test_a_started_request_that_finds_no_memory_is_refused(self):
        """Guards against two responses to one request."""
        await self.fill_copies()
        connection, transport = self.connect()
        await self.send(connection, post(3) + b"ab", b"c")
        self.assertIs(connection.client.phase, Phase.READY)
        await self.advance(BOUNDS.waiting_s)
        self.assertEqual(transport.output.count(b"HTTP/1.1"), 1)
        self.assertIn(b" 503 ", transport.output)

    async def test_a_wait_for_copies_counts_as_held(self):
        """Guards against a handler that runs after its caller's deadline."""
        await self.fill_copies()
        connection, transport = self.connect()
        await self.send(connection, post(3) + b"abc")
        self.now += 0.5
        self.release.set()
        await self.settle()
        self.assertIn(b"200 OK", transport.output)
        self.assertEqual(connection.held_s, 0.5)

    async def test_responses_must_be_read(self):
        """Guards against responses that are kept for ever."""
        connection, transport = self.connect()
        transport.unread = 5000
        await self.send(connection, GET)
        connection.pause_writing()
        await self.send(connection, GET)
        self.assertEqual(len(self.bodies), 1)
        await self.advance(1.0)
        await self.advance(BOUNDS.unread_s)
        self.assertTrue(transport.closing)
        self.assertEqual(self.observer.counted, ["response_unread"])

    async def test_bytes_after_an_upgrade_are_not_kept(self):
        """Guards against the library's buffer for upgraded connections."""
        upgrade = (
            GET[:-2] + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
        )
        connection, transport = self.connect()
        self.release.clear()
        await self.send(connection, upgrade, *[b"z" * 50_000] * 4)
        self.assertLess(self.limits.received, 100_000)
        self.release.set()
        await self.settle()
        self.assertIn(b"200 OK", transport.output)
        self.assertTrue(transport.closing)

    async def test_a_request_after_an_upgrade_is_served(self):
        """Guards against a request that its parser keeps for ever.

        The parser did so if the earlier response preceded the body.
        """
        upgrade = b"Connection: Upgrade\r\nUPGRADE: websocket\r\n\r\n"
        connection, transport = self.connect()
        head = post(2, "/cancel")[:-2] + upgrade
        await self.send(connection, head, b"ab", GET)
        self.assertEqual(self.bodies, [b""])
        self.assertEqual(transport.output.count(b"200 OK"), 2)
        self.assertEqual(self.limits.received, 0)

    async def test_a_request_without_a_handler_ends(self):
        """Guards against connections that wait for a handler for ever."""
        connection, transport = self.connect()
        with mock.patch.object(clientio.RequestHandler, "data_received"):
            await self.send(connection, GET)
        await self.advance(0.9)
        self.assertFalse(transport.closing)
        await self.advance(0.1)
        self.assertTrue(transport.closing)
        self.assertEqual(self.limits.received, 0)

    async def test_a_running_handler_is_not_interrupted(self):
        """Guards against responses lost because they take long."""
        connection, transport = self.connect()
        self.release.clear()
        await self.send(connection, GET)
        await self.advance(20.0)
        self.release.set()
        await self.settle()
        self.assertIn(b"200 OK", transport.output)
        self.assertFalse(transport.closing)

    async def test_a_stop_completes_requests_in_progress(self):
        """Guards against requests lost by a graceful stop."""
        _, idle_transport = self.connect()
        partial, partial_transport = self.connect()
        await self.send(partial, GET[:10])
        busy, busy_transport = self.connect()
        self.release.clear()
        await self.send(busy, post(3) + b"abc")
        self.server.pre_shutdown()
        stop = asyncio.create_task(self.server.shutdown(5.0))
        await self.settle()
        self.assertTrue(idle_transport.closing)
        self.assertTrue(partial_transport.closing)
        self.assertFalse(busy_transport.closing)
        self.release.set()
        await stop
        self.assertIn(b"200 OK", busy_transport.output)

    async def test_an_invalid_encoding_is_refused(self):
        """Guards against a traceback for each malformed body."""
        head = post(5)[:-2] + b"Content-Encoding: gzip\r\n\r\n"
        connection, transport = self.connect()
        with self.assertNoLogs(LOGGER):
            await self.send(connection, head + b"abcde")
        self.assertIn(b" 415 ", transport.output)

    async def test_nothing_is_held_after_any_input(self):
        """Guards against charges and tasks left by unusual sequences.

        Load: ten connections and 300 random steps, for 30 seeds.
        """
        self.enterContext(self.assertNoLogs(LOGGER))
        errors = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: errors.append(context)
        )
        for seed in range(30):
            with self.subTest(seed=seed):
                await self.check_random_input(random.Random(seed))
                self.assertEqual(errors, [])

    async def check_random_input(self, chance):
        self.make_server(
            msgspec.structs.replace(
                BOUNDS, connections=8, received_bytes=600_000, waiting=2
            )
        )
        connections = [self.connect() for _ in range(10)]
        for _ in range(300):
            connection, transport = chance.choice(connections)
            match chance.randrange(8):
                case 0:
                    connections.append(self.connect())
                case 1:
                    transport.close()
                case 2:
                    chance.choice([self.release.set, self.release.clear])()
                case 3:
                    await self.advance(chance.choice([0.1, 1.0, 4.0]))
                case _ if not (transport.closing or transport.reading_paused):
                    data = chance.choice(FRAGMENTS)
                    size = chance.choice([len(data), len(data) // 2])
                    connection.data_received(data[:size])
            for _ in range(chance.randrange(6)):
                await asyncio.sleep(0)
        self.release.set()
        for _, transport in connections:
            transport.close()
        await self.settle()
        limits = self.limits
        held = (limits.connections, limits.received, limits.processed)
        self.assertEqual(held, (0, 0, 0))

    async def test_a_response_in_progress_is_not_idle(self):
        """Guards against responses lost by a later connection."""
        connection, transport = self.connect()
        self.release.clear()
        await self.send(connection, GET)
        connection.pause_writing()
        self.release.set()
        await self.settle()
        self.assertIs(connection.client.phase, Phase.HANDLING)
        self.assertEqual(self.limits.received, 0)
        await self.advance(2.0)
        connection.resume_writing()
        await self.settle()
        self.assertIs(connection.client.phase, Phase.IDLE)
        self.assertFalse(transport.closing)

    async def test_a_closing_connection_delivers_its_response(self):
        """Guards against a response cut off while the client reads it."""
        connection, transport = self.connect()
        await self.send(connection, b"X" * 30_000)
        for transport.unread in (4000, 3000, 2000):
            await self.advance(BOUNDS.linger_s)
            self.assertFalse(transport.closing)
        await self.advance(BOUNDS.linger_s)
        self.assertTrue(transport.closing)

    async def test_an_incomplete_request_is_closed_with_a_response(self):
        """Guards against a refusal that a reset discards."""
        connection, transport = self.connect()
        await self.send(connection, GET[:10])
        connection.shed(Cause.INCOMPLETE_CLOSED)
        self.assertIn(b" 503 ", transport.output)
        self.assertTrue(transport.write_ended)
        self.assertFalse(transport.closing)

    async def test_an_error_does_not_disable_the_deadlines(self):
        """Guards against one error after which no deadline is enforced."""
        broken, _ = self.connect()
        connection, transport = self.connect()
        await self.send(broken, GET[:10])
        await self.send(connection, GET[:10])
        calls = []
        expire = ClientConnection.expire

        def fail(each, cause):
            if each is not broken:
                return expire(each, cause)
            calls.append(cause)
            raise ValueError

        with (
            mock.patch.object(ClientConnection, "expire", fail),
            self.assertLogs(LOGGER) as logs,
        ):
            await self.advance(4.0)
            await self.advance(0.1)
        self.assertEqual(len(logs.records), 1)
        self.assertIn(b" 408 ", transport.output)
        self.assertEqual(len(calls), 2)

    async def test_sweeps_continue_after_an_error(self):
        """Guards against settings whose error ends all sweeps."""
        connection, transport = self.connect()
        await self.send(connection, GET[:10])
        self.server._legal = mock.Mock(side_effect=ValueError)
        timer = self.server._sweep_timer
        with self.assertLogs(LOGGER) as logs:
            await self.advance(0.1)
            await self.advance(4.0)
        self.assertEqual(len(logs.records), 1)
        self.assertIsNot(self.server._sweep_timer, timer)
        self.assertIn(b" 408 ", transport.output)

    async def test_reading_continues_after_a_wait_for_memory(self):
        """Guards against a connection whose end is not noticed."""
        await self.fill_copies()
        connection, transport = self.connect()
        await self.send(connection, post(3) + b"abc")
        self.assertTrue(transport.reading_paused)
        self.limits.processed = 0
        connection.retry(evict=False)
        self.assertIs(connection.client.phase, Phase.HANDLING)
        self.assertFalse(transport.reading_paused)

    async def test_an_incomplete_section_continues_after_a_response(self):
        """Guards against a header section that is never read to its end."""
        connection, transport = self.connect()
        await self.send(connection, GET, GET[:10])
        connection.pause_writing()
        await self.send(connection, GET[10:20])
        self.assertTrue(transport.reading_paused)
        connection.resume_writing()
        await self.settle()
        self.assertFalse(transport.reading_paused)
        await self.send(connection, GET[20:])
        self.assertEqual(transport.output.count(b"200 OK"), 2)

    async def pause_process(self, seconds):
        """Makes the next sweep late, as after a stop of the process."""
        self.now += seconds
        due = asyncio.get_running_loop().time() - seconds
        self.server._sweep_timer = mock.Mock(when=lambda: due)
        self.server._sweep()
        await self.settle()

    async def test_a_pause_of_the_process_refuses_nothing(self):
        """Guards against deadlines enforced before received bytes are read."""
        connection, transport = self.connect()
        await self.send(connection, post(3) + b"ab")
        await self.pause_process(4.0)
        await self.send(connection, b"c")
        await self.advance(0.1)
        self.assertIn(b"200 OK", transport.output)

    async def test_a_slow_process_enforces_deadlines(self):
        """Guards against an overload during which no deadline is enforced."""
        connection, transport = self.connect()
        await self.send(connection, post(3) + b"ab")
        for _ in range(4):
            await self.pause_process(4.0)
        self.assertIn(b" 408 ", transport.output)

    async def test_a_stop_completes_bodies_in_progress(self):
        """Guards against a body whose rest is dropped by a graceful stop."""
        connection, transport = self.connect()
        await self.send(connection, post(3) + b"a")
        self.server.pre_shutdown()
        stop = asyncio.create_task(self.server.shutdown(5.0))
        await self.settle()
        await self.send(connection, b"b", b"c" + GET)
        await stop
        self.assertEqual(self.bodies, [b"abc"])
        self.assertEqual(transport.output.count(b"200 OK"), 1)
        self.assertTrue(transport.closing)

    async def test_a_stop_completes_a_body_after_its_response(self):
        """Guards against a connection that a graceful stop leaves open."""
        connection, transport = self.connect()
        await self.send(connection, post(3, "/cancel") + b"a")
        self.server.pre_shutdown()
        await self.send(connection, b"bc")
        await self.server.shutdown(0.1)
        self.assertEqual(transport.output.count(b"200 OK"), 1)
        self.assertTrue(transport.closing)
        self.assertEqual(self.limits.connections, 0)

    async def test_a_stop_refuses_waiting_requests(self):
        """Guards against requests that a stop ends without a response."""
        self.make_server(
            msgspec.structs.replace(BOUNDS, received_bytes=400_000)
        )
        self.release.clear()
        first, _ = self.connect()
        await self.send(first, post(200_000) + b"x" * 200_000)
        connection, transport = self.connect()
        await self.send(connection, post(200_000) + b"x" * 1000)
        self.assertIs(connection.client.phase, Phase.WAITING)
        self.server.pre_shutdown()
        self.assertIn(b" 503 ", transport.output)
        self.assertIn(b"Retry-After: 1", transport.output)

    async def test_a_chunked_body_is_charged_as_it_arrives(self):
        """Guards against small chunked bodies charged as the largest ones."""
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        connection, _ = self.connect()
        self.release.clear()
        await self.send(connection, head + b"\r\n5\r\nabcde\r\n")
        self.assertLess(self.limits.received, 60_000)
        for number in range(1, 5):
            await self.send(connection, b"8000\r\n" + b"x" * 32_768 + b"\r\n")
            self.assertGreater(self.limits.received, (number + 1) * 32_768)
        await self.send(connection, b"0\r\n\r\n")
        self.assertGreater(self.limits.received, 4 * 32_768)
        self.assertLess(self.limits.received, 4 * 32_768 * 1.125 + 3000)

    async def test_a_chunked_body_that_outgrows_the_memory_is_refused(self):
        """Guards against content that is kept without a charge."""
        self.make_server(
            msgspec.structs.replace(BOUNDS, received_bytes=100_000)
        )
        self.release.clear()
        first, _ = self.connect()
        await self.send(first, post(20_000) + b"x" * 20_000)
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        connection, transport = self.connect()
        await self.send(connection, head + b"\r\n")
        await self.send(connection, b"10000\r\n" + b"x" * 65_536)
        self.assertIn(b" 503 ", transport.output)
        self.assertLess(self.limits.received, 30_000)

    async def test_each_cause_is_reported_once_a_second(self):
        """Guards against a log line for each refused request.

        A sweep by real time, while the requests are sent, would report the
        first of them at once.
        """
        self.enterContext(
            mock.patch.object(boundedserver, "SWEEP_INTERVAL_S", 3600.0)
        )
        for _ in range(20):
            connection, _ = self.connect()
            await self.send(connection, b"X" * 30_000)
        for _ in range(6):
            await self.advance(0.25)
        self.assertEqual(self.observer.reported, [("header_bytes", 20)])
        self.assertEqual(len(self.observer.counted), 20)
