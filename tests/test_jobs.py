"""Driver of jobs against worker stand-ins over loopback."""

import asyncio
import contextlib
import signal
import time
import unittest
from unittest import mock

from sardinedrift.exceptions import WorkerRefused
from sardinedrift.identifiers import JobState, MoveState
from sardinedrift.reports import task_id
from sardinedrift.workers import HttpWorkers
from standins import worker
from standins.fleet import call, running_fleet, wait_until
from tests.fakes import until
from tests.job_fakes import FleetCase, LostStart, PausedStart, running_tasks
from tests.sample_changes import cancel, drain_ack, start_move, submit


class JobsTest(FleetCase):
    """The driver with workers and jobs that misbehave."""

    async def test_learns_the_size_of_a_job(self):
        """Guards against placing again by a size known to be wrong."""
        fields = {"actual_memory_gb": 40, "run_seconds": 3600}
        async with self.fleet(w0=fields) as (_, _, workers, (entry,)):
            await entry.publish(submit("j0"))
            await until(lambda: entry.job().memory_gb == 40)
            first = next(iter(workers["w0"].task_by_id.values()))
            self.assertEqual((first.factor, first.state), (0.5, "stopped"))
            self.assertGreater(first.checkpoint, 0)
            await until(lambda: entry.job().state is JobState.RUNNING)
            await asyncio.sleep(0.2)
            second = list(workers["w0"].task_by_id.values())[1]
            self.assertEqual((second.factor, second.state), (1.0, "running"))

    async def test_ends_a_job_that_proves_too_large(self):
        """Guards against a job that fails over and over."""
        fields = {"actual_memory_gb": 400, "run_seconds": 3600}
        async with self.fleet(w0=fields) as (_, _, workers, (entry,)):
            await entry.publish(submit("j0"))
            await until(lambda: entry.job().state is JobState.FAILED)
            self.assertEqual(entry.job().reason, "too_large")
            self.assertEqual(running_tasks(workers), [])

    async def test_wave_of_cancellations(self):
        """Guards against lost units and a record for each cancellation."""
        count, limit = 60, 12
        fields = {"run_seconds": 3600}
        async with self.fleet(limit, w0=fields, w1=fields) as fleet:
            log, _, workers, (entry,) = fleet
            await entry.publish(
                *(submit(f"j{n}", cores=1, memory_gb=1) for n in range(count))
            )
            await until(lambda: entry.states().count(JobState.RUNNING) == limit)
            self.assertEqual(len(running_tasks(workers)), limit)
            await entry.publish(*(cancel(f"j{n}") for n in range(count)))
            await until(
                lambda: entry.states().count(JobState.CANCELLED) == count
            )
            self.assertEqual(running_tasks(workers), [])
            self.assertEqual(entry.follower.state.unallocated("red"), limit)
            self.assertLess(log.attempts, count)

    async def test_worker_that_fails_everything(self):
        """Guards against a failing worker that attracts all jobs."""
        bad, good = {"fail_everything": True}, {"run_seconds": 0.05}
        async with self.fleet(w0=bad, w1=good) as (_, _, workers, (entry,)):
            await entry.publish(
                *(submit(f"j{n}", cores=8, memory_gb=8) for n in range(12))
            )
            await until(lambda: entry.states().count(JobState.DONE) == 12)
            self.assertLess(len(workers["w0"].task_by_id), 12)

    async def test_drain_takes_jobs_elsewhere(self):
        """Guards against a move that waits for a job that could stop."""
        fields = {"run_seconds": 3600}
        async with self.fleet(w0=fields, w1=fields) as fleet:
            _, _, workers, (entry,) = fleet
            await entry.publish(submit("j0"))
            await until(lambda: entry.job().state is JobState.RUNNING)
            old = entry.job().instance_id
            revision = entry.tables.instance_by_id[old].revision
            await entry.publish(start_move(old, "spare", "v", revision))
            await entry.publish(drain_ack(entry.follower.state, old))
            await until(
                lambda: (
                    entry.tables.move_by_id["v"].state is MoveState.DONE
                    and entry.job().state is JobState.RUNNING
                )
            )
            self.assertNotEqual(entry.job().instance_id, old)
            self.assertEqual(running_tasks(workers), [task_id(entry.job())])

    async def _resume_after_lapse(self):
        """Returns what came of a start by a holder paused past its lease.

        All tasks that were ever started count: the next holder soon stops one
        of a place that has ended.
        """
        async with self.fleet(
            entries=("e1", "e2"),
            ports={"e1": PausedStart},
            w0={"run_seconds": 3600},
        ) as (_, peers_by_id, workers, (old, new)):
            await new.publish(submit("j0"))
            async with asyncio.timeout(20):
                await old.workers.pausing.wait()
            await new.publish(cancel("j0"))
            peers_by_id["e2"].entry_id = "e2"
            await until(lambda: new.job().state is JobState.CANCELLED)
            old.workers.resume.set()
            await until(lambda: old.workers.results)
            return old.workers.results, list(workers["w0"].task_by_id)

    async def test_paused_holder_starts_nothing(self):
        """Guards against work started under a lapsed or older lease."""
        results, tasks = await self._resume_after_lapse()
        self.assertEqual((results, tasks), (["wrong_lease_number"], []))

    async def test_only_the_worker_stops_a_paused_holder(self):
        """Shows that the test above fails on a worker without the check."""

        def start(self, asked, now):
            task = worker.Task(asked, now, now)
            asked.run_seconds = self.run_seconds
            self.task_by_id[asked.task_id] = task
            return task

        with mock.patch.object(worker.Worker, "start", start):
            results, tasks = await self._resume_after_lapse()
        self.assertEqual((results, len(tasks)), (["running"], 1))


