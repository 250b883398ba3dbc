"""Tests of an overload that lasts (load shedding).

Work that arrives faster than it can be done makes all jobs late, and each
further job that is accepted makes the others later still.
"""

import asyncio
import unittest
from unittest import mock

from sardinedrift.engine import limiter, overload
from sardinedrift.engine.catalogue import (
    Backlog,
    JobCatalogue,
    OverloadRecord,
    overload_record,
)
from sardinedrift.engine.exceptions import CallError, StoreUnknown
from sardinedrift.engine.limiter import OrderLimiter
from sardinedrift.engine.model import JobState, Size, Step
from sardinedrift.engine.overload import (
    MIN_STARVING_JOBS,
    STARVATION_S,
    LargestWorker,
    find_backlogs,
)
from sardinedrift.engine.saturation import Saturation
from sardinedrift.identifiers import JobId, QueueId, TeamId
from tests.engine_case import EngineTest
from tests.engine_fakes import FakeOrders
from tests.engine_samples import OTHER_TEAM, make_job, make_worker, plan
from tests.engine_world import (
    QUEUE,
    TOPIC,
    long_running,
    policies,
    short,
)
from tests.engine_world import submission as new_submission

# Time after the end of the arrivals within which all jobs have to complete.
FINISH_S = 14.0
ARRIVALS = 200
ARRIVAL_INTERVAL_S = 0.1
OVERDUE_MS = 60_000


class FindBacklogsTest(unittest.TestCase):
    def _find(
        self, jobs, now=100.0, now_ms=OVERDUE_MS, reported=frozenset()
    ) -> list[Backlog]:
        largest = LargestWorker([make_worker("w0")])
        policy_by_id = policies()
        return list(
            find_backlogs(jobs, policy_by_id, largest, now, now_ms, reported)
        )

    def _waiting(self, name: str, step: Step | None = None, **fields):
        job = make_job(name, step or short(2), **fields)
        for task in job.waiting.values():
            task.waiting_since = 100.0 - 2 * STARVATION_S
        return job

    def _several(self, *parts, **fields) -> list:
        return [
            self._waiting(f"j{number}", *parts, **fields)
            for number in range(MIN_STARVING_JOBS)
        ]

    def test_starving_overdue_jobs_are_a_backlog(self):
        (found,) = self._find(self._several())
        self.assertEqual(found.queue_id, QUEUE)

    def test_jobs_that_are_not_overdue_are_none(self):
        self.assertEqual(self._find(self._several(), now_ms=0), [])

    def test_jobs_that_began_to_wait_just_now_are_none(self):
        """Guards against refusals because a controller has just begun."""
        now = 100.0 - 2 * STARVATION_S + STARVATION_S / 2
        self.assertEqual(self._find(self._several(), now=now), [])

    def test_jobs_with_a_run_are_none(self):
        jobs = self._several()
        plan(jobs, [make_worker("w0", cpu=1_000_000)])
        self.assertEqual(self._find(jobs), [])

    def test_jobs_that_fit_on_no_worker_are_none(self):
        """Guards against refusals because of jobs that can never be done."""
        steps = [
            Step(1, Size(cpu=10**9), 500),
            Step(1, Size(memory_mb=10**9), 500),
            Step(1, Size(cpu=1), 500, label="no such label"),
        ]
        for step in steps:
            with self.subTest(step=step):
                self.assertEqual(self._find(self._several(step)), [])

    def test_a_backlog_of_one_client_account_is_not_that_of_others(self):
        """Guards against refusals because another account sends too much."""
        jobs = self._several(team_id=OTHER_TEAM)
        jobs.append(self._waiting("b"))
        self.assertEqual(
            [each.team_id for each in self._find(jobs)], [OTHER_TEAM]
        )

    def test_a_few_jobs_of_each_of_many_accounts_are_a_backlog(self):
        """Guards against an overload that no account shows by itself."""
        jobs = [
            self._waiting(f"j{number}", team_id=TeamId(f"t{number}"))
            for number in range(MIN_STARVING_JOBS)
        ]
        self.assertEqual(len(self._find(jobs)), MIN_STARVING_JOBS)
        self.assertEqual(self._find(jobs[1:]), [])

    def test_a_backlog_lasts_until_few_overdue_jobs_wait(self):
        """Guards against jobs accepted whenever a starving one gets a run."""
        jobs = self._several(short(20))
        reported = frozenset(self._find(jobs))
        plan(jobs, [make_worker("w0")], max_count=len(jobs))
        plan(jobs[1:], [make_worker("w1", cpu=10_000)])
        self.assertEqual(self._find(jobs), [])
        self.assertEqual(set(self._find(jobs, reported=reported)), reported)
        self.assertEqual(self._find(jobs[:1], reported=reported), [])
        self.assertEqual(self._find([], reported=reported), [])

    def test_long_running_jobs_are_none(self):
        self.assertEqual(self._find(self._several(long_running(2))), [])


