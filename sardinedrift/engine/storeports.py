"""Abstract interfaces to the store: its records and the election it holds."""

import abc
from collections.abc import Sequence

import msgspec

from sardinedrift.engine.model import FencingToken
from sardinedrift.identifiers import Offset


class KeyedRecord(msgspec.Struct, frozen=True):
    """A record of a keyed topic; a `value` of None removes the key."""

    key: str
    value: bytes | None
    offset: Offset = Offset(0)

    @property
    def size(self) -> int:
        """Size in the store in bytes: length byte, key and value."""
        return 1 + len(self.key.encode()) + len(self.value or b"")


class NewestPage(msgspec.Struct, frozen=True):
    """A page of the newest records by key.

    Attributes:
        more: further keys follow after the last one.
        end: offset that the next appended record will have.
    """

    records: tuple[KeyedRecord, ...]
    more: bool
    end: Offset


class ReadPage(msgspec.Struct, frozen=True):
    """Consecutive records of a topic.

    Attributes:
        next: offset at which to continue.
        end: offset that the next appended record had when the store answered;
            higher than `next` if further records follow.
    """

    records: tuple[KeyedRecord, ...]
    next: Offset
    end: Offset


class RecordStore(abc.ABC):
    """Keyed topics of the durable record store.

    All methods raise StoreRefused when the store did nothing, and StoreUnknown
    when it did not answer.
    """

    @property
    @abc.abstractmethod
    def max_record_bytes(self) -> int | None:
        """Maximum size of a record in bytes, or None if it is not known."""

    def can_hold(self, record: KeyedRecord) -> bool:
        """Whether the size of a record is within the limit."""
        limit = self.max_record_bytes
        return limit is None or record.size <= limit

    @abc.abstractmethod
    async def append(
        self, topic: str, records: Sequence[KeyedRecord]
    ) -> Offset:
        """Appends all records atomically; returns the topic's new end."""

    @abc.abstractmethod
    async def append_fenced(
        self,
        topic: str,
        records: Sequence[KeyedRecord],
        token: FencingToken,
        sequence: int,
    ) -> Offset:
        """Appends as the controller of a term; returns the topic's new end.

        A retry with the same sequence number is idempotent. A call without
        records only raises the fencing token.

        Raises:
            StoreFenced: a higher token was used.
            SequenceExpected: the sequence number is not the next one.
        """

    @abc.abstractmethod
    async def newest(self, topic: str, after: str) -> NewestPage:
        """Returns the newest records of keys after a key ("" for the first)."""

    @abc.abstractmethod
    async def read(self, topic: str, start: Offset, wait_ms: int) -> ReadPage:
        """Returns records from an offset on; waits `wait_ms` for a first one.

        Raises:
            RecordsExpired: the store no longer keeps these records.
        """


class JoinResult(msgspec.Struct, frozen=True):
    """Answer to a join.

    Attributes:
        generation: group generation, to be confirmed by the next join.
        is_controller: this member is the elected controller.
    """

    generation: int
    is_controller: bool


class Members(msgspec.Struct, frozen=True):
    """Group members known to the store; `controller` is None without one."""

    controller: str | None
    names: frozenset[str]


class Election(abc.ABC):
    """Election of one controller among the entries, by the store."""

    @abc.abstractmethod
    async def join(self, generation: int) -> JoinResult:
        """Joins or renews the membership; confirms a group generation."""

    @abc.abstractmethod
    async def leave(self) -> None:
        """Leaves, so that another member is elected at once."""

    @abc.abstractmethod
    async def members(self) -> Members:
        """Returns the members; the caller need not have joined."""

    @abc.abstractmethod
    async def take_token(self) -> FencingToken:
        """Returns a fencing token above all that were issued before."""
