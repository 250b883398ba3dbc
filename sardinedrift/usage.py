"""Slot-time used in contended pools, as exchanged between entries.

Each scheduler counts what teams have used while its pool was full. The
counters travel from the scheduler to the entries of its data centre, and from
these to other data centres, so that a team strong in one data centre does not
count as poor in the next. Only counters that have grown are sent: at 600 teams
and 28 pools a whole table would exceed the budget for control traffic.
"""

import collections
from collections.abc import Callable, Iterator
from typing import NamedTuple

from sardinedrift.identifiers import EntryId, PoolId, TeamId
from sardinedrift.ports import Clock

Use = dict[PoolId, dict[TeamId, float]]
UseByScheduler = dict[EntryId, Use]

NEAR_SECONDS = 1.0
# Below the 4.4 s between exchanges with another data centre at full size, so
# that each of them carries the counters and not only every second one.
FAR_SECONDS = 4.0
# A lost exchange is made up for by sending every counter this often.
WHOLE_SECONDS = 60.0
# A scheduler whose counter has stood still for so long has ended or idles.
FORGET_SECONDS = 600.0


class _Row(NamedTuple):
    """One counter, and when and in which version of the table it last grew."""

    slot_seconds: float
    changed: float
    version: int


class _Sent(NamedTuple):
    """What a receiver was last told.

    Attributes:
        time: unix seconds.
        whole_due: unix seconds at which every counter is sent again.
    """

    time: float
    version: int
    whole_due: float


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
        """Takes in counters of schedulers of the data centre."""
        now = self._clock.now()
        for scheduler_id, use in use_by_scheduler.items():
            self._note(scheduler_id, use, now)

    def outgoing(self, receiver: EntryId, near: bool) -> UseByScheduler:
        """Returns what an entry has to be told now.

        Args:
            receiver: the entry.
            near: whether it is in the same data centre; it is told of this
                entry's schedulers only, others of those of all entries here.
        """
        now = self._clock.now()
        sent = self._sent_by_receiver.get(receiver, _Sent(0.0, 0, 0.0))
        if now < sent.time + (NEAR_SECONDS if near else FAR_SECONDS):
            return {}
        self._note_own(now)
        since, whole_due = sent.version, sent.whole_due
        if now >= whole_due:
            since, whole_due = 0, now + WHOLE_SECONDS
        self._sent_by_receiver[receiver] = _Sent(now, self._version, whole_due)
        only = self._entry_id if near else None
        use: UseByScheduler = collections.defaultdict(
            lambda: collections.defaultdict(dict)
        )
        for scheduler_id, pool_id, team_id, total in self._since(since):
            if only in (None, scheduler_id):
                use[scheduler_id][pool_id][team_id] = total
        return use

    def _since(
        self, version: int
    ) -> Iterator[tuple[EntryId, PoolId, TeamId, float]]:
        """Yields the counters that have grown since a version."""
        for key, row in self._row_by_key.items():
            if row.version > version:
                yield *key, round(row.slot_seconds, 3)

    def _note_own(self, now: float) -> None:
        if now < self._own_due:
            return
        self._own_due = now + NEAR_SECONDS
        self._note(self._entry_id, self._own_use(), now)
        self._forget(now)

    def _note(self, scheduler_id: EntryId, use: Use, now: float) -> None:
        for pool_id, total_by_team in use.items():
            for team_id, total in total_by_team.items():
                key = (scheduler_id, pool_id, team_id)
                known = self._row_by_key.get(key)
                if known is None or total > known.slot_seconds:
                    self._version += 1
                    self._row_by_key[key] = _Row(total, now, self._version)

    def _forget(self, now: float) -> None:
        limit = now - FORGET_SECONDS
        for key, row in list(self._row_by_key.items()):
            if row.changed < limit:
                del self._row_by_key[key]
        for receiver, sent in list(self._sent_by_receiver.items()):
            if sent.time < limit:
                del self._sent_by_receiver[receiver]
