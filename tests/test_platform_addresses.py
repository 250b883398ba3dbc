"""Tests of entry processes with workers that use an address in turn."""

import asyncio

from sardinedrift.engine.leases import LEASE_MS
from standins.soak.proxy import Proxy
from tests.platform_case import STEP, PlatformTest

LOST_JOB = "5c0e7a21d94b36f0"
NEW_JOB = "5c0e7a21d94b36f1"
LEASE_S = LEASE_MS / 1000
# The lost worker is called until its lease has expired. The last renewal may be
# as late, and a lease that is not renewed any more lapses after another one.
OBSERVED_S = 2.5 * LEASE_S


class ReusedAddressTest(PlatformTest):
    async def test_tasks_at_a_reused_address_keep_running(self):
        """Guards against leases that lapse on a worker that answers.

        The session of the lost worker calls the address beside that of the new
        one.
        """
        await self.platform.crash_worker("w0")
        self.platform.publish("keyed.servers", "w0", None)
        self.link = Proxy()
        await self.link.start()
        self.stack.push_async_callback(self.link.aclose)
        await self._start_worker("lost")
        (entry,) = await self.start("n0")
        await self._submit(entry, LOST_JOB)
        await self.eventually(lambda: self._runs(1))
        await self.platform.crash_worker("lost")
        worker = await self._start_worker("new")
        await self._submit(entry, NEW_JOB)
        await self.eventually(lambda: self._runs(2))
        self.platform.publish("keyed.servers", "lost", None)
        await asyncio.sleep(OBSERVED_S)
        self.assertEqual([run.how for run in worker.histories], ["", ""])

    async def _start_worker(self, name: str):
        """Starts a worker that registers the address of the link."""
        worker = await self.platform.add_worker(
            name, "pool", lambda task: None, advertised=self.link.address
        )
        self.link.target = self.platform.addresses[name]
        return worker

    async def _submit(self, entry, job: str) -> None:
        step = {**STEP, "count": 1, "long_running": True}
        body = {"spec": "text", "steps": [step]}
        status, _ = await self.call(entry, "POST", f"/q/{job}", body)
        self.assertEqual(status, 200)

    async def _runs(self, count: int) -> bool:
        return len(self.platform.histories()) >= count
