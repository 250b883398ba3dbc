"""CPU and memory of idle entry processes by the number of entries."""

import pathlib
import time
from collections.abc import Iterator

from standins import benchfleet
from standins.fleet import running_fleet

ENTRIES = (1, 2, 4)
SECONDS = 6.0


def idle_entries() -> Iterator[dict]:
    """Yields CPU and resident memory per entry of one data centre."""
    for count in ENTRIES:
        with running_fleet() as fleet:
            entries = benchfleet.start(
                fleet, ["dc1"], count, 1, {"red": (1.0, 10)}
            )
            pids = [each.process.pid for each in entries]
            before = [benchfleet.cpu_seconds(pid) for pid in pids]
            time.sleep(SECONDS)
            spent = [
                (benchfleet.cpu_seconds(pid) - start) / SECONDS
                for pid, start in zip(pids, before, strict=True)
            ]
            yield {
                "measurement": "idle",
                "near_peers": count - 1,
                "cores": [round(each, 4) for each in spent],
                "resident_mb": [round(resident_mb(pid), 1) for pid in pids],
            }


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0
