"""Limits: running requests never exceed the units allocated in the log."""

import asyncio
import contextlib
import unittest
from unittest import mock

from sardinedrift import changes as ch
from sardinedrift.limits import Limits, batch_interval_seconds
from sardinedrift.messages import Exchange
from sardinedrift.transfers import Transfers
from tests.decision_fakes import (
    FakeClock,
    FakeFollower,
    FakeLog,
    FakePeers,
    FakePublisher,
    gone,
    identity,
    join,
    new_change_id,
    put_team,
)
from tests.limit_world import (
    RUN_SECONDS,
    ConstantLimitMachine,
    LimitMachine,
    World,
    search,
)
from tests.sample_changes import put_worker, submit


class _Unlocked(Transfers):
    """Faulty variant: uses units until their transfer is folded."""

    def locked(self, team_id):
        return 0


class _EarlyUnlock(Transfers):
    """Faulty variant: unlocks units while the outcome of a give is unknown."""

    def unsettled(self):
        changes = list(super().unsettled())
        for change in changes:
            self._unlock(change.sequence)
        return iter(changes)


class LimitTest(unittest.TestCase):
    def _world(self, *arguments, **options):
        world = World(*arguments, **options)
        self.addCleanup(world.close)
        return world

    def test_running_is_covered_by_units(self):
        """Guards against more requests than units, also when limits change."""
        search(LimitMachine)

    def test_running_never_passes_a_constant_limit(self):
        """Guards against an exceeded limit after any sequence of faults."""
        search(ConstantLimitMachine)

    def _give_scenario(self, transfers, mode):
        """Starts requests at the giver after the receiver folded the give.

        Returns the number of running requests; the limit is 4.
        """
        world = self._world(transfers, entries=2, limit=4)
        for _ in range(4):
            world.start("e0")
            world.step("e0")
        self.assertEqual(world.held(), {"e0": 4})
        world.pass_time(RUN_SECONDS)
        for _ in range(60):
            world.pass_time(1.0)
            world.step("e0")
        self.assertEqual(world.give("e0", "e1", 4), {"red": 4})
        world.step("e0", mode)
        world.entry_by_id["e0"].publisher.deliver()
        world.entry_by_id["e1"].follower.fold()
        for _ in range(4):
            world.start("e1")
            world.start("e0")
        return world.running()

    def test_given_units_stay_locked(self):
        """Guards against units used by giver and receiver at the same time."""
        for mode in ("ok", "lost", "late"):
            self.assertEqual(self._give_scenario(Transfers, mode), 4)
        for broken in (_Unlocked, _EarlyUnlock):
            with self.assertRaisesRegex(AssertionError, "run on"):
                self._give_scenario(broken, "late")

    def test_give_of_unknown_outcome_takes_effect_once(self):
        """Guards against units lost or duplicated by a repeated append."""
        world = self._world(entries=2, limit=4)
        for _ in range(4):
            world.start("e0")
            world.step("e0")
        world.finish("e0")
        world.finish("e0")
        for _ in range(20):
            world.pass_time(1.0)
            world.step("e0")
        world.give("e0", "e1", 1)
        world.step("e0", "late")
        world.step("e0", "lost")
        world.entry_by_id["e0"].publisher.deliver()
        world.entry_by_id["e0"].follower.fold()
        world.step("e0")
        self.assertEqual(world.held(), {"e0": 3, "e1": 1})
        self.assertEqual(
            world.entry_by_id["e0"].limits._transfers._locked_by_team["red"], 0
        )

    def test_give_to_an_ended_entry_is_unlocked(self):
        """Guards against units that stay locked after a refused give."""
        world = self._world(entries=2, limit=2)
        world.start("e0")
        world.step("e0")
        for _ in range(40):
            world.pass_time(1.0)
            world.step("e0")
        units = world.held()["e0"]
        world.give("e0", "e1", 1)
        world.end_entry("e1")
        world.step("e0")
        started = sum(world.start("e0") for _ in range(units + 2))
        self.assertEqual(started, units)

    def test_log_down_freezes_units(self):
        """Guards against requests that start without units in a log outage."""
        world = self._world(entries=1)
        self.assertFalse(world.start("e0"))
        world.step("e0", "down")
        self.assertFalse(world.start("e0"))
        world.step("e0")
        self.assertTrue(world.start("e0"))

    def test_cut_limit_is_reached_by_returns(self):
        """Guards against idle units that are kept above a lowered limit."""
        world = self._world(entries=2, limit=8)
        for entry_id in ("e0", "e1"):
            for _ in range(4):
                world.start(entry_id)
                world.step(entry_id)
        world.set_limit(2)
        for _ in range(12):
            for entry_id in ("e0", "e1"):
                world.entry_by_id[entry_id].follower.fold()
                world.finish(entry_id)
                world.step(entry_id)
                world.start(entry_id)
        self.assertLessEqual(sum(world.held().values()), 2)
        self.assertLessEqual(world.running(), 2)

    def test_idle_units_return_for_waiting_jobs(self):
        """Guards against jobs that wait while entries keep idle units."""
        world = self._world(entries=2, limit=4)
        for entry_id in ("e0", "e1"):
            for _ in range(4):
                world.start(entry_id)
                world.step(entry_id)
        self.assertEqual(sum(world.held().values()), 4)
        world.log.append(
            ch.PutDataCentre(
                change_id=new_change_id(),
                expected_revision=0,
                data_centre_id="dc1",
                region="north",
            ),
            put_worker("w0"),
            submit("j0"),
        )
        for _ in range(12):
            for entry_id in ("e0", "e1"):
                world.entry_by_id[entry_id].follower.fold()
                world.finish(entry_id)
                world.clock.time += 1
                world.step(entry_id)
        state = world.log.head
        self.assertGreaterEqual(state.unallocated("red"), 1)

    def test_busy_holder_yields_to_a_waiting_peer(self):
        """Guards against an entry that never gets a unit of a used-up limit."""
        world = self._world(entries=2, limit=4)
        for _ in range(5):
            world.start("e0")
            world.step("e0")
        self.assertEqual(world.running(), 4)
        for _ in range(3):
            world.give("e0", "e1", 4)
            world.finish("e0")
            world.step("e0")
            while world.start("e0"):
                pass
        self.assertGreaterEqual(world.held().get("e1", 0), 1)
        self.assertGreaterEqual(world.held()["e0"], 1)

    def test_only_members_take_units_for_others(self):
        """Guards against publishing changes that the fold must refuse."""
        world = self._world(entries=2, limit=4)
        entry = world.entry_by_id["e0"]
        before = len(world.log.records)
        world.log.append(gone("e0"))
        entry.follower.fold()
        world.give("e0", "e1", 1)
        world.step("e0")
        self.assertEqual(len(world.log.records), before + 1)

    def test_one_entry_does_not_take_the_whole_limit(self):
        """Guards against an entry that takes far more units than it uses."""
        world = self._world(entries=2, limit=100)
        for _ in range(3):
            world.start("e0")
            world.step("e0")
        self.assertLess(world.held()["e0"], 10)


