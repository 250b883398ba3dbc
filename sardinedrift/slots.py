"""Requests slots from the schedulers of pools and releases them after use."""

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

# Delays before a scheduler that failed is asked again. They double, because
# all waiting requests ask again while a dead scheduler is still listed.
RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 0.4
# When no release is delivered, the exchange frees the slot instead, as this
# entry no longer lists it as held.
MAX_RELEASE_ATTEMPTS = 10
RELEASE_TIMEOUT_SECONDS = 1.0
# Wait for a reply before changes of the scheduler are watched; it delays the
# detection of a change by at most this time.
INITIAL_REPLY_WAIT_SECONDS = 0.02
# Extra time for the scheduler's reply "deadline" to arrive.
REPLY_GRACE_SECONDS = 0.5


class Slots:
    """Requests, holds and releases the slots of this entry.

    Args:
        identity: this entry.
        peers: finds the scheduler of a pool and calls other entries.
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
        """Returns the held grants by pool."""
        grants_by_pool = collections.defaultdict(list)
        for grant in self._grant_by_id.values():
            grants_by_pool[grant.pool_id].append(grant)
        return dict(grants_by_pool)

    def holds(self, instance_id: InstanceId) -> bool:
        """Returns whether a slot of an instance is held."""
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
        """Yields the scheduler's reply and holds its slot inside the block.

        A `MinionError` raised in the block is reported to the scheduler.

        Args:
            pool_id: the pool.
            team_id: team of the request.
            work_class: work class of the request.
            deadline: unix seconds until which to wait for a slot.
            avoid: instances not to be granted.
            early: a task of `request_early` whose reply is used instead of a
                new slot request.

        Yields:
            The reply; without a grant, its code says why.
        """
        if early is None:
            request = self._new_request(
                pool_id, team_id, work_class, deadline, avoid
            )
            reply = await self._request_slot(request)
        else:
            reply = await self._await_early_reply(early)
        if reply.grant is None:
            yield reply
            return
        with self._holding(reply.grant):
            yield reply

    def is_scheduled_elsewhere(self, pool_id: PoolId) -> bool:
        """Returns whether another entry schedules a pool."""
        scheduler = self._peers.scheduler(pool_id)
        return scheduler not in (None, self._identity.entry_id)

    def request_early(
        self,
        pool_id: PoolId,
        team_id: TeamId,
        work_class: WorkClass,
        deadline: float,
    ) -> asyncio.Task[SlotReply]:
        """Starts a request for a slot that may not be needed.

        The returned task must be passed to `acquire` or `cancel_early_request`.
        """
        request = self._new_request(pool_id, team_id, work_class, deadline, ())
        return self._spawn(self._request_slot(request))

    def cancel_early_request(self, early: asyncio.Task[SlotReply]) -> None:
        """Ends an early request and releases its slot as unused."""
        if early.done():
            self._release_unused(early)
        else:
            early.cancel()

    async def _await_early_reply(
        self, early: asyncio.Task[SlotReply]
    ) -> SlotReply:
        try:
            return await early
        except asyncio.CancelledError:
            # The reply may have arrived in the same step of the event loop.
            self.cancel_early_request(early)
            raise

    async def flush(self) -> None:
        """Waits until no slot request or release is in progress."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    @contextlib.contextmanager
    def _holding(self, grant: HeldGrant) -> Iterator[None]:
        """Lists a grant as held inside the block, then releases it once."""
        self._grant_by_id[grant.grant_id] = grant
        flags: dict[str, bool] = {}
        try:
            yield
        except MinionError as error:
            flags = _release_flags(error)
            raise
        finally:
            del self._grant_by_id[grant.grant_id]
            self._release(grant, **flags)

    def _new_request(
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

    async def _request_slot(self, request: SlotRequest) -> SlotReply:
        """Requests a slot until a scheduler replies or the deadline passes."""
        asked_scheduler: EntryId | None = None
        pause = RETRY_DELAY_SECONDS
        while self._clock.now() < request.deadline:
            scheduler = self._peers.scheduler(request.pool_id)
            if asked_scheduler not in (None, scheduler):
                # The previous scheduler may still grant the previous request,
                # so the next scheduler gets one with a new id.
                request = msgspec.structs.replace(request, ask_id=_new_ask_id())
                pause = RETRY_DELAY_SECONDS
            asked_scheduler = scheduler
            if scheduler is not None:
                reply = await self._ask_scheduler(scheduler, request)
                if reply is not None:
                    return reply
            await self._wait_for_peer_change(request.deadline, pause)
            pause = min(2 * pause, MAX_RETRY_DELAY_SECONDS)
        return SlotReply(code="deadline")

    async def _ask_scheduler(
        self, scheduler: EntryId, request: SlotRequest
    ) -> SlotReply | None:
        """Returns the reply, or None if a scheduler must be asked again.

        The call runs in a task of its own, so that its grant can still be
        released after the caller is cancelled or the scheduler changes.
        """
        if scheduler == self._identity.entry_id:
            reply = self._schedulers[request.pool_id].try_acquire(request)
            if reply is not None:
                return None if reply.code == "not_scheduler" else reply
        task = self._spawn(self._call_scheduler(scheduler, request))
        try:
            # Most replies arrive within this wait; they need no second task
            # that watches for a change.
            await asyncio.wait({task}, timeout=INITIAL_REPLY_WAIT_SECONDS)
            while not task.done():
                if not await self._wait_for_reply_or_change(
                    task, scheduler, request
                ):
                    break
        except asyncio.CancelledError:
            self._release_when_granted(task)
            if not task.done():
                self._withdraw(request)
            raise
        if not task.done():
            self._release_when_granted(task)
            return None
        return task.result()

    async def _wait_for_reply_or_change(
        self, task: asyncio.Task, scheduler: EntryId, request: SlotRequest
    ) -> bool:
        """Waits for the reply or a change among the peers.

        Returns:
            False if the scheduler has changed or the deadline has passed.
        """
        changed = asyncio.create_task(self._peers.changed())
        try:
            # Lets the `changed` task start to wait before the scheduler is
            # compared, so that neither an earlier change nor one directly
            # after the comparison is missed.
            await asyncio.sleep(0)
            if self._peers.scheduler(request.pool_id) != scheduler:
                return False
            remaining = (
                request.deadline + REPLY_GRACE_SECONDS - self._clock.now()
            )
            await asyncio.wait(
                {task, changed},
                timeout=max(remaining, 0.0) + RETRY_DELAY_SECONDS,
                return_when=asyncio.FIRST_COMPLETED,
            )
            return self._clock.now() <= request.deadline + REPLY_GRACE_SECONDS
        finally:
            changed.cancel()

    async def _call_scheduler(
        self, scheduler: EntryId, request: SlotRequest
    ) -> SlotReply | None:
        if scheduler == self._identity.entry_id:
            reply = await self._schedulers[request.pool_id].acquire(request)
        else:
            try:
                reply = await self._peers.call(
                    scheduler,
                    "/peer/slots",
                    request,
                    SlotReply,
                    request.deadline + REPLY_GRACE_SECONDS,
                )
            except PeerError:
                return None
        return None if reply.code == "not_scheduler" else reply

    def _release_when_granted(self, task: asyncio.Task) -> None:
        """Releases the grant, once it arrives, of an abandoned request."""
        task.add_done_callback(self._release_unused)

    def _release_unused(self, task: asyncio.Task) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        reply = task.result()
        if reply is not None and reply.grant is not None:
            self._release(reply.grant, unused=True)

    def _withdraw(self, request: SlotRequest) -> None:
        """Withdraws a slot request; its id is also the id of its grant."""
        self._send_release(
            SlotRelease(
                entry_id=self._identity.entry_id,
                grant_id=request.ask_id,
                pool_id=request.pool_id,
                instance_id=InstanceId(""),
                unused=True,
            )
        )

    def _release(self, grant: HeldGrant, **flags: bool) -> None:
        self._send_release(
            SlotRelease(
                entry_id=self._identity.entry_id,
                grant_id=grant.grant_id,
                pool_id=grant.pool_id,
                instance_id=grant.instance_id,
                **flags,
            )
        )

    def _send_release(self, release: SlotRelease) -> None:
        scheduler = self._peers.scheduler(release.pool_id)
        if scheduler == self._identity.entry_id:
            self._schedulers[release.pool_id].release(release)
        else:
            self._spawn(self._deliver_with_retries(release))

    async def _deliver_with_retries(self, release: SlotRelease) -> None:
        for _ in range(MAX_RELEASE_ATTEMPTS):
            if await self._try_deliver(release):
                return
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _try_deliver(self, release: SlotRelease) -> bool:
        scheduler = self._peers.scheduler(release.pool_id)
        if scheduler is None:
            return False
        if scheduler == self._identity.entry_id:
            self._schedulers[release.pool_id].release(release)
            return True
        deadline = self._clock.now() + RELEASE_TIMEOUT_SECONDS
        try:
            await self._peers.call(
                scheduler, "/peer/release", release, Acknowledged, deadline
            )
        except PeerError:
            return False
        return True

    async def _wait_for_peer_change(
        self, deadline: float, seconds: float
    ) -> None:
        """Waits for a change among the peers, at most `seconds`."""
        remaining = max(deadline - self._clock.now(), 0.0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(remaining, seconds)):
                await self._peers.changed()

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _release_flags(error: MinionError) -> dict[str, bool]:
    """Returns the flags of a release that describe a minion's failure."""
    if isinstance(error, RefusedBeforeStart) and not error.draining:
        return {"busy": True}
    if isinstance(error, FailedAnswer):
        return {"failed_answer": True}
    return {"failed": True}


def _new_ask_id() -> GrantId:
    return GrantId(uuid.uuid4().hex)
