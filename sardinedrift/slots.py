"""Asks the schedulers of pools for slots and keeps the held ones."""

import asyncio
import collections
import contextlib
import uuid
from collections.abc import (
    AsyncIterator,
    Coroutine,
    Iterator,
    Mapping,
    Sequence,
)

import msgspec

from sardinedrift.exceptions import (
    FailedAnswer,
    MinionError,
    PeerError,
    RefusedBeforeStart,
)
from sardinedrift.identifiers import (
    EntryId,
    GrantId,
    Identity,
    InstanceId,
    PoolId,
    TeamId,
    WorkClass,
)
from sardinedrift.messages import (
    Acknowledged,
    HeldGrant,
    SlotRelease,
    SlotReply,
    SlotRequest,
)
from sardinedrift.peers import Peers
from sardinedrift.ports import Clock
from sardinedrift.scheduler import Scheduler

# Pauses before the same scheduler is asked again after an error. They grow,
# as all waiting requests ask again while a dead scheduler is still listed.
ASK_AGAIN_SECONDS = 0.05
LONGEST_PAUSE_SECONDS = 0.4
# After these tries the exchange frees the slot, as it is no longer listed.
RELEASE_TRIES = 10
RELEASE_CALL_SECONDS = 1.0
# A change of the scheduler is noticed at most this much later.
FIRST_WAIT_SECONDS = 0.02
# Time for the reply "deadline" of the scheduler to arrive.
REPLY_GRACE_SECONDS = 0.5


