"""Queues of asks for slots by work class and team, in order of arrival."""

import asyncio
import collections
from collections.abc import Iterator

from sardinedrift.identifiers import EntryId, GrantId, TeamId, WorkClass
from sardinedrift.messages import SlotReply, SlotRequest

# An ask without a listener keeps its place for this long, so that a repeated
# call with the same ask id is not put at the end of the queue.
ABANDONED_GRACE_SECONDS = 1.0


class WaitingAsk:
    """A waiting ask and its reply.

    Attributes:
        reply: done once the ask is granted or refused.
        listeners: number of calls that await the reply.
        abandoned_at: unix time at which a call last stopped awaiting it.
    """

    __slots__ = ("abandoned_at", "ask", "listeners", "reply")

    def __init__(self, ask: SlotRequest):
        self.ask = ask
        self.reply: asyncio.Future[SlotReply] = asyncio.Future()
        self.listeners = 0
        self.abandoned_at = 0.0


class AskQueues:
    """Queues by work class and team, first in first out within a team.

    Args:
        max_per_team: maximum number of waiting asks per team.
    """

    def __init__(self, max_per_team: int):
        self._max_per_team = max_per_team
        self._waiting_by_id: dict[GrantId, WaitingAsk] = {}
        self._count_by_team: collections.Counter[TeamId] = collections.Counter()
        self._ids_by_team_by_class: dict[
            WorkClass, dict[TeamId, dict[GrantId, None]]
        ] = {each: {} for each in WorkClass}

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def get(self, ask_id: GrantId) -> WaitingAsk | None:
        """Returns a waiting ask, or None."""
        return self._waiting_by_id.get(ask_id)

    def add(self, ask: SlotRequest) -> WaitingAsk | None:
        """Appends an ask; returns None if its team has too many waiting."""
        if self._count_by_team[ask.team_id] >= self._max_per_team:
            return None
        waiting = WaitingAsk(ask)
        self._waiting_by_id[ask.ask_id] = waiting
        self._count_by_team[ask.team_id] += 1
        by_team = self._ids_by_team_by_class[ask.work_class]
        by_team.setdefault(ask.team_id, {})[ask.ask_id] = None
        return waiting

    def resolve(self, ask_id: GrantId, reply: SlotReply) -> None:
        """Removes an ask and sets its reply; no effect if it is not waiting."""
        waiting = self._waiting_by_id.pop(ask_id, None)
        if waiting is None:
            return
        ask = waiting.ask
        by_team = self._ids_by_team_by_class[ask.work_class]
        del by_team[ask.team_id][ask_id]
        if not by_team[ask.team_id]:
            del by_team[ask.team_id]
        self._count_by_team[ask.team_id] -= 1
        if not self._count_by_team[ask.team_id]:
            del self._count_by_team[ask.team_id]
        if not waiting.reply.done():
            waiting.reply.set_result(reply)

    def has_asks(self, team_id: TeamId) -> bool:
        """Returns whether a team has waiting asks of any class."""
        return team_id in self._count_by_team

    def teams(self, work_class: WorkClass) -> list[TeamId]:
        """Returns the teams with asks of a class."""
        return list(self._ids_by_team_by_class[work_class])

    def first(
        self, work_class: WorkClass, team_id: TeamId
    ) -> SlotRequest | None:
        """Returns the oldest ask of a team that has a listener."""
        for ask_id in self._ids_by_team_by_class[work_class].get(team_id, ()):
            waiting = self._waiting_by_id[ask_id]
            if waiting.listeners:
                return waiting.ask
        return None

    def asks(self) -> Iterator[SlotRequest]:
        """Yields all asks; the queues may be changed during iteration."""
        for waiting in list(self._waiting_by_id.values()):
            yield waiting.ask

    def asks_of(self, entry_id: EntryId) -> list[SlotRequest]:
        """Returns the asks of one entry."""
        return [each for each in self.asks() if each.entry_id == entry_id]

    def overdue(self, now: float) -> list[GrantId]:
        """Returns the asks that are past their deadline or abandoned."""
        return [
            ask_id
            for ask_id, waiting in self._waiting_by_id.items()
            if waiting.ask.deadline <= now
            or (
                not waiting.listeners
                and waiting.abandoned_at + ABANDONED_GRACE_SECONDS <= now
            )
        ]
