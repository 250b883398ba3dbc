"""A bounded ring of typed events, merged across entries for operators.

Events of several processes are ordered by (offset, time, entry, sequence).
The offset of the log that a process knew comes first, because it is a logical
clock: whatever a record caused was seen at its offset or a higher one, on
every entry, while the wall clocks of two entries may differ by a second. The
time orders events between two records, and entry and sequence make the order
total and equal on every entry that merges. Entries that lag behind the log
therefore appear at what they knew, not at when they acted.
"""

import collections
import enum
import heapq
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

from sardinedrift.identifiers import (
    DataCentreId,
    EntryId,
    Identity,
    InstanceId,
    MoveId,
    Offset,
    RequestId,
    TeamId,
    WaveId,
)
from sardinedrift.ports import Clock

CAPACITY = 10_000
PEER_PATH = "/peer/timeline"


class EventKind(enum.Enum):
    """What happened."""

    ENTRY_STARTED = "entry_started"
    ENTRY_READY = "entry_ready"
    ENTRY_NOT_READY = "entry_not_ready"
    ENTRY_STOPPING = "entry_stopping"
    MEMBER_CHANGED = "member_changed"
    PEER_FOUND = "peer_found"
    PEER_LOST = "peer_lost"
    CHANGE_ACCEPTED = "change_accepted"
    CHANGE_REJECTED = "change_rejected"
    CHANGE_UNKNOWN = "change_unknown"
    SNAPSHOT_LOADED = "snapshot_loaded"
    SNAPSHOT_WRITTEN = "snapshot_written"
    LOG_LOST = "log_lost"
    LOG_FOUND = "log_found"
    SCHEDULER_CHANGED = "scheduler_changed"
    REQUEST_REFUSED = "request_refused"
    REQUEST_RETRIED = "request_retried"
    REQUEST_UNKNOWN = "request_unknown"
    INSTANCE_STATE = "instance_state"
    DRAIN_ACKNOWLEDGED = "drain_acknowledged"
    MOVE_STATE = "move_state"
    WAVE_STATE = "wave_state"
    JOB_STATE = "job_state"
    FAULT_INJECTED = "fault_injected"


class Event(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One event.

    Attributes:
        time: unix seconds; never decreases within one process.
        entry_id: process that recorded it.
        offset: highest log offset that the process had folded.
        sequence: counts the events of the process.
    """

    time: float
    entry_id: EntryId
    data_centre_id: DataCentreId
    kind: EventKind
    offset: Offset
    sequence: int
    detail: str = ""
    request_id: RequestId | None = None
    team_id: TeamId | None = None
    instance_id: InstanceId | None = None
    move_id: MoveId | None = None
    wave_id: WaveId | None = None


class OrderKey(NamedTuple):
    """Position of an event among those of all entries."""

    offset: Offset
    time: float
    entry_id: EntryId
    sequence: int


class Filter(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Selects events; a field that is None selects all.

    Attributes:
        since: unix seconds.
        limit: most events returned, the latest ones.
    """

    kind: EventKind | None = None
    since: float | None = None
    entry_id: EntryId | None = None
    data_centre_id: DataCentreId | None = None
    request_id: RequestId | None = None
    team_id: TeamId | None = None
    instance_id: InstanceId | None = None
    move_id: MoveId | None = None
    wave_id: WaveId | None = None
    limit: int = 1000


class TimelineReply(msgspec.Struct, frozen=True):
    """Answer to `POST /peer/timeline` with a `Filter`."""

    events: list[Event]


_SELECTORS = tuple(
    name for name in Filter.__struct_fields__ if name not in ("since", "limit")
)


def order_key(event: Event) -> OrderKey:
    """Returns the position of an event among those of all entries."""
    return OrderKey(event.offset, event.time, event.entry_id, event.sequence)


def matching(events: Iterable[Event], selection: Filter) -> Iterator[Event]:
    """Yields the events that a filter selects, without its limit."""
    wanted = [
        (name, getattr(selection, name))
        for name in _SELECTORS
        if getattr(selection, name) is not None
    ]
    for event in events:
        if selection.since is not None and event.time < selection.since:
            continue
        if all(getattr(event, name) == value for name, value in wanted):
            yield event


def merge(timelines: Iterable[Iterable[Event]]) -> Iterator[Event]:
    """Yields the events of several ordered timelines in one order."""
    return heapq.merge(*timelines, key=order_key)


def latest(events: Iterable[Event], limit: int) -> Iterator[Event]:
    """Yields the last events of a timeline."""
    yield from collections.deque(events, maxlen=limit)


class Timeline:
    """The events of this process, the oldest being dropped."""

    def __init__(
        self, identity: Identity, clock: Clock, capacity: int = CAPACITY
    ):
        self._identity = identity
        self._clock = clock
        self._events: collections.deque[Event] = collections.deque(
            maxlen=capacity
        )
        self._sequence = 0

    def record(
        self, kind: EventKind, offset: Offset, detail: str = "", **ids: str
    ) -> Event:
        """Adds an event.

        Args:
            kind: what happened.
            offset: offset of the state at this moment.
            detail: short text; never holds a key secret.
            **ids: request_id, team_id, instance_id, move_id or wave_id.
        """
        time = self._clock.now()
        if self._events:
            # The merge needs ordered input, also when the clock steps back.
            time = max(time, self._events[-1].time)
            offset = max(offset, self._events[-1].offset)
        self._sequence += 1
        event = Event(
            time=time,
            entry_id=self._identity.entry_id,
            data_centre_id=self._identity.data_centre_id,
            kind=kind,
            offset=offset,
            sequence=self._sequence,
            detail=detail,
            **ids,
        )
        self._events.append(event)
        return event

    def select(self, selection: Filter) -> list[Event]:
        """Returns the latest selected events of this process, in order."""
        events = matching(tuple(self._events), selection)
        return list(latest(events, selection.limit))

    def answer(self, selection: Filter) -> TimelineReply:
        """Answers `POST /peer/timeline` of another entry."""
        return TimelineReply(self.select(selection))
