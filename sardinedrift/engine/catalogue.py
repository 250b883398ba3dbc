"""What every entry knows of the jobs: submissions, cancels and progress."""

import enum
from collections.abc import Callable

import msgspec

from sardinedrift.engine.model import (
    ENDED_STATES,
    JobState,
    MachineId,
    Progress,
    Submission,
    Token,
    WaveNumber,
    WorkerId,
)
from sardinedrift.engine.ports import KeyedRecord
from sardinedrift.identifiers import JobId, QueueId


class KeyKind(enum.Enum):
    """First letter of the key of a record."""

    SUBMISSION = "j"
    CANCEL = "c"
    PROGRESS = "p"
    WAVE = "w"
    TERM = "t"
    ENTRY = "n"


class WaveRecord(msgspec.Struct, frozen=True, array_like=True):
    """Recorded progress of a wave: the machines whose upkeep has begun."""

    begun: tuple[MachineId, ...]
    completed: bool


class EntryCapacity(msgspec.Struct, frozen=True, array_like=True):
    """What an entry's machine can carry.

    Attributes:
        cores: processor, in cores of the usual speed.
        link_mbps: megabits a second of its network link.
    """

    cores: float
    link_mbps: float


class UnreachableWorker(msgspec.Struct, frozen=True, array_like=True):
    """A worker that a controller could not reach when its term ended.

    Attributes:
        left_ms: after this time its leases are over for certain.
    """

    worker_id: WorkerId
    left_ms: int


class TermRecord(msgspec.Struct, frozen=True, array_like=True):
    """The newest term of a controller.

    Attributes:
        node: entry that holds it.
        closed: it has ended in order; no order was sent after this record.
        ordered: machines that got an order shortly before its end.
        silent: workers with runs that it could not reach.
    """

    token: Token
    node: str = ""
    closed: bool = False
    ordered: tuple[MachineId, ...] = ()
    silent: tuple[UnreachableWorker, ...] = ()


_LETTERS = frozenset(kind.value for kind in KeyKind)
_submission_decoder = msgspec.msgpack.Decoder(Submission)
_progress_decoder = msgspec.msgpack.Decoder(Progress)
_wave_decoder = msgspec.msgpack.Decoder(WaveRecord)
_term_decoder = msgspec.msgpack.Decoder(TermRecord)
_strength_decoder = msgspec.msgpack.Decoder(EntryCapacity)
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


def wave_record(number: WaveNumber, record: WaveRecord) -> KeyedRecord:
    """Returns the record of a wave's progress."""
    return KeyedRecord(
        f"{KeyKind.WAVE.value}/{number}", _encoder.encode(record)
    )


def term_record(record: TermRecord) -> KeyedRecord:
    """Returns the record of the newest term."""
    return KeyedRecord(f"{KeyKind.TERM.value}/newest", _encoder.encode(record))


def entry_capacity_record(node: str, strength: EntryCapacity) -> KeyedRecord:
    """Returns the record of what an entry's machine can carry."""
    return KeyedRecord(
        f"{KeyKind.ENTRY.value}/{node}", _encoder.encode(strength)
    )


class KnownJob:
    """Records of one job, as far as they are known.

    Attributes:
        submission: the job, or None while only other records are known.
        progress: newest recorded progress, if any.
        cancelled: a cancellation is stored.
    """

    __slots__ = ("cancelled", "progress", "submission")

    def __init__(self) -> None:
        self.submission: Submission | None = None
        self.progress: Progress | None = None
        self.cancelled = False

    @property
    def state(self) -> JobState:
        """The state that callers are shown."""
        recorded = self.progress.state if self.progress else JobState.PENDING
        if self.cancelled and recorded not in ENDED_STATES:
            return JobState.CANCELLED
        return recorded

    @property
    def started(self) -> bool:
        """Whether a task has been started."""
        return self.progress is not None and self.progress.started


class JobCatalogue:
    """The known jobs, by id, and what controllers recorded beside them.

    Attributes:
        wave_by_number: recorded progress of the waves.
        newest_term: the newest recorded term, or None.
        capacity_by_node: what the entries that ever started can carry.
        observer: told the id of a job with a new submission or cancellation.
    """

    def __init__(self) -> None:
        self.known_by_id: dict[JobId, KnownJob] = {}
        self.wave_by_number: dict[WaveNumber, WaveRecord] = {}
        self.newest_term: TermRecord | None = None
        self.capacity_by_node: dict[str, EntryCapacity] = {}
        self.observer: Callable[[JobId], None] | None = None

    def find(self, job_id: JobId) -> KnownJob | None:
        """Returns a submitted job, or None."""
        known = self.known_by_id.get(job_id)
        return known if known and known.submission else None

    def waiting_count(self, queue_id: QueueId) -> int:
        """Returns the jobs of a queue of which no task was started."""
        return sum(
            1
            for known in self.known_by_id.values()
            if known.submission is not None
            and known.submission.queue_id == queue_id
            and not known.started
            and known.state is JobState.PENDING
        )

    def apply_submission(self, submission: Submission) -> None:
        """Takes over a job; the first submission of an id counts.

        A shortened one, of a job that is over, replaces the first.
        """
        known = self.known_by_id.setdefault(submission.job_id, KnownJob())
        if known.submission is None:
            known.submission = submission
            self._notify(submission.job_id)
        elif not submission.steps:
            known.submission = submission

    def apply_record(self, key: str, value: bytes | None) -> None:
        """Takes over a record of the store.

        Raises:
            msgspec.DecodeError: it can't be understood; nothing is taken over.
        """
        letter, _, name = key.partition("/")
        job_id = JobId(name)
        if letter not in _LETTERS:
            return
        kind = KeyKind(letter)
        if value is None:
            self._forget(kind, job_id)
        elif kind is KeyKind.WAVE:
            number = WaveNumber(int(name))
            self.wave_by_number[number] = _wave_decoder.decode(value)
        elif kind is KeyKind.ENTRY:
            self.capacity_by_node[name] = _strength_decoder.decode(value)
        elif kind is KeyKind.TERM:
            self.newest_term = _term_decoder.decode(value)
        else:
            self._take_job(kind, job_id, value)

    def _take_job(self, kind: KeyKind, job_id: JobId, value: bytes) -> None:
        known = self.known_by_id.setdefault(job_id, KnownJob())
        match kind:
            case KeyKind.SUBMISSION:
                self.apply_submission(_submission_decoder.decode(value))
            case KeyKind.CANCEL:
                known.cancelled = True
                self._notify(job_id)
            case KeyKind.PROGRESS:
                known.progress = _progress_decoder.decode(value)

    def _forget(self, kind: KeyKind, job_id: JobId) -> None:
        if kind is KeyKind.SUBMISSION:
            self.known_by_id.pop(job_id, None)

    def _notify(self, job_id: JobId) -> None:
        if self.observer is not None:
            self.observer(job_id)
