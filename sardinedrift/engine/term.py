"""Election of the controller and the time limits of its term."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from sardinedrift.engine.clock import Clock
from sardinedrift.engine.dependencylog import DependencyLog
from sardinedrift.engine.events import Event, EventLog
from sardinedrift.engine.exceptions import StoreError, StoreFenced
from sardinedrift.engine.model import FencingToken
from sardinedrift.engine.standby import Standby
from sardinedrift.engine.storeports import Election, JoinResult
from sardinedrift.engine.suitability import Suitability

# The store removes a member this long after its last join.
MEMBER_TIMEOUT_MS = 1200
JOIN_INTERVAL_S = 0.25
# A controller does not wait for the answer to a join before it sends the next
# one, as a lost answer would let its membership expire. This many may be in
# flight.
MAX_JOINS = 5
# A controller renews leases for this long after its last confirmed join. A
# successor that cannot reach a worker has to wait as long, unless the term was
# closed in an orderly way.
RENEWAL_TIMEOUT_S = 2.5
# Time for a controller to record the end of its term before it is cancelled.
CLOSE_TIMEOUT_S = 0.5
STOPPING = "stopping"


class Term:
    """One term of a controller.

    Args:
        token: fencing token of the term.
        clock: boot-time clock, which also runs while the system is suspended.
        join_sent_at: when the join that started the term was sent, by the
            boot-time clock.

    Attributes:
        started_at: start of the term, by the boot-time clock.
        sequence: sequence number of its next append.
        ended: the term is over: another token fenced it off, another entry
            was elected, its controller failed or this entry leaves.
    """

    def __init__(self, token: FencingToken, clock: Clock, join_sent_at: float):
        self.token = token
        self.started_at = clock.boot()
        self.sequence = 0
        self.ended = False
        self._clock = clock
        self._last_join_at = join_sent_at
        self._end = asyncio.Event()

    @property
    def may_order(self) -> bool:
        """Whether the store still regards this entry as the controller."""
        return self._is_confirmed_within(MEMBER_TIMEOUT_MS / 1000)

    @property
    def may_renew(self) -> bool:
        """Whether leases may still be renewed."""
        return self._is_confirmed_within(RENEWAL_TIMEOUT_S)

    @property
    def age(self) -> float:
        """Seconds since the newest confirmed join was sent."""
        return self._clock.boot() - self._last_join_at

    def confirm(self, join_sent_at: float) -> None:
        """Extends the term after a successful join.

        Args:
            join_sent_at: when it was sent, by the boot-time clock.
        """
        self._last_join_at = max(self._last_join_at, join_sent_at)

    def end(self) -> None:
        """Ends the term for good."""
        self.ended = True
        self._end.set()

    async def wait_end(self) -> None:
        """Waits until the term ends."""
        await self._end.wait()

    def _is_confirmed_within(self, timeout_s: float) -> bool:
        return not self.ended and self.age < timeout_s


class Candidate:
    """Takes part in the election and runs the controller while elected.

    Args:
        election: the election, held by the store.
        run_controller: runs the controller for a term; cancelled when the
            term ends.
        suitability: compares the entries.
        clock: boot-time clock that terms are measured with.
        log: receives log lines.
    """

    def __init__(
        self,
        election: Election,
        run_controller: Callable[[Term], Awaitable[None]],
        suitability: Suitability,
        clock: Clock,
        log: EventLog,
    ):
        self._election = election
        self._run_controller = run_controller
        self._standby = Standby(election, log.node, suitability, clock)
        self._suitability = suitability
        self._joined = False
        self._clock = clock
        self._log = log
        self._store_log = DependencyLog(log, "election")
        self._generation = 0
        self._term: Term | None = None
        self._task: asyncio.Task | None = None
        self._joins: set[asyncio.Task] = set()
        self._ending = asyncio.Lock()

    @property
    def is_controller(self) -> bool:
        """Whether this entry is the controller and may send orders."""
        return self._term is not None and self._term.may_order

    async def run(self) -> None:
        """Joins the election at intervals; ends the term when cancelled."""
        try:
            while True:
                try:
                    await self._take_part()
                except StoreError as error:
                    self._log_store_error(error)
                interval_s = (
                    JOIN_INTERVAL_S
                    if self._joined
                    else self._standby.check_interval_s
                )
                await asyncio.sleep(interval_s)
        finally:
            await self._end_term(STOPPING)
            self._cancel_joins()

    async def leave(self, reason: str = STOPPING) -> None:
        """Ends the term and leaves, so that another entry is elected at once.

        Errors of the store are ignored: it removes the member after
        `MEMBER_TIMEOUT_MS` anyway.

        Args:
            reason: why the term ends, for the log.
        """
        await self._end_term(reason)
        self._cancel_joins()
        self._joined = False
        self._generation = 0
        with contextlib.suppress(StoreError):
            await self._election.leave()

    async def _take_part(self) -> None:
        """Joins or leaves the election, if this entry has to.

        Raises:
            StoreError: it is not known who controls.
        """
        if self._joined and await self._is_displaced():
            await self.leave("given_to_another")
        elif self.is_controller:
            self._join_soon()
        elif self._joined or await self._standby.should_join():
            await self._join()

    async def _is_displaced(self) -> bool:
        """Whether another member controls, or is more suitable to.

        A controller whose membership may have expired has to find out before it
        joins again, as the store would give control back to it.

        Raises:
            StoreError: it may be, but the store does not answer.
        """
        controls = self.is_controller
        if controls and self._suitability.is_eligible(self._log.node):
            return False
        try:
            return await self._standby.should_leave()
        except StoreError:
            if controls:
                return False
            raise

    def _join_soon(self) -> None:
        """Joins again, without waiting for the answers to earlier joins."""
        if len(self._joins) >= MAX_JOINS:
            return
        task = asyncio.create_task(self._renew_membership(self._term))
        self._joins.add(task)
        task.add_done_callback(self._on_join_done)

    def _on_join_done(self, task: asyncio.Task) -> None:
        self._joins.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self._log.write(Event.FAULT, where="join", error=repr(error))

    async def _renew_membership(self, term: Term) -> None:
        """Joins again, and extends the term if it is still the current one."""
        sent_at = self._clock.boot()
        result = await self._send_join()
        if result is None or self._term is not term:
            return
        if result.is_controller:
            term.confirm(sent_at)
            return
        await self._end_term("given_to_another")
        # The store reassigns the partition only at the next join.
        await self._send_join()

    def _cancel_joins(self) -> None:
        """Cancels the joins in flight, which must not follow a leave."""
        for task in self._joins:
            task.cancel()

    async def _join(self) -> None:
        sent_at = self._clock.boot()
        result = await self._send_join()
        if result is None:
            return
        self._joined = True
        if not result.is_controller:
            if self._term is not None:
                await self._end_term("given_to_another")
                # The store reassigns the partition only at the next join.
                await self._join()
            return
        if self._term is not None and self._term.ended:
            await self._end_term("fenced")
        if self._term is None:
            await self._begin_term(sent_at)
        else:
            self._term.confirm(sent_at)

    async def _send_join(self) -> JoinResult | None:
        """Joins; returns the result, or None if the answer is lost or stale."""
        try:
            result = await self._election.join(self._generation)
        except StoreError as error:
            self._log_store_error(error)
            return None
        self._store_log.record_success()
        if result.generation < self._generation:
            return None
        self._generation = result.generation
        return result

    async def _begin_term(self, sent_at: float) -> None:
        # The term before this one may still be closing.
        async with self._ending:
            try:
                token = await self._election.take_token()
            except StoreError as error:
                self._log_store_error(error)
                return
            term = Term(token, self._clock, sent_at)
            self._term = term
            self._log.write(Event.ELECTED, token=token)
            self._task = asyncio.create_task(self._run_term(term))

    async def _run_term(self, term: Term) -> None:
        try:
            await self._run_controller(term)
        except* StoreFenced:
            self._log.write(Event.TERM_ENDED, token=term.token, reason="fenced")
        except* Exception as error:
            # An error in one term must not end the process; the next term
            # starts from the stored records.
            self._log.write(Event.FAULT, where="controller", error=repr(error))
        finally:
            term.end()

    async def _end_term(self, reason: str) -> None:
        """Ends the term, if there is one, and waits until it is closed."""
        async with self._ending:
            term, self._term = self._term, None
            if term is None:
                return
            term.end()
            self._log.write(Event.TERM_ENDED, token=term.token, reason=reason)
            if self._task is not None:
                await asyncio.wait([self._task], timeout=CLOSE_TIMEOUT_S)
                self._task.cancel()
                await asyncio.wait([self._task])

    def _log_store_error(self, error: StoreError) -> None:
        term = self._term
        self._store_log.record_loss(
            error,
            controls=term is not None,
            may_order=term.may_order if term else None,
        )
