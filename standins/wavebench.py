"""Measures waves over a pool of 8 minions, with and without borrowing.

One data centre, two entries, two racks of four minions, a spare pool of two
minions; a reboot takes 1 s and the instance list lags 0.3 s. Each case runs
in a new fleet, without load. Prints a JSON line per run and a table.
"""

import base64
import json
import sys
from collections.abc import Iterator
from typing import Any, NamedTuple

import click

from sardinedrift import changes, fold
from sardinedrift.identifiers import WaveState
from sardinedrift.state import State
from standins.demo import instance_changes
from standins.fleet import Fleet, FleetError, call, running_fleet, wait_until

POOL = "pairing"
SPARE_POOL = "shared"
MINIONS = 8
RACKS = 2
SPARE_MINIONS = 2
WAVE_TIMEOUT_SECONDS = 180.0


class Case(NamedTuple):
    """Budgets of one measured wave."""

    name: str
    max_unavailable: int
    max_unavailable_per_rack: int
    borrow: int


CASES = (
    Case("plain", 1, 1, 0),
    *(
        Case(
            f"unavailable-{max_unavailable}-borrow-{borrow}",
            max_unavailable,
            2,
            borrow,
        )
        for max_unavailable in (1, 2)
        for borrow in (0, 1, 2)
    ),
)


def records(fleet: Fleet) -> Iterator[tuple[int, float, bytes]]:
    """Yields offset, time and data of every record of the log."""
    start = 0
    while True:
        path = f"/records?from={start}&limit=500&wait=0"
        page = call(fleet.log, path)["records"]
        for each in page:
            data = base64.b64decode(each["data"])
            yield each["offset"], each["time"], data
        if not page:
            return
        start = page[-1]["offset"] + 1


def replay(fleet: Fleet) -> Iterator[tuple[State, list[changes.Result]]]:
    """Yields the state, updated in place, and the results of each record."""
    state = State()
    for offset, time, data in records(fleet):
        results = fold.apply_record(state, offset, time, data)
        yield state, results


def pool_change(
    pool: str,
    max_unavailable: int,
    max_unavailable_per_rack: int,
    spare: bool = False,
) -> dict:
    """Returns the change that creates a pool with these budgets."""
    return {
        "type": "PutPool",
        "pool_id": pool,
        "max_unavailable": max_unavailable,
        "max_unavailable_per_rack": max_unavailable_per_rack,
        "spare": spare,
    }


def start_pools(fleet: Fleet, data_centre: str = "dc1") -> None:
    """Starts the minions of the pool and of the spare pool."""
    for number in range(MINIONS):
        rack = f"r{number * RACKS // MINIONS}"
        fleet.start_minion(f"m{number}", POOL, data_centre, rack)
    for number in range(SPARE_MINIONS):
        fleet.start_minion(f"s{number}", SPARE_POOL, data_centre, f"q{number}")


def start_wave(fleet: Fleet, wave_id: str, **fields: Any) -> None:
    """Starts a wave over the pool."""
    change = {"type": "StartWave", "wave_id": wave_id, "pool_id": POOL}
    fleet.publish({**change, **fields})


def get_wave(fleet: Fleet, wave_id: str) -> dict:
    """Returns a wave from the admin API of an entry."""
    entry = next(iter(fleet.entry_by_name.values()))
    return call(entry.admin, f"/v1/waves/{wave_id}")["item"]


def wait_wave(fleet: Fleet, wave_id: str) -> dict:
    """Waits until a wave has ended and all lent instances are returned."""

    def ended() -> dict | None:
        wave = get_wave(fleet, wave_id)
        over = wave["state"] != "running" and not wave["lent"]
        return wave if over else None

    return wait_until(ended, f"wave {wave_id} ends", WAVE_TIMEOUT_SECONDS)


def measure(case: Case) -> dict:
    """Runs one wave in a new fleet; times are those of the log records."""
    with running_fleet() as fleet:
        fleet.start_platform()
        start_pools(fleet)
        entries = [fleet.start_entry(f"e{n}", "dc1") for n in range(2)]
        fleet.wait_ready(*entries)
        fleet.publish(
            {
                "type": "PutDataCentre",
                "data_centre_id": "dc1",
                "region": "north",
            },
            pool_change(
                POOL, case.max_unavailable, case.max_unavailable_per_rack
            ),
            pool_change(SPARE_POOL, SPARE_MINIONS, 1, spare=True),
            *instance_changes(fleet),
            atomic=True,
        )
        start_wave(fleet, "w", borrow=case.borrow, canary=0)
        wait_wave(fleet, "w")
        return {**case._asdict(), **_measurements(fleet)}


def _measurements(fleet: Fleet) -> dict:
    started = ended = last = 0.0
    lent_seconds = 0.0
    lent: int = 0
    min_available = MINIONS
    for state, _ in replay(fleet):
        lent_seconds += lent * (state.time - last) if last else 0.0
        last = state.time
        lent = len(state.lent_instances())
        wave = state.tables.wave_by_id.get("w")
        if wave is None:
            continue
        started = started or state.time
        if wave.state is WaveState.RUNNING:
            members = state.instances_of(POOL)
            min_available = min(
                min_available, sum(each.available for each in members)
            )
        elif not ended:
            ended = state.time
    return {
        "state": wave.state.value,
        "roll_out_seconds": round(ended - started, 2),
        "moves": len(state.tables.move_by_id),
        "buffer_instance_hours": round(lent_seconds / 3600, 5),
        "fewest_available": min_available,
    }


@click.command()
@click.option("--runs", default=1, show_default=True, help="Runs per case.")
def main(runs: int) -> None:
    """Measures every case."""
    rows = []
    try:
        for case in CASES:
            for run in range(runs):
                rows.append({**measure(case), "run": run})
                print(json.dumps(rows[-1]), flush=True)
    except FleetError as error:
        sys.exit(f"cannot run the fleet: {error}")
    print(
        f"{'case':26}{'roll-out s':>11}{'moves':>7}"
        f"{'buffer inst-h':>15}{'fewest up':>11}"
    )
    for row in rows:
        print(
            f"{row['name']:26}{row['roll_out_seconds']:11.2f}"
            f"{row['moves']:7}{row['buffer_instance_hours']:15.5f}"
            f"{row['fewest_available']:11}"
        )


if __name__ == "__main__":
    main()
