"""Tests of jobs whose queue is withdrawn while they are unfinished."""

import asyncio
import unittest

import msgspec

from sardinedrift.engine.catalogue import JobCatalogue, submission_record
from sardinedrift.engine.model import Configuration, JobState, Size
from sardinedrift.identifiers import JobId, TeamId
from sardinedrift.platform.jobs import decode_job
from tests.engine_case import EngineTest
from tests.engine_node import Node
from tests.engine_world import (
    QUEUE,
    TASK_SIZE,
    TEAM,
    World,
    configuration,
    long_running,
    short,
    submission,
)

RUN_S = 3.0
# More failures than the number of attempts when nothing is known of a queue.
FAILURES = 2
MAX_ATTEMPTS = 4


def without_queue() -> Configuration:
    """Returns a later configuration without the queue."""
    return msgspec.structs.replace(configuration(), version=2, queue_by_id={})


class WithdrawnQueueTest(EngineTest):
    def _fail_first_runs(self, world: World) -> None:
        for worker in world.worker_by_id.values():
            worker._fails = lambda task: len(world.histories()) <= FAILURES

    async def _withdraw(self, world: World, nodes: list[Node]) -> Node:
        """Withdraws the queue, and replaces the controller.

        Returns:
            An entry that goes on.
        """
        world.published.configuration = without_queue()
        await asyncio.sleep(0.5)
        controller = self.controller(world, nodes)
        await controller.stop()
        return next(node for node in nodes if node is not controller)

    def test_a_job_keeps_its_attempts_after_a_takeover(self):
        """Guards against a job that fails before it is out of attempts.

        Its queue was withdrawn, and after a planned stop of the controller the
        next one did not know how many attempts it has.
        """

        async def scenario(world, nodes):
            self._fail_first_runs(world)
            job = submission("a", short(1))
            policy = msgspec.structs.replace(
                job.policy, max_attempts=MAX_ATTEMPTS
            )
            job = msgspec.structs.replace(job, policy=policy)
            await self.accept(world, nodes[0], job)
            await self.wait_for(lambda: len(self.running(world)) == 1, 2.0)
            other = await self._withdraw(world, nodes)
            await self.wait_for(
                lambda: self.state(other, "a") is JobState.COMPLETED,
                (FAILURES + 1) * RUN_S + 5.0,
            )
            self.assertEqual(len(world.histories()), FAILURES + 1)

        self.run_scenario(scenario, task_duration_s=lambda task: RUN_S)

    def test_waiting_tasks_start_after_a_takeover(self):
        """Guards against tasks that never start as their queue is withdrawn."""

        async def scenario(world, nodes):
            step = short(1)
            later = msgspec.structs.replace(step, after=(0,))
            await self.accept(world, nodes[0], submission("a", step, later))
            await self.wait_for(lambda: len(self.running(world)) == 1, 2.0)
            other = await self._withdraw(world, nodes)
            await self.wait_for(
                lambda: self.state(other, "a") is JobState.COMPLETED,
                2 * RUN_S + 5.0,
            )

        self.run_scenario(scenario, task_duration_s=lambda task: RUN_S)

    def test_a_long_running_task_runs_again_after_a_takeover(self):
        """Guards against a task that stays away as its queue is withdrawn."""

        async def scenario(world, nodes):
            await self.accept(world, nodes[0], submission("a", long_running(1)))
            await self.wait_for(lambda: len(self.running(world)) == 1, 2.0)
            await self._withdraw(world, nodes)
            await asyncio.sleep(2.0)
            (history,) = self.running(world)
            lost = next(
                worker
                for worker in world.worker_by_id.values()
                if history in worker.histories
            )
            lost._end_run(history.task, "failed")
            await self.wait_for(lambda: len(self.running(world)) == 1, 3.0)

        self.run_scenario(scenario, task_duration_s=lambda task: None)

    def test_a_job_goes_on_while_no_configuration_has_been_read(self):
        """Guards against a job that fails as its queue is not known yet.

        Nothing is placed meanwhile: the limits of the client accounts are not
        known either.
        """

        async def scenario(world, nodes):
            limited = configuration(limit=Size(TASK_SIZE.cpu, 0, 0))
            world.published.configuration = limited
            self._fail_first_runs(world)
            job = submission("a", short(4))
            policy = msgspec.structs.replace(
                job.policy, max_attempts=MAX_ATTEMPTS
            )
            job = msgspec.structs.replace(job, policy=policy)
            await self.accept(world, nodes[0], job)
            await self.wait_for(lambda: len(self.running(world)) == 1, 2.0)
            world.published.configuration = None
            await self.controller(world, nodes).stop()
            for _ in range(500):
                self.assertLessEqual(len(self.running(world)), 1)
                await asyncio.sleep(0.01)
            world.published.configuration = limited
            survivor = self.controller(world, nodes)
            await self.wait_for(
                lambda: self.state(survivor, "a") is JobState.COMPLETED, 10.0
            )

        self.run_scenario(scenario, task_duration_s=lambda task: 0.5)


class RecordedPolicyTest(unittest.TestCase):
    def test_a_job_is_stored_with_the_policy_of_its_queue(self):
        """Guards against a job of which only its queue's name is stored."""
        queue = configuration(max_attempts=MAX_ATTEMPTS).queue_by_id[QUEUE]
        job = decode_job(
            b'{"steps":[{"count":1}]}', JobId("a"), queue, TeamId(TEAM), 5
        )
        catalogue = JobCatalogue()
        record = submission_record(job)
        catalogue.apply_record(record.key, record.value)
        stored = catalogue.find(JobId("a")).submission
        self.assertEqual(stored.policy, queue.policy)
        self.assertEqual(stored.policy.max_attempts, MAX_ATTEMPTS)

    def test_a_record_of_an_earlier_version_can_be_read(self):
        """Guards against jobs that are dropped by an update of the program."""
        job = submission("a", short(1))
        fields = msgspec.msgpack.decode(submission_record(job).value)
        catalogue = JobCatalogue()
        catalogue.apply_record("j/a", msgspec.msgpack.encode(fields[:-1]))
        self.assertIsNone(catalogue.find(JobId("a")).submission.policy)