class OverloadTest(EngineTest):
    async def _send_too_many(self, world, nodes) -> tuple[list[str], int]:
        """Sends more jobs than the workers can do; returns the accepted ones.

        Returns:
            The ids of the accepted jobs, and the number of refused ones.
        """
        accepted, refused = [], 0
        for number in range(ARRIVALS):
            job = new_submission(f"{number}", short(12))
            try:
                await self.accept(world, nodes[number % 3], job)
                accepted.append(f"{number}")
            except CallError as error:
                self.assertEqual(
                    (error.status, error.code), (503, "overloaded")
                )
                self.assertGreater(error.retry_after_s, 0)
                refused += 1
            await asyncio.sleep(ARRIVAL_INTERVAL_S)
        return accepted, refused

    async def _overload(self, world, nodes) -> list[str]:
        """Sends too many jobs, of which the accepted ones have to complete.

        Returns:
            The ids of the accepted jobs.
        """
        accepted, refused = await self._send_too_many(world, nodes)
        self.assertGreater(refused, 0)
        await self.wait_for(
            lambda: all(
                self.state(nodes[0], job) is JobState.COMPLETED
                for job in accepted
            ),
            FINISH_S,
        )
        return accepted

    def test_accepted_jobs_complete_soon_and_the_others_never_run(self):
        """Guards against a backlog that grows while the overload lasts."""

        async def scenario(world, nodes):
            accepted = await self._overload(world, nodes)
            run = {each.task.partition(".")[0] for each in world.histories()}
            self.assertEqual(run, set(accepted))
            # The overload is over, so jobs are accepted again.
            await asyncio.sleep(4.0)
            for node in nodes:
                job = new_submission(f"after-{node.name}", short(1))
                await self.accept(world, node, job)

        self.run_scenario(scenario, workers=1)

    def test_no_more_is_accepted_than_the_controller_can_handle(self):
        """Guards against a backlog that waits for orders, not for workers.

        The controller sends 50 orders a second and is asked for 120.
        """
        start = FakeOrders.start

        async def slow_start(orders, worker, order):
            await asyncio.sleep(0.02)
            await start(orders, worker, order)

        async def scenario(world, nodes):
            await self._overload(world, nodes)

        with (
            mock.patch.object(limiter, "INITIAL_LIMIT", 1.0),
            mock.patch.object(limiter, "MAX_LIMIT", 1.0),
            mock.patch.object(FakeOrders, "start", slow_start),
            mock.patch.object(overload, "is_overdue", return_value=False),
        ):
            self.run_scenario(scenario, workers=20)

    def test_a_late_event_loop_is_a_sign_of_saturation(self):
        """Guards against a controller that takes in more than it can handle.

        With too little processor time, few tasks are ready to be placed, so the
        limit on orders seldom binds.
        """

        async def scenario(world, nodes):
            state = world.controller_states[-1]
            await self.accept(world, nodes[0], new_submission("a", short(9)))
            with mock.patch.object(OrderLimiter, "lowered", True):
                await asyncio.sleep(2 * overload.REPORT_INTERVAL_S)
            self.assertGreater(state.saturation._limited_samples, 0)

        self.run_scenario(scenario, workers=0)

    def test_a_successor_goes_on_to_refuse(self):
        """Guards against a backlog that grows at each change of controllers."""

        async def scenario(world, nodes):
            until_ms = world.clock.unix_ms() + overload.VALIDITY_MS
            record = OverloadRecord(until_ms, (), True, True)
            await self.accept(world, nodes[0], new_submission("a", short(9)))
            await nodes[0].store.append(TOPIC, [overload_record(record)])
            with mock.patch.object(OrderLimiter, "lowered", True):
                await self.controller(world, nodes).kill()
                await asyncio.sleep(overload.VALIDITY_MS / 1000 + 0.5)
            node = self.controller(world, nodes)
            with self.assertRaises(CallError):
                await self.accept(world, node, new_submission("b", short(1)))

        self.run_scenario(scenario, workers=0)

    def test_a_job_of_unknown_outcome_is_not_said_to_be_refused(self):
        """Guards against a job that runs although its caller was refused."""

        async def scenario(world, nodes):
            node = nodes[0]
            job = new_submission("a", short(1))

            async def lose_answer(record):
                await asyncio.sleep(0.1)
                raise StoreUnknown("lost")

            appender = node.entry._appender
            with (
                mock.patch.object(appender, "append", lose_answer),
                self.assertRaises(CallError) as raised,
            ):
                await node.entry.accept(job, world.clock.boot() + 0.3)
            self.assertEqual(raised.exception.status, 504)
            node.catalogue.is_overloaded = lambda *parts: True
            await self.accept(world, node, job)
            with self.assertRaises(CallError):
                await self.accept(world, node, new_submission("b", short(1)))
            long = new_submission("c", long_running(1))
            await self.accept(world, node, long)

        self.run_scenario(scenario)


