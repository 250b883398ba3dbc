"""Tests of jobs whose progress is too large for one record of the store."""

import asyncio
import unittest

import msgspec

from sardinedrift.engine.catalogue import JobCatalogue, KeyKind, progress_record
from sardinedrift.engine.exceptions import CallError
from sardinedrift.engine.model import (
    JobState,
    Progress,
    RunEnd,
    Step,
    TaskRecord,
    TaskState,
    WorkerId,
)
from sardinedrift.engine.progresswriter import _records
from sardinedrift.engine.taskblocks import (
    MAX_BLOCK_TASKS,
    MAX_CHECKPOINT_BYTES,
    TaskBlock,
)
from sardinedrift.engine.work import Job
from sardinedrift.identifiers import JobId
from standins.platform.log import MAX_RECORD_BYTES
from tests.engine_case import EngineTest
from tests.engine_node import Node
from tests.engine_world import TASK_SIZE, TOPIC, long_running, submission

# Fewer bytes than the progress of the job takes in one record.
SMALL_RECORD_BYTES = 8_192
LARGE_COUNT = 1200
TASK_S = 0.4


def large(count: int = LARGE_COUNT) -> Step:
    """Returns a step of many short tasks."""
    return Step(count, TASK_SIZE, 400)


def restored(catalogue: JobCatalogue, job: Job) -> Job:
    """Returns a job as a later controller restores it from the records."""
    known = catalogue.find(job.job_id)
    copy = Job(known.submission)
    blocks = [TaskBlock(*item) for item in known.tasks_by_block.items()]
    copy.restore(
        known.progress or Progress(JobState.PENDING, False), 9.0, blocks
    )
    return copy


class LargeJobTest(EngineTest):
    def _completed(self, node: Node, job: str) -> bool:
        known = node.catalogue.find(JobId(job))
        return known is not None and known.state is JobState.COMPLETED

    def test_a_large_job_does_not_stop_the_others(self):
        """Guards against a record that outgrows the store's limit.

        The progress of a job was one record. Once the store refused it, the
        controller repeated the append for ever, and no job went on.
        """

        async def scenario(world, nodes):
            world.log.max_record_bytes = SMALL_RECORD_BYTES
            await self.accept(world, nodes[0], submission("a", large()))
            await asyncio.sleep(LARGE_COUNT / 48 * TASK_S)
            small = submission("b", large(2))
            await self.accept(world, nodes[0], small)
            await self.wait_for(lambda: self._completed(nodes[1], "b"), 30.0)
            await self.wait_for(lambda: self._completed(nodes[1], "a"), 60.0)
            # Only the summary of an ended job is kept.
            keys = world.log.partition(TOPIC).newest_by_key
            self.assertEqual([key for key in keys if key.startswith("b/")], [])

        self.run_scenario(scenario, task_duration_s=lambda task: TASK_S)

    def test_a_successor_goes_on_with_a_large_job(self):
        """Guards against blocks of tasks that are lost with a controller."""

        async def scenario(world, nodes):
            world.log.max_record_bytes = SMALL_RECORD_BYTES
            await self.accept(world, nodes[0], submission("a", large(600)))
            await asyncio.sleep(3.0)
            controller = self.controller(world, nodes)
            await controller.kill()
            other = next(node for node in nodes if node is not controller)
            await self.wait_for(lambda: self._completed(other, "a"), 60.0)
            done = [each for each in world.histories() if each.how == "done"]
            self.assertEqual(len({each.task for each in done}), 600)

        self.run_scenario(scenario, task_duration_s=lambda task: TASK_S)

    def test_a_job_too_large_to_be_stored_is_refused(self):
        """Guards against one large submission that fails those beside it."""

        async def scenario(world, nodes):
            world.log.max_record_bytes = 2000
            job = msgspec.structs.replace(
                submission("a", large(1)), payload="x" * 3000
            )
            results = await asyncio.gather(
                self.accept(world, nodes[0], job),
                self.accept(world, nodes[0], submission("b", large(1))),
                return_exceptions=True,
            )
            self.assertIsInstance(results[0], CallError)
            self.assertEqual(results[0].status, 413)
            self.assertIsNone(results[1])
            await self.wait_for(lambda: self._completed(nodes[1], "b"), 5.0)

        self.run_scenario(scenario)

    def test_a_checkpoint_too_large_to_be_recorded_is_left_out(self):
        """Guards against a worker's text that no record can hold."""

        async def scenario(world, nodes):
            world.checkpoint = "x" * (MAX_CHECKPOINT_BYTES + 1)
            await self.accept(world, nodes[0], submission("a", long_running(1)))
            await self.wait_for(lambda: len(self.running(world)) == 1, 3.0)
            await asyncio.sleep(3.0)
            for control in world.controller_states:
                for job in control.job_by_id.values():
                    for task in job.tasks():
                        self.assertEqual(task.checkpoint, "")
            self.assertEqual(len(self.running(world)), 1)

        self.run_scenario(scenario, task_duration_s=lambda task: None)


