"""One attempt to run a request: slot, allowance unit, send, release."""

import asyncio
import contextlib
import uuid
from collections.abc import Iterator, Sequence

from sardinedrift.admission import Admitted
from sardinedrift.exceptions import (
    AdmissionError,
    FailedAnswer,
    MinionError,
    OutcomeUnknown,
    SardinedriftError,
)
from sardinedrift.follower import Follower
from sardinedrift.identifiers import (
    EntryState,
    Identity,
    InstanceId,
    InstanceState,
    Outcome,
    TeamId,
)
from sardinedrift.limits import Limits
from sardinedrift.membership import CLOCK_ERROR_SECONDS
from sardinedrift.messages import HeldGrant, SlotReply
from sardinedrift.ports import Answer, Clock, Dispatch, MinionPort
from sardinedrift.recorder import RequestObserver
from sardinedrift.slots import Slots

# Extra time after the run deadline, in which an answer that the minion gives
# at the deadline can still arrive.
ANSWER_GRACE_SECONDS = 2.0
# A slot that waits longer than this for its claim is given back, so that a
# slow owner of the id does not keep it from other requests.
EARLY_SLOT_TIMEOUT_SECONDS = 0.02
_MAX_SLEEP_SECONDS = 1.0
# A minion's answer when a request reaches its run deadline; it does not count
# as a failure of the minion.
_RUN_DEADLINE_STATUS = 504


class GrantDeclinedError(SardinedriftError):
    """The granted slot could not be used; nothing was sent to the minion."""


class Attempt:
    """The state of one attempt, shared with its request.

    Attributes:
        early_slot: task of a slot request made before the attempt runs.
        slot_requested_at: unix seconds of that slot request, or 0.
        sent: whether a minion may have received the request; reset once it
            is proved not to have run.
        unit_turn_used: the turn for a unit, given by `Limits.wait`, is used.
        instance_id: the granted minion.
        result: the answer or the error of the attempt.
    """

    def __init__(self) -> None:
        self.early_slot: asyncio.Task[SlotReply] | None = None
        self.slot_requested_at = 0.0
        self.sent = False
        self.unit_turn_used = False
        self.instance_id: InstanceId | None = None
        self.result: asyncio.Future[Answer] = (
            asyncio.get_running_loop().create_future()
        )


