"""Records changes of the folded state and of readiness in the timeline."""

import asyncio
from collections.abc import Callable, Iterator
from typing import Any

from sardinedrift.follower import Follower
from sardinedrift.timeline import EventKind, Timeline

_READY_POLL_INTERVAL_SECONDS = 0.25

_KIND_AND_FIELD_BY_TABLE = {
    "entry_by_id": (EventKind.MEMBER_CHANGED, ""),
    "instance_by_id": (EventKind.INSTANCE_STATE, "instance_id"),
    "move_by_id": (EventKind.MOVE_STATE, "move_id"),
    "wave_by_id": (EventKind.WAVE_STATE, "wave_id"),
    "job_by_id": (EventKind.JOB_STATE, ""),
}


class StateWatcher:
    """Compares the state with its last version and records the differences.

    Only tables written since the last comparison are compared, so that an
    idle fleet causes no load.

    Args:
        follower: provides the state.
        events: timeline that receives the events.
        not_ready_reason: returns "" while the entry is ready.
    """

    def __init__(
        self,
        follower: Follower,
        events: Timeline,
        not_ready_reason: Callable[[], str],
    ):
        self._follower = follower
        self._events = events
        self._not_ready_reason = not_ready_reason
        self._version_by_table: dict[str, int] = {}
        self._descriptions_by_table: dict[str, dict[str, str]] = {}

    async def run(self) -> None:
        """Records changes of the state until cancelled."""
        while True:
            offset = self._follower.state.offset
            for table in _KIND_AND_FIELD_BY_TABLE:
                self._record_changes(table)
            await self._follower.changed(offset)

    async def run_readiness(self) -> None:
        """Records changes of readiness until cancelled."""
        last_reason = "starting"
        while True:
            reason = self._not_ready_reason()
            if bool(reason) != bool(last_reason):
                kind = EventKind.ENTRY_READY
                if reason:
                    kind = EventKind.ENTRY_NOT_READY
                self._events.record(kind, self._follower.state.offset, reason)
                last_reason = reason
            await asyncio.sleep(_READY_POLL_INTERVAL_SECONDS)

    def _record_changes(self, table: str) -> None:
        state = self._follower.state
        version = state.version_by_table[table]
        if self._version_by_table.get(table) == version:
            return
        self._version_by_table[table] = version
        kind, field = _KIND_AND_FIELD_BY_TABLE[table]
        for object_id, text in self._differences(table):
            names = {field: object_id} if field else {}
            detail = f"{object_id} {text}"
            self._events.record(kind, state.offset, detail, **names)

    def _differences(self, table: str) -> Iterator[tuple[str, str]]:
        """Yields the id and description of each object that has changed."""
        rows = getattr(self._follower.state.tables, table)
        previous = self._descriptions_by_table.get(table)
        current = {
            object_id: _description(row) for object_id, row in rows.items()
        }
        self._descriptions_by_table[table] = current
        # Objects that a starting entry finds have not changed.
        if previous is None:
            return
        for object_id, text in current.items():
            if previous.get(object_id) != text:
                yield object_id, text


def _description(row: Any) -> str:
    """Returns the part of an object whose changes are recorded."""
    text = row.state.value
    if hasattr(row, "up"):
        text = f"{text} in {row.pool_id}"
        return text if row.up else f"{text}, down"
    return text
