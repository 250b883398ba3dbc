"""Runs a small fleet, sends requests while an entry is killed, and checks.

Exit status 0 when no request ran twice, no answer was short or foreign, no
limit was passed and every request ended as answered, not run or unknown.
"""

import asyncio
import collections
import contextlib
import hashlib
import itertools
import pathlib
import random
import signal
import sys
import time
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import click
import yaml

from standins.caller import Caller
from standins.fleet import Entry, Fleet, FleetError, running_fleet
from standins.history import Attempt, read_executions, violations

SEED = 20
SECRET = "sdk_demonstration"
RUN_SECONDS = 6.0
# A caller's pace per team; about five times the mean in a peak.
PEAK_CALLS = 24
QUIET_CALLS = 4
TURN_SECONDS = 1.0
# The addresses of examples/entry.yaml and the default of the command line.
FIRST_LISTENERS = {
    "callers": "127.0.0.1:7100",
    "peers": "127.0.0.1:7101",
    "admin": "127.0.0.1:7102",
}

_SMALL = {
    "data_centres": ["dc1", "dc2"],
    "pools": ["pairing"],
    "teams": {"red": (2.0, 24), "blue": (1.0, 24)},
    "minions": 2,
}


def initial_changes(shape: dict) -> Iterator[dict]:
    """Yields the changes an operator publishes before the first request."""
    for data_centre in shape["data_centres"]:
        yield {
            "type": "PutDataCentre",
            "data_centre_id": data_centre,
            "region": "north",
        }
    for pool in shape["pools"]:
        yield {"type": "PutPool", "pool_id": pool}
        yield _queue(f"{pool}-quick", pool, idempotent=False)
        yield _queue(f"{pool}-lookup", pool, idempotent=True)
    for team, (share, limit) in shape["teams"].items():
        yield {
            "type": "PutTeam",
            "team_id": team,
            "share": share,
            "limit": limit,
        }
        yield grant_key(team, team)


def grant_key(key_id: str, team: str) -> dict:
    """Returns the change that grants a key with the secret of the run."""
    return {
        "type": "GrantKey",
        "key_id": key_id,
        "team_id": team,
        "digest": hashlib.sha256(SECRET.encode()).hexdigest(),
    }


def _queue(queue: str, pool: str, idempotent: bool) -> dict:
    return {
        "type": "PutQueue",
        "queue_id": queue,
        "pool_id": pool,
        "idempotent": idempotent,
        "max_run_seconds": 5.0,
    }


def instance_changes(fleet: Fleet) -> Iterator[dict]:
    """Yields the changes that import the running minions."""
    for minion in fleet.minion_by_name.values():
        yield {
            "type": "PutInstance",
            "instance_id": minion.name,
            "kind": "minion",
            "data_centre_id": minion.data_centre,
            "pool_id": minion.pool,
            "rack": minion.rack,
            "address": minion.address,
        }


def shape_of(path: pathlib.Path) -> dict:
    """Reads data centres, pools and teams of an example configuration.

    One minion of each pool runs in each data centre.
    """
    data = yaml.safe_load(path.read_text())
    pools = [each["pool_id"] for each in data["pools"]]
    return {
        "data_centres": [
            each["data_centre_id"] for each in data["data_centres"]
        ],
        "pools": pools,
        "teams": {
            each["team_id"]: (each["share"], each["limit"])
            for each in data["teams"]
        },
        "minions": 1,
    }


def start(
    fleet: Fleet, shape: dict, first: dict[str, str] | None = None
) -> list[Entry]:
    """Starts the platform, minions and entries, and publishes.

    Args:
        fleet: gets the processes.
        shape: what to start.
        first: settings of the first entry, in place of the usual ones.
    """
    fleet.start_platform()
    for data_centre in shape["data_centres"]:
        for pool in shape["pools"]:
            for number in range(shape["minions"]):
                name = f"{data_centre}-{pool}-{number}"
                fleet.start_minion(name, pool, data_centre, f"r{number}")
    names = [
        (f"{data_centre}-e{number}", data_centre)
        for data_centre in shape["data_centres"]
        for number in range(2)
    ]
    settings = itertools.chain([first or {}], itertools.repeat({}))
    entries = [
        fleet.start_entry(name, data_centre, **own)
        for (name, data_centre), own in zip(names, settings, strict=False)
    ]
    fleet.wait_ready(*entries)
    fleet.publish(*initial_changes(shape), atomic=True)
    fleet.publish(*instance_changes(fleet), atomic=True)
    # Ids made less than the clock error after a membership change are
    # refused, so the first request waits that long.
    time.sleep(1.5)
    return entries


async def send_load(
    shape: dict,
    entries: list[Entry],
    history: list[Attempt],
    stop: asyncio.Event,
) -> None:
    """Sends requests of every team in turns until `stop` is set."""
    load = _Load(shape, entries, history, stop, random.Random(SEED))
    async with asyncio.TaskGroup() as group:
        for number, team in enumerate(shape["teams"]):
            group.create_task(load.send_as(team, number))