class Attempts:
    """Runs attempts, each as a task that may outlive its request.

    A minion may still be running a request whose caller has gone or whose
    connection broke. The task keeps slot and unit until the minion has
    answered or the run deadline has passed, so that a team never has more
    running than its limit.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        slots: Slots,
        limits: Limits,
        minions: MinionPort,
        clock: Clock,
        observer: RequestObserver,
    ):
        self._identity = identity
        self._follower = follower
        self._slots = slots
        self._limits = limits
        self._minions = minions
        self._clock = clock
        self._observer = observer
        self._tasks: set[asyncio.Task] = set()

    @property
    def in_progress(self) -> int:
        """Number of attempts that hold or wait for a slot."""
        return len(self._tasks)

    async def begin_early(self, admitted: Admitted) -> Attempt | None:
        """Takes a turn for a unit and requests a slot, ahead of `run`.

        Returns:
            The attempt, to be passed to `run` or `release_unused`, or None
            if no unit is free at once or no other entry schedules the pool.
        """
        queue = admitted.queue
        if not self._slots.is_scheduled_elsewhere(queue.pool_id):
            return None
        # With the current time as deadline, this returns without waiting.
        now = self._clock.now()
        if not await self._limits.wait(admitted.team_id, now):
            return None
        attempt = Attempt()
        attempt.slot_requested_at = now
        attempt.early_slot = self._slots.request_early(
            queue.pool_id, admitted.team_id, queue.work_class, admitted.deadline
        )
        return attempt

    def release_unused(self, attempt: Attempt, team_id: TeamId) -> None:
        """Releases the slot and the unit turn that an attempt has not used."""
        if attempt.early_slot is not None:
            self._slots.cancel_early_request(attempt.early_slot)
            attempt.early_slot = None
        if attempt.unit_turn_used:
            return
        attempt.unit_turn_used = True
        # Passes the unused turn on to the next waiting request.
        if self._limits.try_acquire(team_id):
            self._limits.release(team_id)

    async def run(
        self,
        attempt: Attempt,
        admitted: Admitted,
        avoid: Sequence[InstanceId],
    ) -> Answer:
        """Runs one attempt and returns the minion's answer.

        The caller has obtained a turn for a unit from `Limits.wait`. When the
        caller is cancelled, an attempt that has not yet sent the request ends
        without sending it.

        Args:
            attempt: a new attempt, or one returned by `begin_early`.
            admitted: the request.
            avoid: instances not to be granted.

        Raises:
            AdmissionError: no slot was granted.
            GrantDeclinedError: the granted slot could not be used; the
                request was not run.
            MinionError: sending failed.
        """
        task = asyncio.create_task(self._run(attempt, admitted, avoid))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # Unlike a `finally` in the task, a callback also runs when the task
        # is cancelled before its first step.
        task.add_done_callback(
            lambda _: self.release_unused(attempt, admitted.team_id)
        )
        try:
            return await attempt.result
        except asyncio.CancelledError:
            if not attempt.sent:
                task.cancel()
            raise

    async def wait_until_idle(self) -> None:
        """Waits until no attempt is in progress."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _run(
        self,
        attempt: Attempt,
        admitted: Admitted,
        avoid: Sequence[InstanceId],
    ) -> None:
        try:
            await self._run_in_slot(attempt, admitted, avoid)
        except Exception as error:  # passed to the request, which raises it
            if not attempt.result.done():
                attempt.result.set_exception(error)

    async def _run_in_slot(
        self,
        attempt: Attempt,
        admitted: Admitted,
        avoid: Sequence[InstanceId],
    ) -> None:
        queue = admitted.queue
        slot_requested_at = attempt.slot_requested_at or self._clock.now()
        early, attempt.early_slot = attempt.early_slot, None
        async with self._slots.acquire(
            queue.pool_id,
            admitted.team_id,
            queue.work_class,
            admitted.deadline,
            avoid,
            early,
        ) as reply:
            grant = self._check_grant(reply)
            attempt.instance_id = grant.instance_id
            waited = self._clock.now() - slot_requested_at
            self._observer.waited(queue.work_class, waited)
            with (
                self._allowance_unit(attempt, admitted.team_id),
                self._observer.running(admitted.team_id),
            ):
                await self._send(attempt, admitted, reply.address)

    def _check_grant(self, reply: SlotReply) -> HeldGrant:
        """Declines a grant that this entry must no longer use.

        No await separates this check from the send. Once this entry has
        acknowledged the drain of an instance, which it does after releasing
        its last slot there, it therefore sends no more work to it.
        """
        if reply.grant is None:
            raise _no_slot_error(reply.code)
        tables = self._follower.state.tables
        entry = tables.entry_by_id.get(self._identity.entry_id)
        if entry is None or entry.state is not EntryState.ACTIVE:
            raise GrantDeclinedError("this entry is not an active member")
        instance = tables.instance_by_id.get(reply.grant.instance_id)
        if instance is None or instance.state is not InstanceState.ACTIVE:
            raise GrantDeclinedError("the granted instance is not active")
        if instance.pool_id != reply.grant.pool_id:
            raise GrantDeclinedError("the granted instance changed its pool")
        return reply.grant

    @contextlib.contextmanager
    def _allowance_unit(
        self, attempt: Attempt, team_id: TeamId
    ) -> Iterator[None]:
        attempt.unit_turn_used = True
        if not self._limits.try_acquire(team_id):
            raise GrantDeclinedError("the team has no free allowance unit")
        try:
            yield
        finally:
            self._limits.release(team_id)

    async def _send(
        self, attempt: Attempt, admitted: Admitted, address: str
    ) -> None:
        now = self._clock.now()
        if now >= admitted.deadline:
            raise _no_slot_error("deadline")
        dispatch = Dispatch(
            dispatch_id=uuid.uuid4().hex,
            request_id=admitted.request_id,
            team_id=admitted.team_id,
            run_deadline=min(
                now + admitted.queue.max_run_seconds,
                admitted.run_deadline_bound,
            ),
            idempotent=admitted.queue.idempotent,
            body=admitted.body,
            content_type=admitted.content_type,
        )
        attempt.sent = True
        try:
            async with asyncio.timeout(
                dispatch.run_deadline - now + ANSWER_GRACE_SECONDS
            ):
                answer = await self._minions.send(address, dispatch)
        except OutcomeUnknown as error:
            await self._hold_until_run_end(attempt, dispatch, error)
            raise
        except MinionError:
            attempt.sent = False
            raise
        except Exception as error:
            unknown = OutcomeUnknown(f"sending failed: {error!r}")
            await self._hold_until_run_end(attempt, dispatch, unknown)
            raise unknown from error
        if not attempt.result.done():
            attempt.result.set_result(answer)
        if answer.status >= 500 and answer.status != _RUN_DEADLINE_STATUS:
            raise FailedAnswer(f"answered with status {answer.status}")

    async def _hold_until_run_end(
        self, attempt: Attempt, dispatch: Dispatch, error: OutcomeUnknown
    ) -> None:
        """Fails the request; holds slot and unit until the run has ended."""
        if not attempt.result.done():
            attempt.result.set_exception(error)
        await _sleep_until(
            self._clock, dispatch.run_deadline + CLOCK_ERROR_SECONDS
        )


async def _sleep_until(clock: Clock, time: float) -> None:
    while True:
        remaining = time - clock.now()
        if remaining <= 0:
            return
        await asyncio.sleep(min(remaining, _MAX_SLEEP_SECONDS))


_TEXT_BY_CODE = {
    "deadline": ("no slot was free before the deadline; send later", 503),
    "no_endpoint": ("the pool has no usable endpoint; send later", 503),
    "queue_full": ("too many requests are waiting; send later", 429),
}


def _no_slot_error(code: str) -> AdmissionError:
    text, status = _TEXT_BY_CODE.get(code, ("no slot; send later", 503))
    name = "no_slot_before_deadline" if code == "deadline" else code
    return AdmissionError(name or "no_slot", text, status, Outcome.NOT_RUN)
