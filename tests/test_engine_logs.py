"""Tests of the limits on log lines and metric series."""

import asyncio
import collections
import json
import os
import pathlib
import tempfile
import unittest
from unittest import mock

from sardinedrift.engine import gauges
from sardinedrift.engine.leases import LEASE_MS
from sardinedrift.engine.linebudget import JOB_LINES_PER_SECOND, LineBudget
from sardinedrift.engine.metrics import Metrics
from sardinedrift.engine.model import Size, Team
from sardinedrift.engine.teamuse import TeamUse
from sardinedrift.identifiers import TeamId
from tests.engine_case import EngineTest
from tests.engine_world import POOL, TEAM, long_running, submission

LINES_PER_JOB = 5


def write_second(budget: LineBudget, second: int, jobs: int) -> dict[str, int]:
    """Offers lines of many jobs; returns the number written by job."""
    budget.begin(second)
    written: dict[str, int] = {}
    for _ in range(LINES_PER_JOB):
        for number in range(jobs):
            job_id = f"{second:08x}{number:08x}"
            if budget.admits("placed", job_id):
                written[job_id] = written.get(job_id, 0) + 1
    return written


class LineBudgetTest(unittest.TestCase):
    def test_lines_of_a_job_stay_together_under_load(self):
        """Guards against logs in which the lines of every job have gaps."""
        budget = LineBudget()
        for second in range(1, 9):
            written = write_second(budget, second, 4000)
            total = sum(written.values())
            self.assertLessEqual(total, JOB_LINES_PER_SECOND)
        self.assertGreater(len(written), 50)
        self.assertEqual(set(written.values()), {LINES_PER_JOB})

    def test_all_jobs_are_written_again_after_the_load(self):
        """Guards against sampling that continues after the load has ended."""
        budget = LineBudget()
        write_second(budget, 1, 4000)
        self.assertLess(budget.job_share, 1.0)
        for second in range(2, 20):
            written = write_second(budget, second, 10)
        self.assertEqual(len(written), 10)

    def test_nodes_keep_the_same_jobs(self):
        """Guards against nodes that sample different jobs.

        A job that only some nodes log has gaps in its merged log.
        """
        kept = []
        for jobs in (1500, 6000):
            budget = LineBudget()
            for second in range(1, 9):
                write_second(budget, second, jobs)
            second = 9
            kept.append(write_second(budget, second, 1500).keys())
        self.assertLess(len(kept[1]), len(kept[0]))
        self.assertLessEqual(kept[1], kept[0])

    def test_an_event_without_a_job_is_bounded_alone(self):
        """Guards against a flood of one event that suppresses the others."""
        budget = LineBudget()
        budget.begin(1)
        written = sum(budget.admits("refused", None) for _ in range(5000))
        self.assertLessEqual(written, 400)
        self.assertTrue(budget.admits("elected", None))


class GaugeTest(EngineTest):
    def test_a_controller_shows_pools_and_teams(self):
        """Guards against gauges that remain after a controller has stopped."""

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", long_running(2)))
            await asyncio.sleep(gauges.UPDATE_INTERVAL_S + 1)
            controller = self.controller(world, nodes)
            text = controller.metrics.render().decode()
            for gauge in (
                f'sardinedrift_pool{{name="workers",pool="{POOL}"}}',
                f'sardinedrift_pool{{name="demand_cpu",pool="{POOL}"}} 4000.0',
                f'sardinedrift_team{{name="cpu",team="{TEAM}"}} 4000.0',
                "sardinedrift_first_start_seconds_count 1.0",
            ):
                self.assertIn(gauge, text)
            await controller.stop()
            text = controller.metrics.render().decode()
            self.assertNotIn("sardinedrift_pool{", text)
            self.assertNotIn("sardinedrift_team{", text)

        self.run_scenario(scenario, task_duration_s=lambda task: None)

    def test_hundreds_of_teams_stay_a_bounded_number_of_series(self):
        """Guards against a scrape that grows with the number of accounts."""
        teams = {
            TeamId(f"t{number}"): Team(
                TeamId(f"t{number}"), 1.0, Size(cpu=1000)
            )
            for number in range(600)
        }
        use = TeamUse(teams)
        for number, team_id in enumerate(teams):
            use.add(team_id, Size(cpu=number))
        metrics = Metrics()
        gauges.update_teams(use, metrics)
        text = metrics.render().decode()
        self.assertEqual(text.count("sardinedrift_team{"), 150)
        self.assertIn('sardinedrift_team{name="of_limit",team="t599"}', text)


class ScrapeTest(unittest.TestCase):
    def test_counters_precede_histograms(self):
        """Guards against counters that a reader of the first bytes misses."""
        metrics = Metrics()
        kinds = [family.type for family in metrics.registry.collect()]
        first = kinds.index("histogram")
        self.assertEqual(set(kinds[first:]), {"histogram"})


class LapseLineTest(EngineTest):
    def test_a_lapse_on_a_worker_that_answers_is_logged(self):
        """Guards against lapses that look like the loss of a worker."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "log")
            with mock.patch.dict(os.environ, {"ENGINE_LOG": str(path)}):
                self.run_scenario(
                    self._withhold_renewals, task_duration_s=lambda task: None
                )
            events = [
                json.loads(line) for line in path.read_text().splitlines()
            ]
        lapses = [each for each in events if each["event"] == "lease_lapsed"]
        self.assertTrue(lapses)
        self.assertGreaterEqual(lapses[0]["renewed_s_ago"], LEASE_MS / 1000)
        self.assertGreater(lapses[0]["reports_since"], 0)

    async def _withhold_renewals(self, world, nodes) -> None:
        await self.accept(world, nodes[0], submission("a", long_running(3)))
        await asyncio.sleep(2.0)
        world.faults.changing_connections.update(world.worker_by_id)
        await asyncio.sleep(2 * LEASE_MS / 1000)
        text = self.controller(world, nodes).metrics.render().decode()
        self.assertIn(
            'sardinedrift_lease_renewals_total{outcome="other_connection"}',
            text,
        )


class DependencyLinesTest(EngineTest):
    def test_an_outage_of_the_store_is_logged_once(self):
        """Guards against a line for each attempt during an outage."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "log")
            with mock.patch.dict(os.environ, {"ENGINE_LOG": str(path)}):
                self.run_scenario(self._outage)
            events = [
                json.loads(line) for line in path.read_text().splitlines()
            ]
        counts = collections.Counter(
            (event["node"], event["event"], event.get("topic"))
            for event in events
            if event.get("dependency") in ("store", "election")
        )
        self.assertEqual(set(counts.values()), {1})
        lost = {key[0] for key in counts if key[1] == "dependency_lost"}
        back = {key[0] for key in counts if key[1] == "dependency_back"}
        self.assertEqual(lost, {"n0", "n1", "n2"})
        self.assertEqual(lost, back)

    async def _outage(self, world, nodes) -> None:
        for node in nodes:
            world.faults.store_cut.add(node.name)
        await asyncio.sleep(5.0)
        world.faults.store_cut.clear()
        await asyncio.sleep(5.0)
