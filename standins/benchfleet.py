"""Fleet set-up and statistics shared by the parts of the benchmark."""

import os
import pathlib
import time
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from standins import demo
from standins.caller import Caller
from standins.demo import SECRET
from standins.fleet import Entry, Fleet

# Request ids created within the clock error after a membership change are
# refused.
SETTLE_SECONDS = 1.5


class Figure(NamedTuple):
    """One measured value.

    Attributes:
        target: largest acceptable value; None: no target.
    """

    name: str
    value: float
    unit: str
    target: float | None = None


def percentile(values: Sequence[float], fraction: float) -> float:
    """Returns the value below which a fraction (0 to 1) of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def new_caller(team: str, entries: Sequence[Entry], seed: int = 0) -> Caller:
    """Returns a caller that sends requests with the key of a team."""
    addresses = [entry.callers for entry in entries]
    return Caller(team, f"{team}.{SECRET}", addresses, seed, [])


def start(
    fleet: Fleet,
    data_centres: Sequence[str],
    entries_per_data_centre: int,
    minions_per_data_centre: int,
    teams: dict[str, tuple[float, int]],
    slots: int = 8,
    extra_changes: Sequence[dict] = (),
) -> list[Entry]:
    """Starts a fleet with one pool and returns its entries.

    Args:
        fleet: gets the processes.
        data_centres: ids of the data centres.
        entries_per_data_centre: number of entries.
        minions_per_data_centre: number of minions.
        teams: share and concurrency limit of each team.
        slots: slots of each minion.
        extra_changes: published together with the main configuration.
    """
    fleet.start_platform()
    for data_centre in data_centres:
        for number in range(minions_per_data_centre):
            name = f"{data_centre}-pairing-{number}"
            fleet.start_minion(
                name, "pairing", data_centre, f"r{number}", slots
            )
    entries = [
        fleet.start_entry(f"{data_centre}-e{number}", data_centre)
        for data_centre in data_centres
        for number in range(entries_per_data_centre)
    ]
    fleet.wait_ready(*entries)
    layout = {
        "data_centres": list(data_centres),
        "pools": ["pairing"],
        "teams": teams,
    }
    fleet.publish(*demo.initial_changes(layout), *extra_changes, atomic=True)
    instances = list(demo.instance_changes(fleet))
    for instance in instances:
        instance["slots"] = slots
    fleet.publish(*instances, atomic=True)
    time.sleep(SETTLE_SECONDS)
    return entries


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def summary(
    name: str, durations: Sequence[float], target: float | None = None
) -> Iterator[Figure]:
    """Yields the median, the 99th percentile and the maximum of durations.

    Args:
        name: name of the measured quantity.
        durations: in seconds.
        target: target of the maximum, in seconds.
    """
    yield Figure(f"{name}, median", percentile(durations, 0.5), "s")
    yield Figure(f"{name}, 99th percentile", percentile(durations, 0.99), "s")
    yield Figure(f"{name}, maximum", max(durations), "s", target)
