"""Batch work while workers fail and machines are in upkeep."""

import asyncio

import msgspec

from sardinedrift.engine.model import JobState, WaveNumber
from sardinedrift.engine.ports import WaveOrder
from sardinedrift.engine.term import RENEWAL_TIMEOUT_S
from tests.engine_case import (
    CLOCK_DRIFT,
    LEASE_S,
    RESTART_S,
    TAKEOVER_S,
    EngineTest,
)
from tests.engine_world import World, lasting, short, submission


class ReplacedWorkerTest(EngineTest):
    async def _lose_holder(self, world: World):
        await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
        lost = max(world.worker_by_id.values(), key=lambda w: len(w.histories))
        lost.crash()
        world.faults.mute.add(lost.name)
        return lost

    def test_a_later_life_of_the_machine_ends_the_earlier_one(self):
        """Guards against a wait for leases of a life that has ended.

        Found on joyjugal-shared trouble-1.
        """

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", lasting(3)))
            lost = await self._lose_holder(world)
            world.add_worker("later")
            later = world.registered_by_id["later"]
            machine_id = world.registered_by_id[lost.name].machine_id
            world.register(
                msgspec.structs.replace(later, machine_id=machine_id)
            )
            world.unregister(lost.name)
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.5)

        self.play(scenario, work_s=lambda task: None)

    def test_a_wait_for_leases_goes_on_in_the_next_term(self):
        """Guards against a wait that begins anew with each controller.

        Found on joyjugal-shared trouble-1: two tasks were away for 18 s.
        """

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", lasting(3)))
            lost = await self._lose_holder(world)
            lost_at = world.clock.boot()
            world.unregister(lost.name)
            await asyncio.sleep(3.0)
            await self.controller(world, nodes).stop()
            left = lost_at + LEASE_S * CLOCK_DRIFT + TAKEOVER_S
            await self.wait_for(
                lambda: len(self.running(world)) == 3,
                left - world.clock.boot(),
            )

        self.play(scenario, work_s=lambda task: None)


class WorkerLossTest(EngineTest):
    def test_tasks_of_a_silent_worker_run_again(self):
        """Guards against vain renewals that put off the end of a lease.

        Found on joyjugal-shared mix --seed 909666126656.
        """

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", lasting(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            lost = max(
                world.worker_by_id.values(), key=lambda w: len(w.histories)
            )
            lost.crash()
            world.faults.mute.add(lost.name)
            await self.wait_for(
                lambda: len(self.running(world)) == 3, RESTART_S
            )

        self.play(scenario, work_s=lambda task: None)

    def test_an_unreachable_worker_blocks_its_tasks_until_its_lease_ends(self):
        """Guards against a second run beside one that cannot be seen."""

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", lasting(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            name = max(
                world.worker_by_id,
                key=lambda each: len(world.worker_by_id[each].histories),
            )
            for node in nodes:
                world.faults.cut.add((node.name, name))
            await asyncio.sleep(LEASE_S + RENEWAL_TIMEOUT_S + 3.0)
            self.assertEqual(len(self.running(world)), 3)

        self.play(scenario, work_s=lambda task: None)

    def test_a_new_life_under_the_same_id_holds_nothing(self):
        """Guards against waiting for runs of a worker that started again."""

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", lasting(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            for name in list(world.worker_by_id):
                world.worker_by_id[name].crash()
                world.add_worker(name)
            await self.wait_for(lambda: len(self.running(world)) == 3, 4.0)

        self.play(scenario, work_s=lambda task: None)

    def test_a_start_carried_out_late_causes_no_second_run(self):
        """Guards against an order that takes effect after newer ones."""

        async def scenario(world, nodes):
            world.faults.late_start = [2.0, 4.0, 3.0, 6.0]
            for number in range(6):
                job = submission(f"j{number}", short(2))
                await self.accept(world, nodes[number % 3], job)
            await asyncio.sleep(14.0)
            for number in range(6):
                self.assertIs(
                    self.state(nodes[0], f"j{number}"), JobState.COMPLETED
                )

        self.play(scenario)

    def test_leases_are_never_remembered_as_shorter_than_sent(self):
        """Guards against a run taken as over while its worker still holds it.

        Found on ctac-sched-grown quiet-1: a renewal that was not sent put the
        remembered lease back, and with it that of a start sent meanwhile.
        """

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", lasting(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            for number in range(40):
                job = submission(f"j{number}", short(2))
                await self.accept(world, nodes[0], job)
                names = set(world.worker_by_id)
                world.faults.renewal_cut = names if number % 5 == 0 else set()
                await asyncio.sleep(0.25)
                self.assertEqual(self._short_leases(world), [])

        self.play(scenario, work_s=lambda task: None if task[0] == "a" else 0.5)

    def _short_leases(self, world: World) -> list[str]:
        """Returns workers with a longer lease than their controller knows."""
        known = {
            worker.worker_id: worker.lease_ms
            for control in world.controller_states
            if control.term.may_order
            for worker in control.fleet.worker_by_id.values()
            if worker.contacted and worker.clock is not None
        }
        return [
            name
            for name, worker in world.worker_by_id.items()
            if worker.alive
            and worker._lease_deadline_ms > known.get(name, 1 << 60)
        ]

    def test_a_task_waits_while_its_start_may_still_be_carried_out(self):
        """Guards against a second start beside one without an answer."""

        async def scenario(world, nodes):
            world.faults.late_start = [2.5, 2.5]
            await self.accept(world, nodes[0], submission("a", short(1)))
            await asyncio.sleep(0.8)
            first = world.faults.late_start
            self.assertLess(len(first), 2)
            for name in world.worker_by_id:
                for node in nodes:
                    world.faults.cut.add((node.name, name))
            world.add_worker("w9")
            await asyncio.sleep(9.0)
            world.faults.cut.clear()
            await asyncio.sleep(3.0)
            self.assertIs(self.state(nodes[1], "a"), JobState.COMPLETED)

        self.play(scenario)


