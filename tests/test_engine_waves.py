"""Tests of the job engine with machines in upkeep."""

import asyncio
from unittest import mock

import msgspec

from sardinedrift.engine import poolreview
from sardinedrift.engine.model import WaveNumber
from sardinedrift.engine.ports import WaveOrder
from tests.engine_case import (
    EngineTest,
)
from tests.engine_world import World, long_running, short, submission

# Time in which an order to a machine is under way.
ORDER_PAUSE_S = 4.0


class WaveTest(EngineTest):
    def _order_wave(self, world: World, max_down: int, machine_ids=()) -> None:
        machine_ids = tuple(machine_ids or world.machine_by_id)
        world.published.wave_by_number[WaveNumber(1)] = WaveOrder(
            WaveNumber(1), machine_ids, 30.0, max_down
        )

    def test_a_wave_keeps_long_running_tasks_available(self):
        """Guards against upkeep that stops two tasks of a step at once."""

        async def scenario(world, nodes):
            job = submission("a", long_running(4, may_miss=1, max_per_worker=2))
            await self.accept(world, nodes[0], job)
            await self.wait_for(lambda: len(self.running(world)) == 4, 5.0)
            self._order_wave(world, 2)
            min_running = 4
            for _ in range(2000):
                min_running = min(min_running, len(self.running(world)))
                if (1, True) in world.reports:
                    break
                await asyncio.sleep(0.01)
            self.assertIn((1, True), world.reports)
            self.assertEqual(len({m for m, _ in world.upkeeps}), 4)
            self.assertGreaterEqual(min_running, 3)

        self.run_scenario(
            scenario, workers=4, task_duration_s=lambda task: None
        )

    def test_an_upkeep_ends_no_worker_that_came_up_meanwhile(self):
        """Guards against an order for a machine whose new worker has tasks.

        The machine's worker was drained, was lost before the order was sent,
        and another one came up on the machine. The order ended its tasks.
        """

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", long_running(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            used = max(
                world.worker_by_id.values(), key=lambda w: len(w.histories)
            )
            machine_id = world.registered_by_id[used.name].machine_id
            for node in nodes:
                world.faults.machine_order_pause_s[node.name] = ORDER_PAUSE_S
            self._order_wave(world, 1, [machine_id])
            await self.wait_for(lambda: not self._running_on(used), 4.0)
            used.crash()
            later = world.add_worker("later")
            registered = world.registered_by_id["later"]
            world.register(
                msgspec.structs.replace(registered, machine_id=machine_id)
            )
            world.unregister(used.name)
            await self.accept(
                world, nodes[0], submission("b", long_running(40))
            )
            await self.wait_for(
                lambda: any(
                    order.machine_id == machine_id
                    for order in world.machine_orders
                ),
                2 * ORDER_PAUSE_S,
            )
            self.assertEqual(self._running_on(later), [])
            # No task is placed on a machine that waits for its order.
            self.assertEqual(later.histories, [])

        with mock.patch.object(poolreview, "MAX_OPERATIONS", 0):
            self.run_scenario(scenario, task_duration_s=lambda task: None)

    def _running_on(self, worker) -> list:
        return [each for each in worker.histories if each.ended_at is None]

    def test_tasks_on_a_silent_worker_count_as_missing(self):
        """Guards against stops that rely on an old report.

        The last report of a crashed worker still lists its tasks. If they
        count as running, a wave stops others and the step misses too many.
        """

        async def scenario(world, nodes):
            job = submission("a", long_running(4, may_miss=1, max_per_worker=2))
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

        self.run_scenario(
            scenario, workers=4, task_duration_s=lambda task: None
        )

    def test_a_successor_spares_only_machines_ordered_recently(self):
        """Guards against a pool that stays small while entries restart.

        After a change of controllers, machines get no orders for a while. If
        that applies to all machines and not only to those that the predecessor
        ordered recently, each restart of an entry blocks all moves.
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
            ordered_recently = {machine for machine, _ in first[-1:]}
            ordered_later = {
                machine for machine, _ in world.moves[len(first) :]
            }
            self.assertFalse(ordered_recently & ordered_later)

        self.run_scenario(scenario, workers=6)

    def test_a_wave_is_completed_by_a_successor(self):
        """Guards against a wave that is abandoned with its controller."""

        async def scenario(world, nodes):
            self._order_wave(world, 1)
            await asyncio.sleep(3.0)
            await self.controller(world, nodes).kill()
            await self.wait_for(lambda: (1, True) in world.reports, 20.0)
            machine_ids = [machine_id for machine_id, _ in world.upkeeps]
            self.assertEqual(len(machine_ids), len(set(machine_ids)))

        self.run_scenario(scenario, workers=4)
