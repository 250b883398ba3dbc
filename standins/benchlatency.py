"""Measures the added latency of an entry and its requests per CPU second."""

import asyncio
import json
import time
import uuid
from collections.abc import Callable, Iterator
from typing import NamedTuple

import aiohttp

from sardinedrift.admission import new_request_id
from sardinedrift.routing import rendezvous
from standins import benchfleet
from standins.benchfleet import Figure
from standins.caller import Caller
from standins.fleet import Entry, Fleet, FleetError

TEAM = "red"
QUEUE = "pairing-quick"
ROUNDS = 1200
WARM_UP_CALLS = 60
LOAD_SECONDS = 4.0
LOAD_CONCURRENCY = 24
ADDED_TARGET_MS = 1.0


class Roles(NamedTuple):
    """The entries by their role for the pool.

    Attributes:
        scheduler: the entry that schedules the pool.
        receiver: an entry that does not schedule the pool.
    """

    scheduler: Entry
    receiver: Entry
    entry_by_id: dict[str, Entry]

    def owned_id_factory(self, entry: Entry) -> Callable[[], str]:
        """Returns a function that creates request ids owned by an entry."""

        def new_owned_id() -> str:
            while True:
                request_id = new_request_id("dc1")
                owner = rendezvous(request_id, list(self.entry_by_id))
                if self.entry_by_id[owner] is entry:
                    return request_id

        return new_owned_id


def start(fleet: Fleet) -> Roles:
    """Starts one data centre with three entries."""
    entries = benchfleet.start(
        fleet, ["dc1"], 3, 2, {TEAM: (1.0, 600)}, slots=64
    )
    entry_by_id = {fleet.status(each)["entry_id"]: each for each in entries}
    scheduler = entry_by_id[rendezvous("scheduler/pairing", entry_by_id)]
    receiver = next(each for each in entries if each is not scheduler)
    return Roles(scheduler, receiver, entry_by_id)


async def measure(fleet: Fleet, roles: Roles) -> list[Figure]:
    """Measures the latency that an entry adds to a direct call of a minion."""
    other_owner = next(
        each
        for each in roles.entry_by_id.values()
        if each not in (roles.scheduler, roles.receiver)
    )
    cases = [
        ("scheduler and owner", roles.scheduler, roles.scheduler),
        ("scheduler, owner elsewhere", roles.scheduler, other_owner),
        ("neither; both elsewhere", roles.receiver, other_owner),
    ]
    entries = list(roles.entry_by_id.values())
    minion = next(iter(fleet.minion_by_name.values()))
    figures = []
    async with (
        benchfleet.new_caller(TEAM, entries) as caller,
        aiohttp.ClientSession() as session,
    ):
        await _warm_up(caller, entries)
        for name, entry, owner in cases:
            direct, via_entry = await _alternating_durations(
                caller,
                session,
                minion.address,
                entry,
                roles.owned_id_factory(owner),
            )
            figures += _added_latency(name, direct, via_entry)
    return figures


async def measure_throughput(fleet: Fleet, roles: Roles) -> list[Figure]:
    """Measures requests per CPU second of the entry that receives them."""
    entries = list(roles.entry_by_id.values())
    figures = []
    async with benchfleet.new_caller(TEAM, entries) as caller:
        await _warm_up(caller, entries)
        for name, entry in (
            ("scheduler", roles.scheduler),
            ("not the scheduler", roles.receiver),
        ):
            figures += await _throughput(caller, name, entry)
    return figures


async def _warm_up(caller: Caller, entries: list[Entry]) -> None:
    for _ in range(3):
        await asyncio.gather(
            *(
                caller.send(QUEUE, "dc1", address=entry.callers)
                for entry in entries
                for _ in range(WARM_UP_CALLS // 3)
            )
        )
        await asyncio.sleep(0.7)


async def _alternating_durations(
    caller: Caller,
    session: aiohttp.ClientSession,
    minion_address: str,
    entry: Entry,
    new_id: Callable[[], str],
) -> tuple[list[float], list[float]]:
    """Calls a minion directly and through an entry, alternately.

    Returns:
        The durations in seconds of the direct calls and of the requests
        through the entry.
    """
    direct, via_entry = [], []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        await _call_minion(session, minion_address)
        direct.append(time.perf_counter() - started)
        request_id = new_id()
        started = time.perf_counter()
        attempt = await caller.send(
            QUEUE, "dc1", address=entry.callers, request_id=request_id
        )
        via_entry.append(time.perf_counter() - started)
        if attempt.outcome != "answered":
            raise FleetError(
                f"request not answered: outcome {attempt.outcome}, "
                f"code {attempt.code}"
            )
    return direct, via_entry


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


def _added_latency(
    name: str, direct: list[float], via_entry: list[float]
) -> Iterator[Figure]:
    """Yields the latencies above the median of the direct calls."""
    base = benchfleet.percentile(direct, 0.5)
    median = benchfleet.percentile(via_entry, 0.5) - base
    p99 = benchfleet.percentile(via_entry, 0.99) - base
    yield Figure(f"direct call, median ({name})", base * 1e3, "ms")
    yield Figure(f"added, median ({name})", median * 1e3, "ms", ADDED_TARGET_MS)
    yield Figure(f"added, 99th percentile ({name})", p99 * 1e3, "ms")


async def _throughput(caller: Caller, name: str, entry: Entry) -> list[Figure]:
    pid = entry.process.pid
    end = time.monotonic() + LOAD_SECONDS
    before, started = benchfleet.cpu_seconds(pid), time.monotonic()
    counts = await asyncio.gather(
        *(_send_until(caller, entry, end) for _ in range(LOAD_CONCURRENCY))
    )
    cpu_seconds = benchfleet.cpu_seconds(pid) - before
    elapsed = time.monotonic() - started
    return [
        Figure(f"requests ({name})", sum(counts) / elapsed, "1/s"),
        Figure(
            f"requests per core ({name})",
            sum(counts) / cpu_seconds,
            "1/CPU-s",
        ),
        Figure(
            f"CPU per request ({name})", 1e3 * cpu_seconds / sum(counts), "ms"
        ),
    ]


async def _send_until(caller: Caller, entry: Entry, end: float) -> int:
    """Sends requests one after another; returns the number answered."""
    answered = 0
    while time.monotonic() < end:
        attempt = await caller.send(QUEUE, "dc1", address=entry.callers)
        answered += attempt.outcome == "answered"
    return answered
