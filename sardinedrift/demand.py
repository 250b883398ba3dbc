"""Recent use of one team at this entry, and the work that waits for it."""

import asyncio
import math

from sardinedrift.identifiers import EntryId

# Recent use halves in about seven steps of a second; peaks last some seconds.
_DECAY = 0.9
_HEADROOM = 1.25
_NO_USE = 0.5


class TeamUse:
    """Counts of one team.

    Attributes:
        running: requests running.
        admitted: waiters told of a free unit that have not taken it yet.
        reserved: units kept for a peer until the next step.
        waiters: futures of waiting work, in order of arrival.
    """

    def __init__(self):
        self.running = 0
        self.admitted = 0
        self.reserved = 0
        self.waiters: dict[asyncio.Future[bool], None] = {}
        self._reserved_for: EntryId | None = None
        self._recent = 0.0

    def start(self) -> None:
        """Counts one more request."""
        self.running += 1
        self._recent = max(self._recent, float(self.running))

    def miss(self) -> None:
        """Notes that a request found no unit."""
        self._recent = max(self._recent, float(self.running + 1))

    def finish(self) -> None:
        """Counts one request less."""
        if self.running == 0:
            raise RuntimeError("a unit was released twice")
        self.running -= 1

    def target(self) -> int:
        """Returns the units worth keeping, from recent use."""
        if self._recent < _NO_USE:
            return 0
        return math.ceil(self._recent * _HEADROOM)

    def remember(self) -> None:
        """Lets recent use decay by one step."""
        demand = float(self.running + len(self.waiters))
        self._recent = max(demand, self._recent * _DECAY)

    def add_waiter(self) -> asyncio.Future[bool]:
        """Appends waiting work."""
        waiter: asyncio.Future[bool] = asyncio.Future()
        self.waiters[waiter] = None
        return waiter

    def remove_waiter(self, waiter: asyncio.Future[bool]) -> None:
        """Removes waiting work that has ended."""
        self.waiters.pop(waiter, None)

    def admit(self, free: int) -> None:
        """Tells the oldest waiters of units that are free."""
        while self.waiters and free > self.admitted:
            waiter = next(iter(self.waiters))
            del self.waiters[waiter]
            if not waiter.done():
                waiter.set_result(True)
                self.admitted += 1

    def end_waiting(self) -> None:
        """Tells all waiters that no unit will be free."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(False)
        self.waiters.clear()

    def reserve(self, peer: EntryId, units: int) -> None:
        """Keeps units that become free for a peer."""
        self.reserved = units
        self._reserved_for = peer

    def end_reservation(self) -> tuple[EntryId | None, int]:
        """Ends the reservation; returns the peer and the units."""
        peer, units = self._reserved_for, self.reserved
        self._reserved_for, self.reserved = None, 0
        return peer, units
