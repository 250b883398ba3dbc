"""Transfers: units of a team limit while the log is down."""

import unittest

from sardinedrift.transfers import Transfers
from tests.decision_fakes import FakeClock, FakeFollower, FakeLog
from tests.test_limits import World

# The work has ended by then, and its use is forgotten.
IDLE_SECONDS = 60


class TransferTest(unittest.TestCase):
    def test_units_given_in_an_outage_are_not_lost(self):
        """Guards against units that stay locked after a long outage."""
        follower = FakeFollower(FakeLog(FakeClock()))
        transfers = Transfers("e0", follower)
        transfers.give("e1", {"t": 2})
        (give,) = transfers.unsettled(now=100.0)
        self.assertEqual(list(transfers.unsettled(now=9e9)), [give])
        # Once it may be in the log, its result may be forgotten there.
        transfers.note_unknown([give], now=100.0)
        self.assertEqual(list(transfers.unsettled(now=200.0)), [give])
        self.assertEqual(list(transfers.unsettled(now=9e9)), [])
        self.assertEqual(transfers.locked("t"), 2)

    def test_only_changes_never_appended_are_cancelled(self):
        """Guards against units used twice after an unknown append."""
        transfers = Transfers("e0", FakeFollower(FakeLog(FakeClock())))
        transfers.give("e1", {"t": 2})
        transfers.note_unknown(transfers.unsettled(now=0.0), now=0.0)
        transfers.give("e1", {"t": 1})
        transfers.cancel(list(transfers.unsettled(now=0.0)))
        self.assertEqual(transfers.locked("t"), 2)


class OutageTest(unittest.TestCase):
    def setUp(self):
        self.world = World(entries=2, limit=4)
        self.addCleanup(self.world.close)
        for _ in range(4):
            self.world.start("e0")
            self.world.step("e0")
        self.holder = self.world.entry_by_id["e0"]

    def _idle(self):
        self.world.pass_time(IDLE_SECONDS)
        for _ in range(IDLE_SECONDS):
            self.world.pass_time(1.0)
            self.world.step("e0")

    def test_units_stay_usable_while_the_log_takes_no_transfer(self):
        """Guards against a team that stands still in an outage."""
        self._idle()
        self.assertEqual(self.world.give("e0", "e1", 4), {"red": 4})
        self.world.step("e0", "down")
        self.assertEqual(self.holder.limits.spare(), {"red": 4})
        self.assertEqual(self.world.give("e0", "e1", 4), {})
        self.assertTrue(all(self.world.start("e0") for _ in range(4)))

    def test_idle_units_are_offered_at_once_in_an_outage(self):
        """Guards against idle units that recent use keeps from relays."""
        self.world.finish("e0")
        self.assertEqual(self.holder.limits.spare(), {})
        self.holder.follower.log_up = False
        idle = 4 - self.world.running()
        self.assertEqual(self.holder.limits.spare(), {"red": idle})
        self.assertEqual(self.world.give("e0", "e1", 1), {})

    def test_transfers_go_on_after_an_outage(self):
        """Guards against units that no peer gets after an outage."""
        self._idle()
        self.world.give("e0", "e1", 1)
        self.world.step("e0", "down")
        self.world.pass_time(IDLE_SECONDS)
        self.assertEqual(self.world.give("e0", "e1", 1), {"red": 1})
