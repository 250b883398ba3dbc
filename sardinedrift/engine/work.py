"""In-memory state of jobs and their state transitions."""

from collections.abc import Iterable, Iterator, Sequence

from sardinedrift.engine.model import (
    ENDED_STATES,
    JobState,
    Progress,
    RunEnd,
    Submission,
    TaskId,
    TaskRecord,
    TaskState,
    WorkerId,
)
from sardinedrift.engine.occurrence import (
    Occurrence,
    OpenedStep,
    critical_path_ms,
)
from sardinedrift.engine.task import Run, Task
from sardinedrift.engine.taskblocks import (
    MAX_BLOCK_TASKS,
    BlockId,
    TaskBlock,
    block_of,
    is_divided,
)
from sardinedrift.identifiers import JobId


class Job:
    """An unfinished job and its tasks.

    Attributes:
        started: a run of a task has been placed, and was not refused.
        cancelled: a caller has requested the cancellation.
        ended_ms: end of the job in Unix milliseconds, or 0.
        first_start_confirmed: a worker confirmed the start of a run or reported
            one; assumed after a restore.
        critical_path_ms: estimated duration of its critical path, in ms.
        remaining_path_ms: the same of the steps that are not done, in its first
            occurrence.
        long_running: a step runs until the job is cancelled.
        waiting: tasks that can be started, by id.
        active: tasks with a current run, by id.
        divided: its tasks are recorded in blocks.
        recorded_blocks: blocks of which there may be a record.
    """

    def __init__(self, submission: Submission):
        self.submission = submission
        self.job_id: JobId = submission.job_id
        self.critical_path_ms = critical_path_ms(submission.steps)
        self.remaining_path_ms = self.critical_path_ms
        self.long_running = any(step.long_running for step in submission.steps)
        self.state = JobState.PENDING
        self.started = False
        self.cancelled = False
        self.ended_ms = 0
        self.occurrence_by_number: dict[int, Occurrence] = {}
        self.first_start_confirmed = False
        self.waiting: dict[TaskId, Task] = {}
        self.active: dict[TaskId, Task] = {}
        self.divided = is_divided(submission)
        self.recorded_blocks: set[BlockId] = set()
        self._changed_blocks: set[BlockId] = set()

    @property
    def ended(self) -> bool:
        """Whether its state is final."""
        return self.state in ENDED_STATES

    @property
    def fully_ended(self) -> bool:
        """Whether its state is final and it has no active runs."""
        return self.ended and not self.active

    def next_due_ms(self) -> float | None:
        """Returns the due time of the next occurrence in Unix ms, if any."""
        submission = self.submission
        number = len(self.occurrence_by_number)
        if self.ended or number >= max(1, submission.repeats):
            return None
        if not submission.repeats:
            return 0.0
        return submission.start_ms + number * submission.interval_ms

    def create_due_occurrences(self, now_ms: float) -> bool:
        """Creates the due occurrences; returns whether there were any."""
        opened = False
        while (due := self.next_due_ms()) is not None and due <= now_ms:
            self._open_occurrence()
            opened = True
        return opened

    def task(self, task_id: TaskId) -> Task | None:
        """Returns a task, or None when the job has no such task."""
        occurrence = self.occurrence_by_number.get(task_id.occurrence)
        if occurrence is None or task_id.step >= len(occurrence.tasks_by_step):
            return None
        tasks = occurrence.tasks_by_step[task_id.step]
        return tasks[task_id.index] if task_id.index < len(tasks) else None

    def opened_steps(self) -> Iterator[OpenedStep]:
        """Yields the steps whose tasks are startable, active or done."""
        for occurrence in self.occurrence_by_number.values():
            yield from occurrence.opened_steps(self.submission.steps)

    @property
    def remaining_tasks(self) -> int:
        """Number of tasks of the opened occurrences that are not done."""
        return sum(
            sum(occurrence.remaining_by_step)
            for occurrence in self.occurrence_by_number.values()
        )

    def siblings(self, task: Task) -> list[Task]:
        """Returns the tasks of the same step and occurrence."""
        occurrence = self.occurrence_by_number[task.task_id.occurrence]
        return occurrence.tasks_by_step[task.task_id.step]

    def waiting_siblings(self, task: Task) -> list[Task]:
        """Returns the waiting tasks of the same step and occurrence."""
        return [
            each for each in self.siblings(task) if each.task_id in self.waiting
        ]

    def tasks(self) -> Iterator[Task]:
        """Yields all tasks of the opened occurrences."""
        for occurrence in self.occurrence_by_number.values():
            for tasks in occurrence.tasks_by_step:
                yield from tasks

    def place(
        self, task: Task, worker_id: WorkerId, born_ms: int, now: float
    ) -> Run:
        """Creates a run of a waiting task."""
        del self.waiting[task.task_id]
        self.active[task.task_id] = task
        self.started = True
        if self.state is JobState.PENDING:
            self.state = JobState.RUNNING
        self.mark_changed(task)
        if task.step.gang:
            self._share_checkpoint(self.siblings(task))
        number = self._next_run_number(task, now)
        return task.place(number, worker_id, born_ms, now)

    def end_run(
        self,
        task: Task,
        how: RunEnd,
        checkpoint: str,
        max_attempts: int | None,
        now_ms: int,
    ) -> list[Run]:
        """Applies the end of a task's current run.

        Args:
            task: the task.
            how: how the run ended.
            checkpoint: its last checkpoint, or "".
            max_attempts: number of failures after which the job fails; None if
                it is not known, and then the job goes on.
            now_ms: current time in Unix ms.

        Returns:
            The ended runs: this one and, when a gang is done, the runs of its
            other members.
        """
        ended_runs = [task.run] if task.run else []
        worker_id = task.run.worker_id if task.run else WorkerId("")
        self.active.pop(task.task_id, None)
        task.release()
        self.mark_changed(task)
        if checkpoint:
            task.checkpoint = checkpoint
        if how is RunEnd.FAILED:
            task.failures += 1
            task.failed_on.add(worker_id)
        if self.ended:
            return ended_runs
        if how is RunEnd.LAPSED:
            self._reset_if_not_started()
        if how is RunEnd.DONE and not task.step.long_running:
            ended_runs += self._complete(task, now_ms)
        elif self._exhausted(task, max_attempts):
            self._end(JobState.FAILED, now_ms)
        elif not self.cancelled:
            self.waiting[task.task_id] = task
        return ended_runs

    def _reset_if_not_started(self) -> None:
        """Makes the job pending again if no worker has started a run of it."""
        if not self.active and not self.first_start_confirmed:
            self.started = False
            self.state = JobState.PENDING

    def cancel(self, now_ms: int) -> None:
        """Cancels the job; its active runs must be stopped by the caller."""
        self.cancelled = True
        if not self.ended:
            self._end(JobState.CANCELLED, now_ms)

    def end_if_due(self, max_attempts: int | None, now_ms: int) -> bool:
        """Ends a restored job if the records of its tasks show its end.

        They may be newer than the record of the job's state.

        Returns:
            Whether the job has ended now.
        """
        if self.ended:
            return False
        if self._all_done():
            self._end(JobState.COMPLETED, now_ms)
        elif any(
            task.failures and self._exhausted(task, max_attempts)
            for task in self.tasks()
        ):
            self._end(JobState.FAILED, now_ms)
        return self.ended

    def mark_changed(self, task: Task) -> None:
        """Marks the record of a task as out of date."""
        self._mark_block_changed(task.task_id)

    def _mark_block_changed(self, task_id: TaskId) -> None:
        if self.divided:
            self._changed_blocks.add(block_of(task_id))

    def take_changed_blocks(self) -> Iterator[TaskBlock]:
        """Yields the blocks whose records are out of date, once each."""
        changed, self._changed_blocks = self._changed_blocks, set()
        self.recorded_blocks |= changed
        for block_id in sorted(changed):
            tasks = self._tasks_of_block(block_id)
            yield TaskBlock(
                block_id,
                tuple(task.record() for task in tasks if task.ever_placed),
            )

    def _tasks_of_block(self, block_id: BlockId) -> list[Task]:
        occurrence = self.occurrence_by_number[block_id.occurrence]
        begin = block_id.number * MAX_BLOCK_TASKS
        tasks = occurrence.tasks_by_step[block_id.step]
        return tasks[begin : begin + MAX_BLOCK_TASKS]

    def record(self) -> Progress:
        """Returns the progress record.

        It has no tasks if they are recorded in blocks or the job has fully
        ended.
        """
        tasks = () if self.fully_ended or self.divided else self.tasks()
        return Progress(
            self.state,
            self.started,
            tuple(task.record() for task in tasks if task.ever_placed),
            self.ended_ms,
        )

    def restore(
        self, progress: Progress, now: float, blocks: Iterable[TaskBlock] = ()
    ) -> None:
        """Restores the progress that an earlier controller recorded.

        Args:
            progress: the progress record.
            now: boot-time clock in seconds.
            blocks: records of blocks, at least as new as the progress record.
        """
        blocks = list(blocks)
        self.recorded_blocks.update(block.block_id for block in blocks)
        records = [
            *progress.tasks,
            *(record for block in blocks for record in block.records),
        ]
        self.state = progress.state
        self.started = progress.started or any(
            record.shows_start for record in records
        )
        if self.started and self.state is JobState.PENDING:
            self.state = JobState.RUNNING
        self.first_start_confirmed = self.started
        self.ended_ms = progress.ended_ms
        occurrences = 1 + max(
            (record.occurrence for record in records), default=-1
        )
        for _ in range(occurrences):
            self._open_occurrence()
        newest_by_id = {self._task_id_of(each): each for each in records}
        for record in newest_by_id.values():
            self._restore_task(record, now)
        # An earlier version recorded the tasks of any job in this record.
        for record in progress.tasks:
            self._mark_block_changed(self._task_id_of(record))
        for occurrence in self.occurrence_by_number.values():
            self._open_steps(occurrence)
        self._update_remaining_path()

    def _task_id_of(self, record: TaskRecord) -> TaskId:
        return TaskId(self.job_id, record.occurrence, record.step, record.index)

    def _restore_task(self, record: TaskRecord, now: float) -> None:
        task_id = self._task_id_of(record)
        task = self.task(task_id)
        if task is None:
            return
        task.restore(record, now)
        if task.state is TaskState.WAITING:
            return
        self.waiting.pop(task_id, None)
        if task.state is TaskState.ACTIVE:
            self.active[task_id] = task
            return
        occurrence = self.occurrence_by_number[record.occurrence]
        occurrence.remaining_by_step[record.step] -= 1

    def _open_occurrence(self) -> None:
        number = len(self.occurrence_by_number)
        occurrence = Occurrence(self, number)
        self.occurrence_by_number[number] = occurrence
        self._open_steps(occurrence)

    def _open_steps(self, occurrence: Occurrence) -> None:
        self.waiting.update(
            (task.task_id, task)
            for task in occurrence.open_ready_steps(self.submission.steps)
            if task.state is TaskState.WAITING
        )

    def _share_checkpoint(self, members: Sequence[Task]) -> None:
        """Gives the members of a gang one checkpoint; that of any is valid."""
        checkpoint = next(
            (each.checkpoint for each in members if each.checkpoint), ""
        )
        for each in members:
            if each.checkpoint != checkpoint:
                each.checkpoint = checkpoint
                self.mark_changed(each)

    def _next_run_number(self, task: Task, now: float) -> int:
        """Returns the number of a new run, shared by the members of a gang."""
        if not task.step.gang:
            return task.number + 1
        siblings = self.siblings(task)
        highest = max(each.number for each in siblings)
        # Members placed by the same plan share its time of decision.
        placed_now = any(
            each.run and each.run.decided_at == now for each in siblings
        )
        return highest if placed_now else highest + 1

    def _complete(self, task: Task, now_ms: int) -> list[Run]:
        ended_runs: list[Run] = []
        occurrence = self.occurrence_by_number[task.task_id.occurrence]
        for each in self.siblings(task) if task.step.gang else (task,):
            if each.state is not TaskState.DONE:
                if each.run:
                    ended_runs.append(each.run)
                each.state = TaskState.DONE
                each.run = None
                self.mark_changed(each)
                self.active.pop(each.task_id, None)
                self.waiting.pop(each.task_id, None)
                occurrence.remaining_by_step[task.task_id.step] -= 1
        self._open_steps(occurrence)
        self._update_remaining_path()
        if self._all_done():
            self._end(JobState.COMPLETED, now_ms)
        return ended_runs

    def _update_remaining_path(self) -> None:
        first = self.occurrence_by_number.get(0)
        if first is not None:
            self.remaining_path_ms = critical_path_ms(
                self.submission.steps,
                [count > 0 for count in first.remaining_by_step],
            )

    def _all_done(self) -> bool:
        expected = max(1, self.submission.repeats)
        return len(self.occurrence_by_number) >= expected and all(
            each.done for each in self.occurrence_by_number.values()
        )

    def _exhausted(self, task: Task, max_attempts: int | None) -> bool:
        if max_attempts is None:
            return False
        members = self.siblings(task) if task.step.gang else (task,)
        failures = sum(each.failures for each in members)
        return failures >= max_attempts and not task.step.long_running

    def _end(self, state: JobState, now_ms: int) -> None:
        self.state = state
        self.ended_ms = now_ms
        self.waiting.clear()
