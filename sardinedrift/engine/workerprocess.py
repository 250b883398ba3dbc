"""What a controller knows of one process of a worker."""

import asyncio

from sardinedrift.engine.renewals import RenewalHistory
from sardinedrift.identifiers import NO_CONNECTION

# A worker's clock may run slower than the controller's by up to this share.
MAX_CLOCK_DRIFT = 0.02
# Waits for a lease are longer by this factor, as either clock may be slow.
LEASE_MARGIN = 1 + 2 * MAX_CLOCK_DRIFT


class WorkerClock:
    """Estimate of a worker's own clock, extrapolated from its last reading.

    Attributes:
        clock_ms: the last reading, in ms.
        read_at: boot-time clock of the controller at that reading.
    """

    __slots__ = ("clock_ms", "read_at")

    def __init__(self, clock_ms: int, read_at: float):
        self.clock_ms = clock_ms
        self.read_at = read_at

    def estimate(self, now: float) -> int:
        """Returns the expected reading without drift, in ms."""
        return int(self.clock_ms + (now - self.read_at) * 1000)

    def lower_bound(self, now: float) -> float:
        """Returns the lowest possible reading under clock drift, in ms."""
        elapsed_ms = (now - self.read_at) * 1000
        return self.clock_ms + elapsed_ms * (1 - MAX_CLOCK_DRIFT)


class ReportedEnds:
    """The ended runs that a process has reported, by their numbers.

    An end is acknowledged only once it is stored, as the process then forgets
    it.
    """

    def __init__(self) -> None:
        # Numbers of the newest end in each state; 0 for none.
        self._last_received = 0
        self._last_stored = 0
        self._last_acknowledged = 0
        self._all_stored = asyncio.Event()
        self._all_stored.set()

    @property
    def to_acknowledge(self) -> int:
        """Number of the newest stored end; 0 if that is acknowledged."""
        if self._last_stored <= self._last_acknowledged:
            return 0
        return self._last_stored

    def receive(self, number: int) -> bool:
        """Records an end in a report; returns whether it is new."""
        if number <= self._last_received:
            return False
        self._last_received = number
        self._all_stored.clear()
        return True

    def mark_stored(self, number: int) -> None:
        """Records that the ends up to a number are stored."""
        self._last_stored = max(self._last_stored, number)
        if self._last_stored >= self._last_received:
            self._all_stored.set()

    def mark_acknowledged(self, number: int) -> None:
        """Records that the ends up to a number are acknowledged."""
        self._last_acknowledged = max(self._last_acknowledged, number)

    async def wait_stored(self, timeout_s: float) -> None:
        """Waits until all ends are stored, at most for a time in seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._all_stored.wait()
        except TimeoutError:
            # The store does not answer; the lease must be renewed anyway.
            return


class WorkerProcess:
    """One process of a worker.

    A process that starts under the same id knows nothing of the one before.
    It gets an object of its own, so that nothing known of one is used for the
    other.

    Args:
        born_ms: its start time, in Unix milliseconds; 0 if unknown.

    Attributes:
        clock: estimate of its clock, or None before its first report.
        lease_ms: latest lease expiry that was sent, on its own clock.
        connection_id: connection that carried its last report.
        ends: the ended runs that it has reported.
        renewals: the renewals of its lease.
    """

    def __init__(self, born_ms: int):
        self.born_ms = born_ms
        self.clock: WorkerClock | None = None
        self.lease_ms = 0
        self.connection_id = NO_CONNECTION
        self.ends = ReportedEnds()
        self.renewals = RenewalHistory()
