"""Queues of slot requests by work class and team, in order of arrival."""

import asyncio
import collections
from collections.abc import Iterator

from sardinedrift.identifiers import EntryId, GrantId, TeamId, WorkClass
from sardinedrift.messages import SlotReply, SlotRequest

# A request without a listener keeps its place for this long, so that a repeated
# call with the same `ask_id` is not put at the end of the queue.
ABANDONED_GRACE_SECONDS = 1.0


class WaitingRequest:
    """A waiting slot request and its reply.

    Attributes:
        reply: done once the request is granted or refused.
        listeners: number of calls that await the reply.
        abandoned_at: unix time at which a call last stopped awaiting it.
    """

    __slots__ = ("abandoned_at", "listeners", "reply", "request")

    def __init__(self, request: SlotRequest):
        self.request = request
        self.reply: asyncio.Future[SlotReply] = asyncio.Future()
        self.listeners = 0
        self.abandoned_at = 0.0


class RequestQueues:
    """Queues by work class and team, first in first out within a team.

    Args:
        max_per_team: maximum number of waiting requests per team.
    """

    def __init__(self, max_per_team: int):
        self._max_per_team = max_per_team
        self._waiting_by_id: dict[GrantId, WaitingRequest] = {}
        self._count_by_team: collections.Counter[TeamId] = collections.Counter()
        self._ids_by_team_by_class: dict[
            WorkClass, dict[TeamId, dict[GrantId, None]]
        ] = {each: {} for each in WorkClass}

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def get(self, ask_id: GrantId) -> WaitingRequest | None:
        """Returns a waiting request, or None."""
        return self._waiting_by_id.get(ask_id)

    def add(self, request: SlotRequest) -> WaitingRequest | None:
        """Appends a request; returns None if its team has too many."""
        if self._count_by_team[request.team_id] >= self._max_per_team:
            return None
        waiting = WaitingRequest(request)
        self._waiting_by_id[request.ask_id] = waiting
        self._count_by_team[request.team_id] += 1
        by_team = self._ids_by_team_by_class[request.work_class]
        by_team.setdefault(request.team_id, {})[request.ask_id] = None
        return waiting

    def resolve(self, ask_id: GrantId, reply: SlotReply) -> None:
        """Removes a request and sets its reply, if it is still waiting."""
        waiting = self._waiting_by_id.pop(ask_id, None)
        if waiting is None:
            return
        request = waiting.request
        by_team = self._ids_by_team_by_class[request.work_class]
        del by_team[request.team_id][ask_id]
        if not by_team[request.team_id]:
            del by_team[request.team_id]
        self._count_by_team[request.team_id] -= 1
        if not self._count_by_team[request.team_id]:
            del self._count_by_team[request.team_id]
        if not waiting.reply.done():
            waiting.reply.set_result(reply)

    def has_requests(self, team_id: TeamId) -> bool:
        """Returns whether a team has waiting requests of any class."""
        return team_id in self._count_by_team

    def teams(self, work_class: WorkClass) -> list[TeamId]:
        """Returns the teams with waiting requests of a class."""
        return list(self._ids_by_team_by_class[work_class])

    def first(
        self, work_class: WorkClass, team_id: TeamId
    ) -> SlotRequest | None:
        """Returns the oldest request of a team that has a listener."""
        for ask_id in self._ids_by_team_by_class[work_class].get(team_id, ()):
            waiting = self._waiting_by_id[ask_id]
            if waiting.listeners:
                return waiting.request
        return None

    def requests(self) -> Iterator[SlotRequest]:
        """Yields all requests; the queues may change during iteration."""
        for waiting in list(self._waiting_by_id.values()):
            yield waiting.request

    def requests_of_entry(self, entry_id: EntryId) -> list[SlotRequest]:
        """Returns the requests of one entry."""
        return [each for each in self.requests() if each.entry_id == entry_id]

    def overdue(self, now: float) -> list[GrantId]:
        """Returns the ids of requests past their deadline or abandoned."""
        return [
            ask_id
            for ask_id, waiting in self._waiting_by_id.items()
            if waiting.request.deadline <= now
            or (
                not waiting.listeners
                and waiting.abandoned_at + ABANDONED_GRACE_SECONDS <= now
            )
        ]
