"""Measures the time until every entry applies a published change."""

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
PROPAGATION_TIMEOUT_SECONDS = 10.0
_POLL_INTERVAL_SECONDS = 0.01


def start(fleet: Fleet) -> list[Entry]:
    """Starts two data centres with three entries each, and keys to withdraw."""
    keys = [grant_key(f"red{number}", "red") for number in range(REPEATS)]
    return benchfleet.start(
        fleet, ["dc1", "dc2"], 3, 1, {"red": (1.0, 60)}, extra_changes=keys
    )


async def measure(fleet: Fleet, entries: list[Entry]) -> list[Figure]:
    """Measures withdrawals of keys and new queues, one after the other."""
    withdrawal_seconds, creation_seconds = [], []
    for number in range(REPEATS):
        publisher = entries[number % len(entries)]
        probe = _key_withdrawal(f"red{number}")
        withdrawal_seconds.append(
            await _propagation_seconds(fleet, publisher, entries, probe)
        )
        probe = _new_queue(f"new-{number}")
        creation_seconds.append(
            await _propagation_seconds(fleet, publisher, entries, probe)
        )
    return [
        *benchfleet.summary(
            "key refused at all entries", withdrawal_seconds, TARGET_SECONDS
        ),
        *benchfleet.summary(
            "queue in force at all entries", creation_seconds, TARGET_SECONDS
        ),
    ]


class _Probe(NamedTuple):
    """A change, and a request that shows whether an entry applies it.

    Attributes:
        key: key of the request.
        queue: queue of the request.
        is_applied: returns whether an answer with a code shows the change.
    """

    change: dict
    key: str
    queue: str
    is_applied: Callable[[str], bool]


def _key_withdrawal(key: str) -> _Probe:
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


async def _propagation_seconds(
    fleet: Fleet, publisher: Entry, entries: list[Entry], probe: _Probe
) -> float:
    """Publishes a change; returns the seconds until all entries apply it."""
    started = time.monotonic()
    publish = asyncio.create_task(
        asyncio.to_thread(fleet.publish, probe.change, entry=publisher)
    )
    async with Caller("red", probe.key, [], 0, []) as caller:
        applied_at = await asyncio.gather(
            *(_applied_at(caller, each, probe) for each in entries)
        )
    await publish
    return max(applied_at) - started


async def _applied_at(caller: Caller, entry: Entry, probe: _Probe) -> float:
    """Polls an entry until it applies a change; returns the monotonic time."""
    deadline = time.monotonic() + PROPAGATION_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        attempt = await caller.send(probe.queue, "dc1", address=entry.callers)
        if probe.is_applied(attempt.code):
            return time.monotonic()
        await asyncio.sleep(_POLL_INTERVAL_SECONDS)
    raise FleetError(f"{entry.name} did not apply the change in time")
