"""In-memory view of the stored jobs, and the records it is built from."""

import enum
from collections.abc import Callable

import msgspec

from sardinedrift.engine.model import (
    ENDED_STATES,
    FencingToken,
    JobState,
    MachineId,
    Progress,
    Submission,
    TaskRecord,
    WaveNumber,
    WorkerId,
)
from sardinedrift.engine.storeports import KeyedRecord
from sardinedrift.engine.taskblocks import (
    BlockId,
    format_block_id,
    parse_block_id,
)
from sardinedrift.identifiers import JobId, QueueId, TeamId


class KeyKind(enum.Enum):
    """Type of a record; the value is the first letter of its key."""

    SUBMISSION = "j"
    CANCEL = "c"
    PROGRESS = "p"
    TASKS = "b"
    WAVE = "w"
    TERM = "t"
    ENTRY = "n"
    OVERLOAD = "o"


class WaveRecord(msgspec.Struct, frozen=True, array_like=True):
    """Recorded progress of a wave.

    Attributes:
        begun: machines whose upkeep has begun.
        completed: the wave is complete.
    """

    begun: tuple[MachineId, ...]
    completed: bool


class EntryCapacity(msgspec.Struct, frozen=True, array_like=True):
    """Capacity of the machine on which an entry runs.

    Attributes:
        cores: CPU capacity, in cores of standard speed.
        link_mbps: bandwidth of its network link in Mbit/s.
    """

    cores: float
    link_mbps: float


class WorkerLease(msgspec.Struct, frozen=True, array_like=True):
    """A lease that may not have the usual length when a term ends.

    Attributes:
        left_ms: time in ms after which its lease has certainly expired.
    """

    worker_id: WorkerId
    left_ms: int


class TermRecord(msgspec.Struct, frozen=True, array_like=True):
    """The newest term of a controller.

    Attributes:
        node: entry that is or was the controller.
        closed: the controller shut down cleanly and sent no order after this
            record.
        ordered: machines that may have been sent an order shortly before this
            record or after it.
        leases: leases of workers with runs that are unreachable or may hold a
            longer lease than usual.
        orders_recorded: `ordered` is complete: the controller records a machine
            before it sends it an order.
    """

    token: FencingToken
    node: str = ""
    closed: bool = False
    ordered: tuple[MachineId, ...] = ()
    leases: tuple[WorkerLease, ...] = ()
    orders_recorded: bool = False


class Backlog(msgspec.Struct, frozen=True, array_like=True):
    """A client account whose overdue jobs starve on a queue."""

    queue_id: QueueId
    team_id: TeamId


class OverloadRecord(msgspec.Struct, frozen=True, array_like=True):
    """Backlogs to which no further jobs should be added.

    Attributes:
        until_ms: Unix time in ms up to which the record applies.
        backlogs: the backlogs.
        saturated: the controller has accepted more work than it can handle.
        all_accounts: no further jobs should be added by any client account.
    """

    until_ms: int
    backlogs: tuple[Backlog, ...]
    saturated: bool = False
    all_accounts: bool = False


_KIND_LETTERS = frozenset(kind.value for kind in KeyKind)
_submission_decoder = msgspec.msgpack.Decoder(Submission)
_progress_decoder = msgspec.msgpack.Decoder(Progress)
_tasks_decoder = msgspec.msgpack.Decoder(tuple[TaskRecord, ...])
_wave_decoder = msgspec.msgpack.Decoder(WaveRecord)
_term_decoder = msgspec.msgpack.Decoder(TermRecord)
_entry_capacity_decoder = msgspec.msgpack.Decoder(EntryCapacity)
_overload_decoder = msgspec.msgpack.Decoder(OverloadRecord)
_encoder = msgspec.msgpack.Encoder()


def record_key(kind: KeyKind, job_id: JobId) -> str:
    """Returns the key of a job's record."""
    return f"{kind.value}/{job_id}"