class WaveTest(EngineTest):
    def _order_wave(self, world: World, most: int, machine_ids=()) -> None:
        machine_ids = tuple(machine_ids or world.machine_by_id)
        world.published.wave_by_number[WaveNumber(1)] = WaveOrder(
            WaveNumber(1), machine_ids, 30.0, most
        )

    def test_a_wave_keeps_lasting_tasks_available(self):
        """Guards against two tasks of a step that are away by our orders."""

        async def scenario(world, nodes):
            job = submission("a", lasting(4, may_miss=1, max_per_worker=2))
            await self.accept(world, nodes[0], job)
            await self.wait_for(lambda: len(self.running(world)) == 4, 5.0)
            self._order_wave(world, 2)
            least = 4
            for _ in range(2000):
                least = min(least, len(self.running(world)))
                if (1, True) in world.reports:
                    break
                await asyncio.sleep(0.01)
            self.assertIn((1, True), world.reports)
            self.assertEqual(len({m for m, _ in world.upkeeps}), 4)
            self.assertGreaterEqual(least, 3)

        self.play(scenario, workers=4, work_s=lambda task: None)

    def test_tasks_on_a_silent_worker_count_as_away(self):
        """Guards against stops that rely on an old report.

        Found on joyjugal-shared scale-1 --seed 614969568743.
        """

        async def scenario(world, nodes):
            job = submission("a", lasting(4, may_miss=1, max_per_worker=2))
            await self.accept(world, nodes[0], job)
            await self.wait_for(lambda: len(self.running(world)) == 4, 5.0)
            await asyncio.sleep(2.0)
            lost = max(
                world.worker_by_id.values(), key=lambda w: len(w.histories)
            )
            lost.crash()
            await asyncio.sleep(3.0)
            holders = [
                f"m-{name}"
                for name, worker in world.worker_by_id.items()
                if any(each.ended_at is None for each in worker.histories)
            ]
            self._order_wave(world, 2, holders)
            await asyncio.sleep(0.5)
            stopped = [e for e in world.histories() if e.how == "stopped"]
            self.assertEqual(stopped, [])

        self.play(scenario, workers=4, work_s=lambda task: None)

    def test_a_successor_leaves_alone_only_machines_ordered_lately(self):
        """Guards against a pool that stays small while entries restart.

        Found on joyjugal-shared trouble-2.
        """

        async def scenario(world, nodes):
            await asyncio.sleep(3.0)
            await self.accept(world, nodes[0], submission("a", short(16)))
            await asyncio.sleep(0.5)
            first = list(world.moves)
            await self.controller(world, nodes).stop()
            await asyncio.sleep(0.8)
            moved_at = world.clock.boot()
            job = submission("b", short(60))
            successor = self.controller(world, nodes)
            await self.accept(world, successor, job)
            await self.wait_for(lambda: len(world.moves) > len(first), 1.0)
            self.assertLess(world.clock.boot(), moved_at + 1.0)
            lately = {machine for machine, _ in first[-1:]}
            later = {machine for machine, _ in world.moves[len(first) :]}
            self.assertFalse(lately & later)

        self.play(scenario, workers=6)

    def test_a_wave_is_completed_by_a_successor(self):
        """Guards against a wave that ends with its controller."""

        async def scenario(world, nodes):
            self._order_wave(world, 1)
            await asyncio.sleep(3.0)
            await self.controller(world, nodes).kill()
            await self.wait_for(lambda: (1, True) in world.reports, 20.0)
            begun = [machine for machine, _ in world.upkeeps]
            self.assertEqual(len(begun), len(set(begun)))

        self.play(scenario, workers=4)
