"""The event loop and the clock of a process."""

import asyncio
import os
import time

from sardinedrift.ports import Clock


class SystemClock(Clock):
    """The clock of the machine."""

    def now(self) -> float:
        """Returns unix seconds."""
        return time.time()


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Returns a uvloop event loop that uses no io_uring."""
    # Unless this variable is set before, libuv opens io_uring descriptors when
    # a loop is created. Operators should not have to set it themselves.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    return uvloop.new_event_loop()
