"""Workers of a term: registrations, sessions and restored runs."""

import asyncio
from collections.abc import Iterator

import msgspec

from sardinedrift.engine.catalogue import WorkerLease
from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.leases import LEASE_MS
from sardinedrift.engine.model import Size, WorkerId
from sardinedrift.engine.orders import Orders
from sardinedrift.engine.ports import RegisteredWorker, WorkerOrders
from sardinedrift.engine.sessions import Session
from sardinedrift.engine.supervision import keep_running
from sardinedrift.engine.task import Run
from sardinedrift.engine.work import Job
from sardinedrift.engine.workerprocess import LEASE_MARGIN
from sardinedrift.identifiers import DataCentreId, PoolId

# First report calls to idle workers that are open at once. With more of them,
# answers come after the timeout of a call and the calls are repeated.
MAX_FIRST_REPORT_CALLS = 64


class PredecessorLeases(msgspec.Struct, frozen=True):
    """Latest expiry of the leases that earlier controllers may have renewed.

    All times are readings of the boot-time clock.

    Attributes:
        expires_at: expiry of the leases of all other workers.
        expires_at_by_id: expiry of the leases that the predecessor recorded.
    """

    expires_at: float
    expires_at_by_id: dict[WorkerId, float] = {}

    def expiry_on(self, worker_id: WorkerId) -> float:
        """Returns when these leases of a worker have certainly expired."""
        return self.expires_at_by_id.get(worker_id, self.expires_at)


