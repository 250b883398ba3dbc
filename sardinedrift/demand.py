"""Recent use, waiters and reservations of one team at this entry."""

import asyncio
import math

from sardinedrift.identifiers import EntryId

# With one step a second, recent use halves in about seven seconds. Peaks of
# load last a few seconds.
_DECAY_PER_STEP = 0.9
_HEADROOM_FACTOR = 1.25
_MIN_RECENT_USE = 0.5


class TeamUse:
    """Use of allowance units by the requests of one team.

    Attributes:
        running: number of running requests.
        admitted: number of waiters that were notified of a free unit and have
            not acquired it yet.
        reserved: number of units reserved for a peer until the next step.
        waiters: futures of the waiting requests, in order of arrival.
    """

    def __init__(self):
        self.running = 0
        self.admitted = 0
        self.reserved = 0
        self.waiters: dict[asyncio.Future[bool], None] = {}
        self._reserved_for: EntryId | None = None
        self._recent_use = 0.0

    def start(self) -> None:
        """Counts a request that starts."""
        self.running += 1
        self._recent_use = max(self._recent_use, float(self.running))

    def record_miss(self) -> None:
        """Raises the recent use for a request that found no free unit."""
        self._recent_use = max(self._recent_use, float(self.running + 1))

    def finish(self) -> None:
        """Counts a request that ends.

        Raises:
            RuntimeError: no request is running.
        """
        if self.running == 0:
            raise RuntimeError(
                "unit released, but no request of the team is running"
            )
        self.running -= 1

    def target_units(self) -> int:
        """Returns the number of units to keep, given the recent use."""
        if self._recent_use < _MIN_RECENT_USE:
            return 0
        return math.ceil(self._recent_use * _HEADROOM_FACTOR)

    def decay(self) -> None:
        """Decays the recent use by one step, but not below the demand."""
        demand = float(self.running + len(self.waiters))
        self._recent_use = max(demand, self._recent_use * _DECAY_PER_STEP)

    def add_waiter(self) -> asyncio.Future[bool]:
        """Adds a waiter to the end of the queue.

        Returns:
            A future of whether a unit became free.
        """
        waiter: asyncio.Future[bool] = asyncio.Future()
        self.waiters[waiter] = None
        return waiter

    def remove_waiter(self, waiter: asyncio.Future[bool]) -> None:
        """Removes a waiter, if it is still in the queue."""
        self.waiters.pop(waiter, None)

    def admit(self, free: int) -> None:
        """Notifies the oldest waiters, one for each free unit."""
        while self.waiters and free > self.admitted:
            waiter = next(iter(self.waiters))
            del self.waiters[waiter]
            if not waiter.done():
                waiter.set_result(True)
                self.admitted += 1

    def reject_waiters(self) -> None:
        """Ends the wait of all waiters without a unit."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(False)
        self.waiters.clear()

    def reserve(self, peer: EntryId, units: int) -> None:
        """Reserves units for a peer."""
        self.reserved = units
        self._reserved_for = peer

    def end_reservation(self) -> tuple[EntryId | None, int]:
        """Ends the reservation; returns the peer and the units."""
        peer, units = self._reserved_for, self.reserved
        self._reserved_for, self.reserved = None, 0
        return peer, units
