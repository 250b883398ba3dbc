"""Tests that the log client reports each kind of failure as such."""

import asyncio
import contextlib
import time
import unittest

from sardinedrift.exceptions import (
    AppendUnknown,
    LogUnavailable,
    OffsetExpired,
)
from sardinedrift.logservice import HttpLogService
from standins import logservice
from tests import servers
from tests.fakes import SystemClock


def soon_deadline():
    return time.time() + 20


class LogServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        self.address = await stack.enter_async_context(
            servers.serve(logservice.make_app())
        )
        self.log = self.client(self.address)
        stack.push_async_callback(self.log.aclose)

    def client(self, address):
        return HttpLogService(address, servers.IDENTITY, SystemClock())

    async def was_read(self):
        return (await servers.get(self.address, "/stats"))["reads"]

    async def test_records_come_back_in_order(self):
        """Guards against changed records and wrong offsets."""
        for data in (b"\x00\xff", b"{}"):
            await self.log.append(data, soon_deadline())
        page = await self.log.read(0, 10, soon_deadline())
        self.assertEqual([r.data for r in page.records], [b"\x00\xff", b"{}"])
        self.assertEqual([r.offset for r in page.records], [0, 1])
        self.assertEqual((page.first, page.next), (0, 2))

    async def test_read_waits_for_the_next_record(self):
        """Guards against a follower that polls or misses a record."""
        reading = asyncio.create_task(self.log.read(0, 10, soon_deadline()))
        await servers.until(self.was_read)
        await self.log.append(b"a", soon_deadline())
        self.assertEqual(len((await reading).records), 1)
        empty = await self.log.read(1, 10, time.time() + 0.05)
        self.assertEqual(empty.records, ())

    async def test_lost_append_answer_is_unknown(self):
        """Guards against reporting an append that took effect as not done."""
        await servers.control(self.address, lose_answers=1)
        with self.assertRaises(AppendUnknown):
            await self.log.append(b"a", soon_deadline())
        self.assertEqual((await self.log.read(0, 10, soon_deadline())).next, 1)

    async def test_timed_out_append_is_unknown(self):
        """Guards against reporting an append in transit as not done."""
        await servers.control(self.address, slow_seconds=1.5)
        with self.assertRaises(AppendUnknown):
            await self.log.append(b"a", time.time() + 1)
        self.assertEqual((await self.log.read(0, 10, soon_deadline())).next, 1)

    async def test_refused_appends_are_unavailable(self):
        """Guards against treating a refusal as unknown or as success."""
        for fault in ({"outage": True}, {"blocked_sources": ["dc1"]}):
            await servers.control(self.address, **fault)
            with self.assertRaises(LogUnavailable):
                await self.log.append(b"a", soon_deadline())
            with self.assertRaises(LogUnavailable):
                await self.log.read(0, 10, soon_deadline())
            await servers.control(
                self.address, outage=False, blocked_sources=[]
            )
        with self.assertRaises(LogUnavailable):
            await self.log.append(bytes(256 * 1024 + 1), soon_deadline())
        self.assertEqual((await servers.get(self.address, "/stats"))["next"], 0)

    async def test_appends_above_the_rate_limit_are_unavailable(self):
        """Guards against reporting a rate-limited append as done."""
        limited = logservice.make_app(appends_per_second=0)
        async with servers.serve(limited) as address:
            log = self.client(address)
            with self.assertRaises(LogUnavailable):
                await log.append(b"a", soon_deadline())
            await log.aclose()

    async def test_refused_connection_is_unavailable(self):
        """Guards against an unknown outcome when nothing was sent."""
        async with servers.serve(logservice.make_app()) as address:
            pass
        log = self.client(address)
        try:
            with self.assertRaises(LogUnavailable):
                await log.append(b"a", soon_deadline())
        finally:
            await log.aclose()

    async def test_expired_offset(self):
        """Guards against a follower that silently skips expired records."""
        for _ in range(3):
            await self.log.append(b"a", soon_deadline())
        await servers.control(self.address, expire_before=2)
        with self.assertRaises(OffsetExpired) as expired:
            await self.log.read(0, 10, soon_deadline())
        self.assertEqual(expired.exception.first, 2)
        page = await self.log.read(2, 10, soon_deadline())
        self.assertEqual((len(page.records), page.first), (1, 2))
