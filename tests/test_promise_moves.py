"""Moves by two operators while an entry is frozen, with real processes."""

import asyncio
import concurrent.futures
import contextlib
import itertools
import signal
import time
import unittest
from collections.abc import Iterable, Iterator

from standins import demo, promises
from standins.caller import Caller
from standins.fleet import FleetError, running_fleet, wait_until
from standins.history import Execution, read_executions

# Each pool has a team of the same name, whose requests go only to this pool.
# So the journal of the instance shows to which pool it belonged.
OLD, LEFT, RIGHT = POOLS = ("old", "left", "right")
INSTANCE = "m"
LIMIT = 12
LAYOUT = {
    "data_centres": ("dc1", "dc2"),
    "pools": POOLS,
    "teams": dict.fromkeys(POOLS, (1.0, LIMIT)),
}
# Run time of the request at the frozen entry; it ends after the freeze.
LONG_RUN_SECONDS = 2.5
FROZEN_SECONDS = 1.5
RUN_SECONDS = 0.05


def concurrent_pools(executions: Iterable[Execution]) -> Iterator[str]:
    """Yields a line for each start during an execution of another pool."""
    for one, other in itertools.permutations(executions, 2):
        # An execution without an end is still running.
        end = one.end or float("inf")
        if one.team != other.team and one.start <= other.start < end:
            yield f"{other.team} started while {one.team} was running"


class MovePromiseTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet = self.enterContext(running_fleet())
        fleet.start_platform()
        with promises.starting_entries(
            fleet, LAYOUT["data_centres"], 2
        ) as self.entries:
            fleet.start_minion(INSTANCE, OLD, "dc1", "r0")
        fleet.publish(*demo.initial_changes(LAYOUT), atomic=True)
        fleet.publish(*demo.instance_changes(fleet), atomic=True)
        # Request ids created within the clock error after a membership change
        # are refused.
        time.sleep(1.2)

    def executions(self):
        return list(read_executions(self.fleet.directory))

    def wait_for_starts(self, team, count):
        wait_until(
            lambda: sum(e.team == team for e in self.executions()) >= count,
            f"{count} requests of {team} have started",
        )

    def move(self, pool, entry) -> str:
        """Moves the instance as an operator; returns "" or the refusal."""
        change = {
            "type": "StartMove",
            "move_id": f"to-{pool}",
            "instance_id": INSTANCE,
            "pool_id": pool,
            "expected_revision": 1,
        }
        try:
            self.fleet.publish(change, entry=entry)
        except FleetError as error:
            return str(error)
        return ""

    def move_concurrently(self, *entries) -> tuple[str, str]:
        """Moves to both pools at once; returns the new pool and the refusal."""
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            refusals = list(pool.map(self.move, (LEFT, RIGHT), entries))
        self.assertEqual(refusals.count(""), 1, refusals)
        index = refusals.index("")
        return (LEFT, RIGHT)[index], refusals[1 - index]

    @contextlib.asynccontextmanager
    async def load(self, *entries):
        """Sends requests for every pool to all entries but the first.

        Yields:
            The task of a long request, the only one to the first entry.
        """
        stop = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            long_request = group.create_task(
                self.send(OLD, entries[0], LONG_RUN_SECONDS)
            )
            await asyncio.to_thread(self.wait_for_starts, OLD, 1)
            for entry, pool in itertools.product(entries[1:], POOLS):
                group.create_task(self.keep_sending(pool, entry, stop))
            try:
                yield long_request
            finally:
                stop.set()

    async def keep_sending(self, pool, entry, stop):
        while not stop.is_set():
            await self.send(pool, entry, RUN_SECONDS)
            await asyncio.sleep(0.02)

    async def send(self, pool, entry, run_seconds):
        async with Caller(pool, f"{pool}.{demo.SECRET}", [], 0, []) as caller:
            return await caller.send(
                f"{pool}-quick",
                entry.data_centre,
                run_seconds=run_seconds,
                address=entry.callers,
            )

    async def race(self):
        """Moves concurrently while an entry is frozen.

        Returns:
            The new pool of the instance and the refusal of the other move.
        """
        frozen, near, far = self.entries[:3]
        async with self.load(frozen, near, far) as long_request:
            await asyncio.to_thread(self.wait_for_starts, OLD, 5)
            frozen.process.send_signal(signal.SIGSTOP)
            winner, refusal = await asyncio.to_thread(
                self.move_concurrently, near, far
            )
            # The entry reads this request when it resumes, before it learns
            # of the move.
            late_request = asyncio.create_task(
                self.send(OLD, frozen, RUN_SECONDS)
            )
            await asyncio.sleep(FROZEN_SECONDS)
            states = [
                promises.get_object(e, f"moves/to-{winner}")
                for e in (near, far)
            ]
            frozen.process.send_signal(signal.SIGCONT)
            await asyncio.to_thread(self.wait_for_starts, winner, 5)
            answer = await long_request
            await late_request
        self.assertEqual({row["state"] for row in states}, {"draining"})
        self.assertEqual(answer.outcome, "answered", answer)
        return winner, refusal

    def test_two_operators_race_while_an_entry_is_frozen(self):
        """Guards against concurrent work of two pools, and two moves."""
        winner, refusal = asyncio.run(self.race())
        self.assertIn("revision_conflict", refusal)
        executions = self.executions()
        self.assertEqual({e.team for e in executions}, {OLD, winner})
        self.assertEqual(list(concurrent_pools(executions)), [])
        for entry in self.entries:
            row = promises.get_object(entry, f"instances/{INSTANCE}")
            self.assertEqual(row["pool_id"], winner)


class PoolCheckTest(unittest.TestCase):
    def test_work_of_two_pools_is_noticed(self):
        """Guards against a check that overlooks work of two pools."""

        def check(*spans):
            each = [Execution("i", team, "m", *span) for team, *span in spans]
            return len(list(concurrent_pools(each)))

        self.assertEqual(check((OLD, 1, 2), (LEFT, 2, 3)), 0)
        self.assertEqual(check((OLD, 1, 2), (OLD, 1, 3)), 0)
        self.assertEqual(check((OLD, 1, 3), (LEFT, 2, 4)), 1)
        self.assertEqual(check((LEFT, 2, 3), (OLD, 1, 4)), 1)