class Slots:
    """The slots this entry holds and asks for.

    Args:
        identity: this entry.
        peers: finds and calls the schedulers of other entries.
        schedulers: the local scheduler of each pool.
        clock: source of the time.
    """

    def __init__(
        self,
        identity: Identity,
        peers: Peers,
        schedulers: Mapping[PoolId, Scheduler],
        clock: Clock,
    ):
        self._identity = identity
        self._peers = peers
        self._schedulers = schedulers
        self._clock = clock
        self._grant_by_id: dict[GrantId, HeldGrant] = {}
        self._tasks: set[asyncio.Task] = set()

    def held_grants_by_pool(self) -> dict[PoolId, list[HeldGrant]]:
        """Returns the held grants of each pool."""
        grants_by_pool = collections.defaultdict(list)
        for grant in self._grant_by_id.values():
            grants_by_pool[grant.pool_id].append(grant)
        return dict(grants_by_pool)

    def holds(self, instance_id: InstanceId) -> bool:
        """Tells whether any slot of an instance is held."""
        return any(
            grant.instance_id == instance_id
            for grant in self._grant_by_id.values()
        )

    @contextlib.asynccontextmanager
    async def acquire(
        self,
        pool_id: PoolId,
        team_id: TeamId,
        work_class: WorkClass,
        deadline: float,
        avoid: Sequence[InstanceId] = (),
        early: asyncio.Task[SlotReply] | None = None,
    ) -> AsyncIterator[SlotReply]:
        """Yields the scheduler's reply and holds its slot for the block.

        A minion error that leaves the block is reported to the scheduler.
        With `early`, the reply is that of an ask started by `ask_early`.
        """
        if early is None:
            ask = self._new_ask(pool_id, team_id, work_class, deadline, avoid)
            reply = await self._reply(ask)
        else:
            reply = await self._reply_to_early(early)
        if reply.grant is None:
            yield reply
            return
        with self._held(reply.grant):
            yield reply

    def scheduled_elsewhere(self, pool_id: PoolId) -> bool:
        """Tells whether another entry schedules a pool."""
        scheduler = self._peers.scheduler(pool_id)
        return scheduler not in (None, self._identity.entry_id)

    def ask_early(
        self,
        pool_id: PoolId,
        team_id: TeamId,
        work_class: WorkClass,
        deadline: float,
    ) -> asyncio.Task[SlotReply]:
        """Starts to ask for a slot that may turn out not to be needed.

        The task goes to `acquire` or to `give_up`.
        """
        ask = self._new_ask(pool_id, team_id, work_class, deadline, ())
        return self._spawn(self._reply(ask))

    def give_up(self, early: asyncio.Task[SlotReply]) -> None:
        """Ends an early ask and gives back its slot, which was not used."""
        if early.done():
            self._release_abandoned(early)
        else:
            early.cancel()

    async def _reply_to_early(
        self, early: asyncio.Task[SlotReply]
    ) -> SlotReply:
        try:
            return await early
        except asyncio.CancelledError:
            # The reply may have come in the same step.
            self.give_up(early)
            raise

    async def flush(self) -> None:
        """Waits until every release is delivered or given up."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    @contextlib.contextmanager
    def _held(self, grant: HeldGrant) -> Iterator[None]:
        """Lists a grant as held, and releases it once with the verdict."""
        self._grant_by_id[grant.grant_id] = grant
        verdict: dict[str, bool] = {}
        try:
            yield
        except MinionError as error:
            verdict = _verdict(error)
            raise
        finally:
            del self._grant_by_id[grant.grant_id]
            self._release(grant, **verdict)

    def _new_ask(
        self,
        pool_id: PoolId,
        team_id: TeamId,
        work_class: WorkClass,
        deadline: float,
        avoid: Sequence[InstanceId],
    ) -> SlotRequest:
        return SlotRequest(
            ask_id=_new_ask_id(),
            entry_id=self._identity.entry_id,
            pool_id=pool_id,
            team_id=team_id,
            work_class=work_class,
            deadline=deadline,
            avoid=list(avoid),
        )

    async def _reply(self, ask: SlotRequest) -> SlotReply:
        """Asks until a scheduler grants or refuses."""
        asked: EntryId | None = None
        pause = ASK_AGAIN_SECONDS
        while self._clock.now() < ask.deadline:
            scheduler = self._peers.scheduler(ask.pool_id)
            if asked not in (None, scheduler):
                # The old scheduler may still grant the old ask.
                ask = msgspec.structs.replace(ask, ask_id=_new_ask_id())
                pause = ASK_AGAIN_SECONDS
            asked = scheduler
            if scheduler is not None:
                reply = await self._reply_while_scheduler(scheduler, ask)
                if reply is not None:
                    return reply
            await self._pause(ask.deadline, pause)
            pause = min(2 * pause, LONGEST_PAUSE_SECONDS)
        return SlotReply(code="deadline")

    async def _reply_while_scheduler(
        self, scheduler: EntryId, ask: SlotRequest
    ) -> SlotReply | None:
        """Returns the reply, or None when the scheduler must be asked again.

        The ask is a task of its own, so that its grant is not lost when the
        request gives up or the scheduler changes.
        """
        if scheduler == self._identity.entry_id:
            reply = self._schedulers[ask.pool_id].try_acquire(ask)
            if reply is not None:
                return None if reply.code == "not_scheduler" else reply
        task = self._spawn(self._ask(scheduler, ask))
        try:
            # Most replies come at once, before a change is worth a task.
            await asyncio.wait({task}, timeout=FIRST_WAIT_SECONDS)
            while not task.done():
                if not await self._done_or_changed(task, scheduler, ask):
                    break
        except asyncio.CancelledError:
            self._abandon(task)
            if not task.done():
                self._withdraw(ask)
            raise
        if not task.done():
            self._abandon(task)
            return None
        return task.result()

    async def _done_or_changed(
        self, task: asyncio.Task, scheduler: EntryId, ask: SlotRequest
    ) -> bool:
        """Waits for the reply or a change; False when asking is over."""
        changed = asyncio.create_task(self._peers.changed())
        try:
            # The wait begins before the check, so that no change is missed,
            # neither one since the ask nor one right after the check.
            await asyncio.sleep(0)
            if self._peers.scheduler(ask.pool_id) != scheduler:
                return False
            left = ask.deadline + REPLY_GRACE_SECONDS - self._clock.now()
            await asyncio.wait(
                {task, changed},
                timeout=max(left, 0.0) + ASK_AGAIN_SECONDS,
                return_when=asyncio.FIRST_COMPLETED,
            )
            return self._clock.now() <= ask.deadline + REPLY_GRACE_SECONDS
        finally:
            changed.cancel()

    async def _ask(
        self, scheduler: EntryId, ask: SlotRequest
    ) -> SlotReply | None:
        if scheduler == self._identity.entry_id:
            reply = await self._schedulers[ask.pool_id].acquire(ask)
        else:
            try:
                reply = await self._peers.call(
                    scheduler,
                    "/peer/slots",
                    ask,
                    SlotReply,
                    ask.deadline + REPLY_GRACE_SECONDS,
                )
            except PeerError:
                return None
        return None if reply.code == "not_scheduler" else reply

    def _abandon(self, task: asyncio.Task) -> None:
        """Releases the grant of an ask whose request no longer waits."""
        task.add_done_callback(self._release_abandoned)

    def _release_abandoned(self, task: asyncio.Task) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        reply = task.result()
        if reply is not None and reply.grant is not None:
            self._release(reply.grant, unused=True)

    def _withdraw(self, ask: SlotRequest) -> None:
        """Gives up the place of an ask, whose id is that of its grant."""
        self._send(
            SlotRelease(
                entry_id=self._identity.entry_id,
                grant_id=ask.ask_id,
                pool_id=ask.pool_id,
                instance_id=InstanceId(""),
                unused=True,
            )
        )

    def _release(self, grant: HeldGrant, **verdict: bool) -> None:
        self._send(
            SlotRelease(
                entry_id=self._identity.entry_id,
                grant_id=grant.grant_id,
                pool_id=grant.pool_id,
                instance_id=grant.instance_id,
                **verdict,
            )
        )

    def _send(self, release: SlotRelease) -> None:
        scheduler = self._peers.scheduler(release.pool_id)
        if scheduler == self._identity.entry_id:
            self._schedulers[release.pool_id].release(release)
        else:
            self._spawn(self._deliver(release))

    async def _deliver(self, release: SlotRelease) -> None:
        for _ in range(RELEASE_TRIES):
            if await self._delivered(release):
                return
            await asyncio.sleep(ASK_AGAIN_SECONDS)

    async def _delivered(self, release: SlotRelease) -> bool:
        scheduler = self._peers.scheduler(release.pool_id)
        if scheduler is None:
            return False
        if scheduler == self._identity.entry_id:
            self._schedulers[release.pool_id].release(release)
            return True
        deadline = self._clock.now() + RELEASE_CALL_SECONDS
        try:
            await self._peers.call(
                scheduler, "/peer/release", release, Acknowledged, deadline
            )
        except PeerError:
            return False
        return True

    async def _pause(self, deadline: float, seconds: float) -> None:
        """Waits for a change among the peers, at most for some seconds."""
        left = max(deadline - self._clock.now(), 0.0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(left, seconds)):
                await self._peers.changed()

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _verdict(error: MinionError) -> dict[str, bool]:
    """Returns what a release says of the minion after an error."""
    if isinstance(error, RefusedBeforeStart) and not error.draining:
        return {"busy": True}
    if isinstance(error, FailedAnswer):
        return {"failed_answer": True}
    return {"failed": True}


def _new_ask_id() -> GrantId:
    return GrantId(uuid.uuid4().hex)
