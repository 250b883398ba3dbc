"""Slot-time used in contended pools, as exchanged between entries.

Each scheduler counts the slot-time that teams use while requests wait for its
pool. It sends the counters to the entries of its data centre, and these forward
them to other data centres, so that use in one also counts in the others.
Only counters that have grown are sent: at 600 teams and 28 pools a whole table
would exceed the budget for control traffic.
"""

import collections
from collections.abc import Callable, Iterator
from typing import NamedTuple

from sardinedrift.identifiers import EntryId, PoolId, TeamId
from sardinedrift.ports import Clock

Use = dict[PoolId, dict[TeamId, float]]
UseByScheduler = dict[EntryId, Use]

LOCAL_INTERVAL_SECONDS = 1.0
# Below the 4.4 s between exchanges with another data centre at full size, so
# that each of them has the counters and not only every second one.
REMOTE_INTERVAL_SECONDS = 4.0
# All counters are sent at this interval, to make up for lost exchanges.
FULL_INTERVAL_SECONDS = 60.0
# A counter that has not grown for this long is dropped: its scheduler has ended
# or is idle.
RETENTION_SECONDS = 600.0


class _Row(NamedTuple):
    """One counter, with the time and the table version of its last growth."""

    slot_seconds: float
    grown_at: float
    version: int


class _Sent(NamedTuple):
    """The last transmission to a receiver.

    Attributes:
        time: unix seconds.
        version: version of the table up to which counters were sent.
        full_due: unix seconds at which every counter is sent again.
    """

    time: float
    version: int
    full_due: float


class UseTable:
    """Counters of all schedulers of one data centre.

    Args:
        entry_id: this entry.
        own_use: returns the counters of this entry's own schedulers.
        clock: source of the time.
    """

    def __init__(
        self, entry_id: EntryId, own_use: Callable[[], Use], clock: Clock
    ):
        self._entry_id = entry_id
        self._own_use = own_use
        self._clock = clock
        self._row_by_key: dict[tuple[EntryId, PoolId, TeamId], _Row] = {}
        self._sent_by_receiver: dict[EntryId, _Sent] = {}
        self._version = 0
        self._own_due = 0.0

    def merge(self, use_by_scheduler: UseByScheduler) -> None:
        """Merges received counters of schedulers of the data centre."""
        now = self._clock.now()
        for scheduler_id, use in use_by_scheduler.items():
            self._merge(scheduler_id, use, now)

    def outgoing(self, receiver: EntryId, is_local: bool) -> UseByScheduler:
        """Returns the counters to send to an entry now, if any.

        Args:
            receiver: the entry.
            is_local: whether it is in the same data centre; it then receives
                the counters of this entry's schedulers only, otherwise those
                of all schedulers of this data centre.
        """
        now = self._clock.now()
        sent = self._sent_by_receiver.get(receiver, _Sent(0.0, 0, 0.0))
        if now < sent.time + (
            LOCAL_INTERVAL_SECONDS if is_local else REMOTE_INTERVAL_SECONDS
        ):
            return {}
        self._merge_own(now)
        since, full_due = sent.version, sent.full_due
        if now >= full_due:
            since, full_due = 0, now + FULL_INTERVAL_SECONDS
        self._sent_by_receiver[receiver] = _Sent(now, self._version, full_due)
        only_scheduler = self._entry_id if is_local else None
        use: UseByScheduler = collections.defaultdict(
            lambda: collections.defaultdict(dict)
        )
        for scheduler_id, pool_id, team_id, total in self._grown_since(since):
            if only_scheduler in (None, scheduler_id):
                use[scheduler_id][pool_id][team_id] = total
        return use

    def _grown_since(
        self, version: int
    ) -> Iterator[tuple[EntryId, PoolId, TeamId, float]]:
        """Yields the counters that have grown since a version."""
        for key, row in self._row_by_key.items():
            if row.version > version:
                yield *key, round(row.slot_seconds, 3)

    def _merge_own(self, now: float) -> None:
        if now < self._own_due:
            return
        self._own_due = now + LOCAL_INTERVAL_SECONDS
        self._merge(self._entry_id, self._own_use(), now)
        self._prune(now)

    def _merge(self, scheduler_id: EntryId, use: Use, now: float) -> None:
        for pool_id, total_by_team in use.items():
            for team_id, total in total_by_team.items():
                key = (scheduler_id, pool_id, team_id)
                known = self._row_by_key.get(key)
                if known is None or total > known.slot_seconds:
                    self._version += 1
                    self._row_by_key[key] = _Row(total, now, self._version)

    def _prune(self, now: float) -> None:
        drop_before = now - RETENTION_SECONDS
        for key, row in list(self._row_by_key.items()):
            if row.grown_at < drop_before:
                del self._row_by_key[key]
        for receiver, sent in list(self._sent_by_receiver.items()):
            if sent.time < drop_before:
                del self._sent_by_receiver[receiver]
