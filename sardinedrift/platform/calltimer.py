"""Deadline of a call that allows for a late event loop."""

import asyncio

# A timer that fires later than this shows that the process was paused or had
# too little processor time.
MAX_LATENESS_S = 0.05
# How often the deadline of one call may be extended for that.
MAX_EXTENSIONS = 3


class CallTimer:
    """Ends a timeout scope at a deadline.

    When the timer fires late, the response may have arrived in the meantime
    without having been read, so the deadline is extended by the lateness.

    Args:
        scope: scope that is ended.
    """

    def __init__(self, scope: asyncio.Timeout):
        self._scope = scope
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.TimerHandle | None = None
        self._due = 0.0
        self._extensions = 0

    def start(self, due: float) -> None:
        """Sets the deadline, as event-loop time."""
        self.stop()
        self._due = due
        self._handle = self._loop.call_at(due, self._on_due)

    def stop(self) -> None:
        """Removes the deadline."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _on_due(self) -> None:
        now = self._loop.time()
        lateness_s = now - self._due
        if lateness_s > MAX_LATENESS_S and self._extensions < MAX_EXTENSIONS:
            self._extensions += 1
            self.start(now + lateness_s)
            return
        self._handle = None
        self._scope.reschedule(now)
