"""A bounded buffer of typed events, merged across entries for operators.

Events of several processes are ordered by (offset, time, entry, sequence).
The log offset that a process had folded comes first, because it is a logical
clock: on every entry, the effects of a record have its offset or a higher one,
while the wall clocks of two entries may differ by a second. The time orders
events at the same offset; entry and sequence make the order total and equal on
every entry that merges. Events of an entry that lags behind the log are
therefore placed by the offset it had folded, not by the time at which it acted.
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
    """Types of events."""

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
        entry_id: process that recorded the event.
        offset: highest log offset that the process had folded.
        sequence: number of the event within its process, from 1.
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
    """Sort key of an event in the merged timeline of all entries."""

    offset: Offset
    time: float
    entry_id: EntryId
    sequence: int


class Filter(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Selects events by their fields; a field that is None matches all.

    Attributes:
        since: earliest time, in unix seconds.
        limit: maximum number of events returned; the latest ones are kept.
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


_EQUALITY_FIELDS = tuple(
    name for name in Filter.__struct_fields__ if name not in ("since", "limit")
)


def order_key(event: Event) -> OrderKey:
    """Returns the sort key of an event in the merged timeline."""
    return OrderKey(event.offset, event.time, event.entry_id, event.sequence)


def filter_events(
    events: Iterable[Event], selection: Filter
) -> Iterator[Event]:
    """Yields the events that match a filter, ignoring its limit."""
    criteria = [
        (name, getattr(selection, name))
        for name in _EQUALITY_FIELDS
        if getattr(selection, name) is not None
    ]
    for event in events:
        if selection.since is not None and event.time < selection.since:
            continue
        if all(getattr(event, name) == value for name, value in criteria):
            yield event


def merge(timelines: Iterable[Iterable[Event]]) -> Iterator[Event]:
    """Merges timelines, each of which is in order."""
    return heapq.merge(*timelines, key=order_key)


def latest(events: Iterable[Event], limit: int) -> Iterator[Event]:
    """Yields the last `limit` events of a timeline."""
    yield from collections.deque(events, maxlen=limit)


class Timeline:
    """Events of this process; the oldest are dropped at capacity.

    Args:
        identity: entry and data centre recorded in every event.
        clock: source of the event times.
        capacity: maximum number of events kept.
    """

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
            kind: type of the event.
            offset: log offset of the current state.
            detail: short text; must not contain a key secret.
            **ids: request_id, team_id, instance_id, move_id or wave_id.
        """
        time = self._clock.now()
        if self._events:
            # The merge requires ordered input, even if the clock steps back.
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
        """Returns the latest matching events of this process, in order."""
        events = filter_events(tuple(self._events), selection)
        return list(latest(events, selection.limit))

    def answer(self, selection: Filter) -> TimelineReply:
        """Answers `POST /peer/timeline` of another entry."""
        return TimelineReply(self.select(selection))
