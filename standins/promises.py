"""Fleet, load and checks for the tests of guarantees under failure."""

import asyncio
import base64
import collections
import concurrent.futures
import contextlib
import heapq
import json
import threading
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from standins.caller import Caller
from standins.demo import SECRET, initial_changes, instance_changes
from standins.fleet import Entry, Fleet, FleetError, call, wait_until
from standins.history import Attempt, Execution

POOL = "pairing"
DATA_CENTRES = ("dc1", "dc2")


def start_fleet(
    fleet: Fleet,
    teams: dict[str, tuple[float, int]],
    data_centres: Sequence[str] = DATA_CENTRES,
    max_run_seconds: float = 5.0,
    **options: Any,
) -> list[Entry]:
    """Starts two entries and a minion per data centre, and configures them."""
    fleet.start_platform()
    with starting_entries(fleet, data_centres, 2, **options) as entries:
        for name in data_centres:
            fleet.start_minion(f"{name}-m", POOL, name, "r0")
    layout = {"data_centres": data_centres, "pools": [POOL], "teams": teams}
    changes = list(initial_changes(layout))
    for change in changes:
        if change["type"] == "PutQueue":
            change["max_run_seconds"] = max_run_seconds
    fleet.publish(*changes, atomic=True)
    fleet.publish(*instance_changes(fleet), atomic=True)
    return entries


@contextlib.contextmanager
def starting_entries(
    fleet: Fleet, data_centres: Iterable[str], count: int, **options: Any
) -> Iterator[list[Entry]]:
    """Starts entries in parallel to the block, and waits for them at its end.

    Args:
        fleet: fleet to which the entries are added; its platform is running.
        data_centres: data centres in which to start entries.
        count: number of entries per data centre.
        **options: keyword arguments of `Fleet.start_entry`.

    Yields:
        A list that is empty during the block; after it, the list holds the
        entries ordered by data centre, and all are members.
    """
    entries: list[Entry] = []
    # Entries that start at the same time discover each other through
    # the log.
    with concurrent.futures.ThreadPoolExecutor() as pool:
        started = [
            pool.submit(
                fleet.start_entry, f"{name}-e{number}", name, [], **options
            )
            for name in data_centres
            for number in range(count)
        ]
        yield entries
        entries += [each.result() for each in started]
    fleet.wait_ready(*entries)


def get_object(entry: Entry, path: str) -> dict:
    """Returns an object from the admin API of an entry."""
    return call(entry.admin, f"/v1/{path}")["item"]


def read_log(fleet: Fleet, entry: Entry) -> str:
    """Returns the log output of an entry."""
    return (fleet.directory / f"{entry.name}.log").read_text()


def block_platform(fleet: Fleet, *sources: str) -> None:
    """Makes log and instance list unavailable to exactly these sources.

    A source is the id of an entry or of a data centre.
    """
    fleet.control(fleet.log, blocked_sources=sources)
    fleet.control(fleet.instance_list, blocked_sources=sources)


def read_batches(fleet: Fleet) -> list[dict]:
    """Returns the decoded content of all records that the log retains."""
    first = call(fleet.log, "/stats")["first"]
    page = call(fleet.log, f"/records?from={first}&limit=1000")
    data = (base64.b64decode(each["data"]) for each in page["records"])
    return [json.loads(each) for each in data]


@contextlib.contextmanager
def sampled_offsets(fleet: Fleet) -> Iterator[list[tuple[str, int]]]:
    """Samples the offset of every entry periodically during the block."""
    samples: list[tuple[str, int]] = []
    done = threading.Event()

    def sample() -> None:
        while not done.wait(0.05):
            for name, entry in list(fleet.entry_by_name.items()):
                with contextlib.suppress(OSError, ValueError):
                    status = call(
                        entry.admin, "/v1/status", timeout_seconds=1.0
                    )
                    samples.append((name, status["offset"]))

    thread = threading.Thread(target=sample)
    thread.start()
    try:
        yield samples
    finally:
        done.set()
        thread.join()


def offset_regressions(samples: Iterable[tuple[str, int]]) -> Iterator[str]:
    """Yields a line for each return of an entry to an older configuration."""
    last: dict[str, int] = {}
    for name, offset in samples:
        if offset < last.get(name, offset):
            yield f"{name} went from {last[name]} back to {offset}"
        last[name] = offset


def accepted_after_withdrawal(
    attempts: Iterable[Attempt], withdrawn: float, timeout_seconds: float
) -> list[Attempt]:
    """Returns answered attempts sent after the timeout of a withdrawal."""
    return [
        each
        for each in attempts
        if each.outcome == "answered"
        and each.sent > withdrawn + timeout_seconds
    ]


def refusal_code(entry: Entry, team: str) -> str:
    """Sends one request of a team; returns the refusal code or ""."""

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
    """A limit that was published; times are unix seconds.

    Attributes:
        sent: time at which the change was sent.
        accepted: time at which its acceptance was known.
    """

    limit: int
    sent: float
    accepted: float


def limit_violations(
    executions: Iterable[Execution],
    changes: list[LimitChange],
    grace_seconds: float,
) -> Iterator[str]:
    """Yields a line for each start above the limit in force.

    Running executions may exceed a lowered limit, but none may start above it
    once the grace period after its acceptance has passed.
    """
    ends: list[float] = []
    for each in sorted(executions, key=lambda one: one.start):
        while ends and ends[0] <= each.start:
            heapq.heappop(ends)
        # An execution without an end is still running.
        heapq.heappush(ends, each.end or float("inf"))
        limit = max(_limits_in_force(changes, each.start, grace_seconds))
        if len(ends) > limit:
            yield f"{len(ends)} of {each.team} run; the limit is {limit}"


def _limits_in_force(
    changes: list[LimitChange], now: float, grace_seconds: float
) -> Iterator[int]:
    for change, following in zip(changes, [*changes[1:], None], strict=True):
        replaced = following and following.accepted + grace_seconds <= now
        if change.sent <= now and not replaced:
            yield change.limit


class Load:
    """Sends requests of teams to entries in a separate thread.

    Args:
        concurrency_by_team: concurrent requests at each entry, by team.
        run_seconds: run time of each request.
    """

    def __init__(self, concurrency_by_team: dict[str, int], run_seconds: float):
        self.history: list[Attempt] = []
        self._concurrency_by_team = concurrency_by_team
        self._run_seconds = run_seconds
        self._stop = threading.Event()

    @contextlib.contextmanager
    def sending_to(self, *entries: Entry) -> Iterator["Load"]:
        """Sends requests to these entries during the block."""
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

    def wait_for_answers(
        self, count: int, team: str, since: float = 0.0
    ) -> None:
        """Waits until `count` requests sent after `since` are answered.

        Raises:
            FleetError: they were not in time; names the ends of all requests.
        """
        try:
            wait_until(
                lambda: self._count_ends(team, since)["answered"] >= count,
                f"{team} gets answers",
            )
        except FleetError as error:
            ends = dict(self._count_ends(team, since))
            raise FleetError(f"{error}; requests ended as {ends}") from error

    def _count_ends(self, team: str, since: float) -> collections.Counter[str]:
        """Counts the ends of a team's requests: "answered", or the code."""
        return collections.Counter(
            each.outcome if each.outcome == "answered" else each.code
            for each in list(self.history)
            if each.team == team and each.sent > since
        )

    async def _run(self, entries: Iterable[Entry]) -> None:
        async with asyncio.TaskGroup() as group:
            for entry in entries:
                for team, concurrency in self._concurrency_by_team.items():
                    for number in range(concurrency):
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
