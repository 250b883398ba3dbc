"""Jobs and a wave over the same guarded workers, with real processes."""

import itertools
import unittest
from collections.abc import Iterator

from sardinedrift.routing import rendezvous
from standins import downtimes, promises, wavebench
from standins.downtimes import Downtime, TaskRun
from standins.fleet import call, running_fleet, wait_until
from standins.history import Execution, peak_running_by_team

POOL = wavebench.POOL
TEAM = "red"
LIMIT = 6
WORKERS = ("w0", "w1")
MAX_UNAVAILABLE = 1
JOBS = 10
RUN_SECONDS = 1.5
# Longer than the lease of a killed driver, so that its successor finds the
# task running.
LONG_RUN_SECONDS = 7.0
LONG_WORKER = "w1"
# Three jobs fit on a worker, so both workers together hold `LIMIT` jobs.
CORES = 10


def _worker_changes(address_by_worker) -> Iterator[dict]:
    for name, address in address_by_worker.items():
        yield {
            "type": "PutInstance",
            "instance_id": name,
            "kind": "worker",
            "data_centre_id": "dc1",
            "pool_id": POOL,
            "rack": name,
            "address": address,
            "cores": 32,
            "memory_gb": 64,
        }


def _job_changes() -> Iterator[dict]:
    for number in range(JOBS):
        yield {
            "type": "SubmitJob",
            "job_id": f"j{number}",
            "team_id": TEAM,
            "pool_id": POOL,
            "cores": CORES,
            "memory_gb": 1,
            # A drain stops preemptible jobs and waits for the others.
            "preemptible": number % 2 == 0,
        }


class JobWavePromiseTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet = self.enterContext(running_fleet())
        fleet.start_platform()
        with promises.starting_entries(fleet, ["dc1"], 3) as self.entries:
            self.address_by_worker = {
                name: fleet.start_worker(
                    name, "dc1", "--run-seconds", str(self.run_seconds(name))
                )
                for name in WORKERS
            }
        fleet.publish(
            {
                "type": "PutDataCentre",
                "data_centre_id": "dc1",
                "region": "north",
            },
            wavebench.pool_change(POOL, MAX_UNAVAILABLE, MAX_UNAVAILABLE),
            {"type": "PutTeam", "team_id": TEAM, "share": 1, "limit": LIMIT},
            *_worker_changes(self.address_by_worker),
            *_job_changes(),
            atomic=True,
        )

    def run_seconds(self, worker) -> float:
        return LONG_RUN_SECONDS if worker == LONG_WORKER else RUN_SECONDS

    def tasks(self) -> list[TaskRun]:
        return downtimes.read_tasks(self.address_by_worker)

    def start_wave(self):
        """Starts a wave whose driver is also the scheduler of the pool.

        Returns:
            The driver and the id of the wave.
        """
        entry_by_id = {
            self.fleet.status(each)["entry_id"]: each for each in self.entries
        }
        scheduler = rendezvous(f"scheduler/{POOL}", entry_by_id)
        wave_id = next(
            name
            for name in map("w{}".format, itertools.count())
            if rendezvous(f"wave/{name}/dc1", entry_by_id) == scheduler
        )
        # Without a canary, only the budget delays the second worker.
        wavebench.start_wave(self.fleet, wave_id, canary=0)
        return entry_by_id[scheduler], wave_id

    def is_busy_worker_draining(self) -> bool:
        """Returns whether a worker is draining while a task runs on it."""
        rows = call(self.entries[0].admin, "/v1/instances")["items"]
        draining = {e["instance_id"] for e in rows if e["state"] == "draining"}
        return any(
            each.worker in draining and each.state == "running"
            for each in self.tasks()
        )

    def open_jobs(self) -> list[dict]:
        entry = next(iter(self.fleet.entry_by_name.values()))
        rows = call(entry.admin, "/v1/jobs")["items"]
        return [each for each in rows if each["state"] != "done"]

    def find_violations(self) -> list[str]:
        """Returns the violations in the records of workers and platform."""
        reboots = downtimes.read_downtimes(self.fleet)
        pool_by_worker = dict.fromkeys(WORKERS, POOL)
        tasks = self.tasks()
        return [
            *downtimes.budget_violations(
                reboots, pool_by_worker, MAX_UNAVAILABLE
            ),
            *downtimes.repeatedly_rebooted(reboots),
            *downtimes.interrupted_tasks(tasks, reboots),
            *downtimes.duplicate_starts(tasks),
        ]

    def test_wave_over_busy_workers_with_a_killed_driver(self):
        """Guards against jobs interrupted, started twice or lost in a wave."""
        wait_until(
            lambda: len(self.tasks()) >= LIMIT,
            "as many jobs run as the limit allows",
        )
        self.fleet.control(
            self.address_by_worker[LONG_WORKER], run_seconds=RUN_SECONDS
        )
        driver, wave_id = self.start_wave()
        wait_until(
            self.is_busy_worker_draining, "a worker with a running task drains"
        )
        self.fleet.kill(driver.name)
        wave = wavebench.wait_wave(self.fleet, wave_id)
        wait_until(lambda: not self.open_jobs(), "every job is done")
        self.assertEqual(wave["state"], "done", wave)
        self.assertEqual(set(wave["step_by_instance"].values()), {"back"})
        reboots = downtimes.read_downtimes(self.fleet)
        self.assertEqual(
            sorted(each.instance_id for each in reboots), sorted(WORKERS)
        )
        self.assertEqual(self.find_violations(), [])
        self.check_completed_jobs()

    def check_completed_jobs(self):
        """Checks that each job was completed once, with the limit reached."""
        tasks = self.tasks()
        done = sorted(e.job_id for e in tasks if e.state == "done")
        self.assertEqual(done, sorted(f"j{n}" for n in range(JOBS)))
        others = {e.state for e in tasks if e.state != "done"}
        self.assertLessEqual(others, {"stopped"})
        runs = [
            Execution(e.job_id, TEAM, e.worker, e.start, e.end) for e in tasks
        ]
        self.assertEqual(peak_running_by_team(runs), {TEAM: LIMIT})


class TaskCheckTest(unittest.TestCase):
    def test_second_start_of_a_job_is_noticed(self):
        """Guards against a check that overlooks a job started twice."""

        def check(*tasks):
            each = [TaskRun("j", *task, "done") for task in tasks]
            return len(list(downtimes.duplicate_starts(each)))

        self.assertEqual(check(("a", 1, 1, 2), ("b", 1, 2, 3)), 0)
        self.assertEqual(check(("a", 1, 1, 2), ("a", 2, 2, 3)), 0)
        self.assertEqual(check(("a", 1, 1, 2), ("a", 1, 2, 3)), 1)
        self.assertEqual(check(("a", 1, 1, 3), ("b", 2, 2, 4)), 1)

    def test_reboot_under_a_task_is_noticed(self):
        """Guards against a check that overlooks an interrupted task."""
        reboots = [Downtime("a", 2, 3)]

        def check(*task):
            each = [TaskRun("j", *task, "done")]
            return len(list(downtimes.interrupted_tasks(each, reboots)))

        self.assertEqual(check("a", 1, 1, 2), 0)
        self.assertEqual(check("a", 1, 3, 4), 0)
        self.assertEqual(check("b", 1, 1, 4), 0)
        self.assertEqual(check("a", 1, 1, 2.5), 1)
        self.assertEqual(check("a", 1, 2.5, 4), 1)
