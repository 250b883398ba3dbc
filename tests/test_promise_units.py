"""Units of an entry that stops during an outage of the log."""

import time
import unittest

from standins import promises, wavebench
from standins.fleet import running_fleet, wait_until
from standins.history import peak_running_by_team, read_executions
from standins.promises import LimitChange

TEAM = "red"
LIMIT = 6
MAX_RUN_SECONDS = 0.5
# Shorter than in production, where these are 60 s and 10 s.
RUN_DEADLINE_MARGIN_SECONDS = 1.0
LEAVE_SECONDS = 1.0
# Time for the other entry to record this one as gone.
EVIDENCE_SECONDS = 3.0
# Time to detect that the log is available again, for clock errors before the
# record that frees the units, and for the record that acquires them. Includes a
# margin for a busy machine, which hides no fault: without further records, the
# units would never be freed.
RECORD_SECONDS = 12.0
# Units of an entry recorded as gone are returned after the maximum run time and
# a margin.
RETURN_SECONDS = (
    EVIDENCE_SECONDS
    + MAX_RUN_SECONDS
    + RUN_DEADLINE_MARGIN_SECONDS
    + RECORD_SECONDS
)
SHORT_TIMEOUTS = (
    "-c",
    "from sardinedrift import allowances, cli, entry\n"
    f"allowances.RUN_DEADLINE_MARGIN_SECONDS = {RUN_DEADLINE_MARGIN_SECONDS}\n"
    f"entry._LEAVE_TIMEOUT_SECONDS = {LEAVE_SECONDS}\n"
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
            program=SHORT_TIMEOUTS,
        )

    def units(self, entry_id, observer) -> int:
        row = promises.get_object(observer, f"allowances/{TEAM}")
        return row["units_by_entry"].get(entry_id, 0)

    def peak_running_since(self, since) -> int:
        """Returns the peak of concurrent executions started since then."""
        recent = [
            each
            for each in read_executions(self.fleet.directory)
            if each.start >= since
        ]
        return peak_running_by_team(recent).get(TEAM, 0)

    def recorded_as_gone_at(self) -> float:
        """Returns the time of the record that marks an entry as gone."""
        (time_of_record,) = (
            time_of_record
            for _, time_of_record, data in wavebench.records(self.fleet)
            if b'"EntryGone"' in data
        )
        return time_of_record

    def test_units_come_back_after_a_stop_in_an_outage(self):
        """Guards against units that are lost or reused too early."""
        leaving, staying = self.entries
        leaving_id = self.fleet.status(leaving)["entry_id"]
        load = promises.Load({TEAM: LIMIT}, 0.3)
        with load.sending_to(leaving):
            wait_until(
                lambda: self.units(leaving_id, staying) == LIMIT,
                "the entry that will stop holds all units",
            )
        self.fleet.control(self.fleet.log, outage=True)
        self.assertEqual(self.fleet.stop(leaving.name), 0)
        stopped = time.time()
        with load.sending_to(staying):
            time.sleep(0.5)
            self.fleet.control(self.fleet.log, outage=False)
            wait_until(
                lambda: self.peak_running_since(stopped) == LIMIT,
                "the whole limit is in use again",
                RETURN_SECONDS,
            )
        executions = list(read_executions(self.fleet.directory))
        first = min(e.start for e in executions if e.start > stopped)
        # The wait starts only at the record that marks the entry as gone.
        due = (
            self.recorded_as_gone_at()
            + MAX_RUN_SECONDS
            + RUN_DEADLINE_MARGIN_SECONDS
        )
        self.assertGreater(first, due)
        limit = [LimitChange(LIMIT, 0.0, 0.0)]
        found = promises.limit_violations(executions, limit, 0.0)
        self.assertEqual(list(found), [])
