"""One task per worker: renews its lease and takes over its reports."""

import asyncio

from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event
from sardinedrift.engine.exceptions import (
    OrderError,
    OrderRefused,
    OrderUnknown,
)
from sardinedrift.engine.fleet import Worker, WorkerClock
from sardinedrift.engine.model import RunEnd, RunPhase
from sardinedrift.engine.orders import LEASE_MS, Orders
from sardinedrift.engine.ports import (
    EndReport,
    Refusal,
    RunReport,
    WorkerOrders,
    WorkerReport,
)

# Longest wait of a worker for news; leases are renewed at least so often.
REPORT_WAIT_MS = 1000
# While orders go unanswered, and short tasks run, reports are asked for so
# often: a lost one hides the ends of tasks until the next.
TROUBLED_WAIT_MS = 300
TROUBLE_S = 5.0
RETRY_S = 0.3
# Longest lease of an earlier controller, with room for a drift of clocks.
FOREIGN_LEASE_MS = LEASE_MS * 11 // 10
# Ends that come close together are recorded in one go.
ACKNOWLEDGE_WAIT_S = 1.0


class Session:
    """Follows one worker until nothing is left on it.

    Args:
        worker: the worker.
        control: state of the term.
        orders: stops what must not run.
        port: asks for reports.
        greetings: bounds how many idle workers are asked for the first time
            at once.
    """

    def __init__(
        self,
        worker: Worker,
        control: ControllerState,
        orders: Orders,
        port: WorkerOrders,
        greetings: asyncio.Semaphore,
    ):
        self._worker = worker
        self._control = control
        self._orders = orders
        self._port = port
        self._greetings = greetings
        self._wake = asyncio.Event()
        self._stored = asyncio.Event()
        self._taken = 0
        self._acknowledged = 0

    def wake(self) -> None:
        """Has the worker asked soon."""
        self._wake.set()

    async def run(self) -> None:
        """Follows the worker until it is gone."""
        while not self._is_over():
            if not self._needs_report():
                self._wake.clear()
                await self._wake.wait()
                continue
            if self._worker.contacted or self._worker.run_by_task:
                await self._ask()
            else:
                async with self._greetings:
                    await self._ask()
            if self._taken > self._worker.last_stored_end:
                await self._wait_stored()

    def _is_over(self) -> bool:
        worker = self._worker
        over = worker.leases_expired(self._control.clock.boot())
        if (over or worker.terminated) and worker.run_by_task:
            self._log_end(over)
        for run in list(worker.run_by_task.values()):
            if worker.terminated or (
                over and run.phase is not RunPhase.DECIDED
            ):
                self._control.finish(run, RunEnd.LAPSED)
        idle = not worker.run_by_task
        return idle and (worker.terminated or not worker.listed)

    def _log_end(self, over: bool) -> None:
        worker = self._worker
        clock = worker.clock
        now = self._control.clock.boot()
        self._control.log.write(
            Event.WORKER_ENDED,
            worker=worker.worker_id,
            runs=len(worker.run_by_task),
            gone=worker.terminated,
            leases_over=over,
            lease_left_ms=worker.lease_ms - clock.estimate(now)
            if clock
            else None,
            silent_s=round(now - worker.answered_at, 3),
        )

    def _needs_report(self) -> bool:
        worker = self._worker
        return (
            not worker.contacted
            or worker.suspect
            or worker.last_stored_end > self._acknowledged
            or any(
                run.phase is not RunPhase.DECIDED
                for run in worker.run_by_task.values()
            )
        )

    async def _ask(self) -> None:
        worker = self._worker
        if not worker.registered.address or not self._control.term.may_renew:
            await asyncio.sleep(RETRY_S)
            return
        sent_at = self._control.clock.boot()
        seen = worker.last_stored_end
        try:
            report = await self._port.renew(
                worker.registered,
                self._control.token,
                seen,
                self._next_lease(),
                self._wait_ms(),
                new_connection=worker.suspect,
            )
        except OrderRefused as error:
            self._note_refusal(error.reason)
            await asyncio.sleep(RETRY_S)
        except OrderError as error:
            self._note_silence(error, sent_at)
            if worker.suspect:
                await asyncio.sleep(RETRY_S)
        else:
            self._acknowledged = seen
            self._take(report, sent_at)

    def _next_lease(self) -> int | None:
        """Returns the deadline to ask for, if any.

        A worker that does not answer gets none: what it may have received
        counts, and would put off the end of its leases for ever. The first
        answer of a life tells its clock, from which deadlines follow.
        """
        if self._worker.suspect:
            return None
        return self._orders.next_lease_ms(self._worker) or None

    def _wait_ms(self) -> int:
        worker = self._worker
        if not worker.contacted or worker.suspect or not worker.run_by_task:
            return 0
        runs = worker.run_by_task.values()
        if any(
            run.settled_at is not None and run.phase is not RunPhase.RUNNING
            for run in runs
        ):
            return 0
        short = any(not run.task.step.long_running for run in runs)
        since = self._control.clock.boot() - self._control.unanswered_at
        if short and since < TROUBLE_S:
            return TROUBLED_WAIT_MS
        return REPORT_WAIT_MS

    def _note_refusal(self, reason: Refusal) -> None:
        if reason is Refusal.FENCED:
            self._control.term.end()
        else:
            # Another process may have the address; that says nothing about
            # what the worker runs until its leases are over.
            self._note_suspicion(f"refused: {reason.value}")

    def _note_silence(self, error: OrderError, sent_at: float) -> None:
        worker = self._worker
        if isinstance(error, OrderUnknown):
            self._control.note_unanswered()
            # Other orders that it answered since show that it is there.
            if worker.answered_at > sent_at:
                return
        self._note_suspicion(repr(error))

    def _note_suspicion(self, cause: str) -> None:
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

    def _take(self, report: WorkerReport, sent_at: float) -> None:
        worker = self._worker
        now = self._control.clock.boot()
        if report.born_ms and report.born_ms != worker.born_ms:
            self._begin_life(report.born_ms)
        if worker.clock is None:
            # An earlier controller may have renewed up to now.
            worker.lease_ms = report.clock_ms + FOREIGN_LEASE_MS
        worker.clock = WorkerClock(report.clock_ms, now)
        worker.answered_at = now
        if not worker.contacted or worker.suspect:
            self._note_contact()
        for end in report.ended:
            self._take_end(end)
        for row in report.running:
            self._take_run(row, now)
        self._drop_missing(report, sent_at)
        self._control.changed.set()

    def _begin_life(self, born_ms: int) -> None:
        """Takes over that the worker has started again under its id."""
        worker = self._worker
        for run in list(worker.run_by_task.values()):
            if run.born_ms != born_ms:
                self._control.finish(run, RunEnd.LAPSED)
        worker.born_ms = born_ms
        worker.lease_ms = 0
        worker.clock = None
        worker.last_stored_end = 0
        self._taken = 0
        self._acknowledged = 0

    def _note_contact(self) -> None:
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
            born_ms=worker.born_ms,
            runs=len(worker.run_by_task),
        )

    def _take_end(self, end: EndReport) -> None:
        if end.number <= self._taken:
            return
        self._taken = end.number
        run = self._current(end.task_id, end.run)
        if run is not None:
            self._control.finish(run, end.how, end.checkpoint)
        self._stored.clear()
        self._control.writer.call_when_durable(lambda: self._store(end.number))

    def _store(self, number: int) -> None:
        self._worker.last_stored_end = max(self._worker.last_stored_end, number)
        if self._worker.last_stored_end >= self._taken:
            self._stored.set()

    async def _wait_stored(self) -> None:
        try:
            async with asyncio.timeout(ACKNOWLEDGE_WAIT_S):
                await self._stored.wait()
        except TimeoutError:
            # The store is away; the lease must be renewed all the same.
            return

    def _take_run(self, row: RunReport, now: float) -> None:
        run = self._current(row.task_id, row.run)
        if run is None:
            self._orders.stop_stray(self._worker, row.task_id, row.run)
            return
        run.observe(row.percent, row.figure, now)
        if row.checkpoint:
            run.task.checkpoint = row.checkpoint
        if run.phase is RunPhase.ORDERED:
            run.phase = RunPhase.RUNNING
            run.settled_at = now
            if run.stop_wanted or run.task.job.ended:
                run.stop_wanted = False
                self._orders.stop_soon(run)

    def _current(self, task_id, number: int):
        """Returns the run if it is the one known to be on this worker."""
        run = self._worker.run_by_task.get(task_id)
        return run if run is not None and run.number == number else None

    def _drop_missing(self, report: WorkerReport, sent_at: float) -> None:
        """Ends runs whose order is settled and that the worker lacks."""
        listed = {(row.task_id, row.run) for row in report.running}
        for run in list(self._worker.run_by_task.values()):
            if run.settled_at is None or run.settled_at >= sent_at:
                continue
            if (run.task.task_id, run.number) not in listed:
                self._control.finish(run, RunEnd.LAPSED)
