"""Sends stops of runs until workers accept them."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine

from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event
from sardinedrift.engine.exceptions import OrderError, OrderRefused
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.limiter import OrderClass, OrderLimiter
from sardinedrift.engine.model import RunPhase, TaskId
from sardinedrift.engine.ports import Refusal, WorkerOrders
from sardinedrift.engine.task import Run

RETRY_INTERVAL_S = 0.25


class Stops:
    """Stops runs.

    Args:
        control: state of the controller.
        port: sends orders to workers.
        limiter: bounds the orders in flight.
        wake: called with a worker from which a report is needed.
        spawn: runs a coroutine for as long as the orders are sent.
    """

    def __init__(
        self,
        control: ControllerState,
        port: WorkerOrders,
        limiter: OrderLimiter,
        wake: Callable[[Worker], None],
        spawn: Callable[[Coroutine], None],
    ):
        self._control = control
        self._port = port
        self._limiter = limiter
        self._wake = wake
        self._spawn = spawn
        self._pending_strays: set[tuple[TaskId, int]] = set()

    def begin(self, run: Run) -> None:
        """Stops a run that has started or may still start."""
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        run.settled_at = None
        run.unanswered_at = None
        self._spawn(self._stop(run))

    def begin_stray(self, worker: Worker, task_id: TaskId, number: int) -> None:
        """Stops a run that the controller has ended, with one attempt.

        The next report shows the run again if that fails.

        Args:
            worker: the worker.
            task_id: task of the run.
            number: number of the run.
        """
        if (task_id, number) not in self._pending_strays:
            self._pending_strays.add((task_id, number))
            self._spawn(self._stop_stray(worker, task_id, number))

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
            if await self._send(worker, task_id, run.number):
                run.settled_at = self._control.clock.boot()
                self._wake(worker)
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _stop_stray(
        self, worker: Worker, task_id: TaskId, number: int
    ) -> None:
        await self._send(worker, task_id, number)
        self._pending_strays.discard((task_id, number))
        self._wake(worker)

    async def _send(self, worker: Worker, task_id: TaskId, number: int) -> bool:
        """Orders a stop; returns whether the worker certainly ends the run."""
        if not self._control.term.may_renew:
            return False
        try:
            async with self._slot(worker):
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

    @contextlib.asynccontextmanager
    async def _slot(self, worker: Worker) -> AsyncIterator[None]:
        """Waits for the turn of a stop.

        Stops of unresponsive workers are not limited, as they would occupy the
        places of other orders until they time out.
        """
        if worker.suspect:
            yield
            return
        async with self._limiter.slot(OrderClass.STOP):
            yield
