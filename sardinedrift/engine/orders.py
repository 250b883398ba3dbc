"""Sends starts and stops of runs until their outcome is known."""

import asyncio
from collections.abc import Callable, Coroutine

from sardinedrift.engine import leases
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
from sardinedrift.engine.limiter import OrderClass, OrderLimiter
from sardinedrift.engine.model import RunEnd, RunPhase, TaskId
from sardinedrift.engine.ports import Refusal, StartOrder, WorkerOrders
from sardinedrift.engine.stops import Stops
from sardinedrift.engine.task import Run

# A start without an answer is repeated at once; after the last attempt the
# run is stopped.
MAX_START_ATTEMPTS = 3


class Orders:
    """Sends the orders that follow from durable decisions.

    Args:
        control: state of the controller.
        port: sends orders to workers.
        limiter: bounds the orders in flight.
        wake: called with a worker from which a report is needed.

    Attributes:
        advisor: holds the tickets for starts; set after construction.
    """

    def __init__(
        self,
        control: ControllerState,
        port: WorkerOrders,
        limiter: OrderLimiter,
        wake: Callable[[Worker], None],
    ):
        self._limiter = limiter
        self._control = control
        self._port = port
        self._wake = wake
        self._tasks: set[asyncio.Task] = set()
        self._stops = Stops(control, port, limiter, wake, self._spawn)
        self.advisor: Advisor | None = None

    def close(self) -> None:
        """Cancels all pending orders."""
        for task in self._tasks:
            task.cancel()

    def start_soon(self, run: Run) -> None:
        """Orders the start of a run whose placement is durable.

        A run that is to be stopped is ended instead.
        """
        if run.task.run is not run:
            return
        if run.stop_wanted:
            self._control.finish(run, RunEnd.STOPPED)
            return
        run.phase = RunPhase.ORDERED
        worker = self._control.worker_of(run)
        if worker is not None:
            # Extends the recorded lease before the order is sent, as the
            # worker may hold it from then on.
            leases.for_start(worker.process, self._control.clock.boot())
        self._spawn(self._start(run))

    def stop_soon(self, run: Run) -> None:
        """Orders the stop of a run, or prevents its start."""
        if run.stop_wanted:
            return
        run.stop_wanted = True
        if run.phase is RunPhase.DECIDED:
            return
        if (
            run.phase is RunPhase.RUNNING
            or run.settled_at is not None
            or run.unanswered_at is not None
        ):
            self._stops.begin(run)

    def stop_unstarted(self, run: Run) -> None:
        """Stops a run whose start had no answer and that no report shows.

        Its start may still be carried out until the worker accepts the stop.
        """
        self._stops.begin(run)

    def stop_stray(self, worker: Worker, task_id: TaskId, number: int) -> None:
        """Stops a run that a worker reports but the controller has ended.

        Args:
            worker: the worker.
            task_id: task of the run.
            number: number of the run.
        """
        self._stops.begin_stray(worker, task_id, number)

    def set_pace_soon(self, run: Run, percent: int) -> None:
        """Orders a change of the pace of a run, in percent of full speed."""
        run.pace = percent
        self._spawn(self._set_pace(run, percent))

    async def _set_pace(self, run: Run, percent: int) -> None:
        worker = self._control.worker_of(run)
        if worker is None:
            return
        task_id = run.task.task_id
        try:
            await self._port.set_pace(
                worker.registered,
                task_id,
                run.number,
                percent,
                self._control.token,
            )
            outcome = "done"
        except OrderError as error:
            # The next review decides again, based on the worker's reports.
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

    async def _start(self, run: Run) -> None:
        worker = self._control.worker_of(run)
        if worker is None:
            return
        maybe_sent = False
        for _ in range(MAX_START_ATTEMPTS):
            if not self._may_start(run, worker):
                break
            sent_at = self._control.clock.boot()
            try:
                await self._send_start(run, worker)
            except _NotNeeded:
                break
            except OrderNotSent as error:
                worker.suspect = True
                self._record_start_failure(run, error)
                break
            except OrderRefused as error:
                self._record_start_failure(run, error)
                self._handle_refusal(run, worker, error.reason, maybe_sent)
                return
            except OrderUnknown as error:
                maybe_sent = True
                self._control.record_unanswered()
                # A worker that has answered another order since is reachable.
                worker.suspect |= worker.answered_at < sent_at
                self._record_start_failure(run, error)
                # A report may show the run before the next attempt.
                self._wake(worker)
            else:
                worker.answered_at = self._control.clock.boot()
                self._confirm(run)
                return
        if maybe_sent:
            self._give_up_start(run, worker)
        elif run.task.run is run and run.phase is RunPhase.ORDERED:
            self._control.retract(run)
        if worker.evacuated:
            self._stop_gang(run)
        self._wake(worker)

    def _may_start(self, run: Run, worker: Worker) -> bool:
        """Whether a start may be sent, for the first time or again."""
        return (
            self._control.term.may_order
            and run.phase is RunPhase.ORDERED
            and not run.stop_wanted
            and not worker.evacuated
        )

    def _stop_gang(self, run: Run) -> None:
        """Stops the other members of a run's gang, if it has one.

        They are useless without it, and the members are placed together. Those
        that have been placed again since have another run number.
        """
        if not run.task.step.gang:
            return
        for member in run.task.job.siblings(run.task):
            other = member.run
            if other is not None and other.number == run.number:
                self.stop_soon(other)

    async def _send_start(self, run: Run, worker: Worker) -> None:
        """Sends a start when its turn has come.

        Raises:
            OrderError: it failed.
            _NotNeeded: meanwhile, the run is to be stopped, the term ended, the
                worker became unresponsive, or its evacuation began.
        """
        was_suspect = worker.suspect
        async with self._limiter.slot(OrderClass.START):
            if not self._may_start(run, worker) or (
                worker.suspect and not was_suspect
            ):
                raise _NotNeeded
            await self._port.start(
                worker.registered, self._order_for(run, worker)
            )
        if self._control.placement_limited:
            self._control.changed.set()

    def _order_for(self, run: Run, worker: Worker) -> StartOrder:
        task = run.task
        return StartOrder(
            task.task_id,
            run.number,
            task.job.submission.payload,
            leases.for_start(worker.process, self._control.clock.boot()),
            self._control.token,
            task.checkpoint,
            self._ticket_for(task.task_id, worker),
        )

    def _ticket_for(self, task_id: TaskId, worker: Worker) -> str:
        if self.advisor is None:
            return ""
        return self.advisor.ticket(task_id, worker.worker_id)

    def _confirm(self, run: Run) -> None:
        if run.task.run is not run:
            return
        run.settled_at = self._control.clock.boot()
        run.progressed_at = run.settled_at
        if run.phase is RunPhase.ORDERED:
            run.phase = RunPhase.RUNNING
        job = run.task.job
        self._control.record_first_start(job)
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
            self._stops.begin(run)

    def _handle_refusal(
        self, run: Run, worker: Worker, reason: Refusal, maybe_sent: bool
    ) -> None:
        if reason is Refusal.FENCED:
            self._control.term.end()
            return
        if reason is Refusal.OLD:
            # An earlier attempt may have started the run, and it may have
            # ended since; the worker's next report shows it.
            run.settled_at = self._control.clock.boot()
        elif maybe_sent:
            # The refusal says nothing of an earlier attempt, which the worker
            # may carry out until it has accepted a stop.
            self._give_up_start(run, worker)
        else:
            self._control.finish(run, RunEnd.LAPSED)
        if reason is Refusal.TICKET and self.advisor is not None:
            self.advisor.forget(run.task.task_id, worker.worker_id)
        if reason is Refusal.UNHEALTHY:
            worker.record_outcome(False, self._control.clock.boot())
        if reason is Refusal.OTHER_BOOT:
            worker.suspect = True
        self._wake(worker)

    def _give_up_start(self, run: Run, worker: Worker) -> None:
        """Stops a run that may have started, unless a report has shown it.

        The stop of a long-running task waits for a report that does not list
        it: the task may serve by then, as may others of its step that are in
        the same state.
        """
        if run.phase is not RunPhase.ORDERED:
            return
        if (
            run.task.step.long_running
            and not run.stop_wanted
            and not worker.evacuated
        ):
            run.unanswered_at = self._control.clock.boot()
        else:
            self._stops.begin(run)

    def _record_start_failure(self, run: Run, error: OrderError) -> None:
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


class _NotNeeded(Exception):  # noqa: N818
    """The start must not be sent any more."""
