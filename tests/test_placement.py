"""Fold of jobs: its invariants hold under any order of records."""

import unittest
from unittest import mock

import hypothesis.strategies as st
from hypothesis import Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from sardinedrift import changes as ch
from sardinedrift import placement, snapshots
from sardinedrift.identifiers import (
    InstanceState,
    JobState,
    JobStep,
    MoveState,
)
from tests.sample_changes import (
    Log,
    cancel,
    drain_ack,
    join,
    new_change_id,
    place,
    progress,
    put_data_centre,
    put_pool,
    put_team,
    put_worker,
    start_move,
    submit,
    take_lease,
)

WORKERS = ("w0", "w1")
LIMIT = 3


def fleet():
    log = Log()
    log.append(put_team(limit=LIMIT), put_data_centre())
    log.append(put_pool(), put_pool("spare"), join("e1"))
    log.append(*(put_worker(each) for each in WORKERS))
    log.append(*(take_lease(each) for each in WORKERS))
    return log


class PlacementMachine(RuleBasedStateMachine):
    """State machine: records of drivers, teams and operators in any order."""

    def __init__(self):
        super().__init__()
        self.log = fleet()
        self.reports = []
        self.number = 0

    @property
    def tables(self):
        return self.log.state.tables

    def _pick(self, index, *states):
        jobs = self.tables.job_by_id.values()
        job_ids = [job.job_id for job in jobs if job.state in states]
        return job_ids[index % len(job_ids)] if job_ids else None

    @rule(cores=st.integers(1, 9))
    def submit(self, cores):
        self.number += 1
        self.log.append(submit(f"j{self.number}", cores=cores))

    @rule(
        cores=st.integers(1, 5),
        worker=st.sampled_from(WORKERS),
    )
    def submit_and_place(self, cores, worker):
        self.submit(cores)
        self.place(self.number, worker, older=False)

    @rule(
        index=st.integers(0, 7),
        worker=st.sampled_from(WORKERS),
        older=st.booleans(),
    )
    def place(self, index, worker, older):
        job = self._pick(index, *JobState)
        if job:
            lease = self.tables.worker_use_by_instance[worker].lease - older
            (result,) = self.log.append(place(self.log, job, worker, lease))
            assert not (older and result.accepted)

    @rule(
        index=st.integers(0, 7),
        step=st.sampled_from(JobStep),
        memory_gb=st.none() | st.integers(1, 20),
    )
    def report(self, index, step, memory_gb):
        job = self._pick(index, *placement.PLACED_STATES)
        if job:
            change = progress(self.log, job, step, memory_gb=memory_gb)
            self.reports.append(change)
            self.log.append(change)

    @rule(index=st.integers(0, 1000), repeated=st.booleans())
    def report_again(self, index, repeated):
        """Checks that a late report changes no other placement.

        Late reports are repeated with their own or with a new change id.
        """
        if not self.reports:
            return
        late = self.reports[index % len(self.reports)]
        if not repeated:
            late = ch.JobProgress(
                **{
                    name: getattr(late, name)
                    for name in late.__struct_fields__
                    if name != "change_id"
                },
                change_id=new_change_id(),
            )
        before = self.tables.job_by_id[late.job_id]
        self.log.append(late)
        after = self.tables.job_by_id[late.job_id]
        if repeated or before.place != late.place:
            assert before == after

    @rule(index=st.integers(0, 7))
    def cancel(self, index):
        job = self._pick(index, *JobState)
        if job:
            self.log.append(cancel(job))

    @rule(units=st.integers(1, 3), returned=st.booleans())
    def request_units(self, units, returned):
        change = ch.AllowanceReturn if returned else ch.AllowanceTake
        self.log.append(
            change(
                publisher_id="e1",
                sequence=len(self.log.records) + 1,
                units_by_team={"red": units},
            )
        )

    @rule(worker=st.sampled_from(WORKERS))
    def take_lease(self, worker):
        self.log.append(take_lease(worker))

    @rule(worker=st.sampled_from(WORKERS), cores=st.integers(2, 9))
    def resize(self, worker, cores):
        current = self.tables.instance_by_id[worker]
        self.log.append(
            put_worker(
                worker, current.pool_id, cores, revision=current.revision
            )
        )

    @rule(worker=st.sampled_from(WORKERS), pool=st.sampled_from(("spare",)))
    def move(self, worker, pool):
        current = self.tables.instance_by_id[worker]
        self.number += 1
        self.log.append(
            start_move(
                worker,
                "pairing" if current.pool_id == pool else pool,
                f"v{self.number}",
                current.revision,
            )
        )

    @rule(worker=st.sampled_from(WORKERS))
    def acknowledge(self, worker):
        if self.tables.instance_by_id[worker].drain:
            self.log.append(drain_ack(self.log.state, worker))

    @invariant()
    def sizes_hold(self):
        for worker in WORKERS:
            size = self.tables.instance_by_id[worker]
            jobs = self.log.state.placed_jobs(worker)
            assert sum(job.cores for job in jobs) <= size.cores
            assert sum(job.memory_gb for job in jobs) <= size.memory_gb

    @invariant()
    def one_place_each(self):
        placed = [
            (job.job_id, worker)
            for worker in WORKERS
            for job in self.log.state.placed_jobs(worker)
        ]
        expected = {
            (job.job_id, job.instance_id)
            for job in self.tables.job_by_id.values()
            if job.state in placement.PLACED_STATES
        }
        assert len(placed) == len(expected)
        assert set(placed) == expected

    @invariant()
    def limit_holds(self):
        held = self.tables.allowances_by_team["red"]
        states = [job.state for job in self.tables.job_by_id.values()]
        placed = sum(each in placement.PLACED_STATES for each in states)
        assert sum(held.units_by_entry.values()) + placed <= LIMIT
        assert held.jobs == placed
        assert held.waiting_jobs == states.count(JobState.WAITING)

    @invariant()
    def pool_holds(self):
        for job in self.tables.job_by_id.values():
            if job.instance_id:
                worker = self.tables.instance_by_id[job.instance_id]
                assert worker.pool_id == job.pool_id


