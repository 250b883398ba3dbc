"""The soak's checks, and one short seed of it."""

import asyncio
import pathlib
import tempfile
import unittest

from standins.platform.worker import RunHistory
from standins.soak.callers import Attempt, JobKind, Sighting, SoakJob
from standins.soak.checks import Record, Withdrawal, violations
from standins.soak.run import Plan, play

JOB = "a000000000000001"
TASK = f"{JOB}.0.0.0"


def make_job(*states: str, status: int | None = 200, **fields) -> SoakJob:
    sightings = [
        Sighting("n0", 20.0 + at, 20.5 + at, state)
        for at, state in enumerate(states)
    ]
    return SoakJob(
        JOB,
        JobKind.SHORT,
        "key",
        [{"count": 1}],
        [Attempt(1.0, status)],
        sightings,
        **fields,
    )


def make_run(
    run: int = 1,
    begin: float = 2.0,
    end: float | None = 3.0,
    how: str = "done",
    noted: bool = True,
    task: str = TASK,
) -> RunHistory:
    return RunHistory(task, run, begin, end, how, noted)


class CheckTest(unittest.TestCase):
    def found(self, job: SoakJob, *runs: RunHistory, withdrawals=()) -> set:
        record = Record([job], list(runs), list(withdrawals), 5.0, [])
        return {line.partition(":")[0] for line in violations(record)}

    def test_a_kept_promise_is_not_reported(self):
        """Guards against alarms that hide the real ones."""
        runs = (make_run(1, 1.5, 1.9, "lapsed"), make_run(2))
        self.assertEqual(
            self.found(make_job("running", "completed"), *runs), set()
        )

    def test_each_broken_promise_is_reported(self):
        """Guards against a check that can't fail."""
        completed = make_job("completed")
        second = f"{JOB}.0.1.0"
        cases = (
            ("TWICE", completed, [make_run(1, 2.0, 4.0), make_run(2, 3.0)]),
            ("TWICE", completed, [make_run(1), make_run(2, 6.0, 7.0)]),
            (
                "BUDGET",
                completed,
                [
                    make_run(1, 1.1, 1.2, "failed"),
                    make_run(2, 1.3, 1.4, "failed"),
                    make_run(3),
                ],
            ),
            (
                "ORDER",
                completed,
                [make_run(), make_run(begin=2.5, task=second)],
            ),
            ("REFUSED", make_job(status=503), [make_run()]),
            (
                "UNASKED",
                make_job("cancelled", cancel_sent_at=6.0, cancelled_at=6.1),
                [make_run(1, 14.0, 15.0)],
            ),
            ("UNASKED", completed, [make_run(task="b000000000000001.0.0.0")]),
            ("STATE", make_job("completed", "running"), [make_run()]),
            ("MIXED", completed, [make_run(how="lapsed")]),
            ("LOST", make_job("running"), [make_run()]),
            ("LOST", make_job("", "completed"), [make_run()]),
            ("LOST", make_job("failed"), [make_run()]),
        )
        for name, job, runs in cases:
            with self.subTest(name):
                self.assertIn(name, self.found(job, *runs))

    def test_a_withdrawn_key_is_reported(self):
        """Guards against keys that work after their withdrawal."""
        job = make_job("completed")
        late = [Withdrawal("key", -5.0)]
        self.assertIn("KEY", self.found(job, make_run(), withdrawals=late))
        early = [Withdrawal("key", -3.0)]
        self.assertEqual(self.found(job, make_run(), withdrawals=early), set())


class SoakTest(unittest.TestCase):
    def test_a_short_seed_keeps_the_promises(self):
        """Guards against faults that overlap on real processes."""
        plan = Plan(seed=1, length_s=8.0, entries=3, workers=3, callers=3)
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(play(plan, pathlib.Path(folder)))
        self.assertEqual(report.violations, [], report.faults)
        self.assertGreater(report.runs, 0)