def limits_without_peers(follower, clock):
    """Returns the `Limits` of an entry without peers."""
    publisher = FakePublisher(follower)
    return Limits(identity("e0"), follower, publisher, FakePeers(), clock)


class WaitTest(unittest.IsolatedAsyncioTestCase):
    async def test_units_are_taken_beside_work_that_waits_for_a_slot(self):
        """Guards against counting units of admitted requests as available.

        Otherwise requests are refused while their team has unallocated units.
        """
        clock = FakeClock()
        log = FakeLog(clock)
        log.append(put_team(limit=9), join("e0"))
        log.append(
            ch.AllowanceTake(
                publisher_id="e0", sequence=1, units_by_team={"red": 2}
            )
        )
        follower = FakeFollower(log)
        follower.fold()
        limits = limits_without_peers(follower, clock)
        limits._transfers._last_sequence = 1
        # Both units are admitted to requests that still wait for slots.
        for _ in range(2):
            self.assertTrue(await limits.wait("red", clock.now() + 60))
        waiting = [
            asyncio.create_task(limits.wait("red", clock.now() + 60))
            for _ in range(3)
        ]
        await asyncio.sleep(0)
        await limits.step()
        follower.fold()
        units = follower.state.tables.allowances_by_team["red"].units_by_entry
        self.assertEqual(units, {"e0": 5})
        limits.stop()
        await asyncio.gather(*waiting)

    async def test_waiting_work_starts_in_order_and_asks_the_largest(self):
        """Guards against later requests that overtake waiting ones."""
        clock = FakeClock()
        log = FakeLog(clock)
        log.append(put_team(limit=1), join("e0"))
        log.append(
            ch.AllowanceTake(
                publisher_id="e0", sequence=1, units_by_team={"red": 1}
            )
        )
        follower = FakeFollower(log)
        follower.fold()
        limits = limits_without_peers(follower, clock)
        self.assertTrue(await limits.wait("red", clock.now() + 60))
        self.assertTrue(limits.try_acquire("red"))
        order = []

        async def work(name):
            if await limits.wait("red", clock.now() + 60):
                order.append(name)
                self.assertTrue(limits.try_acquire("red"))
                limits.release("red")

        tasks = []
        for name in ("a", "b", "c"):
            tasks.append(asyncio.create_task(work(name)))
            await asyncio.sleep(0)
        self.assertEqual(len(limits._use("red").waiters), 3)
        limits.release("red")
        await asyncio.gather(*tasks)
        self.assertEqual(order, ["a", "b", "c"])

    async def test_waiting_entry_asks_the_holder_with_spare_units(self):
        """Guards against requests that wait while a peer has idle units."""
        clock = FakeClock()
        log = FakeLog(clock)
        log.append(put_team(limit=2), join("e0"))
        take = {"red": 2}
        log.append(
            ch.AllowanceTake(publisher_id="e0", sequence=1, units_by_team=take)
        )
        joining = ch.EntryJoin(
            change_id=new_change_id(),
            entry_id="e1",
            data_centre_id="dc2",
            address="127.0.0.1:2",
        )
        log.append(joining)
        follower = FakeFollower(log)
        follower.fold()
        peers = FakePeers()
        peers.exchange_by_id["e0"] = Exchange(
            entry_id="e0",
            data_centre_id="dc1",
            address="127.0.0.1:1",
            member=True,
            ready=True,
            stopping=False,
            offset=0,
            current_at=0.0,
            spare_by_team={"red": 2},
        )
        limits = Limits(
            identity("e1"), follower, FakePublisher(follower), peers, clock
        )
        waiting = asyncio.create_task(limits.wait("red", clock.now() + 60))
        await asyncio.sleep(0)
        await limits.step()
        self.assertEqual([call[0] for call in peers.calls], ["e0"])
        limits.stop()
        self.assertFalse(await waiting)

    async def test_members_of_a_large_fleet_pause_longer(self):
        """Guards against more control traffic than the budget of a node."""
        max_batches_per_second = 23
        for members in (1, 4, 23, 24, 69, 200):
            pause = batch_interval_seconds(members)
            self.assertLessEqual(members / pause, max_batches_per_second)
            self.assertGreaterEqual(pause, 1.0)
        self.assertEqual(batch_interval_seconds(max_batches_per_second), 1.0)
        pauses = await self._pauses_after_batch(members=46, ended=0)
        self.assertEqual(pauses, [2.0])
        pauses = await self._pauses_after_batch(members=46, ended=23)
        self.assertEqual(pauses, [1.0])

    async def _pauses_after_batch(self, members, ended):
        """Returns the seconds that a member sleeps after its first batch."""
        clock = FakeClock()
        log = FakeLog(clock)
        log.append(put_team(limit=3))
        for number in range(members):
            joining = ch.EntryJoin(
                change_id=new_change_id(),
                entry_id=f"e{number}",
                data_centre_id=f"dc{number}",
                address=f"127.0.0.1:{number}",
            )
            log.append(joining)
        for number in range(1, ended + 1):
            log.append(gone(f"e{number}"))
        follower = FakeFollower(log)
        follower.fold()
        publisher = FakePublisher(follower)
        limits = Limits(identity("e0"), follower, publisher, FakePeers(), clock)
        limits.try_acquire("red")
        pauses = []

        async def sleep(seconds):
            pauses.append(seconds)
            raise asyncio.CancelledError

        with (
            mock.patch("sardinedrift.limits.asyncio.sleep", sleep),
            contextlib.suppress(asyncio.CancelledError),
        ):
            await limits.run()
        self.assertEqual(follower.state.tables.sequence_by_publisher, {"e0": 1})
        return pauses

    async def test_run_takes_units_for_waiting_work(self):
        """Guards against waiters for which `run` takes no units."""
        clock = FakeClock()
        log = FakeLog(clock)
        log.append(put_team(limit=3), join("e0"))
        follower = FakeFollower(log)
        follower.fold()
        limits = limits_without_peers(follower, clock)
        running = asyncio.create_task(limits.run())
        absent = asyncio.create_task(limits.wait("absent", clock.now() + 60))
        self.assertTrue(await limits.wait("red", clock.now() + 60))
        self.assertTrue(limits.try_acquire("red"))
        self.assertFalse(running.done())
        limits.stop()
        self.assertFalse(await absent)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
