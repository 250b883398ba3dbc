"""What the parts of the benchmark share."""

import os
import pathlib
import time
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from standins import demo
from standins.caller import Caller
from standins.demo import SECRET
from standins.fleet import Entry, Fleet

# Ids made less than the clock error after a membership change are refused.
SETTLE_SECONDS = 1.5


class Figure(NamedTuple):
    """One measured value; `target` is the largest value that meets it."""

    name: str
    value: float
    unit: str
    target: float | None = None


def percentile(values: Sequence[float], part: float) -> float:
    """Returns the value below which a part (0 to 1) of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def caller(team: str, entries: Sequence[Entry], seed: int = 0) -> Caller:
    """Returns a caller with the key of a team."""
    addresses = [entry.callers for entry in entries]
    return Caller(team, f"{team}.{SECRET}", addresses, seed, [])


def start(
    fleet: Fleet,
    data_centres: Sequence[str],
    entries_each: int,
    minions_each: int,
    teams: dict[str, tuple[float, int]],
    slots: int = 8,
    extra: Sequence[dict] = (),
) -> list[Entry]:
    """Starts a fleet with one pool and returns its entries."""
    fleet.start_platform()
    for place in data_centres:
        for number in range(minions_each):
            name = f"{place}-pairing-{number}"
            fleet.start_minion(name, "pairing", place, f"r{number}", slots)
    entries = [
        fleet.start_entry(f"{place}-e{number}", place)
        for place in data_centres
        for number in range(entries_each)
    ]
    fleet.wait_ready(*entries)
    shape = {
        "data_centres": list(data_centres),
        "pools": ["pairing"],
        "teams": teams,
    }
    fleet.publish(*demo.initial_changes(shape), *extra, atomic=True)
    instances = list(demo.instance_changes(fleet))
    for instance in instances:
        instance["slots"] = slots
    fleet.publish(*instances, atomic=True)
    time.sleep(SETTLE_SECONDS)
    return entries


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def summary(
    name: str, seconds: Sequence[float], target: float | None = None
) -> Iterator[Figure]:
    """Yields median, 99th percentile and maximum; the target is of the last.

    Args:
        name: what was measured.
        seconds: the measured durations.
        target: in seconds.
    """
    yield Figure(f"{name}, median", percentile(seconds, 0.5), "s")
    yield Figure(f"{name}, 99th percentile", percentile(seconds, 0.99), "s")
    yield Figure(f"{name}, maximum", max(seconds), "s", target)
