"""Election of the controller and the bounds of its term."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from sardinedrift.engine.clock import Clock
from sardinedrift.engine.events import Event, EventLog
from sardinedrift.engine.exceptions import StoreError, StoreFenced
from sardinedrift.engine.model import Token
from sardinedrift.engine.ports import Election

# The store takes a member as gone this long after its last join.
MEMBER_TIMEOUT_MS = 1200
JOIN_EVERY_S = 0.25
# Leases are renewed this long after the last join; a successor waits for it
# where it cannot reach a worker, unless the term was closed in order.
RENEWAL_TIMEOUT_S = 2.5
# Time for the last words of a term before its entry gives it up.
CLOSE_S = 0.5
STOPPING = "stopping"
# A weak entry looks this often whether it is needed, and stands when there
# was no controller for this long.
RESERVE_EVERY_S = 0.5
RESERVE_S = 2.0


class Term:
    """One term of a controller.

    Args:
        token: its fencing token.
        clock: boot-time clock, which also runs during a suspension.
        joined_at: when the join that began it was sent.

    Attributes:
        sequence: number of its next append.
        ended: it was refused by a higher token, or the group gave it away.
    """

    def __init__(self, token: Token, clock: Clock, joined_at: float):
        self.token = token
        self.begun_at = clock.boot()
        self.sequence = 0
        self.ended = False
        self._clock = clock
        self._joined_at = joined_at
        self._end = asyncio.Event()

    @property
    def may_order(self) -> bool:
        """Whether the store still counts this entry as the controller."""
        return self._in_force(MEMBER_TIMEOUT_MS / 1000)

    @property
    def may_renew(self) -> bool:
        """Whether leases may still be renewed."""
        return self._in_force(RENEWAL_TIMEOUT_S)

    @property
    def age(self) -> float:
        """Seconds since the newest confirmed join was sent."""
        return self._clock.boot() - self._joined_at

    def confirm(self, joined_at: float) -> None:
        """Extends the term by a successful join, sent at that time."""
        self._joined_at = max(self._joined_at, joined_at)

    def end(self) -> None:
        """Ends it for good."""
        self.ended = True
        self._end.set()

    async def wait_end(self) -> None:
        """Waits until it ends."""
        await self._end.wait()

    def _in_force(self, span_s: float) -> bool:
        return not self.ended and self.age < span_s


class Candidate:
    """Takes part in the election and runs the controller while elected.

    Args:
        election: the store's choice.
        control: runs as long as a term lasts; it is cancelled with it.
        stands: whether an entry, by its name, is strong enough to control.
        clock: measures terms.
        log: takes log lines.
    """

    def __init__(
        self,
        election: Election,
        control: Callable[[Term], Awaitable[None]],
        stands: Callable[[str], bool],
        clock: Clock,
        log: EventLog,
    ):
        self._election = election
        self._control = control
        self._stands = stands
        self._joined = False
        self._without_controller_since: float | None = None
        self._clock = clock
        self._log = log
        self._generation = 0
        self._term: Term | None = None
        self._task: asyncio.Task | None = None

    @property
    def is_controller(self) -> bool:
        """Whether this entry may give orders."""
        return self._term is not None and self._term.may_order

    async def run(self) -> None:
        """Joins again and again until cancelled, and then leaves."""
        try:
            while True:
                if self._stands(self._log.node) or await self._is_needed():
                    await self._join()
                    await asyncio.sleep(JOIN_EVERY_S)
                else:
                    if self._joined:
                        await self.leave()
                    await asyncio.sleep(RESERVE_EVERY_S)
        finally:
            await self._end_term(STOPPING)

    async def leave(self) -> None:
        """Gives up control, so that another entry is elected at once."""
        await self._end_term(STOPPING)
        self._joined = False
        self._generation = 0
        with contextlib.suppress(StoreError):
            await self._election.leave()

    async def _is_needed(self) -> bool:
        """Whether a weak entry must stand, as no strong one does."""
        try:
            members = await self._election.members()
        except StoreError:
            return self._joined
        strong = any(self._stands(name) for name in members.names)
        if strong or members.controller not in (None, self._log.node):
            self._without_controller_since = None
            return False
        now = self._clock.boot()
        if self._without_controller_since is None:
            self._without_controller_since = now
        return now - self._without_controller_since >= RESERVE_S

    async def _join(self) -> None:
        sent_at = self._clock.boot()
        try:
            standing = await self._election.join(self._generation)
        except StoreError as error:
            self._log_lost_join(error)
            return
        self._joined = True
        self._generation = standing.generation
        if not standing.is_controller:
            if self._term is not None:
                await self._end_term("given_to_another")
                # The store hands the partition on at the next join only.
                await self._join()
            return
        if self._term is not None and self._term.ended:
            await self._end_term("fenced")
        if self._term is None:
            await self._begin_term(sent_at)
        else:
            self._term.confirm(sent_at)

    async def _begin_term(self, sent_at: float) -> None:
        try:
            token = await self._election.take_token()
        except StoreError as error:
            self._log_lost_join(error)
            return
        term = Term(token, self._clock, sent_at)
        self._term = term
        self._log.write(Event.ELECTED, token=token)
        self._task = asyncio.create_task(self._run_control(term))

    async def _run_control(self, term: Term) -> None:
        try:
            await self._control(term)
        except* StoreFenced:
            self._log.write(Event.TERM_ENDED, token=term.token, reason="fenced")
        except* Exception as error:
            # A fault of one term must not end the entry; the next term starts
            # from the records.
            self._log.write(Event.FAULT, where="controller", error=repr(error))
        finally:
            term.end()

    async def _end_term(self, reason: str) -> None:
        term, self._term = self._term, None
        if term is None:
            return
        term.end()
        self._log.write(Event.TERM_ENDED, token=term.token, reason=reason)
        if self._task is not None:
            await asyncio.wait([self._task], timeout=CLOSE_S)
            self._task.cancel()
            await asyncio.wait([self._task])

    def _log_lost_join(self, error: StoreError) -> None:
        term = self._term
        self._log.write(
            Event.DEPENDENCY_LOST,
            dependency="election",
            controls=term is not None,
            may_order=term.may_order if term else None,
            error=repr(error),
        )
