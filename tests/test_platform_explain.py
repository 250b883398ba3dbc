"""Explains outcomes of jobs from the logs of real processes."""

from sardinedrift import explain
from standins.platform.program import Program
from tests.platform_case import (
    CONFIGURATION,
    JOB,
    STEP,
    PlatformTest,
)

BAD_POOL = {
    **CONFIGURATION,
    "version": 2,
    "routes": [
        {**route, "service": "bad"} for route in CONFIGURATION["routes"]
    ],
    "services": [{"name": "bad"}],
}


class ExplainTest(PlatformTest):
    def explain(self, programs: list[Program]) -> explain.Explanation:
        files = [program.log.open("rb") for program in programs]
        for file in files:
            self.addCleanup(file.close)
        return explain.explain(JOB, files)

    async def wait_for_state(self, program: Program, state: str) -> None:
        async def reached() -> bool:
            return await self.state(program) == state

        await self.eventually(reached)

    async def test_a_refusal_is_explained_by_the_lost_store(self):
        """Guards against a rejection whose cause is in no log."""
        programs = await self.start("n0", "n1")
        self.platform.store_status = 503

        async def outage_logged() -> bool:
            return any(
                event["event"] == "dependency_lost"
                and event["dependency"] == "store"
                for event in programs[0].events()
            )

        await self.eventually(outage_logged)
        status, _ = await self.call(
            programs[0], "POST", f"/q/{JOB}", {"steps": [STEP]}
        )
        self.assertEqual(status, 503)
        explanation = self.explain(programs)
        self.assertEqual(explanation.decision.event, "refused")
        self.assertEqual(
            explanation.decision.fields["code"], "store_unavailable"
        )
        lost = [e for e in explanation.lines if e.event == "dependency_lost"]
        self.assertEqual({line.node for line in lost}, {"n0"})
        # The election may detect the outage as well.
        self.assertIn("store", {line.fields["dependency"] for line in lost})

    async def test_a_late_job_is_explained_by_the_silent_worker(self):
        """Guards against a delay that no log attributes to its worker."""
        self.task_duration_s = 60.0
        programs = await self.start("n0", "n1")
        await self.call(
            programs[0], "POST", f"/q/{JOB}", {"steps": [{**STEP, "count": 1}]}
        )
        await self.wait_for_state(programs[1], "running")
        await self.platform.add_worker("w1", "pool", lambda task: 0.1)
        self.platform.silent_workers.add("w0")
        await self.wait_for_state(programs[1], "completed")
        explanation = self.explain(programs)
        self.assertEqual(explanation.decision.fields["state"], "completed")
        ends = [e for e in explanation.lines if e.event == "run_ended"]
        self.assertEqual(
            [(e.fields["worker"], e.fields["how"]) for e in ends],
            [("w0", "lapsed"), ("w1", "done")],
        )
        self.assertGreater(explanation.decision.fields["taken_ms"], 4000)

    async def test_a_failed_job_is_explained_by_its_attempts(self):
        """Guards against a failure whose task and worker are in no log."""
        await self.platform.add_worker(
            "w1", "bad", lambda task: 0.05, lambda task: task.endswith("1")
        )
        self.platform.publish("keyed.op", "config", BAD_POOL)
        programs = await self.start("n0", "n1")
        await self.call(programs[0], "POST", f"/q/{JOB}", {"steps": [STEP]})
        await self.wait_for_state(programs[1], "failed")
        explanation = self.explain(programs)
        self.assertEqual(explanation.decision.event, "job_ended")
        self.assertEqual(explanation.decision.fields["state"], "failed")
        failed = [
            e for e in explanation.lines if e.fields.get("how") == "failed"
        ]
        self.assertEqual(
            [(e.fields["task"], e.fields["failures"]) for e in failed],
            [([0, 0, 1], 1), ([0, 0, 1], 2)],
        )
        self.assertEqual({e.fields["worker"] for e in failed}, {"w1"})
