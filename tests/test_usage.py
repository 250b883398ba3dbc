"""Usage: all counters reach other data centres, and only those that grew."""

import unittest

from sardinedrift.usage import (
    FULL_INTERVAL_SECONDS,
    REMOTE_INTERVAL_SECONDS,
    UseTable,
)
from tests.fakes import ManualClock


class UseTableTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.own = {"pairing": {"red": 1.0}}
        self.table = UseTable("e1", lambda: self.own, self.clock)

    def test_another_data_centre_receives_the_counters_of_all_schedulers(self):
        """Guards against use that is not forwarded to other data centres."""
        self.table.merge({"e2": {"ranking": {"blue": 2.0}}})
        sent = self.table.outgoing("far", is_local=False)
        self.assertEqual(
            sent,
            {"e1": {"pairing": {"red": 1.0}}, "e2": {"ranking": {"blue": 2.0}}},
        )
        self.assertEqual(
            self.table.outgoing("near", is_local=True),
            {"e1": {"pairing": {"red": 1.0}}},
        )

    def test_only_grown_counters_are_sent_again(self):
        """Guards against whole tables in every exchange."""
        self.own = {"pairing": {"red": 1.0, "blue": 1.0}}
        self.table.outgoing("far", is_local=False)
        self.assertEqual(self.table.outgoing("far", is_local=False), {})
        self.clock.time += REMOTE_INTERVAL_SECONDS + 0.1
        self.own = {"pairing": {"red": 1.0, "blue": 4.0}}
        self.assertEqual(
            self.table.outgoing("far", is_local=False),
            {"e1": {"pairing": {"blue": 4.0}}},
        )

    def test_lost_counters_are_sent_again(self):
        """Guards against counters that stay old after a lost exchange."""
        first = self.table.outgoing("far", is_local=False)
        self.clock.time += FULL_INTERVAL_SECONDS + 0.1
        self.assertEqual(self.table.outgoing("far", is_local=False), first)