class BlockTest(unittest.TestCase):
    def setUp(self):
        self.job = Job(submission("a", large(3 * MAX_BLOCK_TASKS)))
        self.job.create_due_occurrences(0.0)
        self.catalogue = JobCatalogue()
        self.catalogue.apply_submission(self.job.submission)

    def _write(self) -> list[str]:
        """Applies the records of the job; returns their keys."""
        records = list(_records(self.job))
        for record in records:
            self.catalogue.apply_record(record.key, record.value)
        return [record.key for record in records]

    def _place(self, index: int) -> None:
        task = self.job.occurrence_by_number[0].tasks_by_step[0][index]
        self.job.place(task, WorkerId("w"), 5, 1.0)

    def _end(self, index: int, how: RunEnd) -> None:
        task = self.job.occurrence_by_number[0].tasks_by_step[0][index]
        self.job.end_run(task, how, "", 2, 7)

    def test_only_changed_blocks_are_written(self):
        """Guards against writes that grow with the size of a job."""
        self._place(0)
        self._place(MAX_BLOCK_TASKS)
        self.assertEqual(self._write(), ["b/a/0.0.0", "b/a/0.0.1", "p/a"])
        self._end(MAX_BLOCK_TASKS, RunEnd.DONE)
        self.assertEqual(self._write(), ["b/a/0.0.1", "p/a"])

    def test_a_block_at_its_largest_fits_in_a_record(self):
        """Guards against ids and checkpoints that make a block too large."""
        for index in range(MAX_BLOCK_TASKS):
            task = self.job.occurrence_by_number[0].tasks_by_step[0][index]
            run = self.job.place(task, WorkerId("w" * 255), 1 << 62, 1.0)
            run.machine_id = "m" * 255
            task.checkpoint = "x" * MAX_CHECKPOINT_BYTES
        for record in _records(self.job):
            self.assertLessEqual(record.size, MAX_RECORD_BYTES)

    def test_tasks_newer_than_the_state_of_their_job_decide(self):
        """Guards against a job that hangs because a write was cut short.

        The records of a large job may be appended by several calls; the last
        one holds the job's state.
        """
        for index in range(3 * MAX_BLOCK_TASKS):
            self._place(index)
        self._write()
        for index in range(3 * MAX_BLOCK_TASKS - 1):
            self._end(index, RunEnd.DONE)
        blocks = list(self.job.take_changed_blocks())
        self._end(3 * MAX_BLOCK_TASKS - 1, RunEnd.DONE)
        blocks += self.job.take_changed_blocks()
        for block in blocks:
            known = self.catalogue.find(self.job.job_id)
            known.tasks_by_block[block.block_id] = block.records
        copy = restored(self.catalogue, self.job)
        self.assertTrue(copy.end_if_due(2, 9))
        self.assertIs(copy.state, JobState.COMPLETED)

    def test_a_task_out_of_attempts_fails_its_job_after_a_restore(self):
        """Guards against a further attempt after a write was cut short."""
        for _ in range(2):
            self._place(3)
            self._end(3, RunEnd.FAILED)
        for block in self.job.take_changed_blocks():
            known = self.catalogue.find(self.job.job_id)
            known.tasks_by_block[block.block_id] = block.records
        copy = restored(self.catalogue, self.job)
        self.assertIs(copy.state, JobState.RUNNING)
        self.assertTrue(copy.end_if_due(2, 9))
        self.assertIs(copy.state, JobState.FAILED)

    def test_the_record_of_an_earlier_version_is_taken_over(self):
        """Guards against tasks that run again after an update of the program.

        Earlier versions recorded the tasks of any job in its own record.
        """
        rows = tuple(
            TaskRecord(0, 0, index, TaskState.DONE, run=1)
            for index in range(2 * MAX_BLOCK_TASKS)
        )
        old = progress_record(
            self.job.job_id, Progress(JobState.RUNNING, True, rows)
        )
        self.catalogue.apply_record(old.key, old.value)
        self.job = restored(self.catalogue, self.job)
        self._write()
        copy = restored(self.catalogue, self.job)
        self.assertEqual(copy.remaining_tasks, MAX_BLOCK_TASKS)
        self.assertEqual(len(copy.waiting), MAX_BLOCK_TASKS)

    def test_the_records_of_an_ended_job_are_removed(self):
        """Guards against blocks that outlive their job."""
        self._place(0)
        self._write()
        known = self.catalogue.find(self.job.job_id)
        self.assertTrue(known.has_runs)
        self.job.cancel(7)
        self._end(0, RunEnd.STOPPED)
        self._write()
        known = self.catalogue.find(self.job.job_id)
        self.assertEqual(known.tasks_by_block, {})
        self.assertFalse(known.has_runs)
        self.assertIs(known.state, JobState.CANCELLED)


class RecordLimitTest(unittest.TestCase):
    def test_a_record_at_the_limit_is_held(self):
        """Guards against a limit that counts the record's own length."""
        record = progress_record("a", Progress(JobState.PENDING, False))
        self.assertEqual(
            record.size,
            1 + len(f"{KeyKind.PROGRESS.value}/a") + len(record.value),
        )
