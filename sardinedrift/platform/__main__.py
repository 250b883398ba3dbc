"""Runs one entry on the platform: `python3 -m sardinedrift.platform`."""

import asyncio
import os
import signal
import sys

from sardinedrift.exceptions import SettingsError


def main() -> int:
    """Runs an entry until SIGTERM or SIGINT.

    Returns:
        The exit status: 0, or 2 when the settings cannot be loaded.
    """
    # A reload signal before the settings are loaded is ignored, as its default
    # action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Importing these modules takes most of the start-up time, so SIGHUP
    # is ignored before.
    from sardinedrift.platform.daemon import Daemon
    from sardinedrift.platform.settings import SETTINGS_PATH_VARIABLE, load
    from sardinedrift.runtime import new_event_loop

    path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
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
