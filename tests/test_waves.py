"""Waves and moves over real processes, under load and failures."""

import asyncio
import concurrent.futures
import json
import time
import unittest

from sardinedrift import budgets
from standins import demo, wavebench
from standins.caller import Caller
from standins.fleet import FleetError, running_fleet
from standins.history import read_executions, violations

TEAMS = {"red": (2.0, 24), "blue": (1.0, 24)}
LAYOUT = {"data_centres": ["dc1"], "pools": [wavebench.POOL], "teams": TEAMS}
LOST_MINION = "m5"
LONG_RUN_SECONDS = 1.0
# A guarded worker has no probe; only the instance list reports its return.
WORKER = {
    "type": "PutInstance",
    "instance_id": "w0",
    "kind": "worker",
    "data_centre_id": "dc1",
    "pool_id": wavebench.POOL,
    "rack": "r2",
    "address": "127.0.0.1:1",
}


def _publish(fleet):
    layout = {**LAYOUT, "pools": []}
    fleet.publish(
        *demo.initial_changes(layout),
        wavebench.pool_change(wavebench.POOL, 1, 2),
        wavebench.pool_change(wavebench.SPARE_POOL, 2, 1, spare=True),
        *(
            change
            for change in demo.initial_changes(LAYOUT)
            if change["type"] == "PutQueue"
        ),
        *demo.instance_changes(fleet),
        dict(WORKER),
        atomic=True,
    )


def _killed_executions(fleet):
    for path in sorted(fleet.directory.glob("*.journal")):
        for line in path.read_text().splitlines():
            event = json.loads(line)
            if event["event"] == "end" and event["ended_by"] == "killed":
                yield event["request_id"]


def _unexplained(history, executions, killed_at):
    """Returns the unknown outcomes that the killed entry does not explain.

    Requests in progress at the kill are lost with the entry. Afterwards the
    new owner of its request ids refuses, without running them, requests whose
    ids were made before it became the owner.
    """
    ran = {each.request_id for each in executions}
    return [
        each
        for each in history
        if each.outcome == "unknown"
        and not each.sent <= killed_at + 1.0 <= each.ended + 2.0
        and (each.code != "owner_is_new" or each.request_id in ran)
    ]


class WavesTest(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(running_fleet())
        self.fleet.start_platform()
        wavebench.start_pools(self.fleet)
        self.fleet.list_instance("w0", "worker", "dc1", WORKER["address"])
        self.entries = [
            self.fleet.start_entry(f"e{number}", "dc1") for number in range(3)
        ]
        self.fleet.wait_ready(*self.entries)
        _publish(self.fleet)
        # Request ids made within the clock error after a membership change
        # are refused.
        time.sleep(1.5)

    async def _run_wave(self):
        """Runs a wave under load; returns history, kill time and the wave."""
        fleet, history, stop = self.fleet, [], asyncio.Event()
        load = asyncio.gather(
            demo.send_load(LAYOUT, self.entries, history, stop),
            *(self._send_long(number, history, stop) for number in range(12)),
        )
        try:
            await asyncio.sleep(1.0)
            await asyncio.to_thread(
                wavebench.start_wave, fleet, "w", borrow=1, return_seconds=6.0
            )
            await asyncio.sleep(2.5)
            killed_at = time.time()
            await asyncio.to_thread(fleet.kill, "e0")
            wave = await asyncio.to_thread(wavebench.wait_wave, fleet, "w")
        finally:
            stop.set()
            await load
        return history, killed_at, wave

    async def _send_long(self, number, history, stop):
        """Sends requests that a reboot without a drain would cut off."""
        team = "red" if number % 2 else "blue"
        addresses = [each.callers for each in self.entries]
        key = f"{team}.{demo.SECRET}"
        async with Caller(team, key, addresses, number, history) as caller:
            while not stop.is_set():
                queue = f"{wavebench.POOL}-quick"
                await caller.send(queue, "dc1", run_seconds=LONG_RUN_SECONDS)
                # Avoids a busy loop on refusals.
                await asyncio.sleep(0.05)

    def test_wave_under_load_with_a_killed_entry_and_a_lost_minion(self):
        """Guards against unsafe reboots and loans that are not returned.

        The budgets hold in every state of the log, and only requests of the
        killed entry have an unknown outcome.
        """
        fleet = self.fleet
        fleet.control(fleet.instance_list, never_return=[LOST_MINION])
        history, killed_at, wave = asyncio.run(self._run_wave())
        steps = wave["step_by_instance"]
        self.assertEqual(wave["state"], "done", wave)
        self.assertEqual(steps.pop(LOST_MINION), "failed")
        self.assertEqual(set(steps.values()), {"back"})
        self.assertIn(WORKER["instance_id"], steps)
        self._check_budgets()
        executions = list(read_executions(fleet.directory))
        self.assertEqual(_unexplained(history, executions, killed_at), [])
        unknown = {e.request_id for e in history if e.outcome == "unknown"}
        self.assertLessEqual(set(_killed_executions(fleet)), unknown)
        answered = sum(each.outcome == "answered" for each in history)
        self.assertGreater(answered, 100)
        limits = {team: limit for team, (_, limit) in TEAMS.items()}
        self.assertEqual(list(violations(history, executions, limits)), [])

    def _check_budgets(self):
        """Checks the budgets in every state of the log."""
        loans = 0
        for state, _ in wavebench.replay(self.fleet):
            for pool in state.tables.pool_by_id.values():
                used = budgets.usage(state, pool.pool_id)
                allowed = pool.max_unavailable + used.borrowed
                self.assertLessEqual(used.unavailable, allowed)
                in_rack = max(used.unavailable_by_rack.values(), default=0)
                self.assertLessEqual(in_rack, pool.max_unavailable_per_rack)
            loans = max(loans, len(state.lent_instances()))
        self.assertEqual(loans, 1)
        self.assertEqual(state.lent_instances(), [])
        pools = {
            name: state.tables.instance_by_id[name].pool_id
            for name in ("s0", "s1")
        }
        self.assertEqual(set(pools.values()), {wavebench.SPARE_POOL})

    def test_two_operators_move_one_instance(self):
        """Guards against two concurrent moves that both succeed."""

        def move(number):
            change = {
                "type": "StartMove",
                "move_id": f"v{number}",
                "instance_id": "m0",
                "pool_id": wavebench.SPARE_POOL,
                "expected_revision": 1,
            }
            try:
                self.fleet.publish(change, entry=self.entries[number])
            except FleetError as error:
                return str(error)
            return "won"

        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            outcomes = list(pool.map(move, range(2)))
        self.assertEqual(outcomes.count("won"), 1, outcomes)
        refused = next(each for each in outcomes if each != "won")
        self.assertIn("revision_conflict", refused)
