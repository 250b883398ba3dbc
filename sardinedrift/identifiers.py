"""Identifiers and enumerations shared by every layer."""

import enum
import re
import uuid
from typing import NamedTuple, NewType

TeamId = NewType("TeamId", str)
KeyId = NewType("KeyId", str)
PoolId = NewType("PoolId", str)
QueueId = NewType("QueueId", str)
RuleId = NewType("RuleId", str)
DataCentreId = NewType("DataCentreId", str)
InstanceId = NewType("InstanceId", str)
EntryId = NewType("EntryId", str)
MoveId = NewType("MoveId", str)
WaveId = NewType("WaveId", str)
JobId = NewType("JobId", str)
ChangeId = NewType("ChangeId", str)
RequestId = NewType("RequestId", str)
GrantId = NewType("GrantId", str)
Offset = NewType("Offset", int)
# Numbers the connections that a process has opened, from 1 on.
ConnectionId = NewType("ConnectionId", int)
# Belongs to no connection.
NO_CONNECTION = ConnectionId(0)

NAME_PATTERN = r"^[a-z0-9][a-z0-9_-]{0,62}$"
# Prefix of key secrets, by which they are found and redacted in log lines.
SECRET_PREFIX = "sdk_"

_NAME = re.compile(NAME_PATTERN)


class WorkClass(enum.Enum):
    """Class of the work of a queue: short and urgent, or long-running."""

    QUICK = "quick"
    LONG = "long"


class InstanceKind(enum.Enum):
    """Kind of endpoint of an instance."""

    MINION = "minion"
    WORKER = "worker"


class InstanceState(enum.Enum):
    """State of an endpoint instance in the fold."""

    ACTIVE = "active"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    FAILED = "failed"


class EntryState(enum.Enum):
    """Membership state of an entry in the fold."""

    JOINING = "joining"
    ACTIVE = "active"
    GONE = "gone"


class KeyState(enum.Enum):
    """Whether a key may be used."""

    GRANTED = "granted"
    WITHDRAWN = "withdrawn"


class MoveState(enum.Enum):
    """State of a move of one instance between pools."""

    DRAINING = "draining"
    DONE = "done"
    CANCELLED = "cancelled"


class WaveState(enum.Enum):
    """State of a maintenance wave."""

    RUNNING = "running"
    DONE = "done"
    STOPPED = "stopped"


class WaveStep(enum.Enum):
    """Progress of one instance within a wave."""

    PENDING = "pending"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    BACK = "back"
    SKIPPED = "skipped"
    FAILED = "failed"


class JobState(enum.Enum):
    """State of a job in the fold."""

    WAITING = "waiting"
    PLACED = "placed"
    RUNNING = "running"
    CANCELLING = "cancelling"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class JobStep(enum.Enum):
    """Status of the task of a placed job."""

    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


# Header of a response with the `Outcome` of its request.
OUTCOME_HEADER = "Sardinedrift-Outcome"


class Outcome(enum.Enum):
    """Known state of the execution of a request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Identity(NamedTuple):
    """Identity of an entry process; each start creates a new entry id."""

    entry_id: EntryId
    data_centre_id: DataCentreId
    address: str


def is_valid_name(text: str) -> bool:
    """Returns whether a text is a valid name of a configured object."""
    return _NAME.match(text) is not None


def request_time(request_id: RequestId) -> float:
    """Returns the creation time of a request id, in unix seconds.

    Raises:
        ValueError: the id is not a UUIDv7, with or without a home prefix.
    """
    value = uuid.UUID(request_id.rpartition(".")[2])
    if value.version != 7:
        raise ValueError("not a UUIDv7")
    return (value.int >> 80) / 1000.0


def request_home(request_id: RequestId) -> DataCentreId | None:
    """Returns the home data centre named by a request id, if any."""
    home, separator, _ = request_id.rpartition(".")
    return DataCentreId(home) if separator else None