def run_machine(examples=60):
    run_state_machine_as_test(
        PlacementMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=30,
            derandomize=True,
            deadline=None,
            database=None,
            phases=(Phase.generate,),
        ),
    )


class PlacementTest(unittest.TestCase):
    def _placed(self, job_id="j0", **fields):
        log = fleet()
        log.append(submit(job_id, **fields))
        (result,) = log.append(place(log, job_id, "w0"))
        self.assertTrue(result.accepted, result)
        return log

    def test_invariants_hold_in_any_order(self):
        """Guards against overcommitted workers, double placement and limits."""
        run_machine()

    def test_machine_finds_a_missing_check(self):
        """Guards against invariants that hold even without the checks."""
        checks = ("_check_fits", "_end_placement")
        broken = {
            "_check_fits": lambda *_: None,
            "_end_placement": lambda state, job, *_, **__: placement._put_job(
                state, job, state=JobState.WAITING, instance_id=None
            ),
        }
        for name in checks:
            with (
                self.subTest(name),
                mock.patch.object(placement, name, broken[name]),
                self.assertRaises(AssertionError),
            ):
                run_machine(300)

    def test_machine_finds_units_taken_beyond_the_limit(self):
        """Guards against a limit that is checked for requests only."""
        with (
            mock.patch("sardinedrift.state.State.unallocated", lambda *_: 1),
            self.assertRaises(AssertionError),
        ):
            run_machine(300)

    def test_job_that_fits_no_worker_is_refused(self):
        """Guards against a job that waits forever for a larger worker."""
        log = fleet()
        (result,) = log.append(submit("j0", cores=9))
        self.assertEqual((result.code, result.field), ("never_fits", "cores"))
        self.assertIn("w1 with 8 cores, 16 GB", result.message)

    def test_drain_waits_for_placed_jobs(self):
        """Guards against a worker that is moved while a job runs on it."""
        log = self._placed()
        revision = log.state.tables.instance_by_id["w0"].revision
        log.append(start_move("w0", "spare", "v", revision))
        log.append(drain_ack(log.state, "w0"), submit("j1"))
        self.assertEqual(
            log.append(place(log, "j1", "w0"))[0].code, "not_active"
        )
        move = log.state.tables.move_by_id
        self.assertIs(move["v"].state, MoveState.DRAINING)
        log.append(progress(log, "j0", JobStep.STOPPED))
        self.assertIs(move["v"].state, MoveState.DONE)
        worker = log.state.tables.instance_by_id["w0"]
        self.assertIs(worker.state, InstanceState.ACTIVE)

    def test_report_under_an_older_lease_ends_no_placement(self):
        """Guards against an end reported by a superseded lease holder."""
        log = self._placed()
        late = progress(log, "j0", JobStep.STOPPED)
        log.append(take_lease("w0"))
        self.assertEqual(log.append(late)[0].code, "older_lease")
        self.assertEqual(len(log.state.placed_jobs("w0")), 1)

    def test_learned_size_is_used_or_ends_the_job(self):
        """Guards against placing a job on a worker known to be too small."""
        for learned, state in ((9, JobState.WAITING), (17, JobState.FAILED)):
            log = self._placed()
            log.append(progress(log, "j0", JobStep.STOPPED, memory_gb=learned))
            job = log.state.tables.job_by_id["j0"]
            self.assertEqual((job.memory_gb, job.state), (learned, state))
        self.assertEqual(job.reason, "too_large")

    def test_retries_are_bounded(self):
        """Guards against unlimited retries of a failing job."""
        log = self._placed()
        for _ in range(placement.MAX_TRIES - 1):
            log.append(progress(log, "j0", JobStep.FAILED))
            log.append(place(log, "j0", "w0"))
        log.append(progress(log, "j0", JobStep.FAILED))
        job = log.state.tables.job_by_id["j0"]
        self.assertIs(job.state, JobState.FAILED)

    def test_snapshot_keeps_jobs(self):
        """Guards against jobs missing in the snapshot read by a new entry."""
        log = self._placed()
        batch = ch.Batch(tuple(snapshots.chunks(log.state, "s1")))
        restored = snapshots.newest([batch])
        self.assertEqual(
            restored.placed_jobs("w0"), log.state.placed_jobs("w0")
        )
