"""Starts and stops of runs, carried to a certain outcome."""

import asyncio
from collections.abc import Coroutine

from sardinedrift.engine.advising import Advisor
from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event
from sardinedrift.engine.exceptions import (
    OrderError,
    OrderNotSent,
    OrderRefused,
    OrderUnknown,
)
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.model import RunEnd, RunPhase, TaskId
from sardinedrift.engine.ports import Refusal, StartOrder, WorkerOrders
from sardinedrift.engine.task import Run

# Leases reach this far ahead: beyond the election of a successor and its
# first renewals, and no longer, since a lost worker blocks its tasks so long.
LEASE_MS = 4500
# A start relies on a lease that lasts at least this long.
START_LEASE_MS = 2000
# Starts without an answer are repeated at once, then the run is stopped.
START_TRIES = 3
RETRY_S = 0.25


class Orders:
    """Sends the orders that follow from durable decisions.

    Args:
        control: state of the term.
        port: sends them.
        wake: called with a worker whose reports are needed.

    Attributes:
        tickets: gives the tickets of starts, where advice is needed.
    """

    def __init__(self, control: ControllerState, port: WorkerOrders, wake):
        self._control = control
        self._port = port
        self._wake = wake
        self._tasks: set[asyncio.Task] = set()
        self._strays: set[tuple[TaskId, int]] = set()
        self.tickets: Advisor | None = None

    def close(self) -> None:
        """Cancels all orders on their way."""
        for task in self._tasks:
            task.cancel()

    def start_soon(self, run: Run) -> None:
        """Starts a run whose decision is durable."""
        if run.task.run is not run:
            return
        if run.stop_wanted:
            self._control.finish(run, RunEnd.STOPPED)
            return
        run.phase = RunPhase.ORDERED
        worker = self._control.worker_of(run)
        if worker is not None:
            # The lease counts from here on, also before the order is sent.
            self._start_lease_ms(worker)
        self._spawn(self._start(run))

    def stop_soon(self, run: Run) -> None:
        """Stops a run, or keeps it from starting."""
        if run.stop_wanted:
            return
        run.stop_wanted = True
        if run.phase is RunPhase.DECIDED:
            return
        if run.phase is RunPhase.RUNNING or run.settled_at is not None:
            self._begin_stop(run)

    def stop_stray(self, worker: Worker, task_id: TaskId, number: int) -> None:
        """Stops a run that is over for us but that a worker still lists."""
        if (task_id, number) not in self._strays:
            self._strays.add((task_id, number))
            self._spawn(self._stop_stray(worker, task_id, number))

    def pace_soon(self, run: Run, percent: int) -> None:
        """Lets a run work at a share of its speed."""
        run.pace = percent
        self._spawn(self._pace(run, percent))

    async def _pace(self, run: Run, percent: int) -> None:
        worker = self._control.worker_of(run)
        if worker is None:
            return
        task_id = run.task.task_id
        try:
            await self._port.pace(
                worker.registered,
                task_id,
                run.number,
                percent,
                self._control.token,
            )
            outcome = "done"
        except OrderError as error:
            # The next review decides again by what the worker reports.
            outcome = repr(error)
        self._control.log.write(
            Event.PACED,
            job=task_id.job_id,
            task=task_id[1:],
            run=run.number,
            worker=worker.worker_id,
            percent=percent,
            outcome=outcome,
        )

    def next_lease_ms(self, worker: Worker) -> int:
        """Returns a new deadline on a worker's clock, and remembers it."""
        clock = worker.clock
        if clock is None:
            return 0
        lease_ms = clock.estimate(self._control.clock.boot()) + LEASE_MS
        worker.lease_ms = max(worker.lease_ms, lease_ms)
        return lease_ms

    def _start_lease_ms(self, worker: Worker) -> int:
        """Returns the deadline for a start.

        The one in force is kept while it lasts long enough, so that starts at
        a worker that no longer answers do not put off the end of its leases.
        """
        clock = worker.clock
        if clock is not None:
            left_ms = worker.lease_ms - clock.estimate(
                self._control.clock.boot()
            )
            if left_ms >= START_LEASE_MS:
                return worker.lease_ms
        return self.next_lease_ms(worker)

    async def _start(self, run: Run) -> None:
        worker = self._control.worker_of(run)
        if worker is None:
            return
        sent = False
        for _ in range(START_TRIES):
            if not self._control.term.may_order or run.stop_wanted:
                break
            sent_at = self._control.clock.boot()
            try:
                await self._port.start(
                    worker.registered, self._order_for(run, worker)
                )
            except OrderNotSent as error:
                worker.suspect = True
                self._note_failure(run, error)
                break
            except OrderRefused as error:
                self._note_failure(run, error)
                self._refused(run, worker, error.reason, sent)
                return
            except OrderUnknown as error:
                sent = True
                self._control.note_unanswered()
                # Other orders that it answered since show that it is there.
                worker.suspect |= worker.answered_at < sent_at
                self._note_failure(run, error)
            else:
                worker.answered_at = self._control.clock.boot()
                self._confirm(run)
                return
        if sent:
            self._begin_stop(run)
        elif run.task.run is run:
            self._control.retract(run)
        self._wake(worker)

    def _order_for(self, run: Run, worker: Worker) -> StartOrder:
        task = run.task
        return StartOrder(
            task.task_id,
            run.number,
            task.job.submission.payload,
            self._start_lease_ms(worker),
            self._control.token,
            task.checkpoint,
            self._ticket_for(task.task_id, worker),
        )

    def _ticket_for(self, task_id: TaskId, worker: Worker) -> str:
        if self.tickets is None:
            return ""
        return self.tickets.ticket(task_id, worker.worker_id)

    def _confirm(self, run: Run) -> None:
        if run.task.run is not run:
            return
        run.settled_at = self._control.clock.boot()
        run.progressed_at = run.settled_at
        if run.phase is RunPhase.ORDERED:
            run.phase = RunPhase.RUNNING
        job = run.task.job
        self._control.note_start(job)
        self._control.log.write(
            Event.STARTED_RUN,
            job=job.job_id,
            task=run.task.task_id[1:],
            run=run.number,
            worker=run.worker_id,
            took_ms=round((run.settled_at - run.decided_at) * 1000, 1),
        )
        worker = self._control.worker_of(run)
        if worker is not None:
            self._wake(worker)
        if run.stop_wanted:
            self._begin_stop(run)

    def _refused(
        self, run: Run, worker: Worker, reason: Refusal, sent: bool
    ) -> None:
        if reason is Refusal.FENCED:
            self._control.term.end()
            return
        if reason is Refusal.OLD or sent:
            # It may have run and ended since the first try; the next report
            # of the worker tells.
            run.settled_at = self._control.clock.boot()
        else:
            self._control.finish(run, RunEnd.LAPSED)
        if reason is Refusal.TICKET and self.tickets is not None:
            self.tickets.forget(run.task.task_id, worker.worker_id)
        if reason is Refusal.UNHEALTHY:
            worker.record_outcome(False, self._control.clock.boot())
        if reason is Refusal.OTHER_BOOT:
            worker.suspect = True
        self._wake(worker)

    def _begin_stop(self, run: Run) -> None:
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        run.settled_at = None
        self._spawn(self._stop(run))

    async def _stop(self, run: Run) -> None:
        worker = self._control.worker_of(run)
        task_id = run.task.task_id
        self._control.log.write(
            Event.STOP_ORDERED,
            job=task_id.job_id,
            task=task_id[1:],
            run=run.number,
            worker=run.worker_id,
        )
        while run.task.run is run and worker is not None:
            if await self._sent_stop(worker, task_id, run.number):
                run.settled_at = self._control.clock.boot()
                self._wake(worker)
                return
            await asyncio.sleep(RETRY_S)

    async def _stop_stray(
        self, worker: Worker, task_id: TaskId, number: int
    ) -> None:
        await self._sent_stop(worker, task_id, number)
        self._strays.discard((task_id, number))
        self._wake(worker)

    async def _sent_stop(
        self, worker: Worker, task_id: TaskId, number: int
    ) -> bool:
        """Returns whether the worker will run that number no longer."""
        if not self._control.term.may_renew:
            return False
        try:
            await self._port.stop(
                worker.registered, task_id, number, self._control.token
            )
        except OrderRefused as error:
            if error.reason is Refusal.FENCED:
                self._control.term.end()
            return error.reason is Refusal.OLD
        except OrderError:
            return False
        return True

    def _note_failure(self, run: Run, error: OrderError) -> None:
        self._control.metrics.start_failures.labels(type(error).__name__).inc()
        self._control.log.write(
            Event.START_FAILED,
            job=run.task.job.job_id,
            task=run.task.task_id[1:],
            run=run.number,
            worker=run.worker_id,
            error=repr(error),
        )

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
