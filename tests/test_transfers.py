"""Transfers: units of a team limit while the log is down."""

import unittest

from sardinedrift import changes as ch
from sardinedrift.transfers import Transfers
from tests.decision_fakes import (
    FakeClock,
    FakeFollower,
    FakeLog,
    join,
    put_team,
)
from tests.limit_world import World

# After this time the requests have ended and their recent use has decayed.
IDLE_SECONDS = 60
UNITS = {"red": 4}


def _numbered(sequence):
    return {"publisher_id": "e0", "sequence": sequence}


class TransferTest(unittest.TestCase):
    def setUp(self):
        self.log = FakeLog(FakeClock())
        self.log.append(put_team(), join("e0"))
        self.log.append(ch.AllowanceTake(**_numbered(1), units_by_team=UNITS))
        self.follower = FakeFollower(self.log)
        self.follower.fold()
        self.transfers = Transfers("e0", self.follower)
        # Uses up the sequence number of the take above.
        self.transfers.take("e0", UNITS)

    def _batch(self):
        return list(self.transfers.unsettled())

    def test_units_given_in_an_outage_are_not_lost(self):
        """Guards against units that stay locked after a long outage."""
        self.transfers.give("e1", {"red": 2})
        self.transfers.mark_unknown(self._batch())
        # The number is the same, so that the change takes effect only once if
        # the first append was written after all.
        (give,) = self._batch()
        self.assertEqual(give.sequence, 2)
        self.assertEqual(self.transfers.locked("red"), 2)
        self.log.append(give)
        self.assertEqual(self._batch(), [give])
        self.follower.fold()
        self.assertEqual(self._batch(), [])
        self.assertEqual(self.transfers.locked("red"), 0)

    def test_only_changes_never_appended_are_cancelled(self):
        """Guards against using units twice after an unknown append outcome."""
        self.transfers.give("e1", {"red": 2})
        self.transfers.mark_unknown(self._batch())
        self.transfers.give("e1", {"red": 1})
        self.transfers.cancel(self._batch())
        self.assertEqual(self.transfers.locked("red"), 2)

    def test_number_of_a_cancelled_change_is_not_used_again(self):
        """Guards against confusing a new change with a cancelled one."""
        self.transfers.give("e1", {"red": 2})
        self.transfers.cancel(self._batch())
        self.transfers.return_units({"red": 1})
        (back,) = self._batch()
        self.assertEqual(back.sequence, 3)

    def test_later_change_does_not_settle_a_cancelled_one_again(self):
        """Guards against unlocking the same units twice."""
        self.transfers.give("e1", {"red": 2})
        self.transfers.cancel(self._batch())
        self.transfers.return_units({"red": 1})
        self.log.append(*self._batch())
        self.follower.fold()
        self.assertEqual(self._batch(), [])
        self.assertEqual(self.transfers.locked("red"), 0)

    def test_every_batch_holds_all_unsettled_changes_in_order(self):
        """Guards against settling a change that is in no record of the log."""
        for units in (1, 1, 1):
            self.transfers.give("e1", {"red": units})
            self.transfers.mark_unknown(self._batch())
        numbers = [each.sequence for each in self._batch()]
        self.assertEqual(numbers, [2, 3, 4])
        self.assertGreater(self.transfers.take("e0", {}).sequence, 4)

    def test_snapshot_settles_what_it_holds(self):
        """Guards against units that stay locked after loading a snapshot."""
        self.transfers.give("e1", {"red": 2})
        self.log.append(*self._batch())
        self.transfers.give("e1", {"red": 1})
        self.follower.load_snapshot()
        self.assertEqual([each.sequence for each in self._batch()], [3])
        self.assertEqual(self.transfers.locked("red"), 1)


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
        """Guards against units that nobody can use in a log outage."""
        self._idle()
        self.assertEqual(self.world.give("e0", "e1", 4), {"red": 4})
        self.world.step("e0", "down")
        self.assertEqual(self.holder.limits.spare_units(), {"red": 4})
        self.assertEqual(self.world.give("e0", "e1", 4), {})
        self.assertTrue(all(self.world.start("e0") for _ in range(4)))

    def test_idle_units_are_offered_at_once_in_an_outage(self):
        """Guards against withholding recently used units in a log outage.

        Otherwise peers cannot relay requests to this entry.
        """
        self.world.finish("e0")
        self.assertEqual(self.holder.limits.spare_units(), {})
        self.holder.follower.log_up = False
        idle = 4 - self.world.running()
        self.assertEqual(self.holder.limits.spare_units(), {"red": idle})
        self.assertEqual(self.world.give("e0", "e1", 1), {})

    def test_transfers_go_on_after_an_outage(self):
        """Guards against refusing transfers after the outage has ended."""
        self._idle()
        self.world.give("e0", "e1", 1)
        self.world.step("e0", "down")
        self.world.pass_time(IDLE_SECONDS)
        self.assertEqual(self.world.give("e0", "e1", 1), {"red": 1})

    def test_give_of_unknown_outcome_counts_once_after_an_outage(self):
        """Guards against units lost or duplicated by an outage of hours."""
        self._idle()
        for mode in ("late", "lost"):
            self.world.give("e0", "e1", 1)
            self.world.step("e0", mode)
            self.world.pass_time(7200.0)
        self.world.step("e0")
        self.holder.publisher.deliver()
        self.holder.follower.fold()
        self.assertEqual(self.world.held(), {"e0": 2, "e1": 2})
        self.assertEqual(self.holder.limits._transfers.locked("red"), 0)
        self.assertTrue(all(self.world.start("e0") for _ in range(2)))
