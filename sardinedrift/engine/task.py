"""Tasks and their runs in the controller's memory."""

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

# A report is as old as the longest wait for the next one, and its time-out.
REPORT_LIFETIME_S = 2.0


class Run:
    """The current run of a task.

    Attributes:
        number: rises with each run of the task.
        worker_id: worker it was placed on.
        machine_id: machine of that worker.
        born_ms: start of that worker's life; 0 when unknown.
        phase: how far it is.
        settled_at: when it became certain whether the order was received, by
            the boot-time clock; None while a start may still take effect.
        stop_wanted: it is to be stopped once that is allowed.
        reported_at: when the worker last listed it, or None.
        percent: last reported progress.
        progressed_at: when the progress last changed, or the run was decided.
        figure: last reported tail in ms, or cpu in use.
        pace: share of its speed at which it was told to work, in percent.
    """

    __slots__ = (
        "born_ms",
        "decided_at",
        "figure",
        "machine_id",
        "number",
        "pace",
        "percent",
        "phase",
        "progressed_at",
        "reported_at",
        "settled_at",
        "stop_wanted",
        "task",
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
        self.born_ms = born_ms
        self.machine_id = MachineId("")
        self.phase = RunPhase.DECIDED
        self.settled_at: float | None = None
        self.stop_wanted = False
        self.decided_at = now
        self.progressed_at = now
        self.reported_at: float | None = None
        self.percent = 0.0
        self.figure = 0.0
        self.pace = 100

    def serves(self, now: float) -> bool:
        """Whether a long-running task is at work, by a recent report."""
        return (
            self.phase is RunPhase.RUNNING
            and self.percent >= 100
            and not self.stop_wanted
            and self.reported_at is not None
            and now - self.reported_at < REPORT_LIFETIME_S
        )

    def observe(self, percent: float, figure: float, now: float) -> None:
        """Takes over what a worker reported."""
        self.reported_at = now
        if percent != self.percent:
            self.percent = percent
            self.progressed_at = now
        self.figure = figure


class Task:
    """One task and its state.

    Attributes:
        number: number of its last run.
        run: its current run, if any.
        failed_on: workers on which a run failed or stood still.
        waiting_since: boot-time clock at which a plan first found no room for
            it; 0 when that has not happened.
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
    def touched(self) -> bool:
        """Whether it differs from a new task."""
        return self.number > 0

    def place(
        self, number: int, worker_id: WorkerId, born_ms: int, now: float
    ) -> Run:
        """Begins a new run."""
        self.number = number
        self.state = TaskState.ACTIVE
        self.run = Run(self, self.number, worker_id, born_ms, now)
        return self.run

    def release(self) -> None:
        """Gives up the current run, which has ended or never started."""
        self.run = None
        self.state = TaskState.WAITING

    def record(self) -> TaskRecord:
        """Returns what is to be recorded."""
        run = self.run
        return TaskRecord(
            self.task_id.occurrence,
            self.task_id.step,
            self.task_id.index,
            self.state,
            self.number,
            run.worker_id if run else WorkerId(""),
            run.born_ms if run else 0,
            self.failures,
            self.checkpoint,
            run.machine_id if run else MachineId(""),
        )