class LostStartTest(FleetCase):
    """A start whose answer is lost."""

    @contextlib.asynccontextmanager
    async def late_start(self):
        """Yields peers, workers and an entry whose start is on its way."""
        async with self.fleet(
            ports={"e1": LostStart}, w0={"run_seconds": 3600}
        ) as (_, peers_by_id, workers, (entry,)):
            await entry.publish(submit("j0"))
            await until(lambda: entry.workers.late)
            yield peers_by_id, workers, entry

    async def cancel_job(self, entry):
        await entry.publish(cancel("j0"))
        await until(lambda: entry.job().state is JobState.CANCELLED)

    async def check_refused(self, workers, entry, late):
        """Delivers a late start, which the worker must refuse."""
        address, task = late
        with self.assertRaises(WorkerRefused):
            await HttpWorkers.start(
                entry.workers, address, task, time.time() + 5
            )
        self.assertEqual(running_tasks(workers), [])

    async def test_late_start_of_a_cancelled_job_is_refused(self):
        """Guards against a task that outlives the place of its job."""
        async with self.late_start() as (_, workers, entry):
            await self.cancel_job(entry)
            late = entry.workers.late[-1]
            await self.check_refused(workers, entry, late)

    async def test_returning_scheduler_takes_a_newer_lease(self):
        """Guards against a late start under a lease that is used again."""
        async with self.late_start() as (peers_by_id, workers, entry):
            peers_by_id["e1"].entry_id = "e2"
            await until(lambda: not entry.jobs._reconciler_by_id)
            late = entry.workers.late[-1]
            peers_by_id["e1"].entry_id = "e1"
            await self.cancel_job(entry)
            await self.check_refused(workers, entry, late)


class ProcessTest(unittest.TestCase):
    """Entries and workers as processes."""

    def _usage(self, addresses):
        return [
            line
            for address in addresses
            for line in call(address, "/usage")["tasks"]
        ]

    def test_frozen_scheduler(self):
        """Guards against jobs stuck or started twice by a frozen entry."""
        with running_fleet() as fleet:
            fleet.start_platform()
            addresses = {
                name: fleet.start_worker(name, "dc1", "--run-seconds", "1.5")
                for name in ("w0", "w1")
            }
            entries = [fleet.start_entry(f"e{n}", "dc1") for n in range(2)]
            fleet.wait_ready(*entries)
            fleet.publish(*self._configuration(addresses))
            fleet.publish(*self._submissions(8))
            uses = wait_until(
                lambda: call(entries[0].admin, "/v1/workers")["items"],
                "a lease is taken",
            )
            wait_until(lambda: self._usage(addresses.values()), "a task runs")
            by_id = {fleet.status(each)["entry_id"]: each for each in entries}
            frozen = by_id[uses[0]["holder"]]
            (other,) = (each for each in entries if each is not frozen)
            frozen.process.send_signal(signal.SIGSTOP)
            wait_until(lambda: self._all_done(other, 8), "all jobs are done")
            frozen.process.send_signal(signal.SIGCONT)
            wait_until(lambda: self._all_done(frozen, 8), "it has caught up")
            lines = self._usage(addresses.values())
            jobs = [each["task_id"].rpartition(".")[0] for each in lines]
            self.assertEqual(len(set(jobs)), 8)
            self.assertEqual(len(jobs), 8)

    def _configuration(self, addresses):
        yield {
            "type": "PutDataCentre",
            "data_centre_id": "dc1",
            "region": "north",
        }
        yield {"type": "PutPool", "pool_id": "pairing"}
        yield {"type": "PutTeam", "team_id": "red", "share": 1, "limit": 4}
        for name, address in addresses.items():
            yield {
                "type": "PutInstance",
                "instance_id": name,
                "kind": "worker",
                "data_centre_id": "dc1",
                "pool_id": "pairing",
                "rack": name,
                "address": address,
                "cores": 32,
                "memory_gb": 64,
            }

    def _submissions(self, count):
        for number in range(count):
            yield {
                "type": "SubmitJob",
                "job_id": f"j{number}",
                "team_id": "red",
                "pool_id": "pairing",
                "cores": 20,
                "memory_gb": 20,
            }

    def _jobs(self, entry):
        return call(entry.admin, "/v1/jobs")["items"]

    def _all_done(self, entry, count):
        states = [each["state"] for each in self._jobs(entry)]
        return states.count("done") == count
