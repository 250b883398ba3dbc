"""A fleet of processes for the tests of promises, and checks of its run."""

import asyncio
import base64
import concurrent.futures
import contextlib
import heapq
import json
import threading
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from standins.caller import Caller
from standins.demo import SECRET, initial_changes, instance_changes
from standins.fleet import Entry, Fleet, call, wait_until
from standins.history import Attempt, Execution

POOL = "pairing"
DATA_CENTRES = ("dc1", "dc2")


def start_fleet(
    fleet: Fleet,
    teams: dict[str, tuple[float, int]],
    data_centres: Sequence[str] = DATA_CENTRES,
    max_run_seconds: float = 5.0,
    **more: Any,
) -> list[Entry]:
    """Starts two entries and a minion in each data centre, and publishes."""
    fleet.start_platform()
    with starting_entries(fleet, data_centres, 2, **more) as entries:
        for name in data_centres:
            fleet.start_minion(f"{name}-m", POOL, name, "r0")
    shape = {"data_centres": data_centres, "pools": [POOL], "teams": teams}
    changes = list(initial_changes(shape))
    for change in changes:
        if change["type"] == "PutQueue":
            change["max_run_seconds"] = max_run_seconds
    fleet.publish(*changes, atomic=True)
    fleet.publish(*instance_changes(fleet), atomic=True)
    return entries


@contextlib.contextmanager
def starting_entries(
    fleet: Fleet, data_centres: Iterable[str], count: int, **more: Any
) -> Iterator[list[Entry]]:
    """Starts entries during the block; they are members at its end.

    Args:
        fleet: gets the processes; its platform runs.
        data_centres: where entries start.
        count: entries of each data centre.
        **more: as for `Fleet.start_entry`.

    Yields:
        A list that holds the entries, by data centre, after the block.
    """
    entries: list[Entry] = []
    # Started together, entries find each other through the log.
    with concurrent.futures.ThreadPoolExecutor() as pool:
        started = [
            pool.submit(
                fleet.start_entry, f"{name}-e{number}", name, [], **more
            )
            for name in data_centres
            for number in range(count)
        ]
        yield entries
        entries += [each.result() for each in started]
    fleet.wait_ready(*entries)


def row(entry: Entry, path: str) -> dict:
    """Returns one object as an entry has it."""
    return call(entry.admin, f"/v1/{path}")["item"]


def log_lines(fleet: Fleet, entry: Entry) -> str:
    """Returns the log output of an entry."""
    return (fleet.directory / f"{entry.name}.log").read_text()


def block_platform(fleet: Fleet, *sources: str) -> None:
    """Cuts these entries or data centres, and no others, off the platform."""
    fleet.control(fleet.log, blocked_sources=sources)
    fleet.control(fleet.instance_list, blocked_sources=sources)


def batches(fleet: Fleet) -> list[dict]:
    """Returns the content of all records that the log keeps."""
    first = call(fleet.log, "/stats")["first"]
    page = call(fleet.log, f"/records?from={first}&limit=1000")
    data = (base64.b64decode(each["data"]) for each in page["records"])
    return [json.loads(each) for each in data]


@contextlib.contextmanager
def sampled_offsets(fleet: Fleet) -> Iterator[list[tuple[str, int]]]:
    """Collects the offset of every entry, again and again."""
    samples: list[tuple[str, int]] = []
    done = threading.Event()

    def sample() -> None:
        while not done.wait(0.05):
            for name, entry in list(fleet.entry_by_name.items()):
                with contextlib.suppress(OSError, ValueError):
                    status = call(entry.admin, "/v1/status", seconds=1.0)
                    samples.append((name, status["offset"]))

    thread = threading.Thread(target=sample)
    thread.start()
    try:
        yield samples
    finally:
        done.set()
        thread.join()


