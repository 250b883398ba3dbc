"""Runs a small fleet, kills an entry under load and checks the outcomes.

The exit status is 0 if at least one request was answered and no guarantee was
violated: no request ran twice unless it was idempotent, none ran that was
reported as not run, no answer was truncated, of another request or without an
execution, and no limit was exceeded.
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
from collections.abc import Awaitable, Iterable, Iterator
from typing import NamedTuple

import click
import yaml

from standins.caller import Caller
from standins.fleet import Entry, Fleet, FleetError, running_fleet
from standins.history import Attempt, read_executions, violations

SEED = 20
SECRET = "sdk_demonstration"
RUN_SECONDS = 6.0
# Concurrent requests of a team in its peak turns and in the others; a peak is
# about five times the mean.
PEAK_CONCURRENCY = 24
BASE_CONCURRENCY = 4
TURN_SECONDS = 1.0
# Listeners of the first entry with --hold: the addresses in
# examples/entry.yaml. The command line uses this admin address by default.
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


def initial_changes(layout: dict) -> Iterator[dict]:
    """Yields the changes to publish before the first request."""
    for data_centre in layout["data_centres"]:
        yield {
            "type": "PutDataCentre",
            "data_centre_id": data_centre,
            "region": "north",
        }
    for pool in layout["pools"]:
        yield {"type": "PutPool", "pool_id": pool}
        yield _queue(f"{pool}-quick", pool, idempotent=False)
        yield _queue(f"{pool}-lookup", pool, idempotent=True)
    for team, (share, limit) in layout["teams"].items():
        yield {
            "type": "PutTeam",
            "team_id": team,
            "share": share,
            "limit": limit,
        }
        yield grant_key(team, team)


def grant_key(key_id: str, team: str) -> dict:
    """Returns the change that grants a key with the secret `SECRET`."""
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


def read_layout(path: pathlib.Path) -> dict:
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
    fleet: Fleet, layout: dict, first_settings: dict[str, str] | None = None
) -> list[Entry]:
    """Starts platform, minions and entries, and publishes the configuration.

    Args:
        fleet: fleet to which the processes are added.
        layout: data centres, pools, teams and, for each pool in each data
            centre, the number of minions.
        first_settings: settings of the first entry other than the defaults.

    Returns:
        The entries, which are ready and members.
    """
    fleet.start_platform()
    for data_centre in layout["data_centres"]:
        for pool in layout["pools"]:
            for number in range(layout["minions"]):
                name = f"{data_centre}-{pool}-{number}"
                fleet.start_minion(name, pool, data_centre, f"r{number}")
    names = [
        (f"{data_centre}-e{number}", data_centre)
        for data_centre in layout["data_centres"]
        for number in range(2)
    ]
    settings = itertools.chain([first_settings or {}], itertools.repeat({}))
    entries = [
        fleet.start_entry(name, data_centre, **own)
        for (name, data_centre), own in zip(names, settings, strict=False)
    ]
    fleet.wait_ready(*entries)
    fleet.publish(*initial_changes(layout), atomic=True)
    fleet.publish(*instance_changes(fleet), atomic=True)
    # Request ids created within the clock error after a membership change are
    # refused, so no request may be sent before that.
    time.sleep(1.5)
    return entries


async def send_load(
    layout: dict,
    entries: list[Entry],
    history: list[Attempt],
    stop: asyncio.Event,
) -> list[Attempt]:
    """Sends requests of all teams until `stop` is set; one peaks at a time.

    Returns:
        The last attempt of each request.
    """
    load = _Load(layout, entries, history, [], stop, random.Random(SEED))
    async with asyncio.TaskGroup() as group:
        for number, team in enumerate(layout["teams"]):
            group.create_task(load.send_as(team, number))
    return load.last_attempts


class _Load(NamedTuple):
    """Sends requests; its fields are shared by the callers of all teams."""

    layout: dict
    entries: list[Entry]
    history: list[Attempt]
    last_attempts: list[Attempt]
    stop: asyncio.Event
    rng: random.Random

    async def send_as(self, team: str, number: int) -> None:
        """Sends requests of one team, which peaks every len(teams) turns."""
        addresses = [entry.callers for entry in self.entries]
        key = f"{team}.{SECRET}"
        caller = Caller(team, key, addresses, number, self.history)
        async with caller, asyncio.TaskGroup() as group:
            turn = 0
            while not self.stop.is_set():
                peak = turn % len(self.layout["teams"]) == number
                slots = asyncio.Semaphore(
                    PEAK_CONCURRENCY if peak else BASE_CONCURRENCY
                )
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
            pool = self.rng.choice(self.layout["pools"])
            idempotent = self.rng.random() < 0.25
            queue = f"{pool}-lookup" if idempotent else f"{pool}-quick"
            request = caller.send_until_owned(
                queue,
                self.rng.choice(self.layout["data_centres"]),
                run_seconds=self.rng.expovariate(20.0),
                size=self.rng.randrange(1, 4096),
                idempotent=idempotent,
            )
            group.create_task(self._send(request, slots))

    async def _send(
        self, request: Awaitable[Attempt], slots: asyncio.Semaphore
    ) -> None:
        try:
            self.last_attempts.append(await request)
        finally:
            slots.release()


class _Ends(NamedTuple):
    """All attempts of a run, and the last one of each request."""

    history: list[Attempt]
    last_attempts: list[Attempt]


async def _run(fleet: Fleet, layout: dict, entries: list[Entry]) -> _Ends:
    history: list[Attempt] = []
    stop = asyncio.Event()
    load = asyncio.create_task(send_load(layout, entries, history, stop))
    await asyncio.sleep(RUN_SECONDS / 3)
    victim = entries[0].name
    await asyncio.to_thread(fleet.kill, victim)
    print(f"killed entry {victim}")
    await asyncio.sleep(RUN_SECONDS * 2 / 3)
    stop.set()
    return _Ends(history, await load)


def print_table(layout: dict, ends: _Ends) -> None:
    """Prints the outcomes of each team's requests."""
    last = ends.last_attempts
    print(
        f"{'team':14}{'sent':>7}{'answered':>10}{'not run':>9}"
        f"{'unknown':>9}{'share':>8}"
    )
    total = sum(1 for each in last if each.outcome == "answered") or 1
    for team in layout["teams"]:
        own = [each for each in last if each.team == team]
        count = collections.Counter(each.outcome for each in own)
        print(
            f"{team:14}{len(own):7}{count['answered']:10}"
            f"{count['not_run']:9}{count['unknown']:9}"
            f"{count['answered'] / total:8.0%}"
        )
    _print_codes(last)
    again = len(ends.history) - len(last)
    print(f"{again} refused attempts were sent again under another id")


