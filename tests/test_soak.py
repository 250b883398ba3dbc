"""Tests of the soak test: its checks, and one short seed."""

import asyncio
import pathlib
import tempfile
import unittest

from standins.platform.worker import RunHistory, UnreadAcknowledgement
from standins.soak.callers import JobKind, SoakJob, StateReport, Submission
from standins.soak.checks import (
    Evacuation,
    Observations,
    Withdrawal,
    violations,
)
from standins.soak.run import Plan, run_seed

JOB = "a000000000000001"
TASK = f"{JOB}.0.0.0"


def make_job(*states: str, status: int | None = 200, **fields) -> SoakJob:
    state_reports = [
        StateReport("n0", 20.0 + index, 20.5 + index, state)
        for index, state in enumerate(states)
    ]
    return SoakJob(
        JOB,
        JobKind.SHORT,
        "key",
        [{"count": 1}],
        [Submission(1.0, status)],
        state_reports,
        **fields,
    )


def make_run(
    run: int = 1,
    started_at: float = 2.0,
    ended_at: float | None = 3.0,
    how: str = "done",
    acknowledged: bool = True,
    task: str = TASK,
) -> RunHistory:
    return RunHistory(task, run, started_at, ended_at, how, acknowledged)


class CheckTest(unittest.TestCase):
    def violation_kinds(
        self,
        job: SoakJob,
        *runs: RunHistory,
        withdrawals=(),
        unread=(),
        evacuations=(),
    ) -> set:
        observations = Observations(
            [job],
            list(runs),
            list(withdrawals),
            5.0,
            [],
            list(unread),
            list(evacuations),
        )
        return {line.partition(":")[0] for line in violations(observations)}

    def test_correct_behaviour_is_not_reported(self):
        """Guards against false alarms, which hide real violations."""
        runs = (make_run(1, 1.5, 1.9, "lapsed"), make_run(2))
        self.assertEqual(
            self.violation_kinds(make_job("running", "completed"), *runs), set()
        )

    def test_each_violation_is_reported(self):
        """Guards against a check that cannot fail."""
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
                [make_run(), make_run(started_at=2.5, task=second)],
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
            (
                "LAPSED",
                completed,
                [make_run(1, 9.1, 13.6, "lapsed"), make_run(2, 13.7, 14.0)],
            ),
            ("LOST", make_job("running"), [make_run()]),
            ("LOST", make_job("", "completed"), [make_run()]),
            ("LOST", make_job("failed"), [make_run()]),
        )
        for name, job, runs in cases:
            with self.subTest(name):
                self.assertIn(name, self.violation_kinds(job, *runs))

    def test_an_unread_acknowledgement_is_reported(self):
        """Guards against ends that a worker forgets without being noticed."""
        unread = [UnreadAcknowledgement("w0", 7)]
        self.assertEqual(
            self.violation_kinds(
                make_job("completed"), make_run(), unread=unread
            ),
            {"UNREAD"},
        )

    def test_a_withdrawn_key_is_reported(self):
        """Guards against an undetected use of a withdrawn key."""
        job = make_job("completed")
        late = [Withdrawal("key", -5.0)]
        self.assertIn(
            "KEY", self.violation_kinds(job, make_run(), withdrawals=late)
        )
        early = [Withdrawal("key", -3.0)]
        self.assertEqual(
            self.violation_kinds(job, make_run(), withdrawals=early), set()
        )

    def test_a_start_in_an_evacuated_data_centre_is_reported(self):
        """Guards against an undetected start after the bound.

        The faults end at 5 s and may have effects until 9 s.
        """
        for started_at, zone, expected in (
            (13.9, "a", set()),
            (14.1, "a", {"EVACUATED"}),
            (14.1, "b", set()),
            (30.1, "a", set()),
        ):
            run = make_run(1, started_at, started_at + 0.5)
            run.zone = zone
            kinds = self.violation_kinds(
                make_job("running"), run, evacuations=[Evacuation("a", 1, 30)]
            )
            self.assertEqual(kinds - {"LOST"}, expected, (started_at, zone))


class SoakTest(unittest.TestCase):
    def test_a_short_seed_has_no_violations(self):
        """Guards against violations when faults on real processes overlap."""
        plan = Plan(seed=1, duration_s=8.0, entries=3, workers=3, callers=3)
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run_seed(plan, pathlib.Path(folder)))
        self.assertEqual(report.violations, [], report.faults)
        self.assertGreater(report.runs, 0)
