"""Shares under a full pool, and quick work beside long work."""

import asyncio
import collections
import contextlib
import random
import time
from collections.abc import Iterable, Iterator

from standins import benchfleet
from standins.benchfleet import Figure
from standins.caller import Caller
from standins.fleet import Entry, Fleet
from standins.history import Execution, read_executions

SEED = 7
SHARE_BY_TEAM = {"red": 4.0, "blue": 2.0, "green": 1.0}
# Each team alone asks for more than its share of the 32 slots; in its turn
# a team asks for five times as much.
BASE_CALLS = 24
PEAK_FACTOR = 5
TURN_SECONDS = 1.0
RUN_SECONDS = 0.15
WARM_UP_SECONDS = 3.0
WINDOW_SECONDS = 10.0
SHARE_TARGET = 0.05
URGENT_TARGET_SECONDS = 1.2
LONG_CALLS = 60
LONG_RUN_SECONDS = 4.0
QUICK_SECONDS = 14.0
QUICK_GAP_SECONDS = 0.04
QUICK_RUN_SECONDS = 0.02


def start_share(fleet: Fleet) -> list[Entry]:
    """Starts two data centres of 16 slots and two entries each."""
    teams = {team: (share, 1000) for team, share in SHARE_BY_TEAM.items()}
    return benchfleet.start(fleet, ["dc1", "dc2"], 2, 2, teams)


def start_quick(fleet: Fleet) -> list[Entry]:
    """Starts one data centre of 16 slots with a long queue."""
    long_queue = {
        "type": "PutQueue",
        "queue_id": "pairing-long",
        "pool_id": "pairing",
        "work_class": "long",
        "max_run_seconds": 30.0,
    }
    teams = {"red": (1.0, 200), "blue": (1.0, 200)}
    return benchfleet.start(fleet, ["dc1"], 2, 2, teams, extra=[long_queue])


async def measure_share(fleet: Fleet, entries: list[Entry]) -> list[Figure]:
    """Measures the slot-time of each team over ten seconds."""
    end = time.time() + WARM_UP_SECONDS + WINDOW_SECONDS + 0.5
    codes: collections.Counter[str] = collections.Counter()
    async with contextlib.AsyncExitStack() as stack:
        work = []
        for number, team in enumerate(SHARE_BY_TEAM):
            caller = benchfleet.caller(team, entries, SEED + number)
            await stack.enter_async_context(caller)
            for index in range(BASE_CALLS * PEAK_FACTOR):
                turn = None if index < BASE_CALLS else number
                work.append(_ask(caller, turn, index, end, codes))
        await asyncio.gather(*work)
    window = (end - 0.5 - WINDOW_SECONDS, end - 0.5)
    executions = list(read_executions(fleet.directory))
    return list(_distances(executions, window, codes))


async def _ask(
    caller: Caller,
    turn: int | None,
    index: int,
    end: float,
    codes: collections.Counter[str],
) -> None:
    """Sends until the end, or only in the turns of the team."""
    choices = random.Random(f"{SEED}-{caller.team}-{index}")
    await asyncio.sleep(choices.random() * RUN_SECONDS)
    while time.time() < end:
        now = int(time.time() / TURN_SECONDS) % len(SHARE_BY_TEAM)
        if turn is not None and turn != now:
            await asyncio.sleep(0.05)
            continue
        sent = await caller.send(
            "pairing-quick",
            choices.choice(["dc1", "dc2"]),
            run_seconds=choices.uniform(0.5, 1.5) * RUN_SECONDS,
            wait_seconds=4.0,
        )
        codes[sent.code or sent.outcome] += 1


def _distances(
    executions: list[Execution],
    window: tuple[float, float],
    codes: collections.Counter[str],
) -> Iterator[Figure]:
    places = {
        "fleet": executions,
        "dc1": [e for e in executions if e.minion.startswith("dc1")],
        "dc2": [e for e in executions if e.minion.startswith("dc2")],
    }
    for place, chosen in places.items():
        used = slot_seconds(chosen, *window)
        total = sum(used.values())
        slots = 32 if place == "fleet" else 16
        full = total / (slots * (window[1] - window[0]))
        yield Figure(f"slots in use ({place})", 100 * full, "%")
        for team, share in SHARE_BY_TEAM.items():
            due = total * share / sum(SHARE_BY_TEAM.values())
            distance = abs(used[team] - due) / due
            yield Figure(
                f"distance of {team} from its share ({place})",
                100 * distance,
                "% of share",
                100 * SHARE_TARGET,
            )
    for code, count in codes.most_common():
        yield Figure(f"requests that ended as {code}", count, "")


def slot_seconds(
    executions: Iterable[Execution], start: float, end: float
) -> collections.Counter[str]:
    """Returns the slot-time of each team within a window, in seconds."""
    used: collections.Counter[str] = collections.Counter()
    for each in executions:
        last = end if each.end is None else min(each.end, end)
        used[each.team] += max(0.0, last - max(each.start, start))
    return used


async def measure_quick(fleet: Fleet, entries: list[Entry]) -> list[Figure]:
    """Measures how long quick work waits while long work fills the pool."""
    end = time.time() + QUICK_SECONDS
    async with (
        benchfleet.caller("red", entries) as long_caller,
        benchfleet.caller("blue", entries) as quick_caller,
    ):
        long_work = asyncio.gather(
            *(_send_long(long_caller, end) for _ in range(LONG_CALLS))
        )
        # Until then long work has taken all the slots it may hold.
        await asyncio.sleep(2.0)
        await _send_quick(quick_caller, end)
        await long_work
    sent_by_id = {each.request_id: each for each in quick_caller.history}
    waits = [
        each.start - sent_by_id[each.request_id].sent
        for each in read_executions(fleet.directory)
        if each.request_id in sent_by_id
    ]
    failed = [e for e in quick_caller.history if e.outcome != "answered"]
    return [
        Figure("quick requests that ran", len(waits), ""),
        Figure("quick requests without answer", len(failed), "", 0),
        *benchfleet.summary(
            "start of quick work", waits, URGENT_TARGET_SECONDS
        ),
    ]


async def _send_long(caller: Caller, end: float) -> None:
    while time.time() < end:
        await caller.send(
            "pairing-long",
            "dc1",
            run_seconds=LONG_RUN_SECONDS,
            wait_seconds=max(1.0, end - time.time()),
        )


async def _send_quick(caller: Caller, end: float) -> None:
    async with asyncio.TaskGroup() as group:
        while time.time() < end - 1.0:
            group.create_task(
                caller.send(
                    "pairing-quick", "dc1", run_seconds=QUICK_RUN_SECONDS
                )
            )
            await asyncio.sleep(QUICK_GAP_SECONDS)
