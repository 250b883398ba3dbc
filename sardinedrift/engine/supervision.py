"""Keeps a component running after an unexpected error."""

import asyncio
from collections.abc import Awaitable, Callable

from sardinedrift.engine.events import Event, EventLog

RESTART_DELAY_S = 0.5


async def keep_running(
    name: str, run: Callable[[], Awaitable[None]], log: EventLog
) -> None:
    """Runs a component until it returns, and again after each error.

    An error that one message causes must not end the process, which serves
    other callers and may be the controller.

    Args:
        name: name of the component in the log.
        run: runs the component.
        log: receives the errors.
    """
    while True:
        try:
            await run()
        except Exception as error:
            log.write(Event.FAULT, where=name, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_S)
        else:
            return
