"""In-memory state of tasks and their runs."""

from typing import TYPE_CHECKING

from sardinedrift.engine.model import (
    MachineId,
    RunPhase,
    Step,
    TaskId,
    TaskRecord,
    TaskState,
    WorkerId,
)

if TYPE_CHECKING:
    from sardinedrift.engine.work import Job

# A report older than this is stale. It allows for the longest interval between
# reports and the timeout of a call.
MAX_REPORT_AGE_S = 2.0


class Run:
    """The current run of a task.

    Attributes:
        number: increases with each run of the task.
        worker_id: worker on which it was placed.
        machine_id: machine of that worker.
        decided_born_ms: start time, in Unix milliseconds, of the worker process
            for which it was decided; 0 when unknown.
        born_ms: the same of the process to which it belongs. A process that
            started unnoticed may have accepted its start.
        phase: current phase.
        settled_at: boot-time clock at which the outcome of the start order
            became known; None while a start may still take effect.
        unanswered_at: boot-time clock at which its start was given up without
            an answer; None if it was not. It may have started.
        stop_wanted: it is to be stopped as soon as that is safe.
        decided_at: boot-time clock at which it was placed.
        observed_from_start: it was decided in this term and began without a
            checkpoint, so the time since `decided_at` is that of the whole
            task.
        reported_at: boot-time clock of the worker's last report of it, or None.
        percent: last reported progress.
        progressed_at: boot-time clock at which the progress last changed;
            initially the time of placement.
        figure: last reported tail latency in ms, or CPU usage.
        pace: pace that was last set, in percent of full speed.
    """

    __slots__ = (
        "born_ms",
        "decided_at",
        "decided_born_ms",
        "figure",
        "machine_id",
        "number",
        "observed_from_start",
        "pace",
        "percent",
        "phase",
        "progressed_at",
        "reported_at",
        "settled_at",
        "stop_wanted",
        "task",
        "unanswered_at",
        "worker_id",
    )

    def __init__(
        self,
        task: "Task",
        number: int,
        worker_id: WorkerId,
        born_ms: int,
        now: float,
    ):
        self.task = task
        self.number = number
        self.worker_id = worker_id
        self.decided_born_ms = born_ms
        self.born_ms = born_ms
        self.machine_id = MachineId("")
        self.phase = RunPhase.DECIDED
        self.settled_at: float | None = None
        self.unanswered_at: float | None = None
        self.stop_wanted = False
        self.decided_at = now
        self.observed_from_start = False
        self.progressed_at = now
        self.reported_at: float | None = None
        self.percent = 0.0
        self.figure = 0.0
        self.pace = 100

    def serves(self, now: float) -> bool:
        """Whether a recent report shows a long-running task as working."""
        return (
            self.phase is RunPhase.RUNNING
            and self.percent >= 100
            and not self.stop_wanted
            and self.reported_at is not None
            and now - self.reported_at < MAX_REPORT_AGE_S
        )

    def observe(self, percent: float, figure: float, now: float) -> None:
        """Updates the run from a report of its worker."""
        self.reported_at = now
        if percent != self.percent:
            self.percent = percent
            self.progressed_at = now
        self.figure = figure


class Task:
    """One task and its state.

    Attributes:
        number: number of its last run, or 0 before the first.
        run: its current run, if any.
        failures: number of failed runs.
        checkpoint: newest saved progress, or "".
        failed_on: workers on which a run failed or stalled.
        waiting_since: boot-time clock at which planning first found no capacity
            for it; 0 if that has not happened.
    """

    __slots__ = (
        "checkpoint",
        "failed_on",
        "failures",
        "job",
        "number",
        "run",
        "state",
        "step",
        "task_id",
        "waiting_since",
    )

    def __init__(self, job: "Job", task_id: TaskId, step: Step):
        self.job = job
        self.task_id = task_id
        self.step = step
        self.state = TaskState.WAITING
        self.number = 0
        self.run: Run | None = None
        self.failures = 0
        self.checkpoint = ""
        self.failed_on: set[WorkerId] = set()
        self.waiting_since = 0.0

    @property
    def ever_placed(self) -> bool:
        """Whether a run was ever placed for it."""
        return self.number > 0

    def place(
        self, number: int, worker_id: WorkerId, born_ms: int, now: float
    ) -> Run:
        """Creates a new run and makes the task active."""
        self.number = number
        self.state = TaskState.ACTIVE
        self.run = Run(self, self.number, worker_id, born_ms, now)
        self.run.observed_from_start = not self.checkpoint
        return self.run

    def restore(self, record: TaskRecord, now: float) -> None:
        """Restores its recorded progress.

        An active run becomes ORDERED, as only a report of the worker shows
        whether it has started.

        Args:
            record: the progress.
            now: boot-time clock in seconds.
        """
        self.number = record.run
        self.failures = record.failures
        self.checkpoint = record.checkpoint
        self.state = record.state
        if record.state is not TaskState.ACTIVE:
            return
        run = Run(self, record.run, record.worker_id, record.born_ms, now)
        run.phase = RunPhase.ORDERED
        run.machine_id = record.machine_id
        self.run = run

    def release(self) -> None:
        """Drops the current run, which has ended or never started."""
        self.run = None
        self.state = TaskState.WAITING

    def record(self) -> TaskRecord:
        """Returns the record of its progress."""
        run = self.run
        return TaskRecord(
            self.task_id.occurrence,
            self.task_id.step,
            self.task_id.index,
            self.state,
            self.number,
            run.worker_id if run else WorkerId(""),
            run.decided_born_ms if run else 0,
            self.failures,
            self.checkpoint,
            run.machine_id if run else MachineId(""),
        )
