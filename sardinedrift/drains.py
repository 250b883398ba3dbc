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

_POLL_SECONDS = 0.1
# Keeps one record well below the size of a snapshot chunk.
_MOST_PER_BATCH = 200


class DrainAcks:
    """Publishes that this entry holds no work on a draining instance.

    An ask in flight cannot place work there afterwards: `attempts` refuses a
    grant for an instance that is not ACTIVE in this entry's own state, and
    the drain that is acknowledged here has been folded into that state.

    Args:
        identity: this entry.
        follower: holds the folded state.
        publisher: appends the acknowledgements.
        slots: tells which slots are held.
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
        self._version: tuple[int, int] | None = None
        self._waiting: list[objects.Instance] = []

    async def run(self) -> None:
        """Acknowledges drains until cancelled."""
        while True:
            acks = self.due()
            if acks:
                await self._batches.publish(acks)
            await asyncio.sleep(_POLL_SECONDS)

    def due(self) -> list[DrainAck]:
        """Returns the acknowledgements that can be given now."""
        return [
            self._ack(instance)
            for instance in self._drains_waiting()
            if not self._slots.holds(instance.instance_id)
        ][:_MOST_PER_BATCH]

    def _drains_waiting(self) -> list[objects.Instance]:
        state = self._follower.state
        version = state.version_by_table["instance_by_id"]
        key = (id(state), version)
        if key != self._version:
            self._version = key
            self._waiting = list(self._find_waiting())
        return self._waiting

    def _find_waiting(self) -> Iterator[objects.Instance]:
        for instance in self._follower.state.tables.instance_by_id.values():
            drain = instance.drain
            if instance.data_centre_id != self._identity.data_centre_id:
                continue
            if drain and self._identity.entry_id in drain.waiting:
                yield instance

    def _ack(self, instance: objects.Instance) -> DrainAck:
        entry_id = self._identity.entry_id
        offset = instance.drain.offset
        # The same id for each try, so that the fold applies it once.
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
        False when work is left at the deadline (unix seconds).
    """
    callers.stop()
    if not await callers.drain(deadline):
        return False
    left = max(deadline - clock.now(), 0.0)
    try:
        await asyncio.wait_for(dispatcher.flush(), left)
    except TimeoutError:
        return False
    return True
