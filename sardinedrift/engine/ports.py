"""Abstract interfaces to workers and services, implemented by adapters."""

import abc
import enum
from collections.abc import Callable, Sequence

import msgspec

from sardinedrift.engine.model import (
    Configuration,
    FencingToken,
    MachineId,
    RunEnd,
    Size,
    TaskId,
    WaveNumber,
    WorkerId,
)
from sardinedrift.identifiers import ConnectionId, DataCentreId, PoolId


class Refusal(enum.Enum):
    """Reason for which a worker or a machine rejected an order.

    The receiver has done nothing.

    Attributes:
        FENCED: it has seen a higher fencing token.
        OLD: this run, or one with a higher number, has already ended there.
        LATE: the lease in the order has already expired.
        NO_CAPACITY: the task exceeds the free capacity.
        TICKET: the ticket of the advice service is not valid.
        UNHEALTHY: it is overloaded or unavailable.
        OTHER_BOOT: the order was addressed to an earlier worker process.
        NOT_IN_WAVE: the machine does not belong to the upkeep wave.
        EVACUATED: the machine must not join a pool, as its data centre is being
            evacuated; the order was not sent.
        INVALID: the receiver considers the order invalid.
    """

    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    NO_CAPACITY = "room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    OTHER_BOOT = "other_boot"
    BUSY = "busy"
    NOT_IN_WAVE = "not_in_wave"
    EVACUATED = "evacuated"
    INVALID = "invalid"


class RegisteredWorker(msgspec.Struct, frozen=True):
    """Registration of a worker, which listens on `address` ("host:port").

    Attributes:
        born_ms: start time of the process in Unix milliseconds.
        draining: the worker accepts no new work.
        rack: rack of the worker, also one of its labels.
        machine_id: machine on which the worker runs, or "".
        cold_until: boot-time clock until which the worker is slow after its
            start; 0 if it is not.
    """

    worker_id: WorkerId
    pool_id: PoolId
    address: str
    data_centre_id: DataCentreId
    born_ms: int
    draining: bool
    capacity: Size
    labels: frozenset[str]
    rack: str
    machine_id: MachineId
    cold_until: float = 0.0


class StartOrder(msgspec.Struct, frozen=True):
    """Order to start a run of a task.

    Attributes:
        lease_ms: expiry of the worker's lease, which covers all its runs, on
            the worker's own clock.
        ticket: permission of the advice service, or "".
    """

    task_id: TaskId
    run: int
    payload: str
    lease_ms: int
    token: FencingToken
    checkpoint: str = ""
    ticket: str = ""


class RunReport(msgspec.Struct, frozen=True):
    """A run that a worker reports as running.

    Attributes:
        percent: progress; for a long-running task, 100 once it is working.
        figure: tail latency in ms of a task that serves, else its CPU usage.
    """

    task_id: TaskId
    run: int
    checkpoint: str
    percent: float
    figure: float


class EndReport(msgspec.Struct, frozen=True):
    """A run that a worker reports as ended; `number` orders these reports."""

    number: int
    task_id: TaskId
    run: int
    how: RunEnd
    checkpoint: str


class WorkerReport(msgspec.Struct, frozen=True):
    """Report of a worker on its runs.

    Attributes:
        clock_ms: the worker's own clock.
        born_ms: start time of the worker's process, or 0 when not reported.
        ended: the oldest ends that are not acknowledged.
        complete: `ended` lists all of them, so a run that is not listed at all
            is neither running nor has its end been kept.
        connection_id: connection that carried the report.
        addressed: the request was sent with what was meant for one process.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    connection_id: ConnectionId
    addressed: bool
    complete: bool = True


class ReportRequest(msgspec.Struct, frozen=True):
    """Request for a report, which also renews the worker's lease.

    A worker that starts again keeps its id and its address, and no call names
    the process that it is meant for. A connection ends with its process, so
    what is meant for one process is sent only over a connection that it has
    answered on, or that was opened while it answered on one; over any other, it
    is left out.

    Attributes:
        token: fencing token; the worker rejects lower ones afterwards.
        connection_id: connection that carried the last report of the process.
        acknowledged_end: ended runs up to this number need not be reported
            again; only for that process.
        lease_ms: new expiry on the clock of that process, or None to keep it.
        wait_ms: time for which that process may hold the answer until another
            run ends.
    """

    token: FencingToken
    connection_id: ConnectionId
    acknowledged_end: int
    lease_ms: int | None
    wait_ms: int


class WorkerOrders(abc.ABC):
    """Orders to workers.

    All methods raise OrderRefused, OrderNotSent or OrderUnknown.
    """

    @abc.abstractmethod
    async def start(self, worker: RegisteredWorker, order: StartOrder) -> None:
        """Starts a run; has no effect when the run is already there."""

    @abc.abstractmethod
    async def stop(
        self,
        worker: RegisteredWorker,
        task_id: TaskId,
        run: int,
        token: FencingToken,
    ) -> None:
        """Stops a run; the worker then rejects runs up to its number."""

    @abc.abstractmethod
    async def renew(
        self,
        worker: RegisteredWorker,
        request: ReportRequest,
        answer_s: float,
    ) -> WorkerReport:
        """Renews the lease and returns the running and the ended runs.

        Args:
            worker: the worker.
            request: the request.
            answer_s: time limit for the answer, in seconds, beyond the time
                for which the worker may hold it.
        """

    @abc.abstractmethod
    async def set_pace(
        self,
        worker: RegisteredWorker,
        task_id: TaskId,
        run: int,
        percent: int,
        token: FencingToken,
    ) -> None:
        """Sets the pace of a run, in percent of its full speed."""


class MachineState(enum.Enum):
    """State of a machine."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class Machine(msgspec.Struct, frozen=True):
    """A machine; `worker_id` is its current worker, or ""."""

    machine_id: MachineId
    pool_id: PoolId
    state: MachineState
    data_centre_id: DataCentreId
    labels: frozenset[str]
    capacity: Size
    worker_id: WorkerId


