"""One task per worker that renews its lease and applies its reports."""

import asyncio

from sardinedrift.engine import leases
from sardinedrift.engine.answertimeout import AnswerTimeout
from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event
from sardinedrift.engine.exceptions import (
    OrderError,
    OrderRefused,
    OrderUnknown,
)
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.model import RunEnd, RunPhase
from sardinedrift.engine.orders import Orders
from sardinedrift.engine.ports import (
    Refusal,
    ReportRequest,
    WorkerOrders,
)
from sardinedrift.engine.renewals import RenewalOutcome
from sardinedrift.engine.task import Run
from sardinedrift.engine.workerreports import ReportApplier

# Longest time for which a worker may hold back a report until a run ends.
# Leases are renewed at least at this interval.
REPORT_WAIT_MS = 1000
# The same while a stop is being sent, and for a worker with short tasks within
# the degraded period after an order was left without an answer: a lost report
# hides the ends of tasks until the next one.
DEGRADED_WAIT_MS = 300
DEGRADED_PERIOD_S = 5.0
RETRY_INTERVAL_S = 0.3
# After this many answered requests in a row that carried no lease, the next one
# waits for RETRY_INTERVAL_S. A peer that closes its connections is known as
# such before that.
MAX_IMMEDIATE_REPORTS = 5
# Limits of the time for the answer to a report call, beyond the wait that the
# worker was asked for. A worker which is only slow keeps its lease.
MIN_ANSWER_S = 0.4
MAX_ANSWER_S = 1.6
# The next report is requested after this time even if the ends in the last
# one are not yet stored. Waiting for them acknowledges several ends at once.
ACKNOWLEDGE_TIMEOUT_S = 1.0


