"""Tickets from the advice service, by step and worker."""

import asyncio
from collections.abc import Callable

import msgspec

from sardinedrift.engine.clock import Clock
from sardinedrift.engine.events import Event, EventLog
from sardinedrift.engine.exceptions import OrderError
from sardinedrift.engine.fleet import Worker, step_key
from sardinedrift.engine.model import TaskId, WorkerId
from sardinedrift.engine.ports import AdviceService
from sardinedrift.engine.task import Task

# The service's response time grows with the number of workers in a call.
MAX_WORKERS_PER_CALL = 30
# The service answers one call at a time and queues the others.
MAX_CONCURRENT_CALLS = 4
# A ticket is used only if it is still valid after this time, in which the
# start reaches the worker.
VALIDITY_MARGIN_S = 0.3
RETRY_INTERVAL_S = 0.2


class HeldTicket(msgspec.Struct, frozen=True):
    """A ticket for one process of a worker.

    Attributes:
        ticket: the ticket, as the service issued it.
        born_ms: start of the worker process, in Unix milliseconds.
        valid_until: end of its validity, by the boot-time clock.
    """

    ticket: str
    born_ms: int
    valid_until: float


class Advisor:
    """Requests and caches tickets.

    Args:
        service: issues tickets.
        clock: clock for the validity of tickets.
        log: receives log lines.
        changed: called after each call to the service.
    """

    def __init__(
        self,
        service: AdviceService,
        clock: Clock,
        log: EventLog,
        changed: Callable[[], None],
    ):
        self._service = service
        self._clock = clock
        self._log = log
        self._changed = changed
        self._ticket_by_step: dict[TaskId, dict[WorkerId, HeldTicket]] = {}
        self._requested_by_step: dict[TaskId, set[tuple[WorkerId, int]]] = {}
        self._pending_steps: set[TaskId] = set()
        self._calls = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self._tasks: set[asyncio.Task] = set()

    def close(self) -> None:
        """Cancels the pending calls."""
        for task in self._tasks:
            task.cancel()

    def permitted_workers(
        self, task: Task, workers: list[Worker]
    ) -> frozenset[WorkerId]:
        """Returns the workers that may run a task now.

        They have the free capacity and a valid ticket for its step. If there
        are none, tickets are requested in the background. Workers that are
        being evacuated get none, so that others are asked about.
        """
        workers = [worker for worker in workers if not worker.evacuated]
        step = step_key(task.task_id)
        born_by_id = {
            worker.worker_id: worker.process.born_ms
            for worker in workers
            if worker.can_fit(task)
        }
        valid = frozenset(
            worker_id
            for worker_id, held in self._ticket_by_step.get(step, {}).items()
            if self._is_valid(held)
            and born_by_id.get(worker_id) == held.born_ms
        )
        if not valid and step not in self._pending_steps:
            self._request_soon(step, task, workers)
        return valid

    def ticket(self, task_id: TaskId, worker_id: WorkerId) -> str:
        """Returns the ticket for a start, or "" if there is none."""
        held = self._ticket_by_step.get(step_key(task_id), {}).get(worker_id)
        return held.ticket if held is not None else ""

    def forget(self, task_id: TaskId, worker_id: WorkerId) -> None:
        """Drops a ticket that a worker refused."""
        step = step_key(task_id)
        self._ticket_by_step.get(step, {}).pop(worker_id, None)
        self._requested_by_step.pop(step, None)

    def _is_valid(self, held: HeldTicket) -> bool:
        return self._clock.boot() + VALIDITY_MARGIN_S < held.valid_until

    def _request_soon(
        self, step: TaskId, task: Task, workers: list[Worker]
    ) -> None:
        asked = self._requested_by_step.setdefault(step, set())
        batch = [
            worker
            for worker in workers
            if worker.can_fit_when_empty(task)
            and (worker.worker_id, worker.process.born_ms) not in asked
        ][:MAX_WORKERS_PER_CALL]
        if not batch:
            # Tickets were requested for all of them and may have expired, so
            # that the next call requests them again.
            asked.clear()
            return
        self._pending_steps.add(step)
        call = asyncio.get_running_loop().create_task(
            self._request(step, batch)
        )
        self._tasks.add(call)
        call.add_done_callback(self._tasks.discard)

    async def _request(self, step: TaskId, workers: list[Worker]) -> None:
        born_by_id = {
            worker.worker_id: worker.process.born_ms for worker in workers
        }
        try:
            async with self._calls:
                advice = await self._service.advise(step, list(born_by_id))
        except OrderError as error:
            self._log.write(
                Event.DEPENDENCY_LOST,
                dependency="advice",
                job=step.job_id,
                error=repr(error),
            )
            await asyncio.sleep(RETRY_INTERVAL_S)
        else:
            valid_until = self._clock.boot() + advice.valid_ms / 1000
            tickets = self._ticket_by_step.setdefault(step, {})
            for issued in advice.tickets:
                born_ms = born_by_id.get(issued.worker_id)
                if born_ms is not None:
                    tickets[issued.worker_id] = HeldTicket(
                        issued.ticket, born_ms, valid_until
                    )
            self._requested_by_step.setdefault(step, set()).update(
                born_by_id.items()
            )
            self._log.write(
                Event.ADVISED,
                job=step.job_id,
                step=step.step,
                asked=len(born_by_id),
                permitted=len(advice.tickets),
                valid_ms=advice.valid_ms,
            )
        finally:
            self._pending_steps.discard(step)
            self._changed()