def submission_record(submission: Submission) -> KeyedRecord:
    """Returns the record of an accepted job."""
    key = record_key(KeyKind.SUBMISSION, submission.job_id)
    return KeyedRecord(key, _encoder.encode(submission))


def cancel_record(job_id: JobId) -> KeyedRecord:
    """Returns the record of a cancellation."""
    return KeyedRecord(record_key(KeyKind.CANCEL, job_id), b"1")


def progress_record(job_id: JobId, progress: Progress) -> KeyedRecord:
    """Returns the record of a job's progress."""
    key = record_key(KeyKind.PROGRESS, job_id)
    return KeyedRecord(key, _encoder.encode(progress))


def tasks_record(
    job_id: JobId, block_id: BlockId, tasks: tuple[TaskRecord, ...] | None
) -> KeyedRecord:
    """Returns the record of a block of tasks; without tasks it is removed."""
    key = record_key(KeyKind.TASKS, job_id)
    return KeyedRecord(
        f"{key}/{format_block_id(block_id)}",
        _encoder.encode(tasks) if tasks is not None else None,
    )


def wave_record(number: WaveNumber, record: WaveRecord) -> KeyedRecord:
    """Returns the record of a wave's progress."""
    return KeyedRecord(
        f"{KeyKind.WAVE.value}/{number}", _encoder.encode(record)
    )


def term_record(record: TermRecord) -> KeyedRecord:
    """Returns the record of the newest term."""
    return KeyedRecord(f"{KeyKind.TERM.value}/newest", _encoder.encode(record))


def overload_record(record: OverloadRecord) -> KeyedRecord:
    """Returns the record of the backlogs."""
    return KeyedRecord(
        f"{KeyKind.OVERLOAD.value}/newest", _encoder.encode(record)
    )


def entry_capacity_record(node: str, capacity: EntryCapacity) -> KeyedRecord:
    """Returns the record of the capacity of an entry's machine."""
    return KeyedRecord(
        f"{KeyKind.ENTRY.value}/{node}", _encoder.encode(capacity)
    )


class KnownJob:
    """The records of one job that have been read so far.

    Attributes:
        submission: the job, or None if only other records have been read.
        progress: newest recorded progress, if any.
        cancelled: a cancellation is stored.
        tasks_by_block: newest records of the blocks of tasks, if the job is
            divided into blocks.
    """

    __slots__ = ("cancelled", "progress", "submission", "tasks_by_block")

    def __init__(self) -> None:
        self.submission: Submission | None = None
        self.progress: Progress | None = None
        self.cancelled = False
        self.tasks_by_block: dict[BlockId, tuple[TaskRecord, ...]] = {}

    @property
    def state(self) -> JobState:
        """The state that is reported to callers."""
        recorded = self.progress.state if self.progress else JobState.PENDING
        if self.cancelled and recorded not in ENDED_STATES:
            return JobState.CANCELLED
        return recorded

    @property
    def started(self) -> bool:
        """Whether a run of a task has been placed."""
        return self.progress is not None and self.progress.started

    @property
    def ended_ms(self) -> int:
        """End of the job in Unix milliseconds, or 0."""
        return self.progress.ended_ms if self.progress else 0

    @property
    def has_runs(self) -> bool:
        """Whether a run is recorded as active."""
        inline = self.progress.tasks if self.progress else ()
        return any(
            record.worker_id
            for records in (inline, *self.tasks_by_block.values())
            for record in records
        )


