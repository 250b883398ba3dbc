"""Abstract ports of batch work to the outside; adapters implement them."""

import abc
import enum
from collections.abc import Sequence

import msgspec

from sardinedrift.engine.model import (
    Configuration,
    MachineId,
    RunEnd,
    Size,
    TaskId,
    Token,
    WaveNumber,
    WorkerId,
)
from sardinedrift.identifiers import DataCentreId, Offset, PoolId


class KeyedRecord(msgspec.Struct, frozen=True):
    """A record of a keyed topic; `value` is None when the key was removed."""

    key: str
    value: bytes | None
    offset: Offset = Offset(0)


class NewestPage(msgspec.Struct, frozen=True):
    """The newest records of some keys.

    Attributes:
        more: further keys follow after the last one.
        end: offset the next appended record will have.
    """

    records: tuple[KeyedRecord, ...]
    more: bool
    end: Offset


class ReadPage(msgspec.Struct, frozen=True):
    """Consecutive records; `next` is the offset to read on from."""

    records: tuple[KeyedRecord, ...]
    next: Offset


class RecordStore(abc.ABC):
    """Keyed topics of the store that keeps what must last.

    All methods raise StoreRefused when nothing was done, and StoreUnknown when
    no answer came.
    """

    @abc.abstractmethod
    async def append(
        self, topic: str, records: Sequence[KeyedRecord]
    ) -> Offset:
        """Appends all records or none; returns the topic's new end."""

    @abc.abstractmethod
    async def append_fenced(
        self,
        topic: str,
        records: Sequence[KeyedRecord],
        token: Token,
        sequence: int,
    ) -> Offset:
        """Appends as the controller of a term; returns the topic's new end.

        A repeat with the same sequence number appends nothing again. Without
        records it only raises the token.

        Raises:
            StoreFenced: a higher token was used.
        """

    @abc.abstractmethod
    async def newest(self, topic: str, after: str) -> NewestPage:
        """Returns the newest records of the keys after a key ("" for all)."""

    @abc.abstractmethod
    async def read(self, topic: str, start: Offset, wait_ms: int) -> ReadPage:
        """Returns records from an offset on, waiting for a first one.

        Raises:
            RecordsExpired: the store no longer keeps them.
        """


class JoinResult(msgspec.Struct, frozen=True):
    """Answer to a join; `is_controller` if this member is the controller."""

    generation: int
    is_controller: bool


class Members(msgspec.Struct, frozen=True):
    """Members that the store counts; `controller` is None without one."""

    controller: str | None
    names: frozenset[str]


class Election(abc.ABC):
    """Choice of one controller among the entries, by the store."""

    @abc.abstractmethod
    async def join(self, generation: int) -> JoinResult:
        """Joins, or stays; confirms the changes up to a generation."""

    @abc.abstractmethod
    async def leave(self) -> None:
        """Leaves, so that another member is chosen at once."""

    @abc.abstractmethod
    async def members(self) -> Members:
        """Returns the members, also to an entry that has not joined."""

    @abc.abstractmethod
    async def take_token(self) -> Token:
        """Returns a token above all that were taken before."""


class Refusal(enum.Enum):
    """Why a worker or a machine refused an order, having done nothing.

    OLD: the run, or a higher one, is over there. LATE: its deadline is past.
    OTHER_BOOT: the worker has started again.
    """

    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    OTHER_BOOT = "other_boot"
    BUSY = "busy"
    NOT_IN_WAVE = "not_in_wave"
    INVALID = "invalid"


class RegisteredWorker(msgspec.Struct, frozen=True):
    """A worker as it registered itself.

    Attributes:
        address: "host:port".
        born_ms: unix milliseconds of its start.
        draining: it takes no more work.
        rack: rack it stands in, also one of its labels.
        machine_id: machine whose life it is, or "".
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


class StartOrder(msgspec.Struct, frozen=True):
    """Order to start a run of a task.

    Attributes:
        lease_ms: deadline of all runs, on the worker's own clock.
        ticket: permission of the advice service, or "".
    """

    task_id: TaskId
    run: int
    payload: str
    lease_ms: int
    token: Token
    checkpoint: str = ""
    ticket: str = ""


class RunReport(msgspec.Struct, frozen=True):
    """A run that a worker lists as running.

    Attributes:
        percent: progress; of a long-running task, 100 when it is at work.
        figure: tail in ms of a task that serves, else cpu in use.
    """

    task_id: TaskId
    run: int
    checkpoint: str
    percent: float
    figure: float


class EndReport(msgspec.Struct, frozen=True):
    """A run that a worker lists as ended; `number` orders its ends."""

    number: int
    task_id: TaskId
    run: int
    how: RunEnd
    checkpoint: str


class WorkerReport(msgspec.Struct, frozen=True):
    """What a worker lists.

    Attributes:
        clock_ms: its own clock.
        born_ms: start of its life, or 0 when it was not stated.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]