class Session:
    """Requests the reports of one worker until it has no runs.

    The session then ends once the worker is terminated or not registered.

    Args:
        worker: the worker.
        control: state of the controller.
        orders: stops runs that must not continue.
        port: requests reports.
        first_calls: limits the concurrent first calls to idle workers.
    """

    def __init__(
        self,
        worker: Worker,
        control: ControllerState,
        orders: Orders,
        port: WorkerOrders,
        first_calls: asyncio.Semaphore,
    ):
        self._worker = worker
        self._control = control
        self._port = port
        self._first_calls = first_calls
        self._reports = ReportApplier(worker, control, orders)
        self._wake = asyncio.Event()
        self._answer_timeout = AnswerTimeout(MIN_ANSWER_S, MAX_ANSWER_S)

    def wake(self) -> None:
        """Makes the session check soon whether to request a report."""
        self._wake.set()

    async def run(self) -> None:
        """Requests and applies reports until the session is done."""
        while not self._expire_runs():
            if not self._needs_report():
                self._wake.clear()
                await self._wake.wait()
                continue
            if self._worker.contacted or self._worker.run_by_task:
                await self._request_report()
            else:
                async with self._first_calls:
                    await self._request_report()
            process = self._worker.process
            await process.ends.wait_stored(ACKNOWLEDGE_TIMEOUT_S)
            if process.renewals.reports_since > MAX_IMMEDIATE_REPORTS:
                await asyncio.sleep(RETRY_INTERVAL_S)

    def _expire_runs(self) -> bool:
        """Ends runs whose worker is terminated or whose lease has expired.

        Returns:
            Whether the session is done: no run is left, and the worker is
            terminated or not registered.
        """
        worker = self._worker
        lease_expired = worker.lease_expired(self._control.clock.boot())
        if (lease_expired or worker.terminated) and worker.run_by_task:
            self._log_worker_end(lease_expired)
        for run in list(worker.run_by_task.values()):
            if worker.terminated or (
                lease_expired and run.phase is not RunPhase.DECIDED
            ):
                self._control.finish(run, RunEnd.LAPSED)
        idle = not worker.run_by_task
        return idle and (worker.terminated or not worker.listed)

    def _log_worker_end(self, lease_expired: bool) -> None:
        worker = self._worker
        process = worker.process
        clock = process.clock
        now = self._control.clock.boot()
        self._control.log.write(
            Event.WORKER_ENDED,
            worker=worker.worker_id,
            runs=len(worker.run_by_task),
            gone=worker.terminated,
            leases_over=lease_expired,
            lease_left_ms=process.lease_ms - clock.estimate(now)
            if clock
            else None,
            silent_s=round(now - worker.answered_at, 3),
        )

    def _needs_report(self) -> bool:
        worker = self._worker
        return (
            not worker.contacted
            or worker.suspect
            or bool(worker.process.ends.to_acknowledge)
            or any(
                run.phase is not RunPhase.DECIDED
                for run in worker.run_by_task.values()
            )
        )

    async def _request_report(self) -> None:
        worker = self._worker
        if not worker.registered.address or not self._control.term.may_renew:
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        sent_at = self._control.clock.boot()
        process = worker.process
        request = ReportRequest(
            self._control.token,
            process.connection_id,
            process.ends.to_acknowledge,
            self._next_lease_ms(),
            self._report_wait_ms(),
        )
        try:
            report = await self._port.renew(
                worker.registered,
                request,
                self._answer_timeout.limit_s,
            )
        except OrderRefused as error:
            self._handle_refusal(error.reason)
            await asyncio.sleep(RETRY_INTERVAL_S)
        except OrderError as error:
            self._handle_failure(error, sent_at)
            if worker.suspect:
                await asyncio.sleep(RETRY_INTERVAL_S)
        else:
            self._answer_timeout.record_answer()
            if report.addressed:
                process.ends.mark_acknowledged(request.acknowledged_end)
            outcome = RenewalOutcome.of(request, report)
            process.renewals.record(outcome, sent_at)
            self._control.metrics.lease_renewals.labels(outcome.value).inc()
            self._reports.apply(report, sent_at)

    def _next_lease_ms(self) -> int | None:
        """Returns the lease deadline to send, on the worker's clock, if any.

        An unresponsive worker gets none: each deadline that it may have
        received counts, and new ones would keep its lease from ever expiring.
        Before the first answer of a worker process there is none either, as
        its clock is unknown.
        """
        if self._worker.suspect:
            return None
        now = self._control.clock.boot()
        return leases.extend(self._worker.process, now) or None

    def _report_wait_ms(self) -> int:
        worker = self._worker
        if not worker.contacted or worker.suspect or not worker.run_by_task:
            return 0
        runs = worker.run_by_task.values()
        if any(needs_next_report(run) for run in runs):
            return 0
        if any(_awaits_stop(run) for run in runs):
            return DEGRADED_WAIT_MS
        has_short_tasks = any(not run.task.step.long_running for run in runs)
        since_unanswered_s = (
            self._control.clock.boot() - self._control.last_unanswered_at
        )
        if has_short_tasks and since_unanswered_s < DEGRADED_PERIOD_S:
            return DEGRADED_WAIT_MS
        return REPORT_WAIT_MS

    def _handle_refusal(self, reason: Refusal) -> None:
        if reason is Refusal.FENCED:
            self._control.term.end()
        else:
            # Another process may use the address now, so the refusal does not
            # show that the runs have ended; only the expiry of the lease does.
            self._mark_suspect(f"refused: {reason.value}")

    def _handle_failure(self, error: OrderError, sent_at: float) -> None:
        worker = self._worker
        if isinstance(error, OrderUnknown):
            self._answer_timeout.record_timeout()
            self._control.record_unanswered()
            # A worker that has answered another order since is reachable.
            if worker.answered_at > sent_at:
                return
        self._mark_suspect(repr(error))

    def _mark_suspect(self, cause: str) -> None:
        worker = self._worker
        if worker.suspect:
            return
        worker.suspect = True
        self._control.log.write(
            Event.WORKER_SUSPECT,
            worker=worker.worker_id,
            runs=len(worker.run_by_task),
            error=cause,
        )


def _awaits_stop(run: Run) -> bool:
    """Whether a stop was not accepted yet; a report ends the run after that."""
    return run.phase is RunPhase.STOPPING and run.settled_at is None


def needs_next_report(run: Run) -> bool:
    """Whether the next report decides what becomes of a run."""
    if run.phase is RunPhase.RUNNING:
        return False
    return run.settled_at is not None or run.unanswered_at is not None
