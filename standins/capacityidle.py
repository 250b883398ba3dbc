"""Measures CPU and memory of idle entry processes by number of entries."""

import pathlib
import time
from collections.abc import Iterator

from standins import benchfleet
from standins.fleet import running_fleet

ENTRY_COUNTS = (1, 2, 4)
IDLE_SECONDS = 6.0
DATA_CENTRE_COUNTS = (1, 6, 12, 23)
REMOTE_SECONDS = 20.0
# For 10 s, exchanges with a new process are more frequent.
REMOTE_SETTLE_SECONDS = 15.0


def idle_entries() -> Iterator[dict]:
    """Yields CPU and resident memory of each entry of one data centre."""
    for count in ENTRY_COUNTS:
        with running_fleet() as fleet:
            entries = benchfleet.start(
                fleet, ["dc1"], count, 1, {"red": (1.0, 10)}
            )
            pids = [each.process.pid for each in entries]
            yield {
                "measurement": "idle",
                "near_peers": count - 1,
                "cores": _mean_cores(pids, IDLE_SECONDS),
                "resident_mb": [round(resident_mb(pid), 1) for pid in pids],
            }


def remote_entries() -> Iterator[dict]:
    """Yields CPU per entry, with a single entry in each data centre."""
    for count in DATA_CENTRE_COUNTS:
        data_centres = [f"dc{number}" for number in range(count)]
        with running_fleet() as fleet:
            entries = benchfleet.start(
                fleet, data_centres, 1, 1, {"red": (1.0, 10)}
            )
            time.sleep(REMOTE_SETTLE_SECONDS)
            cores = _mean_cores(
                [each.process.pid for each in entries], REMOTE_SECONDS
            )
            yield {
                "measurement": "far",
                "far_links": count - 1,
                "cores_mean": round(sum(cores) / count, 4),
                "cores_range": [min(cores), max(cores)],
            }


def _mean_cores(pids: list[int], seconds: float) -> list[float]:
    """Returns the mean number of cores that each process uses from now on."""
    before = [benchfleet.cpu_seconds(pid) for pid in pids]
    time.sleep(seconds)
    return [
        round((benchfleet.cpu_seconds(pid) - start) / seconds, 4)
        for pid, start in zip(pids, before, strict=True)
    ]


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0
