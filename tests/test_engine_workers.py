"""Tests of the job engine with failing workers."""

import asyncio

import msgspec

from sardinedrift.engine.leases import LEASE_MS
from sardinedrift.engine.model import JobState
from sardinedrift.engine.term import RENEWAL_TIMEOUT_S
from standins.platform.worker import MAX_LEASE_MS
from tests.engine_case import (
    CLOCK_DRIFT,
    LEASE_S,
    MAX_TAKEOVER_S,
    MAX_TASK_RESTART_S,
    EngineTest,
)
from tests.engine_world import World, long_running, short, submission

# Longer than the time limit of most calls to workers.
SLOW_REPORT_S = 0.9


class ReplacedWorkerTest(EngineTest):
    async def _crash_busiest_worker(self, world: World):
        await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
        lost = max(world.worker_by_id.values(), key=lambda w: len(w.histories))
        lost.crash()
        world.faults.mute.add(lost.name)
        return lost

    def test_a_replacement_on_the_machine_ends_the_earlier_worker(self):
        """Guards against waiting for the leases of a replaced worker.

        A new worker registers on the machine of a crashed one, whose
        registration then disappears: nothing of the old worker can still run.
        """

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", long_running(3)))
            lost = await self._crash_busiest_worker(world)
            world.add_worker("later")
            later = world.registered_by_id["later"]
            machine_id = world.registered_by_id[lost.name].machine_id
            world.register(
                msgspec.structs.replace(later, machine_id=machine_id)
            )
            world.unregister(lost.name)
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.5)

        self.run_scenario(scenario, task_duration_s=lambda task: None)

    def test_a_wait_for_leases_continues_in_the_next_term(self):
        """Guards against a wait for leases that restarts with each controller.

        A controller that ends in an orderly way has to pass on what is left of
        the leases on unreachable workers. When the successor waited the whole
        time again, two tasks did not run for 18 s.
        """

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", long_running(3)))
            lost = await self._crash_busiest_worker(world)
            lost_at = world.clock.boot()
            world.unregister(lost.name)
            await asyncio.sleep(3.0)
            await self.controller(world, nodes).stop()
            deadline = lost_at + LEASE_S * CLOCK_DRIFT + MAX_TAKEOVER_S
            await self.wait_for(
                lambda: len(self.running(world)) == 3,
                deadline - world.clock.boot(),
            )

        self.run_scenario(scenario, task_duration_s=lambda task: None)


