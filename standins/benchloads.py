"""Measures shares of a full pool, and the wait of quick work in it."""

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
# Each team sends more concurrent requests than its share of the 32 slots. The
# teams take turns at a load peak of five times as many.
BASE_CONCURRENCY = 24
PEAK_FACTOR = 5
TURN_SECONDS = 1.0
RUN_SECONDS = 0.15
WARM_UP_SECONDS = 3.0
WINDOW_SECONDS = 10.0
SHARE_DEVIATION_TARGET = 0.05
QUICK_START_TARGET_SECONDS = 1.2
LONG_CONCURRENCY = 60
LONG_RUN_SECONDS = 4.0
QUICK_LOAD_SECONDS = 14.0
QUICK_INTERVAL_SECONDS = 0.04
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
    return benchfleet.start(
        fleet, ["dc1"], 2, 2, teams, extra_changes=[long_queue]
    )


async def measure_share(fleet: Fleet, entries: list[Entry]) -> list[Figure]:
    """Measures how far the slot time of each team is from its share."""
    end = time.time() + WARM_UP_SECONDS + WINDOW_SECONDS + 0.5
    count_by_code: collections.Counter[str] = collections.Counter()
    async with contextlib.AsyncExitStack() as stack:
        senders = []
        for number, team in enumerate(SHARE_BY_TEAM):
            caller = benchfleet.new_caller(team, entries, SEED + number)
            await stack.enter_async_context(caller)
            for index in range(BASE_CONCURRENCY * PEAK_FACTOR):
                turn = None if index < BASE_CONCURRENCY else number
                senders.append(
                    _send_mixed(caller, turn, index, end, count_by_code)
                )
        await asyncio.gather(*senders)
    window = (end - 0.5 - WINDOW_SECONDS, end - 0.5)
    executions = list(read_executions(fleet.directory))
    return list(_share_figures(executions, window, count_by_code))


async def _send_mixed(
    caller: Caller,
    turn: int | None,
    index: int,
    end: float,
    count_by_code: collections.Counter[str],
) -> None:
    """Sends requests to random data centres, one after another.

    Args:
        caller: sends the requests.
        turn: number of the turn in which to send; None: in all turns.
        index: number of this sender within its team; seeds the choices.
        end: unix seconds at which to stop.
        count_by_code: counts the codes, or else the outcomes, of the answers.
    """
    rng = random.Random(f"{SEED}-{caller.team}-{index}")
    await asyncio.sleep(rng.random() * RUN_SECONDS)
    while time.time() < end:
        current_turn = int(time.time() / TURN_SECONDS) % len(SHARE_BY_TEAM)
        if turn is not None and turn != current_turn:
            await asyncio.sleep(0.05)
            continue
        attempt = await caller.send(
            "pairing-quick",
            rng.choice(["dc1", "dc2"]),
            run_seconds=rng.uniform(0.5, 1.5) * RUN_SECONDS,
            wait_seconds=4.0,
        )
        count_by_code[attempt.code or attempt.outcome] += 1


def _share_figures(
    executions: list[Execution],
    window: tuple[float, float],
    count_by_code: collections.Counter[str],
) -> Iterator[Figure]:
    executions_by_scope = {
        "fleet": executions,
        "dc1": [e for e in executions if e.minion.startswith("dc1")],
        "dc2": [e for e in executions if e.minion.startswith("dc2")],
    }
    for scope, scope_executions in executions_by_scope.items():
        used = slot_seconds(scope_executions, *window)
        total = sum(used.values())
        slots = 32 if scope == "fleet" else 16
        utilisation = total / (slots * (window[1] - window[0]))
        yield Figure(f"slots in use ({scope})", 100 * utilisation, "%")
        for team, share in SHARE_BY_TEAM.items():
            expected = total * share / sum(SHARE_BY_TEAM.values())
            deviation = abs(used[team] - expected) / expected
            yield Figure(
                f"distance of {team} from its share ({scope})",
                100 * deviation,
                "% of share",
                100 * SHARE_DEVIATION_TARGET,
            )
    for code, count in count_by_code.most_common():
        yield Figure(f"requests that ended as {code}", count, "")


def slot_seconds(
    executions: Iterable[Execution], start: float, end: float
) -> collections.Counter[str]:
    """Returns the slot time of each team within a window, in seconds."""
    used: collections.Counter[str] = collections.Counter()
    for each in executions:
        used_until = end if each.end is None else min(each.end, end)
        used[each.team] += max(0.0, used_until - max(each.start, start))
    return used


async def measure_quick(fleet: Fleet, entries: list[Entry]) -> list[Figure]:
    """Measures how long quick work waits while long work fills the pool."""
    end = time.time() + QUICK_LOAD_SECONDS
    async with (
        benchfleet.new_caller("red", entries) as long_caller,
        benchfleet.new_caller("blue", entries) as quick_caller,
    ):
        long_work = asyncio.gather(
            *(_send_long(long_caller, end) for _ in range(LONG_CONCURRENCY))
        )
        # By then, long work holds all the slots that it may hold.
        await asyncio.sleep(2.0)
        await _send_quick(quick_caller, end)
        await long_work
    attempt_by_id = {each.request_id: each for each in quick_caller.history}
    waits = [
        each.start - attempt_by_id[each.request_id].sent
        for each in read_executions(fleet.directory)
        if each.request_id in attempt_by_id
    ]
    unanswered = [e for e in quick_caller.history if e.outcome != "answered"]
    return [
        Figure("quick requests that ran", len(waits), ""),
        Figure("quick requests without answer", len(unanswered), "", 0),
        *benchfleet.summary(
            "start of quick work", waits, QUICK_START_TARGET_SECONDS
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
            await asyncio.sleep(QUICK_INTERVAL_SECONDS)