class WorkerOrders(abc.ABC):
    """Orders to workers.

    All methods raise OrderRefused, OrderNotSent or OrderUnknown.
    """

    @abc.abstractmethod
    async def start(self, worker: RegisteredWorker, order: StartOrder) -> None:
        """Starts a run; has no effect when the run is already there."""

    @abc.abstractmethod
    async def stop(
        self, worker: RegisteredWorker, task_id: TaskId, run: int, token: Token
    ) -> None:
        """Stops a run; from then on the worker starts none up to its number."""

    @abc.abstractmethod
    async def renew(
        self,
        worker: RegisteredWorker,
        token: Token,
        acknowledged_end: int,
        lease_ms: int | None,
        wait_ms: int,
        new_connection: bool = False,
    ) -> WorkerReport:
        """Renews the lease and returns what runs and what ended.

        Args:
            worker: the worker.
            token: lower ones are refused from then on.
            acknowledged_end: ends up to this number need not be listed again.
            lease_ms: new deadline on the worker's clock, if any.
            wait_ms: how long the answer may wait for a new end.
            new_connection: do not reuse a connection, as an open one may be
                dead.
        """

    @abc.abstractmethod
    async def pace(
        self,
        worker: RegisteredWorker,
        task_id: TaskId,
        run: int,
        percent: int,
        token: Token,
    ) -> None:
        """Sets the share of its speed at which a run works."""


class MachineState(enum.Enum):
    """State of a machine."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class Machine(msgspec.Struct, frozen=True):
    """A machine; `worker_id` is its present life, or ""."""

    machine_id: MachineId
    pool_id: PoolId
    state: MachineState
    data_centre_id: DataCentreId
    labels: frozenset[str]
    capacity: Size
    worker_id: WorkerId


class MachineService(abc.ABC):
    """Moves and upkeep of machines.

    The orders raise OrderRefused, OrderNotSent or OrderUnknown. When they
    return, everything on the machine has ended.
    """

    @abc.abstractmethod
    async def list_machines(self) -> list[Machine]:
        """Returns all machines."""

    @abc.abstractmethod
    async def move(
        self, machine_id: MachineId, pool_id: PoolId, token: Token
    ) -> None:
        """Moves a machine to another pool."""

    @abc.abstractmethod
    async def begin_upkeep(
        self, machine_id: MachineId, wave: WaveNumber, token: Token
    ) -> None:
        """Begins the upkeep of a machine in a wave."""


class WaveReports(abc.ABC):
    """Tells operators how their waves are."""

    @abc.abstractmethod
    async def report_wave(self, number: WaveNumber, completed: bool) -> None:
        """Reports a wave as running or completed; raises StoreError."""


class Ticket(msgspec.Struct, frozen=True):
    """Permission to run the tasks of a step on a worker."""

    worker_id: WorkerId
    ticket: str


class Advice(msgspec.Struct, frozen=True):
    """Answer of the advice service; tickets hold for `valid_ms`."""

    tickets: tuple[Ticket, ...]
    valid_ms: int


class AdviceService(abc.ABC):
    """Tells which workers may run a step."""

    @abc.abstractmethod
    async def advise(
        self, task_id: TaskId, worker_ids: Sequence[WorkerId]
    ) -> Advice:
        """Asks for the step of a task; raises the errors of orders."""


class WaveOrder(msgspec.Struct, frozen=True):
    """An upkeep wave as operators ask for it.

    Attributes:
        duration_s: seconds from its publication within which it must end.
        max_down: most machines in upkeep at once.
    """

    number: WaveNumber
    machine_ids: tuple[MachineId, ...]
    duration_s: float
    max_down: int


class PublishedState(abc.ABC):
    """What operators ask for.

    Attributes:
        wave_by_number: the upkeep waves.
    """

    wave_by_number: dict[WaveNumber, WaveOrder]

    @abc.abstractmethod
    def current(self) -> Configuration | None:
        """Returns the newest configuration, or None before the first."""