class WorkerLossTest(EngineTest):
    def test_tasks_of_a_silent_worker_run_again(self):
        """Guards against unanswered renewals that postpone the end of a lease.

        Each deadline that a worker may have received counts. If a silent
        worker is sent new ones, its lease never ends for the controller and
        its tasks never run again.
        """

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", long_running(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            lost = max(
                world.worker_by_id.values(), key=lambda w: len(w.histories)
            )
            lost.crash()
            world.faults.mute.add(lost.name)
            await self.wait_for(
                lambda: len(self.running(world)) == 3, MAX_TASK_RESTART_S
            )

        self.run_scenario(scenario, task_duration_s=lambda task: None)

    def test_a_worker_slow_to_report_keeps_its_runs(self):
        """Guards against giving up the work of a worker that is only slow.

        When each report came later than the time limit of the call, the worker
        got no more leases although it carried out what it was sent.
        """

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", long_running(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            for name in world.worker_by_id:
                world.faults.report_delay_s[name] = SLOW_REPORT_S
            await asyncio.sleep(3 * LEASE_S)
            self.assertEqual(len(world.histories()), 3)
            self.assertEqual(len(self.running(world)), 3)

        self.run_scenario(scenario, task_duration_s=lambda task: None)

    def test_an_unreachable_worker_blocks_its_tasks_until_its_lease_ends(self):
        """Guards against a second run beside one on an unreachable worker."""

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", long_running(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            name = max(
                world.worker_by_id,
                key=lambda each: len(world.worker_by_id[each].histories),
            )
            for node in nodes:
                world.faults.cut.add((node.name, name))
            await asyncio.sleep(LEASE_S + RENEWAL_TIMEOUT_S + 3.0)
            self.assertEqual(len(self.running(world)), 3)

        self.run_scenario(scenario, task_duration_s=lambda task: None)

    def test_a_worker_restarted_under_the_same_id_has_no_runs(self):
        """Guards against waiting for runs of a worker that has restarted."""

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", long_running(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            for name in list(world.worker_by_id):
                world.worker_by_id[name].crash()
                world.add_worker(name)
            await self.wait_for(lambda: len(self.running(world)) == 3, 4.0)

        self.run_scenario(scenario, task_duration_s=lambda task: None)

    def test_a_delayed_start_causes_no_second_run(self):
        """Guards against a start that takes effect after newer orders."""

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

        self.run_scenario(scenario)

    def test_a_refused_repetition_does_not_settle_a_late_start(self):
        """Guards against a start that is carried out beside its successor.

        A start was left without an answer, and its repetition was refused by
        the worker as unhealthy. The task was placed on another worker while the
        first start could still be carried out.
        """

        async def scenario(world, nodes):
            keeper = submission("k", long_running(3, max_per_worker=1))
            await self.accept(world, nodes[0], keeper)
            await self.wait_for(lambda: len(self.running(world)) == 3, 5.0)
            for delay_ms in (700, 900, 1500, 2500):
                world.faults.late_start = [delay_ms / 1000]
                world.faults.refused_starts = 1
                job = submission(f"j{delay_ms}", short(1))
                await self.accept(world, nodes[0], job)
                await asyncio.sleep(LEASE_S * CLOCK_DRIFT + 3.0)
                state = self.state(nodes[0], f"j{delay_ms}")
                self.assertIs(state, JobState.COMPLETED)

        self.run_scenario(
            scenario,
            task_duration_s=lambda task: None if task[0] == "k" else 0.5,
        )

    def test_recorded_leases_are_never_shorter_than_sent(self):
        """Guards against ending a run that its worker still has a lease for.

        A renewal that could not be sent reset the recorded lease to the value
        before it, and so lost the lease of a start sent meanwhile.
        """

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", long_running(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            for number in range(40):
                job = submission(f"j{number}", short(2))
                await self.accept(world, nodes[0], job)
                names = set(world.worker_by_id)
                world.faults.renewal_cut = names if number % 5 == 0 else set()
                await asyncio.sleep(0.25)
                self.assertEqual(self._workers_with_longer_leases(world), [])

        self.run_scenario(
            scenario,
            task_duration_s=lambda task: None if task[0] == "a" else 0.5,
        )

    def _workers_with_longer_leases(self, world: World) -> list[str]:
        """Returns workers whose lease is longer than the recorded one."""
        known = {
            worker.worker_id: worker.process.lease_ms
            for control in world.controller_states
            if control.term.may_order
            for worker in control.fleet.worker_by_id.values()
            if worker.contacted and worker.process.clock is not None
        }
        return [
            name
            for name, worker in world.worker_by_id.items()
            if worker.alive
            and worker._lease_deadline_ms > known.get(name, 1 << 60)
        ]

    def test_a_start_grants_no_lease_that_a_successor_does_not_expect(self):
        """Guards against a second run after the loss of a controller.

        After a restart, the lease of a worker is taken for the longest that
        workers grant. A start carried that expiry as its deadline, and so made
        it true. A successor that could not reach the worker expected a lease
        of the normal length.
        """

        async def scenario(world, nodes):
            state = world.controller_states[-1]
            await asyncio.sleep(1.0)
            for worker in state.fleet.worker_by_id.values():
                process = worker.process
                clock_ms = process.clock.estimate(world.clock.boot())
                process.lease_ms = clock_ms + MAX_LEASE_MS
            await self.accept(world, nodes[0], submission("a", short(3)))
            await self.wait_for(lambda: bool(self.running(world)), 1.0)
            for worker in world.worker_by_id.values():
                longest_ms = worker.clock_ms + LEASE_MS
                self.assertLessEqual(worker._lease_deadline_ms, longest_ms)

        self.run_scenario(scenario, task_duration_s=lambda task: 0.5)

    def test_a_task_waits_while_its_start_may_still_arrive(self):
        """Guards against a second start while one is unanswered."""

        async def scenario(world, nodes):
            world.faults.late_start = [2.5, 2.5]
            await self.accept(world, nodes[0], submission("a", short(1)))
            await asyncio.sleep(0.8)
            delays = world.faults.late_start
            self.assertLess(len(delays), 2)
            for name in world.worker_by_id:
                for node in nodes:
                    world.faults.cut.add((node.name, name))
            world.add_worker("w9")
            await asyncio.sleep(9.0)
            world.faults.cut.clear()
            await asyncio.sleep(3.0)
            self.assertIs(self.state(nodes[1], "a"), JobState.COMPLETED)

        self.run_scenario(scenario)
