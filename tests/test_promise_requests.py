"""Requests under faults: whole answers, true refusals, one run each."""

import asyncio
import random
import signal
import unittest

from standins.fleet import Fleet, call
from standins.history import Attempt, Execution, violations
from tests.processload import Load, broken, fleet_of

SEED = 11


class Faults:
    """Faults in an order drawn from a seed; each is undone after a while."""

    def __init__(self, fleet: Fleet, seed: int):
        self._fleet = fleet
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Injects every kind once."""
        kinds = [
            self._damaged,
            self._late,
            self._silent,
            self._minion_killed,
            self._frozen,
            self._cut,
            self._entry_killed,
        ]
        self._random.shuffle(kinds)
        for kind in kinds:
            await kind()
            await asyncio.sleep(0.3)

    def _minion(self):
        names = sorted(self._fleet.minion_by_name)
        return self._fleet.minion_by_name[self._random.choice(names)]

    def _entry(self):
        names = sorted(self._fleet.entry_by_name)
        return self._fleet.entry_by_name[self._random.choice(names)]

    async def _control(self, minion, **message) -> None:
        await asyncio.to_thread(self._fleet.control, minion.address, **message)

    async def _damaged(self) -> None:
        for minion in tuple(self._fleet.minion_by_name.values()):
            await self._control(minion, wrong_dispatch_id=3, truncate=3)
        await asyncio.sleep(0.5)

    async def _late(self) -> None:
        minion = self._minion()
        await self._control(minion, late=6.0)
        await asyncio.sleep(0.5)
        await self._control(minion, late=0.0)

    async def _silent(self) -> None:
        await self._control(self._minion(), silent=True)
        await asyncio.sleep(0.5)

    async def _minion_killed(self) -> None:
        name = self._minion().name
        await asyncio.to_thread(self._fleet.kill_minion, name)
        await asyncio.sleep(0.7)
        await asyncio.to_thread(self._fleet.restart_minion, name)

    async def _frozen(self) -> None:
        process = self._entry().process
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(2.5)
        process.send_signal(signal.SIGCONT)

    async def _cut(self) -> None:
        entries = tuple(self._fleet.entry_by_name.values())
        for entry in entries:
            other = {"dc1": "dc2", "dc2": "dc1"}[entry.data_centre]
            await asyncio.to_thread(self._fleet.cut, entry, other)
        await asyncio.sleep(2.0)
        for entry in entries:
            await asyncio.to_thread(self._fleet.cut, entry)

    async def _entry_killed(self) -> None:
        await asyncio.to_thread(self._fleet.kill, self._entry().name)
        await asyncio.sleep(1.0)


class FaultTest(unittest.TestCase):
    def test_promises_under_faults(self):
        """Guards against second runs, false refusals and foreign answers."""
        with fleet_of(2, dc1=2, dc2=2) as fleet:
            load = asyncio.run(self._load(fleet))
            found = broken(fleet, load)
        counts = load.count()
        print(counts)
        self.assertEqual(found, [])
        self.assertGreater(counts["answered"], 500)
        # The faults have reached the callers, and their repeats the owners.
        for code in (
            "outcome_unknown",
            "connection_lost",
            "owner_unreachable",
            "already_answered",
            "duplicate_request",
        ):
            self.assertGreater(counts[code], 0, code)

    async def _load(self, fleet):
        load = Load(fleet, SEED, twice=0.1)
        async with load.running(callers=8):
            await Faults(fleet, SEED).run()
        return load
