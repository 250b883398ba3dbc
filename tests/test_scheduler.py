"""Scheduler: low delay of quick work, no oversubscribed or lost slots."""

import asyncio
import collections
import itertools
import random
import unittest
from unittest import mock

from sardinedrift import changes as ch
from sardinedrift import health
from sardinedrift.endpoints import usable_pools
from sardinedrift.identifiers import WorkClass
from sardinedrift.messages import HeldGrant, SlotRelease, SlotRequest
from sardinedrift.scheduler import Scheduler
from tests.decision_fakes import FakeClock, FakeLog
from tests.sample_changes import (
    new_change_id,
    put_data_centre,
    put_instance,
    put_pool,
    put_team,
)

QUICK, LONG = WorkClass.QUICK, WorkClass.LONG


class FakeView:
    def __init__(self):
        self.leaving_ids = set()

    def leaving(self, instance_id):
        return instance_id in self.leaving_ids


class SchedulerCase(unittest.IsolatedAsyncioTestCase):
    def make(self, minions=2, slots=8, **options):
        self.clock = FakeClock()
        self.log = FakeLog(self.clock)
        self.view = FakeView()
        self.log.append(
            put_team("red"),
            put_team("blue"),
            put_data_centre(),
            put_pool(max_unavailable=99, max_unavailable_per_rack=99),
        )
        for number in range(minions):
            self.log.append(put_instance(f"m{number}", slots=slots))
        self.ids = itertools.count()
        self.tasks = []
        return self.scheduler(**options)

    def scheduler(self, **options):
        return Scheduler(
            "pairing",
            "dc1",
            lambda: self.log.head,
            self.view,
            self.clock,
            random=random.Random(1),
            **options,
        )

    def request(
        self, team="red", work_class=QUICK, entry="e1", wait=60.0, **more
    ):
        return SlotRequest(
            ask_id=more.pop("ask_id", f"g{next(self.ids)}"),
            entry_id=entry,
            pool_id="pairing",
            team_id=team,
            work_class=work_class,
            deadline=self.clock.now() + wait,
            **more,
        )

    async def start(self, scheduler, *requests):
        """Starts requests; returns their tasks once each has run or waits."""
        tasks = [
            asyncio.create_task(scheduler.acquire(each)) for each in requests
        ]
        self.tasks += tasks
        await self.settle()
        return tasks

    async def settle(self):
        """Runs the event loop until every task has finished or waits."""
        for _ in range(5):
            await asyncio.sleep(0)

    async def fill(self, scheduler, count, **options):
        requests = [self.request(**options) for _ in range(count)]
        tasks = await self.start(scheduler, *requests)
        return [task.result() for task in tasks if task.done()]

    def release(self, scheduler, reply, **how):
        scheduler.release(
            SlotRelease(
                entry_id="e1",
                grant_id=reply.grant.grant_id,
                pool_id="pairing",
                instance_id=reply.grant.instance_id,
                **how,
            )
        )

    async def asyncTearDown(self):
        for task in getattr(self, "tasks", []):
            task.cancel()
        await asyncio.gather(
            *getattr(self, "tasks", []), return_exceptions=True
        )


