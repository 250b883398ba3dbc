"""Added latency of an entry and its requests per second of CPU time."""

import asyncio
import json
import time
import uuid
from collections.abc import Callable, Iterator
from typing import NamedTuple

import aiohttp

from sardinedrift.routing import rendezvous
from standins import benchfleet
from standins.benchfleet import Figure
from standins.caller import Caller, new_request_id
from standins.fleet import Entry, Fleet, FleetError

TEAM = "red"
QUEUE = "pairing-quick"
ROUNDS = 1200
WARM_UP = 60
LOAD_SECONDS = 4.0
LOAD_CALLS = 24
TARGET_MS = 1.0


class Setting(NamedTuple):
    """The entries by the part they play for the pool."""

    scheduler: Entry
    receiver: Entry
    entry_by_id: dict[str, Entry]

    def owned(self, entry: Entry) -> Callable[[], str]:
        """Returns a maker of request ids that an entry owns."""

        def make() -> str:
            while True:
                request_id = new_request_id("dc1")
                owner = rendezvous(request_id, list(self.entry_by_id))
                if self.entry_by_id[owner] is entry:
                    return request_id

        return make


def start(fleet: Fleet) -> Setting:
    """Starts one data centre with three entries."""
    entries = benchfleet.start(
        fleet, ["dc1"], 3, 2, {TEAM: (1.0, 600)}, slots=64
    )
    entry_by_id = {fleet.status(each)["entry_id"]: each for each in entries}
    scheduler = entry_by_id[rendezvous("scheduler/pairing", entry_by_id)]
    receiver = next(each for each in entries if each is not scheduler)
    return Setting(scheduler, receiver, entry_by_id)


async def measure(fleet: Fleet, setting: Setting) -> list[Figure]:
    """Measures the latency an entry adds to a direct call, in turns."""
    third = next(
        each
        for each in setting.entry_by_id.values()
        if each not in (setting.scheduler, setting.receiver)
    )
    places = [
        ("scheduler and owner", setting.scheduler, setting.scheduler),
        ("scheduler, owner elsewhere", setting.scheduler, third),
        ("neither; both elsewhere", setting.receiver, third),
    ]
    entries = list(setting.entry_by_id.values())
    minion = next(iter(fleet.minion_by_name.values()))
    figures = []
    async with (
        benchfleet.caller(TEAM, entries) as caller,
        aiohttp.ClientSession() as session,
    ):
        await _warm_up(caller, entries)
        for name, entry, owner in places:
            direct, through = await _in_turns(
                caller, session, minion.address, entry, setting.owned(owner)
            )
            figures += _added(name, direct, through)
    return figures


async def measure_throughput(fleet: Fleet, setting: Setting) -> list[Figure]:
    """Measures requests per second of CPU time of the receiving entry."""
    entries = list(setting.entry_by_id.values())
    figures = []
    async with benchfleet.caller(TEAM, entries) as caller:
        await _warm_up(caller, entries)
        for name, entry in (
            ("scheduler", setting.scheduler),
            ("not the scheduler", setting.receiver),
        ):
            figures += await _throughput(caller, name, entry)
    return figures


async def _warm_up(caller: Caller, entries: list[Entry]) -> None:
    for _ in range(3):
        await asyncio.gather(
            *(
                caller.send(QUEUE, "dc1", address=entry.callers)
                for entry in entries
                for _ in range(WARM_UP // 3)
            )
        )
        await asyncio.sleep(0.7)


async def _in_turns(
    caller: Caller,
    session: aiohttp.ClientSession,
    minion: str,
    entry: Entry,
    make_id: Callable[[], str],
) -> tuple[list[float], list[float]]:
    """Returns seconds of calls of a minion, and of requests at an entry."""
    direct, through = [], []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        await _call_minion(session, minion)
        direct.append(time.perf_counter() - started)
        request_id = make_id()
        started = time.perf_counter()
        sent = await caller.send(
            QUEUE, "dc1", address=entry.callers, request_id=request_id
        )
        through.append(time.perf_counter() - started)
        if sent.outcome != "answered":
            raise FleetError(f"{sent.outcome}: {sent.code}")
    return direct, through


async def _call_minion(session: aiohttp.ClientSession, address: str) -> None:
    body = {"run_seconds": 0.0, "size": 64, "tag": uuid.uuid4().hex}
    headers = {
        "Dispatch-Id": uuid.uuid4().hex,
        "Request-Id": new_request_id("dc1"),
        "Team-Id": TEAM,
        "Run-Deadline": f"{time.time() + 10.0:.3f}",
    }
    async with session.post(
        f"http://{address}/work",
        data=json.dumps(body).encode(),
        headers=headers,
    ) as response:
        await response.read()


def _added(
    name: str, direct: list[float], through: list[float]
) -> Iterator[Figure]:
    base = benchfleet.percentile(direct, 0.5)
    middle = benchfleet.percentile(through, 0.5) - base
    high = benchfleet.percentile(through, 0.99) - base
    yield Figure(f"direct call, median ({name})", base * 1e3, "ms")
    yield Figure(f"added, median ({name})", middle * 1e3, "ms", TARGET_MS)
    yield Figure(f"added, 99th percentile ({name})", high * 1e3, "ms")


async def _throughput(caller: Caller, name: str, entry: Entry) -> list[Figure]:
    pid = entry.process.pid
    end = time.monotonic() + LOAD_SECONDS
    before, started = benchfleet.cpu_seconds(pid), time.monotonic()
    counts = await asyncio.gather(
        *(_send_until(caller, entry, end) for _ in range(LOAD_CALLS))
    )
    spent = benchfleet.cpu_seconds(pid) - before
    wall = time.monotonic() - started
    return [
        Figure(f"requests ({name})", sum(counts) / wall, "1/s"),
        Figure(f"requests per core ({name})", sum(counts) / spent, "1/CPU-s"),
        Figure(f"CPU per request ({name})", 1e3 * spent / sum(counts), "ms"),
    ]


async def _send_until(caller: Caller, entry: Entry, end: float) -> int:
    count = 0
    while time.monotonic() < end:
        sent = await caller.send(QUEUE, "dc1", address=entry.callers)
        count += sent.outcome == "answered"
    return count
