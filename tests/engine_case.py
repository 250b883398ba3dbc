"""Base class of tests that run the job engine in virtual time."""

import asyncio
import unittest
from collections.abc import Callable
from unittest import mock

from sardinedrift.engine import controller
from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.leases import LEASE_MS
from sardinedrift.engine.model import JobState
from sardinedrift.identifiers import JobId
from standins.platform.worker import RunHistory
from tests import virtual_time
from tests.engine_node import Node
from tests.engine_world import World

LEASE_S = LEASE_MS / 1000
# A long-running task must run again within this time after its last run.
MAX_TASK_RESTART_S = 9.0
# The next term starts within this time after a closed one.
MAX_TAKEOVER_S = 1.5
CLOCK_DRIFT = 1.04


class EngineTest(unittest.TestCase):
    def run_scenario(
        self, scenario, workers: int = 3, task_duration_s=None
    ) -> None:
        """Runs a scenario with three entries.

        Fails if runs of a task overlapped, a task ran again once done, or a
        worker process was told to forget ends that it had not listed.
        """

        async def body() -> None:
            world = World(workers, task_duration_s or (lambda task: 0.5))
            nodes = [Node(world, f"n{number}") for number in range(3)]

            def make_control(*parts):
                world.controller_states.append(ControllerState(*parts))
                return world.controller_states[-1]

            with mock.patch.object(controller, "ControllerState", make_control):
                for node in nodes:
                    node.start()
                await asyncio.sleep(2.0)
                await scenario(world, nodes)
            self.assertEqual(world.overlaps(), [])
            self.assertEqual(self.starts_after_done(world), [])
            self.assertEqual(world.unread_acknowledgements(), [])

        virtual_time.run(body())

    def starts_after_done(self, world: World) -> list[RunHistory]:
        """Returns runs that started after their task was done."""
        return world.starts_after_done()

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
