"""An event loop whose time passes only while all tasks wait."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from sardinedrift.engine.clock import Clock

UNIX_MS = 1_700_000_000_000


class _Selector(selectors.DefaultSelector):
    """Advances virtual time where a real selector would block."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("deadlock: all tasks wait without a timeout")
            self.now += max(0.0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that never waits, so that times are reproducible."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


class LoopClock(Clock):
    """Clocks that read the virtual time of the running loop."""

    def boot(self) -> float:
        return asyncio.get_running_loop().time()

    def unix_ms(self) -> int:
        return UNIX_MS + int(self.boot() * 1000)


def run(work: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
