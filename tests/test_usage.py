"""Usage: counters reach other data centres whole, once, and only when new."""

import unittest

from sardinedrift.usage import FAR_SECONDS, WHOLE_SECONDS, UseTable
from tests.fakes import ManualClock


class UseTableTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.own = {"pairing": {"red": 1.0}}
        self.table = UseTable("e1", lambda: self.own, self.clock)

    def test_another_data_centre_learns_of_every_scheduler_here(self):
        """Guards against use that only the scheduler's own peers know."""
        self.table.merge({"e2": {"ranking": {"blue": 2.0}}})
        sent = self.table.outgoing("far", near=False)
        self.assertEqual(
            sent,
            {"e1": {"pairing": {"red": 1.0}}, "e2": {"ranking": {"blue": 2.0}}},
        )
        self.assertEqual(
            self.table.outgoing("near", near=True),
            {"e1": {"pairing": {"red": 1.0}}},
        )

    def test_only_grown_counters_are_sent_again(self):
        """Guards against whole tables in every exchange."""
        self.own = {"pairing": {"red": 1.0, "blue": 1.0}}
        self.table.outgoing("far", near=False)
        self.assertEqual(self.table.outgoing("far", near=False), {})
        self.clock.time += FAR_SECONDS + 0.1
        self.own = {"pairing": {"red": 1.0, "blue": 4.0}}
        self.assertEqual(
            self.table.outgoing("far", near=False),
            {"e1": {"pairing": {"blue": 4.0}}},
        )

    def test_lost_counters_are_sent_again(self):
        """Guards against a counter that stands still after a lost exchange."""
        first = self.table.outgoing("far", near=False)
        self.clock.time += WHOLE_SECONDS + 0.1
        self.assertEqual(self.table.outgoing("far", near=False), first)