def _print_codes(history: Iterable[Attempt]) -> None:
    codes = collections.Counter(each.code for each in history if each.code)
    for code, count in codes.most_common():
        print(f"  {code}: {count}")


def _hold(layout: dict) -> None:
    """Keeps a fleet running until interrupted."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with running_fleet() as fleet, contextlib.suppress(KeyboardInterrupt):
        entries = start(fleet, layout, FIRST_LISTENERS)
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
    layout = _SMALL
    if deployment != "small":
        layout = read_layout(
            pathlib.Path("examples") / deployment / "configuration.yaml"
        )
    try:
        if hold:
            _hold(layout)
            return
        with running_fleet() as fleet:
            entries = start(fleet, layout)
            ends = asyncio.run(_run(fleet, layout, entries))
            # Minions may still run requests whose callers lost the
            # connection, for at most `max_run_seconds`.
            time.sleep(5.5)
            executions = list(read_executions(fleet.directory))
    except FleetError as error:
        sys.exit(f"cannot run the fleet: {error}")
    print_table(layout, ends)
    limits = {team: limit for team, (_, limit) in layout["teams"].items()}
    found = list(violations(ends.history, executions, limits))
    for line in found[:20]:
        print(f"violation: {line}")
    answered = any(each.outcome == "answered" for each in ends.history)
    print(f"{len(executions)} executions, {len(found)} violations")
    sys.exit(1 if found or not answered else 0)


if __name__ == "__main__":
    main()