class _Load(NamedTuple):
    """What the callers of all teams have in common."""

    shape: dict
    entries: list[Entry]
    history: list[Attempt]
    stop: asyncio.Event
    choices: random.Random

    async def send_as(self, team: str, number: int) -> None:
        """Sends requests of one team; its peaks are every nth turn."""
        addresses = [entry.callers for entry in self.entries]
        key = f"{team}.{SECRET}"
        caller = Caller(team, key, addresses, number, self.history)
        async with caller, asyncio.TaskGroup() as group:
            turn = 0
            while not self.stop.is_set():
                peak = turn % len(self.shape["teams"]) == number
                slots = asyncio.Semaphore(PEAK_CALLS if peak else QUIET_CALLS)
                turn += 1
                await self._send_turn(caller, slots, group)

    async def _send_turn(
        self,
        caller: Caller,
        slots: asyncio.Semaphore,
        group: asyncio.TaskGroup,
    ) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + TURN_SECONDS
        while loop.time() < end and not self.stop.is_set():
            await slots.acquire()
            pool = self.choices.choice(self.shape["pools"])
            idempotent = self.choices.random() < 0.25
            queue = f"{pool}-lookup" if idempotent else f"{pool}-quick"
            work = caller.send(
                queue,
                self.choices.choice(self.shape["data_centres"]),
                run_seconds=self.choices.expovariate(20.0),
                size=self.choices.randrange(1, 4096),
                idempotent=idempotent,
            )
            task = group.create_task(work)
            task.add_done_callback(lambda _: slots.release())


async def _run(
    fleet: Fleet, shape: dict, entries: list[Entry]
) -> list[Attempt]:
    history: list[Attempt] = []
    stop = asyncio.Event()
    load = asyncio.create_task(send_load(shape, entries, history, stop))
    await asyncio.sleep(RUN_SECONDS / 3)
    victim = entries[0].name
    await asyncio.to_thread(fleet.kill, victim)
    print(f"killed entry {victim}")
    await asyncio.sleep(RUN_SECONDS * 2 / 3)
    stop.set()
    await load
    return history


def print_table(shape: dict, history: list[Attempt]) -> None:
    """Prints the outcomes of each team."""
    print(
        f"{'team':14}{'sent':>7}{'answered':>10}{'not run':>9}"
        f"{'unknown':>9}{'share':>8}"
    )
    total = sum(1 for each in history if each.outcome == "answered") or 1
    for team in shape["teams"]:
        own = [each for each in history if each.team == team]
        count = collections.Counter(each.outcome for each in own)
        print(
            f"{team:14}{len(own):7}{count['answered']:10}"
            f"{count['not_run']:9}{count['unknown']:9}"
            f"{count['answered'] / total:8.0%}"
        )
    _print_codes(history)


def _print_codes(history: Iterable[Attempt]) -> None:
    codes = collections.Counter(each.code for each in history if each.code)
    for code, count in codes.most_common():
        print(f"  {code}: {count}")


def _hold(shape: dict) -> None:
    """Keeps a fleet running until interrupted."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with running_fleet() as fleet, contextlib.suppress(KeyboardInterrupt):
        entries = start(fleet, shape, FIRST_LISTENERS)
        for entry in entries:
            print(f"{entry.name}: callers {entry.callers}, admin {entry.admin}")
        print(f"keys: TEAM.{SECRET}; press Ctrl-C to end", flush=True)
        while True:
            time.sleep(1.0)


@click.command()
@click.option(
    "--deployment",
    type=click.Choice(["small", "joyjugal", "cascadia"]),
    default="small",
    show_default=True,
)
@click.option(
    "--hold",
    is_flag=True,
    help="Only start the fleet and keep it until interrupted.",
)
def main(deployment: str, hold: bool) -> None:
    """Runs the demonstration."""
    shape = _SMALL
    if deployment != "small":
        shape = shape_of(
            pathlib.Path("examples") / deployment / "configuration.yaml"
        )
    try:
        if hold:
            _hold(shape)
            return
        with running_fleet() as fleet:
            entries = start(fleet, shape)
            history = asyncio.run(_run(fleet, shape, entries))
            # A minion may still run what its caller has lost.
            time.sleep(5.5)
            executions = list(read_executions(fleet.directory))
    except FleetError as error:
        sys.exit(f"the fleet did not run: {error}")
    print_table(shape, history)
    limits = {team: limit for team, (_, limit) in shape["teams"].items()}
    broken = list(violations(history, executions, limits))
    for line in broken[:20]:
        print(f"broken: {line}")
    answered = any(each.outcome == "answered" for each in history)
    print(f"{len(executions)} executions, {len(broken)} broken promises")
    sys.exit(1 if broken or not answered else 0)


if __name__ == "__main__":
    main()