class Roster:
    """Keeps one session for each worker.

    Args:
        control: state of the controller.
        orders: starts and stops runs.
        port: requests reports from workers.

    Attributes:
        predecessor_leases: leases of earlier controllers.
        group: task group that runs the sessions.
    """

    def __init__(
        self, control: ControllerState, orders: Orders, port: WorkerOrders
    ):
        self._control = control
        self._orders = orders
        self._port = port
        self._first_calls = asyncio.Semaphore(MAX_FIRST_REPORT_CALLS)
        self._session_by_id: dict[WorkerId, Session] = {}
        self.predecessor_leases = PredecessorLeases(float("inf"))
        self.group: asyncio.TaskGroup | None = None
        self._restored = asyncio.Event()

    def on_registration(
        self, worker_id: WorkerId, registered: RegisteredWorker | None
    ) -> None:
        """Applies a new, changed or removed registration.

        Args:
            worker_id: the worker.
            registered: its registration; None if it was removed.
        """
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
        machine_id = registered.machine_id
        worker.reserved = machine_id in self._control.reserved_machine_ids
        fleet = self._control.fleet
        for other in list(fleet.incarnations_on(machine_id)):
            self._end_if_replaced(other)
        self._control.changed.set()

    def attach_restored(self, job: Job) -> None:
        """Attaches the stored runs of a job to their workers.

        A worker without a registration is added from what its run records.
        """
        now = self._control.clock.boot()
        for task in list(job.active.values()):
            run = task.run
            worker = self._control.fleet.worker_by_id.get(run.worker_id)
            if worker is None:
                worker = self._add_worker(_placeholder_registration(run))
                worker.listed = False
                self._end_if_replaced(worker)
            if run.decided_born_ms not in (0, worker.process.born_ms):
                self._expect_longest_lease(worker)
            self._control.attach(run, worker)
            # The fencing token keeps orders of earlier controllers from
            # taking effect.
            run.settled_at = now
            if job.ended:
                self._orders.stop_soon(run)
            self.wake(worker)

    def start_sessions(self) -> None:
        """Lets the sessions request reports, once all jobs are restored.

        Until then, the runs and ends in a report could not be matched to their
        tasks: the runs would be stopped, and the ends dropped.
        """
        self._restored.set()

    def unusual_leases(self) -> Iterator[WorkerLease]:
        """Yields the leases that a successor cannot infer.

        These are, of workers with runs, the leases of those that are suspect or
        not registered, and longer ones than usual.
        """
        now = self._control.clock.boot()
        for worker in self._control.fleet.worker_by_id.values():
            if not worker.run_by_task:
                continue
            lease = _lease_of(worker, now)
            if worker.suspect or not worker.listed or _is_long(lease):
                yield lease

    def long_leases(self) -> Iterator[WorkerLease]:
        """Yields the leases that are longer than usual, also without runs.

        The runs for which such a lease was granted may have ended, and others
        may be placed on the worker.
        """
        now = self._control.clock.boot()
        inherited = dict(self.predecessor_leases.expires_at_by_id)
        for worker in self._control.fleet.worker_by_id.values():
            inherited.pop(worker.worker_id, None)
            lease = _lease_of(worker, now)
            if _is_long(lease):
                yield lease
        for worker_id, expires_at in inherited.items():
            lease = WorkerLease(worker_id, int((expires_at - now) * 1000) + 1)
            if _is_long(lease):
                yield lease

    def wake(self, worker: Worker) -> None:
        """Makes the session of a worker request a report soon."""
        session = self._session_by_id.get(worker.worker_id)
        if session is not None:
            session.wake()

    def _end_if_replaced(self, worker: Worker) -> None:
        """Marks a worker as terminated if a later one is on its machine."""
        machine_id = worker.registered.machine_id
        if not machine_id or worker.listed or worker.terminated:
            return
        worker.terminated = any(
            other.listed
            for other in self._control.fleet.incarnations_on(machine_id)
            if other is not worker
            and other.process.born_ms > worker.process.born_ms
        )
        if worker.terminated:
            self.wake(worker)

    def _replace_registration(
        self, worker: Worker, registered: RegisteredWorker
    ) -> None:
        if registered.born_ms and registered.born_ms != worker.process.born_ms:
            # A worker restarted under the same id has no runs and no fencing
            # token.
            worker.contacted = False
            self._expect_longest_lease(worker)
        self._control.fleet.register(worker, registered)
        worker.listed = True
        self.wake(worker)

    def _expect_longest_lease(self, worker: Worker) -> None:
        """Postpones the expiry of a worker's leases, unless it is reached.

        A start with a deadline for the clock of the process before may have
        reached the current one, which then holds the longest lease.
        """
        longest_s = self._control.max_lease_ms / 1000 * LEASE_MARGIN
        worker.previous_lease_expires_at = max(
            worker.previous_lease_expires_at,
            self._control.clock.boot() + longest_s,
        )

    def _add_worker(self, registered: RegisteredWorker) -> Worker:
        worker_id = registered.worker_id
        leases = self.predecessor_leases
        worker = Worker(registered, leases.expiry_on(worker_id))
        worker.long_lease_expires_at = leases.expires_at_by_id.get(
            worker_id, float("-inf")
        )
        self._control.fleet.add(worker)
        session = Session(
            worker, self._control, self._orders, self._port, self._first_calls
        )
        self._session_by_id[worker.worker_id] = session
        self.group.create_task(self._run_session(worker, session))
        return worker

    async def _run_session(self, worker: Worker, session: Session) -> None:
        await self._restored.wait()
        await keep_running("session", session.run, self._control.log)
        self._session_by_id.pop(worker.worker_id, None)
        self._control.fleet.remove(worker)
        self._control.log.write(
            Event.WORKER_LOST, worker=worker.worker_id, pool=worker.pool_id
        )


def _lease_of(worker: Worker, now: float) -> WorkerLease:
    remaining_s = worker.latest_lease_expiry(now) - now
    return WorkerLease(worker.worker_id, int(remaining_s * 1000) + 1)


def _is_long(lease: WorkerLease) -> bool:
    """Whether a lease is longer than a successor expects."""
    return lease.left_ms > LEASE_MS * LEASE_MARGIN + 1


def _placeholder_registration(run: Run) -> RegisteredWorker:
    """Returns a registration for a worker known only from a stored run."""
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
