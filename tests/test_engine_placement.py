"""Tests of task placement, job transitions and lease bounds, without I/O."""

import unittest

import msgspec

from sardinedrift.engine.model import (
    JobState,
    RunEnd,
    RunPhase,
    Size,
    Team,
    WorkerId,
)
from sardinedrift.engine.objectives import misses_objective
from sardinedrift.engine.occurrence import critical_path_ms
from sardinedrift.engine.placement import order_jobs
from sardinedrift.engine.teamuse import TeamUse
from sardinedrift.engine.work import Job
from sardinedrift.engine.workerprocess import WorkerClock
from tests.engine_samples import OTHER_TEAM, make_job, make_worker, plan
from tests.engine_world import (
    QUEUE,
    TEAM,
    long_running,
    policies,
    short,
    submission,
)


class PlacementTest(unittest.TestCase):
    def test_capacity_is_not_exceeded(self):
        """Guards against tasks that exceed the capacity of a worker."""
        job = make_job("a", short(40))
        placed = plan([job], [make_worker("w0"), make_worker("w1")])
        self.assertEqual(len(placed), 32)
        self.assertEqual(len(job.waiting), 8)

    def test_tasks_are_packed_on_few_workers(self):
        """Guards against tasks spread out so that no machine can move."""
        workers = [make_worker(f"w{number}") for number in range(4)]
        placed = plan(
            [make_job("a", short(6)), make_job("b", short(6))], workers
        )
        self.assertEqual(len(set(placed.values())), 1)

    def test_spread_limit_holds_for_a_step(self):
        """Guards against more tasks of a step on a worker than allowed."""
        job = make_job("a", long_running(5, max_per_worker=2))
        placed = plan([job], [make_worker("w0"), make_worker("w1")])
        self.assertEqual(len(placed), 4)

    def test_label_and_data_decide_the_worker(self):
        """Guards against workers without the label or far from the data."""
        workers = [make_worker("w0", "a", "r1"), make_worker("w1", "b", "r2")]
        labelled = plan([make_job("a", short(1, label="b"))], workers)
        near = plan([make_job("b", short(1, data_rack="r1"))], workers)
        self.assertEqual(list(labelled.values()), ["w1"])
        self.assertEqual(list(near.values()), ["w0"])

    def test_only_workers_with_a_ticket_run_an_advised_step(self):
        """Guards against starts that the advice service does not permit."""
        workers = [make_worker("w0"), make_worker("w1")]
        permitted = frozenset({WorkerId("w1")})
        placed = plan(
            [make_job("a", short(2))],
            workers,
            permitted_workers=lambda task: permitted,
        )
        self.assertEqual(set(placed.values()), {"w1"})

    def test_the_members_of_a_gang_start_from_one_checkpoint(self):
        """Guards against members that resume from different points.

        Each member kept the checkpoint of its own last run, and some had none.
        """
        job = make_job("a", short(4, gang=True))
        for task, checkpoint in zip(
            job.tasks(), ("", "c1", "c2"), strict=False
        ):
            task.checkpoint = checkpoint
        self.assertEqual(len(plan([job], [make_worker("w0")])), 4)
        checkpoints = [task.checkpoint for task in job.tasks()]
        self.assertEqual(checkpoints, ["c1"] * 4)

    def test_a_gang_starts_whole_or_not_at_all(self):
        """Guards against members that wait for others that cannot start."""
        job = make_job("a", short(17, gang=True))
        self.assertEqual(plan([job], [make_worker("w0")]), {})
        placed = plan([job], [make_worker("w0"), make_worker("w1")])
        self.assertEqual(len(placed), 17)
        self.assertEqual({t.run.number for t in job.active.values()}, {1})

    def test_the_limit_of_a_team_holds_over_all_pools(self):
        """Guards against a limit that is enforced for each pool separately."""
        team = Team(TEAM, 1.0, Size(cpu=8000))
        use = TeamUse({TEAM: team})
        first = plan([make_job("a", short(3))], [make_worker("w0")], use)
        second = plan([make_job("b", short(3))], [make_worker("w1")], use)
        self.assertEqual((len(first), len(second)), (3, 1))

    def test_the_team_with_least_use_for_its_weight_comes_first(self):
        """Guards against a client account that occupies a full pool alone."""
        policy_by_id = policies()
        use = TeamUse(
            {TEAM: Team(TEAM, 3.0), OTHER_TEAM: Team(OTHER_TEAM, 1.0)}
        )
        use.add(TEAM, Size(cpu=4000))
        use.add(OTHER_TEAM, Size(cpu=2000))
        jobs = [
            make_job("a", short(1), team_id=OTHER_TEAM),
            make_job("b", short(1)),
        ]
        ordered = order_jobs(jobs, policy_by_id, use, 0)
        self.assertEqual([job.job_id for job in ordered], ["b", "a"])

    def test_jobs_that_can_be_on_time_come_first(self):
        """Guards against an overload in which every job is late.

        With the earliest objective first, a backlog that is late already keeps
        the jobs behind it waiting until they are late as well.
        """
        policy_by_id = policies()
        late = make_job("a", short(1), accepted_ms=1000)
        on_time = make_job("b", short(1), accepted_ms=1600)
        for now_ms, expected in ((1000, ["a", "b"]), (2000, ["b", "a"])):
            for queue_id, policy in policy_by_id.items():
                policy_by_id[queue_id] = msgspec.structs.replace(
                    policy, latency_ms=150
                )
            ordered = order_jobs(
                [late, on_time], policy_by_id, TeamUse({}), now_ms
            )
            self.assertEqual([job.job_id for job in ordered], expected)

    def test_started_jobs_are_completed_before_others_start(self):
        """Guards against jobs in progress that delay each other (thrashing).

        When each arriving job gets some tasks started, all become late.
        """
        policy_by_id = policies()
        first = make_job("a", short(20), accepted_ms=100)
        plan([first], [make_worker("w0", cpu=4_000)])
        second = make_job("b", short(1), team_id=OTHER_TEAM)
        ordered = order_jobs([second, first], policy_by_id, TeamUse({}), 0)
        self.assertEqual([job.job_id for job in ordered], ["a", "b"])

    def test_a_later_step_is_late_by_what_remains(self):
        """Guards against a job put behind others although it can be on time."""
        policy_by_id = policies()
        (policy,) = policy_by_id.values()
        job = make_job("a", short(1), short(1, after=(0,)))
        self.assertTrue(misses_objective(job, policy, 501))
        plan([job], [make_worker("w0")])
        (task,) = job.active.values()
        job.end_run(task, RunEnd.DONE, "", 3, 0)
        self.assertFalse(misses_objective(job, policy, 750))
        self.assertTrue(misses_objective(job, policy, 751))

    def test_a_worker_that_fails_everything_gets_no_more(self):
        """Guards against a faulty worker that uses up all attempts of tasks."""
        workers = [make_worker("w0"), make_worker("w1")]
        for _ in range(2):
            workers[0].record_outcome(False, 10.0)
        placed = plan([make_job("a", short(3))], workers, now=11.0)
        self.assertEqual(set(placed.values()), {"w1"})

    def test_a_retry_avoids_the_worker_of_the_failure(self):
        """Guards against a retry on the worker where the task has failed."""
        job = make_job("a", short(1))
        workers = [make_worker("w0"), make_worker("w1")]
        (task_id,) = plan([job], workers)
        failed = job.active[task_id].run
        workers[0 if failed.worker_id == "w0" else 1].remove(failed)
        job.end_run(job.active[task_id], RunEnd.FAILED, "", 3, 0)
        placed = plan([job], workers)
        self.assertNotEqual(placed[task_id], failed.worker_id)


