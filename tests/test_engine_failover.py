"""Promises of batch work under failure, in virtual time.

Every test checks from what the workers saw that no task ran twice at once and
none began again after it was done.
"""

import asyncio
import unittest
from collections.abc import Callable
from unittest import mock

import msgspec

from sardinedrift.engine import controller
from sardinedrift.engine.catalogue import Strength
from sardinedrift.engine.control import Control
from sardinedrift.engine.exceptions import CallError
from sardinedrift.engine.model import JobState, WaveNumber
from sardinedrift.engine.orders import LEASE_MS
from sardinedrift.engine.ports import WaveOrder
from sardinedrift.engine.term import MEMBER_TIMEOUT_MS, RENEWAL_S
from sardinedrift.identifiers import JobId
from tests import virtual_time
from tests.engine_world import (
    STATUS_S,
    Node,
    World,
    lasting,
    short,
    submission,
)

LEASE_S = LEASE_MS / 1000
# A lasting task must run again this long after its last run.
RESTART_S = 9.0
# A closed term is followed by the next within this time.
TAKEOVER_S = 1.5
CLOCK_DRIFT = 1.04


class EngineTest(unittest.TestCase):
    def play(self, scenario, workers: int = 3, work_s=None) -> None:
        """Plays a scenario with three entries."""

        async def body() -> None:
            world = World(workers, work_s or (lambda task: 0.5))
            nodes = [Node(world, f"n{number}") for number in range(3)]

            def make_control(*parts):
                world.controls.append(Control(*parts))
                return world.controls[-1]

            with mock.patch.object(controller, "Control", make_control):
                for node in nodes:
                    node.start()
                await asyncio.sleep(2.0)
                await scenario(world, nodes)
            self.assertEqual(world.overlaps(), [])
            self.assertEqual(world.starts_after_done(), [])

        virtual_time.run(body())

    def controller(self, world: World, nodes: list[Node]) -> Node:
        owner = world.log._group_by_name["group"].owner
        return next(node for node in nodes if node.name == owner)

    async def accept(self, world: World, node: Node, job) -> None:
        await node.entry.accept(job, world.clock.boot() + 3.0)

    async def wait_for(
        self, condition: Callable[[], bool], within_s: float
    ) -> None:
        try:
            async with asyncio.timeout(within_s):
                while not condition():  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
        except TimeoutError:
            self.fail(f"not within {within_s} s")

    def state(self, node: Node, job: str) -> JobState:
        return node.catalogue.known_by_id[JobId(job)].state

    def running(self, world: World) -> list:
        return [each for each in world.histories() if each.ended_at is None]


class QuietTest(EngineTest):
    def test_steps_run_in_order_and_every_entry_shows_the_end(self):
        """Guards against a step that begins before those it depends on."""

        async def scenario(world, nodes):
            job = submission("a", short(3), short(2, after=(0,)))
            await self.accept(world, nodes[0], job)
            for node in nodes:
                await self.wait_for(
                    lambda node=node: (
                        JobId("a") in node.catalogue.known_by_id
                        and self.state(node, "a") is JobState.COMPLETED
                    ),
                    3.0,
                )
            first = [e for e in world.histories() if e.task[4] == "0"]
            second = [e for e in world.histories() if e.task[4] == "1"]
            self.assertEqual((len(first), len(second)), (3, 2))
            self.assertGreaterEqual(
                min(each.started_at for each in second),
                max(each.ended_at for each in first),
            )

        self.play(scenario)

    def test_a_repeat_of_an_id_stays_one_job(self):
        """Guards against a second run of a job that is sent twice."""

        async def scenario(world, nodes):
            job = submission("a", short(2))
            await asyncio.gather(
                *(self.accept(world, node, job) for node in nodes)
            )
            await asyncio.sleep(4.0)
            await self.accept(world, nodes[2], job)
            await asyncio.sleep(2.0)
            self.assertEqual(len(world.histories()), 2)

        self.play(scenario)

    def test_a_cancelled_job_is_stopped_and_stays_cancelled(self):
        """Guards against tasks that run on after a cancel."""

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", lasting(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            await nodes[1].entry.cancel(JobId("a"), world.clock.boot() + 3.0)
            await self.wait_for(lambda: not self.running(world), 2.0)
            await asyncio.sleep(2.0)
            self.assertIs(self.state(nodes[2], "a"), JobState.CANCELLED)

        self.play(scenario, work_s=lambda task: None)

    def test_a_job_fails_after_its_attempts(self):
        """Guards against a task that is tried without end."""

        async def scenario(world, nodes):
            for worker in world.worker_by_id.values():
                worker._fails = lambda task: True
            await self.accept(world, nodes[0], submission("a", short(1)))
            await self.wait_for(
                lambda: (
                    JobId("a") in nodes[1].catalogue.known_by_id
                    and self.state(nodes[1], "a") is JobState.FAILED
                ),
                8.0,
            )
            self.assertEqual(len(world.histories()), 2)

        self.play(scenario)


