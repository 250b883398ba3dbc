"""Units of an entry that stops in an outage of the log, with processes."""

import time
import unittest

from standins import promises, wavebench
from standins.fleet import running_fleet, wait_until
from standins.history import most_running, read_executions
from standins.promises import LimitChange

TEAM = "red"
LIMIT = 6
MAX_RUN_SECONDS = 0.5
# Shorter than the real ones, which are 60 s and 10 s.
MARGIN_SECONDS = 1.0
LEAVE_SECONDS = 1.0
# For the other entry to show that this one is gone.
EVIDENCE_SECONDS = 3.0
# For the log to be found up again, for clock errors before the record that
# frees the units, and for the one that takes them; with room for a busy
# machine, as a quiet log would never free them.
RECORD_SECONDS = 12.0
# The design returns the units of an entry that is shown as gone after the
# longest run time and a margin.
RETURN_SECONDS = (
    EVIDENCE_SECONDS + MAX_RUN_SECONDS + MARGIN_SECONDS + RECORD_SECONDS
)
SHORT_TIMES = (
    "-c",
    "from sardinedrift import allowances, cli, entry\n"
    f"allowances.RUN_DEADLINE_MARGIN_SECONDS = {MARGIN_SECONDS}\n"
    f"entry._LEAVE_SECONDS = {LEAVE_SECONDS}\n"
    "cli.main()",
)


class UnitPromiseTest(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(running_fleet())
        self.entries = promises.start_fleet(
            self.fleet,
            {TEAM: (1.0, LIMIT)},
            ("dc1",),
            max_run_seconds=MAX_RUN_SECONDS,
            program=SHORT_TIMES,
        )

    def units(self, entry_id, observer) -> int:
        row = promises.row(observer, f"allowances/{TEAM}")
        return row["units_by_entry"].get(entry_id, 0)

    def most_since(self, since) -> int:
        """Returns the most requests that started since then and ran."""
        recent = [
            each
            for each in read_executions(self.fleet.directory)
            if each.start >= since
        ]
        return most_running(recent).get(TEAM, 0)

    def shown_gone(self) -> float:
        """Returns the time of the record that shows an entry as gone."""
        (time_of_record,) = (
            time_of_record
            for _, time_of_record, data in wavebench.records(self.fleet)
            if b'"EntryGone"' in data
        )
        return time_of_record

    def test_units_come_back_after_a_stop_in_an_outage(self):
        """Guards against units lost, or used again too early."""
        leaving, staying = self.entries
        leaving_id = self.fleet.status(leaving)["entry_id"]
        load = promises.Load({TEAM: LIMIT}, 0.3)
        with load.at(leaving):
            wait_until(
                lambda: self.units(leaving_id, staying) == LIMIT,
                "the entry that will stop holds all units",
            )
        self.fleet.control(self.fleet.log, outage=True)
        self.assertEqual(self.fleet.stop(leaving.name), 0)
        stopped = time.time()
        with load.at(staying):
            time.sleep(0.5)
            self.fleet.control(self.fleet.log, outage=False)
            wait_until(
                lambda: self.most_since(stopped) == LIMIT,
                "the whole limit is in use again",
                RETURN_SECONDS,
            )
        executions = list(read_executions(self.fleet.directory))
        first = min(e.start for e in executions if e.start > stopped)
        # Only the record that shows the entry as gone starts the wait.
        due = self.shown_gone() + MAX_RUN_SECONDS + MARGIN_SECONDS
        self.assertGreater(first, due)
        limit = [LimitChange(LIMIT, 0.0, 0.0)]
        passed = promises.limit_passed(executions, limit, 0.0)
        self.assertEqual(list(passed), [])
