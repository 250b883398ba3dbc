"""Time until a change is in force at every entry."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from standins import benchfleet
from standins.benchfleet import Figure
from standins.caller import Caller
from standins.demo import SECRET, grant_key
from standins.fleet import Entry, Fleet, FleetError

REPEATS = 8
TARGET_SECONDS = 2.0
LONGEST_WAIT_SECONDS = 10.0
_POLL_SECONDS = 0.01


def start(fleet: Fleet) -> list[Entry]:
    """Starts two data centres with three entries each, and extra keys."""
    extra = [grant_key(f"red{number}", "red") for number in range(REPEATS)]
    return benchfleet.start(
        fleet, ["dc1", "dc2"], 3, 1, {"red": (1.0, 60)}, extra=extra
    )


async def measure(fleet: Fleet, entries: list[Entry]) -> list[Figure]:
    """Measures withdrawals of keys and new queues, one after the other."""
    withdrawn, created = [], []
    for number in range(REPEATS):
        publisher = entries[number % len(entries)]
        probe = _withdrawal(f"red{number}")
        withdrawn.append(
            await _until_everywhere(fleet, publisher, entries, probe)
        )
        probe = _new_queue(f"new-{number}")
        created.append(
            await _until_everywhere(fleet, publisher, entries, probe)
        )
    return [
        *benchfleet.summary(
            "key refused at all entries", withdrawn, TARGET_SECONDS
        ),
        *benchfleet.summary(
            "queue in force at all entries", created, TARGET_SECONDS
        ),
    ]


class _Probe(NamedTuple):
    """A change, and the requests that show where it is in force.

    Attributes:
        reached: tells by the code of an answer.
    """

    change: dict
    key: str
    queue: str
    reached: Callable[[str], bool]


def _withdrawal(key: str) -> _Probe:
    return _Probe(
        {"type": "WithdrawKey", "key_id": key, "expected_revision": 1},
        f"{key}.{SECRET}",
        "pairing-lookup",
        lambda code: code == "key_refused",
    )


def _new_queue(queue: str) -> _Probe:
    change = {
        "type": "PutQueue",
        "queue_id": queue,
        "pool_id": "pairing",
        "idempotent": True,
        "max_run_seconds": 5.0,
    }
    return _Probe(
        change,
        f"red.{SECRET}",
        queue,
        lambda code: code != "unknown_queue",
    )


async def _until_everywhere(
    fleet: Fleet, publisher: Entry, entries: list[Entry], probe: _Probe
) -> float:
    """Returns seconds from the publication until each entry applies it."""
    started = time.monotonic()
    publish = asyncio.create_task(
        asyncio.to_thread(fleet.publish, probe.change, entry=publisher)
    )
    async with Caller("red", probe.key, [], 0, []) as caller:
        ends = await asyncio.gather(
            *(_reached_at(caller, each, probe) for each in entries)
        )
    await publish
    return max(ends) - started


async def _reached_at(caller: Caller, entry: Entry, probe: _Probe) -> float:
    limit = time.monotonic() + LONGEST_WAIT_SECONDS
    while time.monotonic() < limit:
        sent = await caller.send(probe.queue, "dc1", address=entry.callers)
        if probe.reached(sent.code):
            return time.monotonic()
        await asyncio.sleep(_POLL_SECONDS)
    raise FleetError(f"{entry.name} does not apply the change")
