"""Waves over two data centres under failure, with real processes."""

import asyncio
import contextlib
import math
import time
import unittest
from collections.abc import Iterator

from sardinedrift.routing import rendezvous
from standins import demo, downtimes, promises, wavebench
from standins.caller import Caller
from standins.fleet import running_fleet, wait_until
from standins.history import read_executions, violations

DATA_CENTRES = ("dc1", "dc2")
TEAM = "red"
LIMIT = 60
POOL = wavebench.POOL
LAYOUT = {
    "data_centres": DATA_CENTRES,
    "pools": [],
    "teams": {TEAM: (1, LIMIT)},
}
MAX_UNAVAILABLE = 2
MAX_UNAVAILABLE_PER_RACK = 1
RUN_SECONDS = 0.6
CALLERS_PER_ENTRY = 4
# Longer than the time after which a silent entry of another data centre counts
# as dead.
BLOCK_SECONDS = 3.5


def _configuration(fleet) -> Iterator[dict]:
    yield from demo.initial_changes(LAYOUT)
    yield wavebench.pool_change(POOL, MAX_UNAVAILABLE, MAX_UNAVAILABLE_PER_RACK)
    for change in demo.initial_changes({**LAYOUT, "pools": [POOL]}):
        if change["type"] == "PutQueue":
            yield change
    yield from demo.instance_changes(fleet)


class Load:
    """Sends long requests to every entry, for its own data centre."""

    def __init__(self, entries):
        self.history = []
        self.entry_by_request = {}
        self._entries = entries
        self._stop = asyncio.Event()

    @contextlib.asynccontextmanager
    async def running(self):
        """Sends requests during the block; all have ended after it."""
        async with asyncio.TaskGroup() as group:
            for number in range(CALLERS_PER_ENTRY):
                for entry in self._entries:
                    group.create_task(self._send(entry, number))
            try:
                yield self
            finally:
                self._stop.set()

    async def _send(self, entry, number):
        key = f"{TEAM}.{demo.SECRET}"
        # Staggered, so that some requests are in progress at any time.
        await asyncio.sleep(number * RUN_SECONDS / CALLERS_PER_ENTRY)
        async with Caller(TEAM, key, [], number, self.history) as caller:
            while not self._stop.is_set():
                result = await caller.send(
                    f"{POOL}-quick",
                    entry.data_centre,
                    run_seconds=RUN_SECONDS,
                    address=entry.callers,
                )
                self.entry_by_request[result.request_id] = entry.name
                if result.outcome != "answered":
                    await asyncio.sleep(0.1)


class WavePromiseTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet = self.enterContext(running_fleet())
        fleet.start_platform()
        self.rack_by_minion = {}
        with promises.starting_entries(fleet, DATA_CENTRES, 2) as self.entries:
            for name in DATA_CENTRES:
                for number in range(3):
                    self.start_minion(name, number)
        fleet.publish(*_configuration(fleet), atomic=True)
        # Request ids created within the clock error after a membership change
        # are refused.
        time.sleep(1.2)

    def start_minion(self, data_centre, number):
        name, rack = f"{data_centre}-m{number}", f"r{number // 2}"
        self.rack_by_minion[name] = f"{data_centre}-{rack}"
        self.fleet.start_minion(name, POOL, data_centre, rack)

    def driver(self, data_centre):
        """Returns the entry that drives the wave in a data centre."""
        entry_by_id = {
            self.fleet.status(each)["entry_id"]: each
            for each in self.entries
            if each.data_centre == data_centre
        }
        return entry_by_id[rendezvous(f"wave/w/{data_centre}", entry_by_id)]

    async def run_wave(self):
        """Runs a wave under load and failures."""
        load = Load(self.entries)
        async with load.running():
            await asyncio.to_thread(
                wait_until,
                lambda: len(load.history) >= 2 * len(self.entries),
                "requests are answered",
            )
            await asyncio.to_thread(
                wavebench.start_wave, self.fleet, "w", canary=0
            )
            await asyncio.to_thread(self.cause_failures)
            wave = await asyncio.to_thread(wavebench.wait_wave, self.fleet, "w")
        return load, wave

    def cause_failures(self):
        """Injects failures of the instance list, of links and of a driver."""
        fleet = self.fleet
        wait_until(
            lambda: len(downtimes.read_downtimes(fleet)) >= MAX_UNAVAILABLE,
            "as many reboots as the budget allows",
        )
        fleet.control(fleet.instance_list, outage=True)
        blocked_at = time.monotonic()
        for entry in self.entries:
            # Isolates the entries of dc2 also from each other, so that both
            # drive the wave.
            blocked = ("dc2",) if entry.data_centre == "dc1" else DATA_CENTRES
            fleet.set_blocked_peers(entry, *blocked)
        time.sleep(0.5)
        self.killed_entry = self.driver("dc1").name
        fleet.kill(self.killed_entry)
        time.sleep(1.5)
        fleet.control(fleet.instance_list, outage=False)
        time.sleep(blocked_at + BLOCK_SECONDS - time.monotonic())
        for entry in fleet.entry_by_name.values():
            fleet.set_blocked_peers(entry)

    def find_violations(self):
        """Returns the violations in the records of the platform."""
        reboots = downtimes.read_downtimes(self.fleet)
        pool_by_minion = dict.fromkeys(self.rack_by_minion, POOL)
        return [
            *downtimes.budget_violations(
                reboots, pool_by_minion, MAX_UNAVAILABLE
            ),
            *downtimes.budget_violations(
                reboots, self.rack_by_minion, MAX_UNAVAILABLE_PER_RACK
            ),
            *downtimes.repeatedly_rebooted(reboots),
        ]

    def test_wave_over_two_data_centres_under_failure(self):
        """Guards against unsafe reboots in a wave.

        The budgets hold, each instance is rebooted once, and no request is
        interrupted.
        """
        load, wave = asyncio.run(self.run_wave())
        self.assertEqual(wave["state"], "done", wave)
        self.assertEqual(set(wave["step_by_instance"].values()), {"back"})
        reboots = downtimes.read_downtimes(self.fleet)
        self.assertEqual(
            sorted(each.instance_id for each in reboots),
            sorted(self.rack_by_minion),
        )
        self.assertEqual(self.find_violations(), [])
        self.assertEqual(downtimes.interrupted_executions(self.fleet), [])
        unknown = [
            each
            for each in load.history
            if each.outcome == "unknown"
            and load.entry_by_request[each.request_id] != self.killed_entry
        ]
        self.assertEqual(unknown, [])
        executions = list(read_executions(self.fleet.directory))
        found = violations(load.history, executions, {TEAM: LIMIT})
        self.assertEqual(list(found), [])


class DowntimeCheckTest(unittest.TestCase):
    def test_reboots_above_a_budget_are_noticed(self):
        """Guards against a check of budgets that overlooks a reboot."""
        group = dict.fromkeys("abc", "pool")

        def check(*reboots):
            each = [downtimes.Downtime(*reboot) for reboot in reboots]
            return len(list(downtimes.budget_violations(each, group, 1)))

        self.assertEqual(check(("a", 1, 2), ("b", 2, 3)), 0)
        self.assertEqual(check(("a", 1, 3), ("b", 2, 4)), 1)
        self.assertEqual(check(("a", 1, math.inf), ("b", 9, 10)), 1)
        group["b"] = "other"
        self.assertEqual(check(("a", 1, 3), ("b", 2, 4)), 0)

    def test_second_reboot_is_noticed(self):
        """Guards against a check that overlooks maintenance done twice."""
        reboots = [downtimes.Downtime("a", 1, 2), downtimes.Downtime("b", 1, 2)]
        self.assertEqual(downtimes.repeatedly_rebooted(reboots), [])
        reboots.append(downtimes.Downtime("a", 5, 6))
        self.assertEqual(downtimes.repeatedly_rebooted(reboots), ["a"])