class SchedulerTest(SchedulerCase):
    async def _count_by_minion(self, scheduler, failing):
        """Runs requests one by one; returns how many each minion got."""
        counts = collections.Counter()
        for _ in range(200):
            (reply,) = await self.fill(scheduler, 1)
            name = reply.grant.instance_id
            counts[name] += 1
            self.release(scheduler, reply, failed_answer=name in failing)
        return counts

    async def test_server_errors(self):
        """Guards against a minion that fails fast and so attracts work."""
        counts = await self._count_by_minion(self.make(), ("m1",))
        self.assertEqual(counts["m1"], health.FAILED_ANSWERS_THRESHOLD)
        with mock.patch.object(health, "FAILED_ANSWERS_THRESHOLD", 10_000):
            counts = await self._count_by_minion(self.make(), ("m1",))
        self.assertGreater(counts["m1"], 50)

    async def test_requests_that_always_fail(self):
        """Guards against one team's errors that disable a whole pool."""
        counts = await self._count_by_minion(self.make(), ("m0", "m1"))
        self.assertEqual(sum(counts.values()), 200)

    async def test_quick_work_starts_beside_waiting_long_work(self):
        """Guards against long work that holds every slot."""
        scheduler = self.make()
        long = await self.fill(scheduler, 50, work_class=LONG)
        self.assertEqual(len(long), 12)
        quick = await self.fill(scheduler, 50)
        self.assertEqual(len(quick), 4)

    async def test_without_reserve_long_work_holds_every_slot(self):
        scheduler = self.make()
        self.log.append(put_pool(revision=1, quick_reserve=0.0))
        await self.fill(scheduler, 50, work_class=LONG)
        self.assertEqual(await self.fill(scheduler, 1), [])

    async def test_long_work_keeps_its_floor(self):
        """Guards against long work that starves beside endless quick work."""
        scheduler = self.make()
        running = await self.fill(scheduler, 60)
        self.assertEqual(len(running), 16)
        (long,) = await self.start(scheduler, self.request(work_class=LONG))
        self.release(scheduler, running[0])
        await self.settle()
        self.assertTrue(long.done())

    async def test_quick_work_goes_before_long_work(self):
        """Guards against urgent work queued behind long work."""
        scheduler = self.make()
        held = await self.fill(scheduler, 2, work_class=LONG)
        held += await self.fill(scheduler, 14)
        (long,) = await self.start(scheduler, self.request(work_class=LONG))
        (quick,) = await self.start(scheduler, self.request())
        self.release(scheduler, held[-1])
        await self.settle()
        self.assertTrue(quick.done())
        self.assertFalse(long.done())

    async def test_no_minion_gets_more_than_its_slots(self):
        """Guards against a minion with more requests than slots."""
        scheduler = self.make(minions=3, slots=4)
        source = random.Random(7)
        held, max_running = [], 0
        for _ in range(300):
            entry = source.choice(["e1", "e2"])
            work_class = source.choice([QUICK, LONG])
            held += await self.fill(
                scheduler, 2, entry=entry, work_class=work_class, wait=0.5
            )
            if held and source.random() < 0.8:
                self.release(scheduler, held.pop(0))
            self.clock.time += 0.1
            scheduler.refresh()
            counts = scheduler._grants.running_by_instance
            max_running = max([max_running, *counts.values()])
            self.assertEqual(sum(counts.values()), len(scheduler._grants))
        self.assertEqual(max_running, 4)

    async def _share_of_failing_minion(self):
        """Returns the fraction of 4 s of requests that a failing m0 gets."""
        scheduler = self.make(minions=4)
        to_failing = total = 0
        for _ in range(400):
            self.clock.time += 0.01
            for reply in await self.fill(scheduler, 2):
                failing = reply.grant.instance_id == "m0"
                to_failing += failing
                total += 1
                self.release(scheduler, reply, failed=failing)
        return to_failing / total

    async def test_failing_minion_gets_no_work(self):
        """Guards against a minion that attracts work by failing fast."""
        self.assertLess(await self._share_of_failing_minion(), 0.02)

    async def test_without_probation_a_failing_minion_gets_work(self):
        original = health.MinionHealth.record_failure
        health.MinionHealth.record_failure = lambda *arguments: None
        try:
            self.assertGreater(await self._share_of_failing_minion(), 0.1)
        finally:
            health.MinionHealth.record_failure = original

    async def test_recovered_minion_gets_work_again(self):
        """Guards against a minion that stays on probation for ever."""
        scheduler = self.make(minions=1)
        (reply,) = await self.fill(scheduler, 1)
        self.release(scheduler, reply, failed=True)
        self.assertEqual(await self.fill(scheduler, 1), [])
        self.clock.time += 1.0
        scheduler.refresh()
        await self.settle()
        self.assertEqual(await self.fill(scheduler, 4), [])
        self.release(scheduler, self.tasks[1].result())
        await self.settle()
        self.assertTrue(all(task.done() for task in self.tasks))

    async def test_busy_minion_is_left_out_for_a_moment(self):
        """Guards against asking a full minion again at once."""
        scheduler = self.make(minions=1)
        (reply,) = await self.fill(scheduler, 1)
        self.release(scheduler, reply, busy=True)
        self.assertEqual(await self.fill(scheduler, 1), [])
        self.clock.time += 0.2
        scheduler.refresh()
        await self.settle()
        self.assertTrue(self.tasks[-1].done())

    async def test_lost_grant_is_freed_after_two_reports(self):
        """Guards against a slot lost with the answer of its grant."""
        scheduler = self.make(minions=1, slots=1)
        (reply,) = await self.fill(scheduler, 1)
        (waiting,) = await self.start(scheduler, self.request(entry="e2"))
        scheduler.report_held("e1", [reply.grant])
        scheduler.report_held("e1", [])
        await self.settle()
        self.assertFalse(waiting.done())
        scheduler.report_held("e2", [])
        scheduler.report_held("e1", [])
        await self.settle()
        self.assertTrue(waiting.done())

    async def test_slow_answer_is_counted_again(self):
        """Guards against a used slot that stays free after slow answers."""
        scheduler = self.make(minions=1, slots=1)
        (reply,) = await self.fill(scheduler, 1)
        scheduler.report_held("e1", [])
        scheduler.report_held("e1", [])
        self.assertEqual(len(scheduler._grants), 0)
        scheduler.report_held("e1", [reply.grant])
        self.assertEqual(await self.fill(scheduler, 1), [])

    async def test_new_scheduler_learns_the_slots_in_use(self):
        """Guards against granting used slots after a change of scheduler."""
        first = self.make(minions=1, slots=2)
        held = [each.grant for each in await self.fill(first, 2)]
        second = self.scheduler()
        second.report_held("e1", held)
        self.assertEqual(await self.fill(second, 1), [])
        self.assertEqual(len(second._grants), 2)

    async def test_late_report_does_not_revive_a_released_slot(self):
        """Guards against a slot taken by a report made before its release."""
        scheduler = self.make(minions=1, slots=1)
        (reply,) = await self.fill(scheduler, 1)
        self.release(scheduler, reply)
        scheduler.report_held("e1", [reply.grant])
        self.assertEqual(len(await self.fill(scheduler, 1)), 1)

    async def test_repeated_request_keeps_its_place_and_grant(self):
        """Guards against a second slot or a lost place in the queue."""
        scheduler = self.make(minions=1, slots=1)
        (held,) = await self.fill(scheduler, 1)
        request = self.request()
        first, later = await self.start(scheduler, request, self.request())
        first.cancel()
        (again,) = await self.start(scheduler, request)
        self.release(scheduler, held)
        await self.settle()
        self.assertTrue(again.done())
        self.assertFalse(later.done())
        self.assertEqual(await scheduler.acquire(request), again.result())
        self.assertEqual(len(scheduler._grants), 1)
        self.release(scheduler, again.result())
        self.assertEqual((await scheduler.acquire(request)).code, "deadline")

    async def test_ended_entry_frees_its_slots_and_asks(self):
        """Guards against slots held for an entry that has ended."""
        scheduler = self.make(minions=1, slots=1)
        await self.fill(scheduler, 2)
        (other,) = await self.start(scheduler, self.request(entry="e2"))
        scheduler.drop_entry("e1")
        await self.settle()
        self.assertIsNotNone(other.result().grant)

    async def test_refusals(self):
        """Guards against waiting requests that can never be granted."""
        scheduler = self.make(minions=1, slots=1, max_waiting=1)
        avoiding = self.request(avoid=["m0"])
        code = (await scheduler.acquire(avoiding)).code
        self.assertEqual(code, "no_endpoint")
        await self.fill(scheduler, 1)
        (late,) = await self.start(scheduler, self.request(wait=1.0))
        code = (await scheduler.acquire(self.request())).code
        self.assertEqual(code, "queue_full")
        self.clock.time += 2.0
        scheduler.refresh()
        self.assertEqual((await late).code, "deadline")
        (waiting,) = await self.start(scheduler, self.request())
        scheduler.stop()
        self.assertEqual((await waiting).code, "not_scheduler")

    async def test_leaving_draining_and_down_minions_get_no_work(self):
        """Guards against new work on an endpoint that ends soon."""
        scheduler = self.make(minions=1)
        self.assertEqual(
            usable_pools(self.log.head, "dc1", self.view), ["pairing"]
        )
        self.view.leaving_ids.add("m0")
        self.assertFalse(scheduler.has_endpoint())
        self.assertEqual(
            (await scheduler.acquire(self.request())).code, "no_endpoint"
        )
        self.view.leaving_ids.clear()
        self.assertTrue(scheduler.has_endpoint())
        down = ch.InstanceObserved(
            change_id=new_change_id(), instance_id="m0", up=False
        )
        self.log.append(down)
        self.assertFalse(scheduler.has_endpoint())
        self.assertEqual(usable_pools(self.log.head, "dc1", self.view), [])

    async def test_full_pool_alternates_between_teams(self):
        """Guards against one team's long queue delaying another team."""
        scheduler = self.make(minions=1, slots=1)
        (held,) = await self.fill(scheduler, 1)
        await self.fill(scheduler, 20)
        (blue,) = await self.start(scheduler, self.request(team="blue"))
        for _ in range(2):
            self.clock.time += 0.1
            done = [task for task in self.tasks if task.done()]
            self.release(scheduler, held)
            await self.settle()
            new = [e for e in self.tasks if e.done() and e not in done]
            held = new[0].result()
        self.assertTrue(blue.done())

    async def test_remote_use_is_counted_once(self):
        """Guards against counters added again when they arrive twice.

        A smaller value of the same scheduler is an older copy that arrived over
        another path; a new scheduler has an id of its own.
        """
        scheduler = self.make(minions=1, slots=1)
        added = []
        scheduler._ledger.add_use = lambda team, use: added.append(use)
        for total in (5.0, 8.0, 8.0, 6.0, 8.0, 9.0):
            scheduler.add_remote_use("dc2-e1", {"red": total})
        for total in (1.0, 3.0):
            scheduler.add_remote_use("dc2-e2", {"red": total})
        self.assertEqual(added, [3.0, 1.0, 2.0])

    async def test_adopted_grant_of_another_pool_is_ignored(self):
        """Guards against counting slots of another pool."""
        scheduler = self.make()
        grant = HeldGrant("g", "other", "m0", "red", QUICK, 0.0)
        scheduler.report_held("e1", [grant])
        self.assertEqual(len(scheduler._grants), 0)