class JobCatalogue:
    """The known jobs, with the waves, terms and entries on record.

    Attributes:
        known_by_id: the records of each job.
        wave_by_number: recorded progress of the waves.
        newest_term: the newest recorded term, or None.
        overload: the newest recorded backlogs, or None.
        capacity_by_node: machine capacity of each entry that ever started.
        observer: called with the id of a job after its submission or
            cancellation was read.
    """

    def __init__(self) -> None:
        self.known_by_id: dict[JobId, KnownJob] = {}
        self.wave_by_number: dict[WaveNumber, WaveRecord] = {}
        self.newest_term: TermRecord | None = None
        self.overload: OverloadRecord | None = None
        self.capacity_by_node: dict[str, EntryCapacity] = {}
        self.observer: Callable[[JobId], None] | None = None

    def find(self, job_id: JobId) -> KnownJob | None:
        """Returns a submitted job, or None."""
        known = self.known_by_id.get(job_id)
        return known if known and known.submission else None

    def waiting_count(self, queue_id: QueueId) -> int:
        """Returns the number of pending jobs of a queue."""
        return sum(
            1
            for known in self.known_by_id.values()
            if known.submission is not None
            and known.submission.queue_id == queue_id
            and not known.started
            and known.state is JobState.PENDING
        )

    def is_overloaded(
        self, queue_id: QueueId, team_id: TeamId, now_ms: float
    ) -> bool:
        """Whether a further job of a client account would only wait.

        Args:
            queue_id: queue of the job.
            team_id: its client account.
            now_ms: current time in Unix ms.
        """
        overload = self.overload
        return (
            overload is not None
            and now_ms < overload.until_ms
            and (
                overload.all_accounts
                or Backlog(queue_id, team_id) in overload.backlogs
            )
        )

    def apply_submission(self, submission: Submission) -> None:
        """Adds a submitted job; the first submission of an id counts.

        The shortened submission of an ended job replaces the full one.
        """
        known = self.known_by_id.setdefault(submission.job_id, KnownJob())
        if known.submission is None:
            known.submission = submission
            self._notify(submission.job_id)
        elif not submission.steps:
            known.submission = submission

    def apply_record(self, key: str, value: bytes | None) -> None:
        """Applies a record of the store; records of unknown type are ignored.

        Raises:
            msgspec.DecodeError: the value cannot be decoded; it is not applied.
            ValueError: the key of a wave or of a block is malformed.
        """
        letter, _, name = key.partition("/")
        if letter not in _KIND_LETTERS:
            return
        kind = KeyKind(letter)
        if value is None:
            self._remove(kind, name)
        elif kind is KeyKind.WAVE:
            number = WaveNumber(int(name))
            self.wave_by_number[number] = _wave_decoder.decode(value)
        elif kind is KeyKind.ENTRY:
            self.capacity_by_node[name] = _entry_capacity_decoder.decode(value)
        elif kind is KeyKind.OVERLOAD:
            self.overload = _overload_decoder.decode(value)
        elif kind is KeyKind.TERM:
            self.newest_term = _term_decoder.decode(value)
        elif kind is KeyKind.TASKS:
            self._apply_tasks(name, value)
        else:
            self._apply_job_record(kind, JobId(name), value)

    def _apply_job_record(
        self, kind: KeyKind, job_id: JobId, value: bytes
    ) -> None:
        known = self.known_by_id.setdefault(job_id, KnownJob())
        match kind:
            case KeyKind.SUBMISSION:
                self.apply_submission(_submission_decoder.decode(value))
            case KeyKind.CANCEL:
                known.cancelled = True
                self._notify(job_id)
            case KeyKind.PROGRESS:
                known.progress = _progress_decoder.decode(value)

    def _apply_tasks(self, name: str, value: bytes) -> None:
        job_id, _, block = name.partition("/")
        block_id = parse_block_id(block)
        records = _tasks_decoder.decode(value)
        known = self.known_by_id.setdefault(JobId(job_id), KnownJob())
        known.tasks_by_block[block_id] = records

    def _remove(self, kind: KeyKind, name: str) -> None:
        if kind is KeyKind.SUBMISSION:
            self.known_by_id.pop(JobId(name), None)
        elif kind is KeyKind.TASKS:
            job_id, _, block = name.partition("/")
            known = self.known_by_id.get(JobId(job_id))
            if known is not None:
                known.tasks_by_block.pop(parse_block_id(block), None)

    def _notify(self, job_id: JobId) -> None:
        if self.observer is not None:
            self.observer(job_id)
