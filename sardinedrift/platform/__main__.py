"""Runs one entry on the platform: `python3 -m sardinedrift.platform`."""

import asyncio
import os
import sys

from sardinedrift.exceptions import SettingsError
from sardinedrift.platform.daemon import Daemon
from sardinedrift.platform.settings import VARIABLE, load
from sardinedrift.runtime import new_event_loop


def main() -> int:
    """Runs until a signal; returns the exit status."""
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
