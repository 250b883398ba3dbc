"""State of a controller during its term, with its basic transitions."""

import asyncio
from collections.abc import Callable

from sardinedrift.engine.arrivals import ArrivalMeter
from sardinedrift.engine.catalogue import JobCatalogue, KnownJob
from sardinedrift.engine.clock import Clock
from sardinedrift.engine.estimates import DurationEstimates
from sardinedrift.engine.events import Event, EventLog
from sardinedrift.engine.fleet import Fleet, Worker
from sardinedrift.engine.metrics import Metrics
from sardinedrift.engine.model import (
    Configuration,
    FencingToken,
    JobState,
    MachineId,
    Progress,
    QueuePolicy,
    RunEnd,
    Submission,
)
from sardinedrift.engine.ports import Machine, PublishedState
from sardinedrift.engine.progresswriter import ProgressWriter
from sardinedrift.engine.saturation import Saturation
from sardinedrift.engine.task import Run, Task
from sardinedrift.engine.taskblocks import TaskBlock
from sardinedrift.engine.teamuse import TeamUse
from sardinedrift.engine.term import Term
from sardinedrift.engine.work import Job
from sardinedrift.identifiers import JobId, QueueId


class ControllerState:
    """State of a controller in one term.

    Args:
        term: fencing token and time limits.
        catalogue: the jobs as stored.
        writer: makes decisions durable.
        published: configuration and waves published by operators.
        clock: source of the current time.
        log: receives log lines.
        metrics: counts outcomes.
        max_lease_ms: longest lease that workers grant, in ms.

    Attributes:
        fleet: the workers.
        machine_by_id: machines as last listed.
        job_by_id: jobs that have not fully ended.
        changed: set when the planner should run again.
        team_use: resources in use by client account.
        arrivals: measures the rate of arriving work.
        estimates: expected durations of tasks.
        placement_limited: startable tasks were left unplaced by the last pass
            because of the limit on orders.
        saturation: whether the accepted work exceeds what it can handle.
        last_unanswered_at: when an order was last left without an answer, by
            the boot-time clock.
        reserved_machine_ids: machines that are being drained for an order; no
            new work is placed on them.
        stop_run: callback, set by the controller, that stops a run.
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
        max_lease_ms: int,
    ):
        self.term = term
        self.max_lease_ms = max_lease_ms
        self.catalogue = catalogue
        self.writer = writer
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.fleet = Fleet()
        self.machine_by_id: dict[MachineId, Machine] = {}
        self.job_by_id: dict[JobId, Job] = {}
        self.changed = asyncio.Event()
        self.reserved_machine_ids: set[MachineId] = set()
        self.stop_run: Callable[[Run], None] = lambda run: None
        self.published = published
        self._policy_by_id: dict[QueueId, QueuePolicy] = {}
        self._configuration: Configuration | None = None
        self.team_use = TeamUse({})
        self.arrivals = ArrivalMeter()
        self.estimates = DurationEstimates()
        self.placement_limited = False
        self.saturation = Saturation()
        self.last_unanswered_at = float("-inf")

    @property
    def token(self) -> FencingToken:
        """Fencing token of the term."""
        return self.term.token

    def policies(self) -> dict[QueueId, QueuePolicy]:
        """Returns the policies of the queues.

        Jobs accepted on a queue are finished after its withdrawal, so that of
        a withdrawn queue is included: as it was last published in this term,
        else as it was when one of its jobs was accepted.
        """
        configuration = self.published.current()
        if configuration is not self._configuration:
            self._configuration = configuration
            self._update_policies(configuration)
        return self._policy_by_id

    def _update_policies(self, configuration: Configuration | None) -> None:
        if configuration is not None:
            self.fleet.set_pools(configuration.pool_by_id)
            self._policy_by_id.update(
                (queue_id, queue.policy)
                for queue_id, queue in configuration.queue_by_id.items()
            )

    def admit(self, submission: Submission) -> Job | None:
        """Adds a stored job, with its progress if there is any.

        Returns:
            The job; None if it is not stored, was already added or has fully
            ended.
        """
        known = self.catalogue.find(submission.job_id)
        if known is None or submission.job_id in self.job_by_id:
            return None
        if submission.policy is not None:
            self._policy_by_id.setdefault(
                submission.queue_id, submission.policy
            )
        job = Job(submission)
        if known.progress is not None or known.tasks_by_block:
            self._restore(job, known)
        else:
            self._record_arrival(submission)
        if known.cancelled and not job.ended:
            job.cancel(self.clock.unix_ms())
            self.writer.mark_changed(job)
        if job.ended and not job.active:
            return None
        self.job_by_id[job.job_id] = job
        job.create_due_occurrences(self.clock.unix_ms())
        self.changed.set()
        return job

    def _restore(self, job: Job, known: KnownJob) -> None:
        blocks = (TaskBlock(*item) for item in known.tasks_by_block.items())
        job.restore(
            known.progress or Progress(JobState.PENDING, False),
            self.clock.boot(),
            blocks,
        )
        max_attempts = self._max_attempts(job)
        if job.end_if_due(max_attempts, self.clock.unix_ms()):
            self._report_job_end(job)
            self.writer.mark_changed(job)

    def _max_attempts(self, job: Job) -> int | None:
        policy = self.policies().get(job.submission.queue_id)
        return policy.max_attempts if policy else None

    def _record_arrival(self, submission: Submission) -> None:
        policy = self.policies().get(submission.queue_id)
        if policy is None:
            return
        # The arrival time is that of the acceptance, also for a job that
        # reaches this controller late.
        age_s = (self.clock.unix_ms() - submission.accepted_ms) / 1000
        at = self.clock.boot() - max(0.0, age_s)
        self.arrivals.record(policy.pool_id, submission, at)

    def cancel(self, job: Job) -> None:
        """Cancels a job and stops its runs."""
        if job.cancelled:
            return
        job.cancel(self.clock.unix_ms())
        self._report_job_end(job)
        self.writer.mark_changed(job)
        self._stop_all(job)
        self._remove_if_fully_ended(job)

    def place(self, task: Task, worker: Worker, now: float) -> Run:
        """Places a task on a worker; returns the run.

        The caller orders the start once this decision is durable.
        """
        job = task.job
        run = job.place(task, worker.worker_id, worker.process.born_ms, now)
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
        """Adds a run to its worker and to the use of its client account."""
        worker.add(run)
        job = run.task.job
        self.team_use.add(job.submission.team_id, run.task.step.size)

    def finish(self, run: Run, how: RunEnd, checkpoint: str = "") -> None:
        """Applies the end of a run.

        Does nothing for a run that its task no longer has.

        Args:
            run: the run.
            how: how it ended.
            checkpoint: its last checkpoint, if any.
        """
        task, job = run.task, run.task.job
        if task.run is not run:
            return
        max_attempts = self._max_attempts(job)
        now_ms = self.clock.unix_ms()
        was_ended = job.ended
        for ended_run in job.end_run(
            task, how, checkpoint, max_attempts, now_ms
        ):
            self._detach(ended_run)
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
        self.saturation.record_end()
        self._record_duration(run, how)
        if how in (RunEnd.DONE, RunEnd.FAILED):
            self._record_outcome(run, how)
        if job.ended and not was_ended:
            self._report_job_end(job)
            self._stop_all(job)
        self.writer.mark_changed(job)
        self._remove_if_fully_ended(job)
        self.changed.set()

    def record_first_start(self, job: Job) -> None:
        """Records the wait of a job for its first start, once per job."""
        if job.first_start_confirmed:
            return
        job.first_start_confirmed = True
        submission = job.submission
        due_ms = max(submission.accepted_ms, submission.start_ms)
        waited_ms = self.clock.unix_ms() - due_ms
        self.metrics.first_start_seconds.observe(max(0, waited_ms) / 1000)

    def record_unanswered(self) -> None:
        """Records that an order was left without an answer just now."""
        self.last_unanswered_at = self.clock.boot()

    def retract(self, run: Run) -> None:
        """Ends a run whose start was never sent."""
        self.finish(run, RunEnd.LAPSED)

    def worker_of(self, run: Run) -> Worker | None:
        """Returns the worker of a run; None if it is no longer known."""
        return self.fleet.worker_by_id.get(run.worker_id)

    def _detach(self, run: Run) -> None:
        worker = self.worker_of(run)
        if worker is not None:
            worker.remove(run)
        job = run.task.job
        self.team_use.add(job.submission.team_id, run.task.step.size, -1)

    def _record_duration(self, run: Run, how: RunEnd) -> None:
        worker = self.worker_of(run)
        cold_until = worker.cold_until if worker is not None else 0.0
        self.estimates.record(run, how, self.clock.boot(), cold_until)

    def _record_outcome(self, run: Run, how: RunEnd) -> None:
        worker = self.worker_of(run)
        if worker is not None:
            worker.record_outcome(how is RunEnd.DONE, self.clock.boot())

    def _report_job_end(self, job: Job) -> None:
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

    def _remove_if_fully_ended(self, job: Job) -> None:
        if job.ended and not job.active:
            self.job_by_id.pop(job.job_id, None)
