"""What a controller knows during its term, and its basic transitions."""

import asyncio
from collections.abc import Callable

from sardinedrift.engine.catalogue import JobCatalogue
from sardinedrift.engine.clock import Clock
from sardinedrift.engine.demand import ArrivalMeter
from sardinedrift.engine.events import Event, EventLog
from sardinedrift.engine.fleet import Fleet, Worker
from sardinedrift.engine.metrics import Metrics
from sardinedrift.engine.model import (
    Queue,
    RunEnd,
    Submission,
    Token,
)
from sardinedrift.engine.placement import TeamUse
from sardinedrift.engine.ports import PublishedState
from sardinedrift.engine.progresswriter import ProgressWriter
from sardinedrift.engine.task import Run, Task
from sardinedrift.engine.term import Term
from sardinedrift.engine.work import Job
from sardinedrift.identifiers import JobId, QueueId


class ControllerState:
    """State of one term.

    Args:
        term: its token and bounds.
        catalogue: the jobs as recorded.
        writer: makes decisions durable.
        published: what operators ask for.
        clock: current times.
        log: takes log lines.
        metrics: counts outcomes.

    Attributes:
        fleet: the workers.
        job_by_id: jobs that have not ended, or still have runs.
        use: what the client accounts have running.
        arrivals: work that arrived lately.
        unanswered_at: when an order last went without an answer.
        stop_run: set by the controller; called with a run that must stop.
    """

    def __init__(
        self,
        term: Term,
        catalogue: JobCatalogue,
        writer: ProgressWriter,
        published: PublishedState,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self.term = term
        self.catalogue = catalogue
        self.writer = writer
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.fleet = Fleet()
        self.job_by_id: dict[JobId, Job] = {}
        self.changed = asyncio.Event()
        self.stop_run: Callable[[Run], None] = lambda run: None
        self.published = published
        self._last_queue_by_id: dict[QueueId, Queue] = {}
        self.team_use = TeamUse({})
        self.arrivals = ArrivalMeter()
        self.unanswered_at = float("-inf")

    @property
    def token(self) -> Token:
        """Fencing token of the term."""
        return self.term.token

    def queues(self) -> dict[QueueId, Queue]:
        """Returns the queues; those no longer published keep their last form.

        Jobs accepted on a queue are finished after it was withdrawn.
        """
        configuration = self.published.current()
        if configuration is not None:
            self._last_queue_by_id.update(configuration.queue_by_id)
        return self._last_queue_by_id

    def admit(self, submission: Submission) -> Job | None:
        """Takes over a recorded job, with its progress if there is any."""
        known = self.catalogue.find(submission.job_id)
        if known is None or submission.job_id in self.job_by_id:
            return None
        job = Job(submission)
        if known.progress is not None:
            job.restore(known.progress, self.clock.boot())
        else:
            self._note_arrival(submission)
        if known.cancelled and not job.ended:
            job.cancel(self.clock.unix_ms())
            self.writer.mark_changed(job)
        if job.ended and not job.active:
            return None
        self.job_by_id[job.job_id] = job
        job.create_due_occurrences(self.clock.unix_ms())
        self.changed.set()
        return job

    def _note_arrival(self, submission: Submission) -> None:
        queue = self.queues().get(submission.queue_id)
        if queue is None:
            return
        # Jobs that were seen late still count from their acceptance.
        age_s = (self.clock.unix_ms() - submission.accepted_ms) / 1000
        at = self.clock.boot() - max(0.0, age_s)
        self.arrivals.record(queue.pool_id, submission, at)

    def cancel(self, job: Job) -> None:
        """Ends a job at its caller's wish."""
        if job.cancelled:
            return
        job.cancel(self.clock.unix_ms())
        self._note_job_end(job)
        self.writer.mark_changed(job)
        self._stop_all(job)
        self._forget_if_over(job)

    def place(self, task: Task, worker: Worker, now: float) -> Run:
        """Decides on a run of a task; the start follows once it is durable."""
        job = task.job
        run = job.place(task, worker.worker_id, worker.born_ms, now)
        run.machine_id = worker.registered.machine_id
        self.attach(run, worker)
        self.writer.mark_changed(job)
        self.log.write(
            Event.PLACED,
            job=job.job_id,
            task=task.task_id[1:],
            run=run.number,
            worker=worker.worker_id,
            pool=worker.pool_id,
            free_cpu=worker.free.cpu,
            waited_ms=self.clock.unix_ms() - job.submission.accepted_ms,
        )
        return run

    def attach(self, run: Run, worker: Worker) -> None:
        """Accounts a run to its worker and client account."""
        worker.add(run)
        job = run.task.job
        self.team_use.add(job.submission.team_id, run.task.step.size)

    def finish(self, run: Run, how: RunEnd, checkpoint: str = "") -> None:
        """Applies the end of a run."""
        task, job = run.task, run.task.job
        if task.run is not run:
            return
        queue = self.queues().get(job.submission.queue_id)
        attempts = queue.max_attempts if queue else 1
        now_ms = self.clock.unix_ms()
        was_ended = job.ended
        for over in job.end_run(task, how, checkpoint, attempts, now_ms):
            self._detach(over)
        self.log.write(
            Event.RUN_ENDED,
            job=job.job_id,
            task=task.task_id[1:],
            run=run.number,
            worker=run.worker_id,
            how=how.value,
            ran_s=round(self.clock.boot() - run.decided_at, 3),
            failures=task.failures,
        )
        self.metrics.runs_ended.labels(how.value).inc()
        if how in (RunEnd.DONE, RunEnd.FAILED):
            self._note_health(run, how)
        if job.ended and not was_ended:
            self._note_job_end(job)
            self._stop_all(job)
        self.writer.mark_changed(job)
        self._forget_if_over(job)
        self.changed.set()

    def note_start(self, job: Job) -> None:
        """Measures how long a job waited for its first start."""
        if job.first_start_confirmed:
            return
        job.first_start_confirmed = True
        submission = job.submission
        due_ms = max(submission.accepted_ms, submission.start_ms)
        waited_ms = self.clock.unix_ms() - due_ms
        self.metrics.first_start_seconds.observe(max(0, waited_ms) / 1000)

    def note_unanswered(self) -> None:
        """Remembers that an order went without an answer."""
        self.unanswered_at = self.clock.boot()

    def retract(self, run: Run) -> None:
        """Takes back a run of which no order was ever sent."""
        self.finish(run, RunEnd.LAPSED)

    def worker_of(self, run: Run) -> Worker | None:
        """Returns the worker of a run."""
        return self.fleet.worker_by_id.get(run.worker_id)

    def _detach(self, run: Run) -> None:
        worker = self.worker_of(run)
        if worker is not None:
            worker.remove(run)
        job = run.task.job
        self.team_use.add(job.submission.team_id, run.task.step.size, -1)

    def _note_health(self, run: Run, how: RunEnd) -> None:
        worker = self.worker_of(run)
        if worker is not None:
            worker.record_outcome(how is RunEnd.DONE, self.clock.boot())

    def _note_job_end(self, job: Job) -> None:
        submission = job.submission
        taken_ms = job.ended_ms - submission.accepted_ms
        self.metrics.jobs_ended.labels(job.state.value).inc()
        self.metrics.job_seconds.observe(max(0, taken_ms) / 1000)
        self.log.write(
            Event.JOB_ENDED,
            job=job.job_id,
            state=job.state.value,
            queue=submission.queue_id,
            taken_ms=taken_ms,
        )

    def _stop_all(self, job: Job) -> None:
        for task in list(job.active.values()):
            if task.run is not None:
                self.stop_run(task.run)

    def _forget_if_over(self, job: Job) -> None:
        if job.ended and not job.active:
            self.job_by_id.pop(job.job_id, None)
