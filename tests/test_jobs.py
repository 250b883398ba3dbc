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
    """The driver with faulty workers and jobs."""

    async def test_learns_the_size_of_a_job(self):
        """Guards against retries with a declared size that proved too small."""
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
        """Guards against endless retries of a job that fits no worker."""
        fields = {"actual_memory_gb": 400, "run_seconds": 3600}
        async with self.fleet(w0=fields) as (_, _, workers, (entry,)):
            await entry.publish(submit("j0"))
            await until(lambda: entry.job().state is JobState.FAILED)
            self.assertEqual(entry.job().reason, "too_large")
            self.assertEqual(running_tasks(workers), [])

    async def test_cancellation_of_many_jobs(self):
        """Guards against lost units and one record per cancellation."""
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

    async def test_drain_restarts_jobs_on_another_worker(self):
        """Guards against a drain that waits for a preemptible job."""
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

    async def _resume_after_expiry(self):
        """Pauses a start past the expiry of its lease.

        All tasks that were ever started are returned, since the next holder
        soon stops a task whose placement has ended.

        Returns:
            The results of the start, and the ids of all tasks.
        """
        async with self.fleet(
            entries=("e1", "e2"),
            ports={"e1": PausedStart},
            w0={"run_seconds": 3600},
        ) as (_, peers_by_id, workers, (old, new)):
            await new.publish(submit("j0"))
            async with asyncio.timeout(20):
                await old.workers.paused.wait()
            await new.publish(cancel("j0"))
            peers_by_id["e2"].entry_id = "e2"
            await until(lambda: new.job().state is JobState.CANCELLED)
            old.workers.resume.set()
            await until(lambda: old.workers.results)
            return old.workers.results, list(workers["w0"].task_by_id)

    async def test_paused_holder_starts_nothing(self):
        """Guards against a task started under an expired or older lease."""
        results, tasks = await self._resume_after_expiry()
        self.assertEqual((results, tasks), (["wrong_lease_number"], []))

    async def test_worker_check_alone_fences_a_paused_holder(self):
        """Shows that the test above fails if the worker omits the check."""

        def start(self, asked, now):
            task = worker.Task(asked, now, now)
            asked.run_seconds = self.run_seconds
            self.task_by_id[asked.task_id] = task
            return task

        with mock.patch.object(worker.Worker, "start", start):
            results, tasks = await self._resume_after_expiry()
        self.assertEqual((results, len(tasks)), (["running"], 1))


class LostStartTest(FleetCase):
    """A start whose response is lost."""

    @contextlib.asynccontextmanager
    async def delayed_start(self):
        """Yields peers, workers and an entry with an undelivered start."""
        async with self.fleet(
            ports={"e1": LostStart}, w0={"run_seconds": 3600}
        ) as (_, peers_by_id, workers, (entry,)):
            await entry.publish(submit("j0"))
            await until(lambda: entry.workers.delayed_starts)
            yield peers_by_id, workers, entry

    async def cancel_job(self, entry):
        await entry.publish(cancel("j0"))
        await until(lambda: entry.job().state is JobState.CANCELLED)

    async def check_refused(self, workers, entry, start):
        """Delivers a delayed start, which the worker must refuse."""
        address, task = start
        with self.assertRaises(WorkerRefused):
            await HttpWorkers.start(
                entry.workers, address, task, time.time() + 5
            )
        self.assertEqual(running_tasks(workers), [])

    async def test_late_start_of_a_cancelled_job_is_refused(self):
        """Guards against a task started after its placement has ended."""
        async with self.delayed_start() as (_, workers, entry):
            await self.cancel_job(entry)
            start = entry.workers.delayed_starts[-1]
            await self.check_refused(workers, entry, start)

    async def test_returning_scheduler_takes_a_newer_lease(self):
        """Guards against a delayed start under a lease that is reused."""
        async with self.delayed_start() as (peers_by_id, workers, entry):
            peers_by_id["e1"].entry_id = "e2"
            await until(lambda: not entry.jobs._reconciler_by_id)
            start = entry.workers.delayed_starts[-1]
            peers_by_id["e1"].entry_id = "e1"
            await self.cancel_job(entry)
            await self.check_refused(workers, entry, start)


class ProcessTest(unittest.TestCase):
    """Entries and workers in separate processes."""

    def _usage(self, addresses):
        return [
            line
            for address in addresses
            for line in call(address, "/usage")["tasks"]
        ]

    def test_frozen_scheduler(self):
        """Guards against jobs stuck or run twice after SIGSTOP and SIGCONT."""
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
            wait_until(
                lambda: self._all_done(frozen, 8),
                "the entry has caught up",
            )
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
