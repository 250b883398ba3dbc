"""Runs one entry on the platform: `python3 -m sardinedrift.platform`."""

import asyncio
import os
import signal
import sys

from sardinedrift.exceptions import SettingsError


def main() -> int:
    """Runs until a signal; returns the exit status."""
    # Until the settings are loaded there is nothing to reload, and the default
    # action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # The parts take most of the time of a start.
    from sardinedrift.platform.daemon import Daemon
    from sardinedrift.platform.settings import VARIABLE, load
    from sardinedrift.runtime import new_event_loop

    path = os.environ.get(VARIABLE, "")
    try:
        settings = load(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(Daemon(path, settings).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