class SaturationTest(unittest.TestCase):
    """A controller at 10 ends a second, sampled once a second."""

    def _sample(self, saturation, tasks: int, limited: bool, seconds) -> bool:
        for second in seconds:
            for _ in range(10):
                saturation.record_end()
                saturation.record_pass(limited)
            saturation.sample(tasks, float(second))
        return saturation.saturated

    def test_it_takes_a_limit_that_binds_and_much_work(self):
        for tasks, limited in ((1000, False), (30, True)):
            with self.subTest(tasks=tasks, limited=limited):
                saturation = Saturation()
                self.assertFalse(
                    self._sample(saturation, tasks, limited, range(10))
                )

    def test_it_lasts_until_the_work_is_half_done(self):
        """Guards against jobs accepted and refused in turns."""
        saturation = Saturation()
        self.assertFalse(self._sample(saturation, 60, True, range(1)))
        self.assertTrue(self._sample(saturation, 60, True, range(1, 9)))
        self.assertTrue(self._sample(saturation, 30, True, range(9, 12)))
        self.assertFalse(self._sample(saturation, 15, True, range(12, 14)))

    def test_it_ends_when_the_limit_no_longer_binds(self):
        """Guards against refusals because of tasks that wait for workers."""
        saturation = Saturation()
        self.assertTrue(self._sample(saturation, 900, True, range(9)))
        self.assertFalse(self._sample(saturation, 900, False, range(9, 12)))

    def test_much_work_is_refused_to_every_account(self):
        """Guards against accounts that each add a job to a long backlog.

        On a slow core, accounts without waiting jobs raised the backlog to four
        times what the controller could handle in time.
        """
        saturation = Saturation()
        self._sample(saturation, 60, True, range(5))
        self.assertEqual(
            (saturation.saturated, saturation.severe), (True, False)
        )
        self._sample(saturation, 90, True, range(5, 9))
        self.assertTrue(saturation.severe)
        self._sample(saturation, 60, True, range(9, 12))
        self.assertTrue(saturation.severe)
        self._sample(saturation, 30, True, range(12, 14))
        self.assertEqual(
            (saturation.saturated, saturation.severe), (True, False)
        )

    def test_it_lasts_while_nothing_ends(self):
        """Guards against jobs accepted by a successor that has just begun."""
        saturation = Saturation()
        saturation.saturated = True
        for second in range(2):
            saturation.sample(900, float(second))
        self.assertTrue(saturation.saturated)

    def test_a_controller_without_a_rate_is_not_saturated(self):
        """Guards against refusals at the begin of a term."""
        saturation = Saturation()
        for second in range(5):
            saturation.record_pass(True)
            saturation.sample(900, float(second))
        self.assertFalse(saturation.saturated)


class CatalogueTest(unittest.TestCase):
    def test_a_report_expires(self):
        """Guards against refusals because of a controller that has failed."""
        catalogue = JobCatalogue()
        parts = (QueueId("q"), TeamId("t"))
        self.assertFalse(catalogue.is_overloaded(*parts, 0))
        catalogue.apply_record(
            "o/newest", b"\x92\xcd\x03\xe8\x91\x92\xa1q\xa1t"
        )
        self.assertTrue(catalogue.is_overloaded(*parts, 999))
        self.assertFalse(catalogue.is_overloaded(*parts, 1000))
        self.assertFalse(
            catalogue.is_overloaded(QueueId("other"), TeamId("t"), 999)
        )
        self.assertIsNone(catalogue.find(JobId("newest")))

    def test_a_report_may_apply_to_every_account(self):
        catalogue = JobCatalogue()
        record = overload_record(OverloadRecord(1000, (), True, True))
        catalogue.apply_record(record.key, record.value)
        parts = (QueueId("q"), TeamId("t"))
        self.assertTrue(catalogue.is_overloaded(*parts, 999))
        self.assertFalse(catalogue.is_overloaded(*parts, 1000))
