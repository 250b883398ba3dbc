"""Abstract interfaces to external systems; other modules implement them."""

import abc

import msgspec

from sardinedrift.identifiers import (
    DataCentreId,
    InstanceId,
    Offset,
    RequestId,
    TeamId,
)


class LogRecord(msgspec.Struct, frozen=True):
    """One record of the log; `time` is its append time in unix seconds."""

    offset: Offset
    time: float
    data: bytes


class LogPage(msgspec.Struct, frozen=True):
    """Consecutive records.

    Attributes:
        first: oldest offset that the log retains.
        next: offset of the next record to be appended.
    """

    records: tuple[LogRecord, ...]
    first: Offset
    next: Offset


class LogService(abc.ABC):
    """The platform's append-only log."""

    @abc.abstractmethod
    async def append(self, data: bytes, deadline: float) -> Offset:
        """Appends one record and returns its offset.

        Args:
            data: the record.
            deadline: unix seconds.

        Raises:
            LogUnavailable: nothing was appended.
            AppendUnknown: the record may have been appended.
        """

    @abc.abstractmethod
    async def read(self, start: Offset, limit: int, deadline: float) -> LogPage:
        """Returns up to `limit` records, starting at an offset.

        Waits for the first record until the deadline if there is none yet.

        Args:
            start: offset of the first record.
            limit: maximum number of records.
            deadline: unix seconds.

        Raises:
            LogUnavailable: the log could not be read.
            OffsetExpired: the log no longer retains `start`.
        """


class ListedInstance(msgspec.Struct, frozen=True):
    """One instance in the platform's instance list.

    Attributes:
        kind: "minion", "worker" or "entry".
        leaving: whether the instance is about to end.
    """

    instance_id: str
    kind: str
    data_centre_id: DataCentreId
    address: str
    leaving: bool


class InstanceList(abc.ABC):
    """The platform's list of live and leaving instances, which may lag."""

    @abc.abstractmethod
    async def read(
        self, data_centre_id: DataCentreId, since: int, deadline: float
    ) -> tuple[int, tuple[ListedInstance, ...] | None]:
        """Returns the version and the instances of a data centre.

        Waits while the version equals `since`, and returns None for the
        instances if it still does at the deadline (unix seconds).

        Raises:
            InstanceListError: the list could not be read.
        """

    @abc.abstractmethod
    async def reboot(
        self, instance_id: InstanceId, token: str, deadline: float
    ) -> bool:
        """Asks the platform to reboot a drained instance.

        Args:
            instance_id: the instance.
            token: idempotency token; repeated calls with the same token start
                no second reboot.
            deadline: unix seconds.

        Returns:
            Whether the reboot with this token is done.

        Raises:
            InstanceListError: the platform did not confirm the call.
        """


class Dispatch(msgspec.Struct, frozen=True):
    """One transmission of a request to a minion.

    Attributes:
        dispatch_id: unique to each transmission; the minion echoes it.
        run_deadline: unix seconds at which the minion stops the request.
        idempotent: whether the request may be repeated, so that a connection
            that has long been idle may be used.
    """

    dispatch_id: str
    request_id: RequestId
    team_id: TeamId
    run_deadline: float
    idempotent: bool
    body: bytes
    content_type: str = "application/octet-stream"


class Answer(msgspec.Struct, frozen=True):
    """The complete answer of a minion to a dispatch."""

    status: int
    body: bytes
    content_type: str


class MinionPort(abc.ABC):
    """Sends requests to minions."""

    @abc.abstractmethod
    async def send(self, address: str, dispatch: Dispatch) -> Answer:
        """Sends one request and returns its complete answer.

        Raises:
            DialFailed: no connection could be opened; not run.
            RefusedBeforeStart: the minion did not start it; not run.
            OutcomeUnknown: any other failure.
        """

    @abc.abstractmethod
    async def probe(self, address: str, deadline: float) -> bool:
        """Returns whether a minion answers on a new connection."""


class WorkerTask(msgspec.Struct, frozen=True):
    """One task to start on a worker, with its declared resources.

    Attributes:
        task_id: id of the task; a second start with the same id has no effect.
        lease_number: lease under which the task is started.
    """

    task_id: str
    lease_number: int
    cores: float
    memory_gb: float
    accelerators: int


class TaskUse(msgspec.Struct, frozen=True):
    """State and resource use of one task in a usage report.

    Attributes:
        state: "running", "done", "stopped" or "failed".
        memory_gb: memory in use at the time of the report.
    """

    task_id: str
    state: str
    cores: float
    memory_gb: float
    accelerators: int


class UsageReport(msgspec.Struct, frozen=True):
    """Tasks of a worker and their resource use at an earlier time.

    Attributes:
        at: time of the measurement in unix seconds; reports lag behind it by a
            varying time.
    """

    at: float
    tasks: tuple[TaskUse, ...]


class WorkerPort(abc.ABC):
    """Sends orders to guarded workers.

    Every method takes the address as "host:port" and a deadline in unix
    seconds. All raise WorkerRefused if the worker did nothing, and
    WorkerUnknown if the order may or may not have taken effect.
    """

    @abc.abstractmethod
    async def take_lease(
        self,
        address: str,
        holder: str,
        lease_number: int,
        expires_at: float,
        deadline: float,
    ) -> None:
        """Takes or renews the lease until `expires_at`, in unix seconds."""

    @abc.abstractmethod
    async def start(
        self, address: str, task: WorkerTask, deadline: float
    ) -> str:
        """Starts a task once, and returns its state."""

    @abc.abstractmethod
    async def throttle(
        self, address: str, task_id: str, factor: float, deadline: float
    ) -> None:
        """Limits a task to a fraction of its speed, above 0 and up to 1."""

    @abc.abstractmethod
    async def checkpoint(
        self, address: str, task_id: str, deadline: float
    ) -> None:
        """Saves a checkpoint of a task."""

    @abc.abstractmethod
    async def stop(self, address: str, task_id: str, deadline: float) -> str:
        """Stops a task, and returns its final state."""

    @abc.abstractmethod
    async def usage(self, address: str, deadline: float) -> UsageReport:
        """Returns the newest usage report."""


class Clock(abc.ABC):
    """Source of the current time."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns unix seconds."""
