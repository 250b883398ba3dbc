"""Tests of the job engine with leases that are not renewed as usual."""

import asyncio

from sardinedrift.engine.sessions import (
    MAX_IMMEDIATE_REPORTS,
    RETRY_INTERVAL_S,
)
from tests.engine_case import EngineTest
from tests.engine_node import Node
from tests.engine_world import World, long_running, submission

# Shorter than a lease, so that all runs go on.
OBSERVED_S = 3.0


class WithheldRenewalTest(EngineTest):
    def test_reports_without_leases_are_requested_at_a_bounded_rate(self):
        """Guards against a request as soon as the last one is answered.

        A request without the lease has no wait for an end either.
        """

        async def scenario(world: World, nodes: list[Node]) -> None:
            await self.accept(world, nodes[0], submission("a", long_running(3)))
            await self.wait_for(lambda: len(self.running(world)) == 3, 2.0)
            world.faults.changing_connections.update(world.worker_by_id)
            controller = self.controller(world, nodes)
            before = self._answers(controller)
            await asyncio.sleep(OBSERVED_S)
            most = OBSERVED_S / RETRY_INTERVAL_S + MAX_IMMEDIATE_REPORTS + 1
            answers = self._answers(controller) - before
            self.assertLessEqual(answers, len(world.worker_by_id) * most)

        self.run_scenario(scenario, task_duration_s=lambda task: None)

    def _answers(self, node: Node) -> float:
        """Returns the number of answered requests for reports."""
        return sum(
            sample.value
            for family in node.metrics.lease_renewals.collect()
            for sample in family.samples
            if sample.name.endswith("_total")
        )
