"""Abstract ports to the outside systems; adapters stand beside this module."""

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
        first: oldest offset the log still keeps.
        next: offset the next appended record will have.
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
        """Returns up to `limit` records from an offset on.

        Waits until the deadline for a first record when there is none yet.

        Raises:
            LogUnavailable: the log could not be read.
            OffsetExpired: the log no longer keeps `start`.
        """


class ListedInstance(msgspec.Struct, frozen=True):
    """One line of the platform's instance list.

    Attributes:
        kind: "minion", "worker" or "entry".
        leaving: the instance will end soon.
    """

    instance_id: str
    kind: str
    data_centre_id: DataCentreId
    address: str
    leaving: bool


class InstanceList(abc.ABC):
    """The platform's lagging list of live and leaving instances."""

    @abc.abstractmethod
    async def read(
        self, data_centre_id: DataCentreId, since: int, deadline: float
    ) -> tuple[int, tuple[ListedInstance, ...] | None]:
        """Returns the version and the instances of a data centre.

        Waits until the deadline while the version equals `since`, and then
        returns None for the instances.

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
            token: a repeated call with the same token starts no second
                reboot.
            deadline: unix seconds.

        Returns:
            Whether the reboot of this token is done.

        Raises:
            InstanceListError: the platform did not confirm it.
        """


class Dispatch(msgspec.Struct, frozen=True):
    """One request as it is sent to a minion.

    Attributes:
        dispatch_id: fresh for each send; the minion echoes it.
        run_deadline: unix seconds at which the minion stops the request.
        idempotent: whether an older idle connection may be used.
    """

    dispatch_id: str
    request_id: RequestId
    team_id: TeamId
    run_deadline: float
    idempotent: bool
    body: bytes
    content_type: str = "application/octet-stream"


class Answer(msgspec.Struct, frozen=True):
    """The complete answer of a minion to its dispatch."""

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
            OutcomeUnknown: anything else.
        """

    @abc.abstractmethod
    async def probe(self, address: str, deadline: float) -> bool:
        """Tells whether a fresh connection to a minion is answered."""


class WorkerTask(msgspec.Struct, frozen=True):
    """One task as a worker is told to run it; sizes as declared.

    Attributes:
        task_id: a second start of the same id has no effect.
        lease_number: lease under which the task is started.
    """

    task_id: str
    lease_number: int
    cores: float
    memory_gb: float
    accelerators: int


class TaskUse(msgspec.Struct, frozen=True):
    """One line of a usage report.

    Attributes:
        state: "running", "done", "stopped" or "failed".
        memory_gb: what the task used at the time of the report.
    """

    task_id: str
    state: str
    cores: float
    memory_gb: float
    accelerators: int


class UsageReport(msgspec.Struct, frozen=True):
    """Tasks of a worker and their use as of an earlier time.

    Attributes:
        at: unix seconds; the report lags behind by a varying time.
    """

    at: float
    tasks: tuple[TaskUse, ...]


class WorkerPort(abc.ABC):
    """Gives orders to guarded workers.

    Every method takes the address as "host:port" and a deadline in unix
    seconds. All raise WorkerRefused when the worker did nothing, and
    WorkerUnknown when the order may or may not have taken effect.
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
        """Slows a task down to a factor of its speed, above 0 and up to 1."""

    @abc.abstractmethod
    async def checkpoint(
        self, address: str, task_id: str, deadline: float
    ) -> None:
        """Saves the progress of a task."""

    @abc.abstractmethod
    async def stop(self, address: str, task_id: str, deadline: float) -> str:
        """Stops a task, and returns the state in which it ended."""

    @abc.abstractmethod
    async def usage(self, address: str, deadline: float) -> UsageReport:
        """Returns the newest usage report."""


class Clock(abc.ABC):
    """Source of the current time."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns unix seconds."""
