"""Applies the reports of one worker to the state of the controller."""

from collections.abc import Iterable

from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.leases import LEASE_MS
from sardinedrift.engine.model import RunEnd, RunPhase, TaskId
from sardinedrift.engine.orders import Orders
from sardinedrift.engine.ports import EndReport, RunReport, WorkerReport
from sardinedrift.engine.task import Run
from sardinedrift.engine.taskblocks import is_recordable
from sardinedrift.engine.workerprocess import WorkerClock, WorkerProcess

# Longest lease from an earlier controller, with a margin for clock drift.
PREDECESSOR_LEASE_MS = LEASE_MS * 11 // 10


class ReportApplier:
    """Applies what one worker reports of its runs.

    Args:
        worker: the worker.
        control: state of the controller.
        orders: stops runs that must not continue.
    """

    def __init__(
        self, worker: Worker, control: ControllerState, orders: Orders
    ):
        self._worker = worker
        self._control = control
        self._orders = orders

    def apply(self, report: WorkerReport, sent_at: float) -> None:
        """Applies a report that was requested at a boot-time clock."""
        worker = self._worker
        now = self._control.clock.boot()
        if report.born_ms and report.born_ms != worker.process.born_ms:
            worker.process = WorkerProcess(report.born_ms)
        process = worker.process
        if process.clock is None:
            # An earlier controller may have renewed the lease until now.
            long_lease_s = max(0.0, worker.long_lease_expires_at - now)
            process.lease_ms = report.clock_ms + max(
                PREDECESSOR_LEASE_MS, int(long_lease_s * 1000) + 1
            )
        if report.born_ms:
            self._assign_process(report, sent_at)
        process.clock = WorkerClock(report.clock_ms, now)
        process.connection_id = report.connection_id
        worker.answered_at = now
        if not worker.contacted or worker.suspect:
            self._mark_contacted()
        self._apply_ends(report.ended)
        for row in report.running:
            self._apply_run(row, now)
        self._stop_unstarted_runs(sent_at)
        self._end_missing_runs(report, sent_at)
        self._control.changed.set()

    def _assign_process(self, report: WorkerReport, sent_at: float) -> None:
        """Ends the runs of earlier processes under the worker's id.

        A run whose start reached the reporting process, or may still reach it,
        belongs to that one. The deadline of that start was computed for another
        clock, so the lease may be as long as workers grant it.
        """
        worker = self._worker
        reported = {
            (row.task_id, row.run) for row in (*report.running, *report.ended)
        }
        for run in list(worker.run_by_task.values()):
            if run.born_ms in (0, report.born_ms):
                continue
            settled = run.settled_at is not None and run.settled_at < sent_at
            known_ended = settled and report.complete
            if known_ended and (run.task.task_id, run.number) not in reported:
                self._control.finish(run, RunEnd.LAPSED)
                continue
            run.born_ms = report.born_ms
            longest_ms = report.clock_ms + self._control.max_lease_ms
            process = worker.process
            process.lease_ms = max(process.lease_ms, longest_ms)
            # A successor must know of this lease also once the run has ended.
            self._control.writer.mark_term_changed()

    def _mark_contacted(self) -> None:
        worker = self._worker
        event = Event.WORKER_BACK if worker.suspect else Event.WORKER_SEEN
        worker.contacted = True
        worker.suspect = False
        self._control.log.write(
            event,
            worker=worker.worker_id,
            pool=worker.pool_id,
            machine=worker.registered.machine_id,
            rack=worker.registered.rack,
            born_ms=worker.process.born_ms,
            runs=len(worker.run_by_task),
        )

    def _apply_ends(self, listed: Iterable[EndReport]) -> None:
        ends = self._worker.process.ends
        new = [end for end in listed if ends.receive(end.number)]
        lapsed = sum(1 for end in new if end.how is RunEnd.LAPSED)
        if lapsed:
            self._log_lapse(lapsed)
        for end in new:
            self._apply_end(end)

    def _log_lapse(self, runs: int) -> None:
        worker = self._worker
        renewals = worker.process.renewals
        self._control.log.write(
            Event.LEASE_LAPSED,
            worker=worker.worker_id,
            runs=runs,
            renewed_s_ago=renewals.age_s(self._control.clock.boot()),
            reports_since=renewals.reports_since,
        )

    def _apply_end(self, end: EndReport) -> None:
        ends = self._worker.process.ends
        run = self._find_run(end.task_id, end.run)
        if run is not None:
            checkpoint = self._recordable(end.checkpoint, end.task_id)
            self._control.finish(run, end.how, checkpoint)
        self._control.writer.call_when_durable(
            lambda: ends.mark_stored(end.number)
        )

    def _apply_run(self, row: RunReport, now: float) -> None:
        run = self._find_run(row.task_id, row.run)
        if run is None:
            self._orders.stop_stray(self._worker, row.task_id, row.run)
            return
        run.observe(row.percent, row.figure, now)
        checkpoint = self._recordable(row.checkpoint, row.task_id)
        if checkpoint:
            run.task.checkpoint = checkpoint
        if run.phase is RunPhase.ORDERED:
            run.phase = RunPhase.RUNNING
            run.settled_at = now
            self._control.record_first_start(run.task.job)
            if run.stop_wanted or run.task.job.ended:
                run.stop_wanted = False
                self._orders.stop_soon(run)

    def _stop_unstarted_runs(self, sent_at: float) -> None:
        """Stops the runs whose starts were given up before a report.

        Those that the report lists are running by now.
        """
        for run in list(self._worker.run_by_task.values()):
            given_up_at = run.unanswered_at
            if run.phase is not RunPhase.ORDERED or given_up_at is None:
                continue
            if given_up_at < sent_at:
                self._orders.stop_unstarted(run)

    def _recordable(self, checkpoint: str, task_id: TaskId) -> str:
        """Returns a checkpoint, or "" if it is too large to be recorded."""
        if is_recordable(checkpoint):
            return checkpoint
        self._control.log.write(
            Event.FAULT,
            where="checkpoint",
            job=task_id.job_id,
            error=f"{len(checkpoint)} characters are too many to record",
        )
        return ""

    def _find_run(self, task_id: TaskId, number: int) -> Run | None:
        """Returns the run of a task if it is attached to this worker."""
        run = self._worker.run_by_task.get(task_id)
        return run if run is not None and run.number == number else None

    def _end_missing_runs(self, report: WorkerReport, sent_at: float) -> None:
        """Ends runs missing from a report, if their order was settled before.

        Runs whose order was settled after the report was requested are kept:
        the report may be older than their start. So are all runs while the
        worker has more ends than it lists: theirs may be among the others.
        """
        if not report.complete:
            return
        listed = {(row.task_id, row.run) for row in report.running}
        for run in list(self._worker.run_by_task.values()):
            if run.settled_at is None or run.settled_at >= sent_at:
                continue
            if (run.task.task_id, run.number) not in listed:
                self._control.finish(run, RunEnd.LAPSED)
