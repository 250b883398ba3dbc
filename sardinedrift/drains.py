"""Acknowledges drains of instances, and drains this entry before it stops."""

import asyncio
from collections.abc import Iterator

from sardinedrift import objects
from sardinedrift.batches import BatchPublisher
from sardinedrift.callers import CallerServer
from sardinedrift.changes import DrainAck
from sardinedrift.dispatch import Dispatcher
from sardinedrift.follower import Follower
from sardinedrift.identifiers import ChangeId, Identity
from sardinedrift.ports import Clock
from sardinedrift.publisher import Publisher
from sardinedrift.slots import Slots

_POLL_INTERVAL_SECONDS = 0.1
# Keeps one record well below the size of a snapshot chunk.
_MAX_PER_BATCH = 200


class DrainAcks:
    """Acknowledges drains of instances on which this entry holds no slot.

    A slot request in flight cannot place work there afterwards: `attempts`
    refuses a grant for an instance that is not ACTIVE in this entry's own
    state, and the drain that is acknowledged here has been folded into it.

    Args:
        identity: this entry.
        follower: holds the folded state.
        publisher: appends the acknowledgements.
        slots: the slots held by this entry.
        clock: source of the time.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        publisher: Publisher,
        slots: Slots,
        clock: Clock,
    ):
        self._identity = identity
        self._follower = follower
        self._slots = slots
        self._batches = BatchPublisher(
            publisher, clock, "drain acknowledgements"
        )
        self._cache_key: tuple[int, int] | None = None
        self._instances: list[objects.Instance] = []

    async def run(self) -> None:
        """Acknowledges drains until cancelled."""
        while True:
            acks = self.due_acks()
            if acks:
                await self._batches.publish(acks)
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    def due_acks(self) -> list[DrainAck]:
        """Returns the acknowledgements that can be published now."""
        return [
            self._ack(instance)
            for instance in self._unacknowledged()
            if not self._slots.holds(instance.instance_id)
        ][:_MAX_PER_BATCH]

    def _unacknowledged(self) -> list[objects.Instance]:
        state = self._follower.state
        version = state.version_by_table["instance_by_id"]
        cache_key = (id(state), version)
        if cache_key != self._cache_key:
            self._cache_key = cache_key
            self._instances = list(self._find_unacknowledged())
        return self._instances

    def _find_unacknowledged(self) -> Iterator[objects.Instance]:
        for instance in self._follower.state.tables.instance_by_id.values():
            drain = instance.drain
            if instance.data_centre_id != self._identity.data_centre_id:
                continue
            if drain and self._identity.entry_id in drain.waiting:
                yield instance

    def _ack(self, instance: objects.Instance) -> DrainAck:
        entry_id = self._identity.entry_id
        offset = instance.drain.offset
        # A retry has the same id, so that the fold applies it only once.
        name = f"drained.{entry_id}.{instance.instance_id}.{offset}"
        return DrainAck(
            change_id=ChangeId(name),
            entry_id=entry_id,
            instance_id=instance.instance_id,
            drain=offset,
        )


async def drain_entry(
    callers: CallerServer, dispatcher: Dispatcher, deadline: float, clock: Clock
) -> bool:
    """Stops accepting requests and waits until none is in progress.

    Returns:
        False if work is in progress at the deadline (unix seconds).
    """
    callers.stop()
    if not await callers.drain(deadline):
        return False
    remaining = max(deadline - clock.now(), 0.0)
    try:
        await asyncio.wait_for(dispatcher.flush(), remaining)
    except TimeoutError:
        return False
    return True
