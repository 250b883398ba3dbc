"""Tests of starts that workers carry out but do not answer."""

import asyncio
from unittest import mock

from sardinedrift.engine import sessions
from sardinedrift.engine.model import RunPhase
from sardinedrift.engine.orders import MAX_START_ATTEMPTS
from sardinedrift.engine.stops import Stops
from tests.engine_case import LEASE_S, EngineTest
from tests.engine_node import Node
from tests.engine_samples import make_job
from tests.engine_world import World, long_running, short, submission

TASKS = 3
ANSWERS_AGAIN_S = 3.0
# From a start until its worker is out of reach, and for how long. Its lease is
# longer, so the run continues.
REACHABLE_S = 0.05
CUT_S = 1.5


class UnansweredStartTest(EngineTest):
    def test_a_run_that_a_report_shows_goes_on(self):
        """Guards against the stop of a run because its start had no answer."""
        for step in (long_running(TASKS), short(TASKS)):
            with self.subTest(long_running=step.long_running):
                self._leave_unanswered(step)

    def _leave_unanswered(self, step) -> None:
        async def scenario(world: World, nodes: list[Node]) -> None:
            world.faults.late_start = [0.0] * (MAX_START_ATTEMPTS * TASKS)
            await self.accept(world, nodes[0], submission("a", step))
            await asyncio.sleep(ANSWERS_AGAIN_S)
            self.assertEqual(len(world.histories()), TASKS)
            self.assertEqual(len(self.running(world)), TASKS)

        self.run_scenario(scenario, task_duration_s=lambda task: None)

    def test_a_run_on_a_worker_out_of_reach_goes_on_afterwards(self):
        """Guards against the stop of all tasks of a step that are at work.

        The worker carries out the starts and is out of reach before it answers.
        When it is back, a stop would end tasks that serve by then.
        """

        async def scenario(world: World, nodes: list[Node]) -> None:
            world.faults.late_start = [0.0] * TASKS
            step = long_running(TASKS, may_miss=1)
            await self.accept(world, nodes[0], submission("a", step))
            await self.wait_for(lambda: len(self.running(world)) == TASKS, 2.0)
            await asyncio.sleep(REACHABLE_S)
            links = {
                (node.name, name)
                for node in nodes
                for name in world.worker_by_id
            }
            world.faults.cut |= links
            await asyncio.sleep(CUT_S)
            world.faults.cut -= links
            await asyncio.sleep(2 * LEASE_S)
            self.assertEqual(len(world.histories()), TASKS)
            self.assertEqual(len(self.running(world)), TASKS)

        self.run_scenario(scenario, task_duration_s=lambda task: None)

    def test_reports_have_a_wait_again_once_the_stop_is_sent(self):
        """Guards against one report after the other until a stop is accepted.

        Only the first report decides what becomes of an unanswered start.
        """
        job = make_job("a", long_running(1))
        (task,) = job.tasks()
        run = job.place(task, "w0", 1, 1.0)
        run.phase = RunPhase.ORDERED
        run.unanswered_at = 2.0
        self.assertTrue(sessions.needs_next_report(run))
        stops = Stops(*(mock.Mock() for _ in range(5)))
        stops.begin(run)
        self.assertFalse(sessions.needs_next_report(run))

    def test_a_start_that_no_report_shows_is_stopped(self):
        """Guards against a second run beside one that begins late."""
        late_s = 4.0

        async def scenario(world: World, nodes: list[Node]) -> None:
            world.faults.late_start = [late_s] * MAX_START_ATTEMPTS
            await self.accept(world, nodes[0], submission("a", long_running(1)))
            await self.wait_for(lambda: self.running(world), ANSWERS_AGAIN_S)
            await asyncio.sleep(2 * late_s)
            self.assertEqual(len(world.histories()), 1)

        self.run_scenario(scenario, task_duration_s=lambda task: None)
