"""The workers of a term: registrations, sessions and restored runs."""

import asyncio
from collections.abc import Iterator

import msgspec

from sardinedrift.engine.catalogue import UnreachableWorker
from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.model import RunEnd, Size, WorkerId
from sardinedrift.engine.orders import Orders
from sardinedrift.engine.ports import RegisteredWorker, WorkerOrders
from sardinedrift.engine.sessions import Session
from sardinedrift.engine.task import Run
from sardinedrift.engine.work import Job
from sardinedrift.identifiers import DataCentreId, PoolId

# Idle workers that are asked for the first time at once. More would be
# answered later than the time limit of a call, and be asked again.
MAX_FIRST_REPORT_CALLS = 64


class ForeignLeases(msgspec.Struct, frozen=True):
    """Until when an earlier controller may have renewed leases.

    Attributes:
        until: boot-time clock, for workers that are not named.
        until_by_id: workers that it could not reach.
    """

    until: float
    until_by_id: dict[WorkerId, float] = {}

    def of(self, worker_id: WorkerId) -> float:
        """Returns when the leases on a worker are over for certain."""
        return self.until_by_id.get(worker_id, self.until)


class Roster:
    """Keeps one session for each worker.

    Args:
        control: state of the term.
        orders: starts and stops runs.
        port: asks workers for reports.

    Attributes:
        foreign: leases of earlier controllers.
        group: runs the sessions.
    """

    def __init__(
        self, control: ControllerState, orders: Orders, port: WorkerOrders
    ):
        self._control = control
        self._orders = orders
        self._port = port
        self._greetings = asyncio.Semaphore(MAX_FIRST_REPORT_CALLS)
        self._session_by_id: dict[WorkerId, Session] = {}
        self.foreign = ForeignLeases(float("inf"))
        self.group: asyncio.TaskGroup | None = None

    def take_registration(
        self, worker_id: WorkerId, registered: RegisteredWorker | None
    ) -> None:
        """Takes over a registration, or that it is missing."""
        worker = self._control.fleet.worker_by_id.get(worker_id)
        if registered is None:
            if worker is not None:
                worker.listed = False
                self._end_if_replaced(worker)
                self.wake(worker)
            return
        if worker is None:
            worker = self._add_worker(registered)
        else:
            self._replace_registration(worker, registered)
        fleet = self._control.fleet
        for other in list(fleet.incarnations_on(registered.machine_id)):
            self._end_if_replaced(other)
        self._control.changed.set()

    def attach_restored(self, job: Job) -> None:
        """Puts the recorded runs of a job on their workers."""
        now = self._control.clock.boot()
        for task in list(job.active.values()):
            run = task.run
            worker = self._control.fleet.worker_by_id.get(run.worker_id)
            if worker is None:
                worker = self._add_worker(_unlisted(run))
                worker.listed = False
                self._end_if_replaced(worker)
            self._control.attach(run, worker)
            # The token fences off every order of an earlier controller.
            run.settled_at = now
            if run.born_ms and run.born_ms != worker.born_ms and worker.listed:
                self._control.finish(run, RunEnd.LAPSED)
            elif job.ended:
                self._orders.stop_soon(run)
            self.wake(worker)

    def silent_workers(self) -> Iterator[UnreachableWorker]:
        """Yields the workers with runs that can't be reached."""
        now = self._control.clock.boot()
        for worker in self._control.fleet.worker_by_id.values():
            if worker.run_by_task and (worker.suspect or not worker.listed):
                left_s = worker.latest_lease_expiry(now) - now
                yield UnreachableWorker(
                    worker.worker_id, int(left_s * 1000) + 1
                )

    def wake(self, worker: Worker) -> None:
        """Has a worker asked for a report soon."""
        session = self._session_by_id.get(worker.worker_id)
        if session is not None:
            session.wake()

    def _end_if_replaced(self, worker: Worker) -> None:
        """Ends a worker whose machine has a later life."""
        machine_id = worker.registered.machine_id
        if not machine_id or worker.listed or worker.terminated:
            return
        worker.terminated = any(
            other.listed
            for other in self._control.fleet.incarnations_on(machine_id)
            if other is not worker and other.born_ms > worker.born_ms
        )
        if worker.terminated:
            self.wake(worker)

    def _replace_registration(
        self, worker: Worker, registered: RegisteredWorker
    ) -> None:
        if registered.born_ms and registered.born_ms != worker.born_ms:
            # A new life under the same id holds and knows nothing.
            worker.contacted = False
        self._control.fleet.register(worker, registered)
        worker.listed = True
        self.wake(worker)

    def _add_worker(self, registered: RegisteredWorker) -> Worker:
        worker = Worker(registered, self.foreign.of(registered.worker_id))
        self._control.fleet.add(worker)
        session = Session(
            worker, self._control, self._orders, self._port, self._greetings
        )
        self._session_by_id[worker.worker_id] = session
        self.group.create_task(self._follow(worker, session))
        return worker

    async def _follow(self, worker: Worker, session: Session) -> None:
        await session.run()
        self._session_by_id.pop(worker.worker_id, None)
        self._control.fleet.remove(worker)
        self._control.log.write(
            Event.WORKER_LOST, worker=worker.worker_id, pool=worker.pool_id
        )


def _unlisted(run: Run) -> RegisteredWorker:
    """Returns a stand-in for a worker that is recorded but not registered."""
    return RegisteredWorker(
        run.worker_id,
        PoolId(""),
        "",
        DataCentreId(""),
        run.born_ms,
        True,
        Size(),
        frozenset(),
        "",
        run.machine_id,
    )
