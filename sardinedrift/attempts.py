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

# Time for an answer that the minion gives at its run deadline to arrive.
ANSWER_GRACE_SECONDS = 2.0
# A claim that takes longer must not keep a slot from other work.
EARLY_SECONDS = 0.02
_SLEEP_STEP_SECONDS = 1.0
# The request ran too long; this says nothing about the minion.
_DEADLINE_STATUS = 504


class GrantDeclinedError(SardinedriftError):
    """The granted slot was given back before anything was sent."""


class Attempt:
    """The state of one attempt as its request sees it.

    Attributes:
        sent: bytes may have reached a minion and nothing proves otherwise.
        asked_unit: the turn for a unit, given by `Limits.wait`, is used.
        instance_id: the granted minion.
        early: the ask for a slot, when it began before the attempt.
        began: unix time of the ask for a slot, or 0.
    """

    def __init__(self) -> None:
        self.early: asyncio.Task[SlotReply] | None = None
        self.began = 0.0
        self.sent = False
        self.asked_unit = False
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
        """How many attempts still hold or wait for a slot."""
        return len(self._tasks)

    async def begin_early(self, admitted: Admitted) -> Attempt | None:
        """Takes a turn for a unit and asks for a slot, ahead of `run`.

        The attempt goes to `run` or to `give_back`. None: no unit is free at
        once, or the slot is not asked of another entry.
        """
        queue = admitted.queue
        if not self._slots.scheduled_elsewhere(queue.pool_id):
            return None
        # Returns at once, as the deadline has come.
        now = self._clock.now()
        if not await self._limits.wait(admitted.team_id, now):
            return None
        attempt = Attempt()
        attempt.began = now
        attempt.early = self._slots.ask_early(
            queue.pool_id, admitted.team_id, queue.work_class, admitted.deadline
        )
        return attempt

    def give_back(self, attempt: Attempt, team_id: TeamId) -> None:
        """Gives back the slot and the turn that an attempt has not used."""
        if attempt.early is not None:
            self._slots.give_up(attempt.early)
            attempt.early = None
        if attempt.asked_unit:
            return
        attempt.asked_unit = True
        # Lets the next request ask for the unit that was not needed.
        if self._limits.try_acquire(team_id):
            self._limits.release(team_id)

    async def run(
        self,
        attempt: Attempt,
        admitted: Admitted,
        avoid: Sequence[InstanceId],
    ) -> Answer:
        """Runs one attempt and returns the minion's answer.

        `Limits.wait` has allowed the attempt to ask for one unit. When the
        caller of this method is cancelled, an attempt that has not sent
        anything ends without sending.

        Raises:
            AdmissionError: there is no slot.
            GrantDeclinedError: the slot could not be used; not run.
            MinionError: sending failed.
        """
        task = asyncio.create_task(self._run(attempt, admitted, avoid))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # A callback also runs for a task cancelled before its first step.
        task.add_done_callback(
            lambda _: self.give_back(attempt, admitted.team_id)
        )
        try:
            return await attempt.result
        except asyncio.CancelledError:
            if not attempt.sent:
                task.cancel()
            raise

    async def drained(self) -> None:
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
        except Exception as error:  # handed to the request, which raises it
            if not attempt.result.done():
                attempt.result.set_exception(error)

    async def _run_in_slot(
        self,
        attempt: Attempt,
        admitted: Admitted,
        avoid: Sequence[InstanceId],
    ) -> None:
        queue = admitted.queue
        began = attempt.began or self._clock.now()
        early, attempt.early = attempt.early, None
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
            waited = self._clock.now() - began
            self._observer.waited(queue.work_class, waited)
            with (
                self._unit(attempt, admitted.team_id),
                self._observer.running(admitted.team_id),
            ):
                await self._send(attempt, admitted, reply.address)

    def _check_grant(self, reply: SlotReply) -> HeldGrant:
        """Refuses a grant that this entry must not use any more.

        The check and the send are not separated by a suspension, so a drain
        acknowledged after this entry's last slot is never followed by work.
        """
        if reply.grant is None:
            raise _no_slot(reply.code)
        tables = self._follower.state.tables
        entry = tables.entry_by_id.get(self._identity.entry_id)
        if entry is None or entry.state is not EntryState.ACTIVE:
            raise GrantDeclinedError("this entry is no member")
        instance = tables.instance_by_id.get(reply.grant.instance_id)
        if instance is None or instance.state is not InstanceState.ACTIVE:
            raise GrantDeclinedError("the instance is draining")
        if instance.pool_id != reply.grant.pool_id:
            raise GrantDeclinedError("the instance is in another pool")
        return reply.grant

    @contextlib.contextmanager
    def _unit(self, attempt: Attempt, team_id: TeamId) -> Iterator[None]:
        attempt.asked_unit = True
        if not self._limits.try_acquire(team_id):
            raise GrantDeclinedError("no allowance unit is free")
        try:
            yield
        finally:
            self._limits.release(team_id)

    async def _send(
        self, attempt: Attempt, admitted: Admitted, address: str
    ) -> None:
        now = self._clock.now()
        if now >= admitted.deadline:
            raise _no_slot("deadline")
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
            await self._keep(attempt, dispatch, error)
            raise
        except MinionError:
            attempt.sent = False
            raise
        except Exception as error:
            unknown = OutcomeUnknown(f"sending failed: {error!r}")
            await self._keep(attempt, dispatch, unknown)
            raise unknown from error
        if not attempt.result.done():
            attempt.result.set_result(answer)
        if answer.status >= 500 and answer.status != _DEADLINE_STATUS:
            raise FailedAnswer(f"answered with status {answer.status}")

    async def _keep(
        self, attempt: Attempt, dispatch: Dispatch, error: OutcomeUnknown
    ) -> None:
        """Answers the request, and holds on until the run has ended."""
        if not attempt.result.done():
            attempt.result.set_exception(error)
        await _sleep_until(
            self._clock, dispatch.run_deadline + CLOCK_ERROR_SECONDS
        )


async def _sleep_until(clock: Clock, time: float) -> None:
    while True:
        left = time - clock.now()
        if left <= 0:
            return
        await asyncio.sleep(min(left, _SLEEP_STEP_SECONDS))


_TEXT_BY_CODE = {
    "deadline": ("no slot was free before the deadline; send later", 503),
    "no_endpoint": ("the pool has no usable endpoint; send later", 503),
    "queue_full": ("too many requests are waiting; send later", 429),
}


def _no_slot(code: str) -> AdmissionError:
    text, status = _TEXT_BY_CODE.get(code, ("no slot; send later", 503))
    name = "no_slot_before_deadline" if code == "deadline" else code
    return AdmissionError(name or "no_slot", text, status, Outcome.NOT_RUN)
