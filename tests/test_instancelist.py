"""Tests that the view follows the list and keeps it during an outage."""

import asyncio
import contextlib
import time
import unittest
from unittest import mock

import msgspec

from sardinedrift.exceptions import InstanceListError
from sardinedrift.instancelist import HttpInstanceList, InstanceView
from standins import instancelist, minion
from tests import servers
from tests.fakes import SystemClock

DEPTH = 100_000


def instance(instance_id, kind="minion", **fields):
    return {
        "id": instance_id,
        "kind": kind,
        "data_centre_id": "dc1",
        "address": "127.0.0.1:1",
        **fields,
    }


class InstanceListTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        self.address = await stack.enter_async_context(
            servers.serve(instancelist.make_app(reboot_seconds=0.05))
        )
        clock = SystemClock()
        self.list = HttpInstanceList(self.address, servers.IDENTITY, clock)
        stack.push_async_callback(self.list.aclose)
        self.view = InstanceView(self.list, "dc1", clock)
        polling = asyncio.create_task(self.view.run())
        stack.callback(polling.cancel)

    async def wait_until(self, condition):
        async with asyncio.timeout(20):
            while not condition():
                await self.view.changed()

    async def only_m2_reboots(self):
        return (await servers.control(self.address))["rebooting"] == ["m2"]

    async def unreachable(self):
        return not self.view.reachable

    async def test_view_follows_changes_and_outlasts_an_outage(self):
        """Guards against endpoints that are dropped during an outage."""
        put = instance("e1", "entry")
        await servers.control(self.address, put=put)
        await self.wait_until(lambda: self.view.listed("e1"))
        self.assertEqual([e.instance_id for e in self.view.entries()], ["e1"])
        await servers.control(self.address, outage=True)
        with self.assertRaises(InstanceListError):
            await self.list.read("dc1", 0, time.time() + 1)
        await servers.until(self.unreachable)
        self.assertTrue(self.view.listed("e1"))
        put["leaving"] = True
        await servers.control(self.address, put=put, outage=False)
        await self.wait_until(lambda: self.view.leaving("e1"))

    async def test_one_malformed_instance_does_not_hide_the_others(self):
        """Guards against one entry that stops all readers of the list."""
        good = {"id": "m1", "kind": "minion", "address": "127.0.0.1:1"}
        good["state"] = "live"
        bad = [
            {**good, "id": "m2", "address": "127.0.0.1:99999"},
            {**good, "id": "m3", "state": "unheard"},
            {**good, "id": 10**40},
            [],
        ]
        rows = [msgspec.json.encode(each) for each in (*bad, good)]
        rows.append(b'{"id":"m4","more":' + b"[" * DEPTH + b"]" * DEPTH + b"}")
        body = b'{"version":1,"instances":[' + b",".join(rows) + b"]}"
        answer = mock.AsyncMock(return_value=body)
        with mock.patch.object(HttpInstanceList, "_call", answer):
            _, listed = await self.list.read("dc1", 0, time.time() + 1)
        self.assertEqual([each.instance_id for each in listed], ["m1"])

    async def test_an_unreadable_list_is_an_outage(self):
        """Guards against an error that ends the reader of the list."""
        body = b"[" * DEPTH
        answer = mock.AsyncMock(return_value=body)
        with (
            mock.patch.object(HttpInstanceList, "_call", answer),
            self.assertRaises(InstanceListError),
        ):
            await self.list.read("dc1", 0, time.time() + 1)

    async def test_reboot_returns_all_but_the_lost_instances(self):
        """Guards against a missed reboot and a false return of an instance."""
        app = minion.make_app()
        async with servers.serve(app) as address:
            lost = instance("m2", control=address)
            await servers.control(self.address, put=instance("m1"))
            await servers.control(self.address, put=lost, never_return=["m2"])
            await self.wait_until(lambda: self.view.listed("m2"))
            for instance_id in ("m2", "m2", "m1"):
                await self.list.reboot(instance_id, "w", time.time() + 20)
            # m1 is rebooted last, so the reboot of m2 would end first.
            await servers.until(self.only_m2_reboots)
            await self.wait_until(lambda: not self.view.listed("m2"))
            await self.wait_until(lambda: self.view.listed("m1"))
            deadline = time.time() + 20
            self.assertFalse(await self.list.reboot("m2", "w", deadline))
            # A repeated token must not start a second reboot.
            self.assertTrue(await self.list.reboot("m1", "w", deadline))
            self.assertTrue(await self.only_m2_reboots())
        with self.assertRaises(InstanceListError):
            await self.list.reboot("unknown", "w", time.time() + 20)
