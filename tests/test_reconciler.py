"""Reconciliation of one worker, with a fake worker that counts orders."""

import collections
import unittest
from unittest import mock

from sardinedrift import changes as ch
from sardinedrift import jobs
from sardinedrift.exceptions import WorkerUnknown
from sardinedrift.identifiers import Identity, JobStep
from sardinedrift.ports import TaskUse, UsageReport, WorkerPort
from sardinedrift.reconciler import LEASE_DURATION_SECONDS, WorkerReconciler
from tests.decision_fakes import FakeClock, FakeFollower, FakeLog
from tests.sample_changes import (
    join,
    new_change_id,
    put_data_centre,
    put_pool,
    put_team,
    put_worker,
    submit,
)

# Control traffic may use 1.4 % of a core, and a pass costs about 0.7 ms.
MAX_PASSES_PER_SECOND = 20
# Workers of an entry when 20,000 are spread over 69 entries.
MANY_WORKERS = 290


class CountingWorker(WorkerPort):
    """A worker that counts orders and asserts a valid lease at a start."""

    def __init__(self, clock):
        self.clock = clock
        self.orders = collections.Counter()
        self.expires_at = 0.0
        self.tasks = []
        self.reachable = True

    def _count(self, order):
        if not self.reachable:
            raise WorkerUnknown("no answer")
        self.orders[order] += 1

    async def take_lease(
        self, address, holder, lease_number, expires_at, deadline
    ):
        self._count("lease")
        self.expires_at = expires_at

    async def start(self, address, task, deadline):
        self._count("start")
        assert self.clock.now() < self.expires_at, (
            "start under an expired lease"
        )
        self.tasks.append(TaskUse(task.task_id, "running", 1.0, 1.0, 0))
        return "running"

    async def throttle(self, address, task_id, factor, deadline):
        self._count("throttle")

    async def checkpoint(self, address, task_id, deadline):
        self._count("checkpoint")

    async def stop(self, address, task_id, deadline):
        self._count("stop")
        return "stopped"

    async def usage(self, address, deadline):
        self._count("usage")
        return UsageReport(self.clock.now(), tuple(self.tasks))


class WorkerReconcilerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.log = FakeLog(self.clock)
        self.log.append(put_team(limit=9))
        self.log.append(put_data_centre())
        self.log.append(put_pool())
        self.log.append(join("e1"))
        self.log.append(put_worker("w0"))
        self.follower = FakeFollower(self.log)
        self.worker = CountingWorker(self.clock)
        self.follower.fold()
        self.reconciler = WorkerReconciler(
            "e1",
            "w0",
            self.follower,
            self.worker,
            self.clock,
            lambda _: True,
        )

    async def reconcile(self):
        await self.reconciler.reconcile()
        for change in self.reconciler.pending_changes:
            self.log.append(change)
        self.follower.fold()

    def place(self, job_id="j0"):
        self.log.append(submit(job_id))
        self.log.append(
            ch.PlaceJob(
                change_id=new_change_id(),
                job_id=job_id,
                instance_id="w0",
                worker_lease=self.reconciler.lease,
            )
        )
        self.follower.fold()

    async def test_lease_of_an_idle_worker_is_not_renewed(self):
        """Guards against periodic lease renewals for workers without tasks."""
        for _ in range(20):
            await self.reconcile()
            self.clock.time += LEASE_DURATION_SECONDS
        self.assertEqual(self.worker.orders["lease"], 1)
        self.assertFalse(self.reconciler.has_orders())
        self.assertGreater(self.reconciler.placement_capacity(), 0)

    async def test_expired_lease_is_renewed_before_a_start(self):
        """Guards against a start sent under an expired lease."""
        await self.reconcile()
        await self.reconcile()
        self.clock.time += 2 * LEASE_DURATION_SECONDS
        self.place()
        self.assertTrue(self.reconciler.has_orders())
        await self.reconcile()
        self.assertEqual(self.worker.orders["start"], 1)
        (report,) = self.reconciler.pending_changes
        self.assertIs(report.step, JobStep.RUNNING)

    async def test_worker_that_does_not_answer_gets_no_job(self):
        """Guards against jobs placed on an unreachable worker."""
        await self.reconcile()
        await self.reconcile()
        self.worker.reachable = False
        await self.reconcile()
        self.assertEqual(self.reconciler.placement_capacity(), 0)
        self.worker.reachable = True
        await self.reconcile()
        self.assertGreater(self.reconciler.placement_capacity(), 0)


class IdleIntervalTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.jobs = jobs.JobDriver(
            Identity("e1", "dc1", "127.0.0.1:0"),
            FakeFollower(FakeLog(FakeClock())),
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            FakeClock(),
        )

    def test_passes_over_many_workers_stay_within_the_budget(self):
        """Guards against control load that grows with the number of workers."""
        self.jobs._reconciler_by_id = dict.fromkeys(range(MANY_WORKERS))
        intervals = [self.jobs._idle_interval() for _ in range(100)]
        self.assertLessEqual(
            MANY_WORKERS / min(intervals), MAX_PASSES_PER_SECOND
        )

    def test_few_workers_are_reconciled_promptly(self):
        """Guards against long intervals in small fleets."""
        self.jobs._reconciler_by_id = dict.fromkeys(range(8))
        self.assertLessEqual(
            self.jobs._idle_interval(), jobs.MIN_IDLE_INTERVAL_SECONDS
        )