class JobTest(unittest.TestCase):
    def test_recorded_progress_restores_the_job(self):
        """Guards against tasks that a new controller loses or runs twice."""
        job = make_job("a", short(2), short(1, after=(0,)))
        worker = make_worker("w0")
        plan([job], [worker])
        first, second = list(job.active.values())
        job.end_run(first, RunEnd.DONE, "", 2, 0)
        restored = Job(job.submission)
        restored.restore(job.record(), 5.0)
        self.assertEqual(list(restored.active), [second.task_id])
        self.assertEqual(restored.waiting, {})
        run = restored.active[second.task_id].run
        self.assertEqual((run.number, run.phase), (1, RunPhase.ORDERED))

    def test_a_long_running_task_waits_again_however_it_ends(self):
        """Guards against a long-running task that is not restarted."""
        job = make_job("a", long_running(1))
        for how in RunEnd:
            (task,) = job.waiting.values()
            job.place(task, WorkerId("w0"), 1, 0.0)
            job.end_run(task, how, "", 1, 0)
            self.assertEqual(len(job.waiting), 1, how)
        self.assertIs(job.state, JobState.RUNNING)

    def test_occurrences_open_when_they_are_due(self):
        """Guards against an occurrence that starts before its time."""
        timed = submission("a", short(1))
        timed = type(timed)(
            timed.job_id, QUEUE, TEAM, 0, "", timed.steps, 2, 1000, 500
        )
        job = Job(timed)
        self.assertFalse(job.create_due_occurrences(999))
        self.assertTrue(job.create_due_occurrences(1000))
        self.assertEqual(len(job.waiting), 1)
        self.assertTrue(job.create_due_occurrences(1500))
        self.assertEqual(len(job.waiting), 2)

    def test_the_critical_path_follows_dependencies(self):
        """Guards against an objective that sums the times of parallel steps."""
        steps = (short(1), short(1), short(1, after=(0,)))
        self.assertEqual(critical_path_ms(steps), 1000)


class LeaseTest(unittest.TestCase):
    def test_a_slow_clock_delays_the_certain_end(self):
        """Guards against a lease that is still valid by a slow clock."""
        worker = make_worker("w0")
        worker.process.clock = WorkerClock(1000, 0.0)
        worker.process.lease_ms = 5500
        self.assertFalse(worker.lease_expired(4.55))
        self.assertTrue(worker.lease_expired(4.6))

    def test_leases_of_an_earlier_controller_count(self):
        """Guards against ending a lease that an earlier controller granted."""
        worker = make_worker("w0")
        worker.contacted = False
        worker.previous_lease_expires_at = 7.0
        self.assertFalse(worker.lease_expired(6.9))
        self.assertTrue(worker.lease_expired(7.0))