def offsets_back(samples: Iterable[tuple[str, int]]) -> Iterator[str]:
    """Yields a line for each entry's step to an older configuration."""
    last: dict[str, int] = {}
    for name, offset in samples:
        if offset < last.get(name, offset):
            yield f"{name} went from {last[name]} back to {offset}"
        last[name] = offset


def accepted_late(
    attempts: Iterable[Attempt], withdrawn: float, cap: float
) -> list[Attempt]:
    """Returns what was still answered the cap after a key's withdrawal."""
    return [
        each
        for each in attempts
        if each.outcome == "answered" and each.sent > withdrawn + cap
    ]


def code_of_one(entry: Entry, team: str) -> str:
    """Sends one request of a team and returns the code of its refusal."""

    async def send() -> Attempt:
        async with Caller(team, f"{team}.{SECRET}", [], 0, []) as caller:
            return await caller.send(
                f"{POOL}-lookup",
                entry.data_centre,
                wait_seconds=0.5,
                idempotent=True,
                address=entry.callers,
            )

    return asyncio.run(send()).code


class LimitChange(NamedTuple):
    """A limit, its publishing (sent) and when it was accepted."""

    limit: int
    sent: float
    accepted: float


def limit_passed(
    executions: Iterable[Execution], changes: list[LimitChange], grace: float
) -> Iterator[str]:
    """Yields a line for each start above the limit in force.

    What runs may exceed a lowered limit; nothing starts above it later than
    the grace period after it was accepted.
    """
    ends: list[float] = []
    for each in sorted(executions, key=lambda one: one.start):
        while ends and ends[0] <= each.start:
            heapq.heappop(ends)
        # One without an end has been running ever since.
        heapq.heappush(ends, each.end or float("inf"))
        limit = max(_in_force(changes, each.start, grace))
        if len(ends) > limit:
            yield f"{len(ends)} of {each.team} run; the limit is {limit}"


def _in_force(
    changes: list[LimitChange], now: float, grace: float
) -> Iterator[int]:
    for change, following in zip(changes, [*changes[1:], None], strict=True):
        replaced = following and following.accepted + grace <= now
        if change.sent <= now and not replaced:
            yield change.limit


class Load:
    """Requests of teams at entries, in a thread of its own.

    Args:
        width_by_team: requests in progress at each entry, by team.
        run_seconds: run time of each request.
    """

    def __init__(self, width_by_team: dict[str, int], run_seconds: float):
        self.history: list[Attempt] = []
        self._width_by_team = width_by_team
        self._run_seconds = run_seconds
        self._stop = threading.Event()

    @contextlib.contextmanager
    def at(self, *entries: Entry) -> Iterator["Load"]:
        """Sends from the start of the block to its end."""
        self._stop.clear()
        thread = threading.Thread(
            target=lambda: asyncio.run(self._run(entries))
        )
        thread.start()
        try:
            yield self
        finally:
            self._stop.set()
            thread.join()

    def wait_answers(self, count: int, team: str, since: float = 0.0) -> None:
        """Waits until a team got more answers to requests sent since then."""
        wait_until(
            lambda: self._answers(team, since) >= count, f"answers to {team}"
        )

    def _answers(self, team: str, since: float) -> int:
        return sum(
            each.team == team
            and each.outcome == "answered"
            and each.sent > since
            for each in self.history
        )

    async def _run(self, entries: Iterable[Entry]) -> None:
        async with asyncio.TaskGroup() as group:
            for entry in entries:
                for team, width in self._width_by_team.items():
                    for number in range(width):
                        group.create_task(self._send(entry, team, number))

    async def _send(self, entry: Entry, team: str, number: int) -> None:
        key = f"{team}.{SECRET}"
        async with Caller(team, key, [], number, self.history) as caller:
            while not self._stop.is_set():
                result = await caller.send(
                    f"{POOL}-lookup",
                    entry.data_centre,
                    run_seconds=self._run_seconds,
                    wait_seconds=2.0,
                    idempotent=True,
                    address=entry.callers,
                )
                if result.outcome != "answered":
                    await asyncio.sleep(0.05)