class MachineService(abc.ABC):
    """Service that moves machines between pools and carries out upkeep.

    The orders raise OrderRefused, OrderNotSent or OrderUnknown. Once they
    return, all runs on the machine have ended. The service may not check the
    fencing token, so an order is sent only if `may_send` returns True at that
    moment, after any wait for a connection.
    """

    @abc.abstractmethod
    async def list_machines(self) -> list[Machine]:
        """Returns all machines."""

    @abc.abstractmethod
    async def move(
        self,
        machine_id: MachineId,
        pool_id: PoolId,
        token: FencingToken,
        may_send: Callable[[], bool],
    ) -> None:
        """Moves a machine to another pool."""

    @abc.abstractmethod
    async def begin_upkeep(
        self,
        machine_id: MachineId,
        wave: WaveNumber,
        token: FencingToken,
        may_send: Callable[[], bool],
    ) -> None:
        """Begins the upkeep of a machine in a wave."""


class WaveReports(abc.ABC):
    """Reports the progress of upkeep waves to operators."""

    @abc.abstractmethod
    async def report_wave(
        self,
        number: WaveNumber,
        completed: bool,
        token: FencingToken,
        sequence: int,
    ) -> None:
        """Reports a wave as running or completed.

        Args:
            number: the wave.
            completed: whether it is completed.
            token: fencing token of the controller.
            sequence: number of the report within the term; it makes a repeated
                report idempotent.

        Raises:
            StoreFenced: a controller with a higher token has reported.
            SequenceExpected: the store expects another number.
            StoreError: the report may not have been written.
        """


class Ticket(msgspec.Struct, frozen=True):
    """Permission to run the tasks of a step on a worker."""

    worker_id: WorkerId
    ticket: str


class Advice(msgspec.Struct, frozen=True):
    """Answer of the advice service; its tickets expire after `valid_ms`."""

    tickets: tuple[Ticket, ...]
    valid_ms: int


class AdviceService(abc.ABC):
    """Service that decides which workers may run a step."""

    @abc.abstractmethod
    async def advise(
        self, task_id: TaskId, worker_ids: Sequence[WorkerId]
    ) -> Advice:
        """Returns the workers that may run the step of a task.

        Raises:
            OrderError: the service refused or did not answer.
        """


class WaveOrder(msgspec.Struct, frozen=True):
    """An upkeep wave requested by operators.

    Attributes:
        duration_s: seconds after publication within which it must be complete.
        max_down: maximum number of machines in upkeep at the same time.
    """

    number: WaveNumber
    machine_ids: tuple[MachineId, ...]
    duration_s: float
    max_down: int


class PublishedState(abc.ABC):
    """Configuration, upkeep waves and evacuations published by operators.

    Attributes:
        wave_by_number: requested waves.
        evacuated: data centres whose workers get no work until their evacuation
            is withdrawn.
    """

    wave_by_number: dict[WaveNumber, WaveOrder]
    evacuated: frozenset[DataCentreId]

    @property
    @abc.abstractmethod
    def loaded(self) -> bool:
        """Whether all records have been read at least once."""

    @property
    @abc.abstractmethod
    def age(self) -> float:
        """Seconds since the state was last known to be current."""

    @abc.abstractmethod
    async def refresh(self, timeout_s: float) -> None:
        """Reads the records that have been published so far.

        If the store does not answer in time, the loss is logged and the state
        last read stays in force.
        """

    @abc.abstractmethod
    def current(self) -> Configuration | None:
        """Returns the newest configuration, or None before the first."""