class ControllerLossTest(EngineTest):
    def test_a_killed_controller_is_replaced_without_a_second_run(self):
        """Guards against work that is lost or doubled at a takeover."""

        async def scenario(world, nodes):
            for number in range(20):
                job = submission(f"j{number}", short(4))
                await self.accept(world, nodes[number % 3], job)
            controller = self.controller(world, nodes)
            await controller.kill()
            others = [node for node in nodes if node is not controller]
            await self.wait_for(
                lambda: all(
                    self.state(others[0], f"j{number}") is JobState.COMPLETED
                    for number in range(20)
                ),
                MEMBER_TIMEOUT_MS / 1000 + 6.0,
            )

        self.play(scenario)

    def test_a_controller_cut_from_the_store_gives_no_more_starts(self):
        """Guards against two controllers that both place tasks."""

        async def scenario(world, nodes):
            controller = self.controller(world, nodes)
            others = [node for node in nodes if node is not controller]
            await self.accept(world, others[0], submission("a", lasting(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            world.faults.store_cut.add(controller.name)
            for number in range(5):
                job = submission(f"j{number}", short(4))
                await self.accept(world, others[number % 2], job)
                await asyncio.sleep(0.5)
            await self.wait_for(
                lambda: self.state(others[0], "j4") is JobState.COMPLETED, 6.0
            )
            world.faults.store_cut.clear()
            await asyncio.sleep(5.0)
            self.assertEqual(len(self.running(world)), 3)

        self.play(scenario, work_s=lambda task: None if task[0] == "a" else 0.5)

    def test_a_cut_controller_stops_renewing_before_its_successor_acts(self):
        """Guards against a lease renewed for ever by a former controller."""

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", lasting(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            controller = self.controller(world, nodes)
            world.faults.store_cut.add(controller.name)
            for node in nodes:
                if node is not controller:
                    for name in world.worker_by_id:
                        world.faults.cut.add((node.name, name))
            world.add_worker("w9")
            await asyncio.sleep(16.0)
            self.assertEqual(len(self.running(world)), 3)

        self.play(scenario, work_s=lambda task: None)

    def test_lasting_tasks_survive_a_takeover(self):
        """Guards against leases that lapse while nobody controls."""

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", lasting(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            await self.controller(world, nodes).kill()
            await asyncio.sleep(12.0)
            self.assertEqual(len(world.histories()), 3)

        self.play(scenario, work_s=lambda task: None)

    def test_a_restart_in_turn_does_not_delay_a_lost_task(self):
        """Guards against waiting for renewals of a controller that ended.

        Found on joyjugal-shared trouble-2: a successor waited 13.7 s.
        """

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", lasting(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            lost = world.worker_by_id[self._busiest(world)]
            lost.crash()
            world.unregister(lost.name)
            await asyncio.sleep(1.0)
            await self.controller(world, nodes).stop()
            await self.wait_for(
                lambda: len(self.running(world)) == 3,
                LEASE_S * CLOCK_DRIFT + TAKEOVER_S,
            )

        self.play(scenario, work_s=lambda task: None)

    def _busiest(self, world: World) -> str:
        return max(
            world.worker_by_id,
            key=lambda name: len(world.worker_by_id[name].histories),
        )


class WeakEntryTest(EngineTest):
    """Entries whose machines carry less than a controller needs."""

    async def _weaken(self, world: World, *names: str) -> None:
        for name in names:
            world.strength_by_node[name] = Strength(0.2, 5.0)
        await asyncio.sleep(3.0)

    def test_a_strong_entry_controls(self):
        """Guards against a controller on a machine that cannot carry it.

        Found on ctac-sched-grown quiet-1: leases lapsed beside an overloaded
        controller with half a core.
        """

        async def scenario(world, nodes):
            await self._weaken(world, "n0", "n1")
            self.assertEqual(self.controller(world, nodes).name, "n2")

        self.play(scenario)

    def test_a_weak_entry_controls_when_no_strong_one_is_left(self):
        """Guards against a fleet that nobody controls."""

        async def scenario(world, nodes):
            await self._weaken(world, "n0", "n1")
            await nodes[2].kill()
            await self.accept(world, nodes[0], submission("a", short(1)))
            await asyncio.sleep(8.0)
            self.assertIs(self.state(nodes[0], "a"), JobState.COMPLETED)
            self.assertIn(self.controller(world, nodes).name, ("n0", "n1"))

        self.play(scenario)


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
            await asyncio.sleep(LEASE_S + RENEWAL_S + 3.0)
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
            for control in world.controls
            if control.term.may_order
            for worker in control.fleet.worker_by_id.values()
            if worker.contacted and worker.clock is not None
        }
        return [
            name
            for name, worker in world.worker_by_id.items()
            if worker.alive and worker._lease_ms > known.get(name, 1 << 60)
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


class StoreTest(EngineTest):
    def test_a_refusal_says_not_accepted_only_when_nothing_was_stored(self):
        """Guards against a 503 for a job that runs later."""

        async def scenario(world, nodes):
            world.faults.lost_appends = 100
            with self.assertRaises(CallError) as caught:
                await self.accept(world, nodes[0], submission("a", short(1)))
            self.assertEqual(caught.exception.status, 504)
            world.faults.lost_appends = 0
            world.faults.store_down = True
            with self.assertRaises(CallError) as caught:
                await self.accept(world, nodes[0], submission("b", short(1)))
            self.assertEqual(caught.exception.status, 503)
            world.faults.store_down = False
            await asyncio.sleep(6.0)
            self.assertIs(self.state(nodes[1], "a"), JobState.COMPLETED)
            self.assertNotIn(JobId("b"), nodes[1].catalogue.known_by_id)

        self.play(scenario)

    def test_an_unknown_job_is_gone_only_by_a_fresh_view(self):
        """Guards against a 410 for an accepted job in an outage."""

        async def scenario(world, nodes):
            with self.assertRaises(CallError) as caught:
                await nodes[0].entry.state(JobId("a"))
            self.assertEqual(caught.exception.status, 410)
            world.faults.store_down = True
            await asyncio.sleep(0.1)
            with self.assertRaises(CallError) as caught:
                await nodes[0].entry.state(JobId("a"))
            self.assertEqual(caught.exception.status, 503)

        self.play(scenario)

    def test_work_goes_on_after_an_outage(self):
        """Guards against progress that is lost with an unanswered append."""

        async def scenario(world, nodes):
            for number in range(6):
                job = submission(f"j{number}", short(3), short(1, after=(0,)))
                await self.accept(world, nodes[number % 3], job)
            world.faults.lost_appends = 2
            await asyncio.sleep(0.3)
            world.faults.store_down = True
            await asyncio.sleep(4.0)
            world.faults.store_down = False
            await asyncio.sleep(8.0)
            for number in range(6):
                self.assertIs(
                    self.state(nodes[0], f"j{number}"), JobState.COMPLETED
                )

        self.play(scenario)

    def test_dropped_history_is_read_as_newest_records(self):
        """Guards against a feed that stops when its records have expired."""

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", short(1)))
            world.faults.store_cut.add(nodes[2].name)
            await asyncio.sleep(2.5)
            await self.accept(world, nodes[0], submission("b", short(1)))
            await asyncio.sleep(2.0)
            partition = world.log.partition("keyed.jobs")
            partition.drop_before(partition.end)
            world.faults.store_cut.clear()
            await asyncio.sleep(3.0)
            self.assertIs(self.state(nodes[2], "b"), JobState.COMPLETED)

        self.play(scenario)

    def test_an_unreadable_record_does_not_hold_up_the_others(self):
        """Guards against entries that end over and over at one record.

        Found on ctac-sched hunt-0aef-3, where two versions met.
        """

        async def scenario(world, nodes):
            world.log.append("keyed.jobs", [b"\x03j/xnonsense"])
            world.log.append("keyed.jobs", [b"\x03w/x1"])
            await self.accept(world, nodes[0], submission("a", short(1)))
            await asyncio.sleep(3.0)
            self.assertIs(self.state(nodes[1], "a"), JobState.COMPLETED)

        self.play(scenario)

    def test_ended_jobs_are_forgotten_after_their_time(self):
        """Guards against a store and entries that grow for ever."""

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", short(1)))
            await self.accept(world, nodes[0], submission("b", lasting(1)))
            await asyncio.sleep(STATUS_S)
            self.assertIs(self.state(nodes[1], "a"), JobState.COMPLETED)
            await asyncio.sleep(STATUS_S * 1.5)
            for node in nodes:
                self.assertEqual(list(node.catalogue.known_by_id), ["b"])
            keys = world.log.partition("keyed.jobs").newest_by_key
            self.assertFalse([key for key in keys if key.endswith("/a")])

        self.play(scenario, work_s=lambda task: None if task[0] == "b" else 0.5)


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
