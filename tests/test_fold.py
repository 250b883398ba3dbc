"""Fold: the same records give the same state, and races have one winner."""

import unittest

from sardinedrift import changes as ch
from sardinedrift import fold, snapshots
from sardinedrift.identifiers import InstanceState
from sardinedrift.jsoncodec import MAX_DEPTH
from tests.sample_changes import (
    Log,
    drain_ack,
    gone,
    join,
    join_ack,
    new_change_id,
    put_data_centre,
    put_instance,
    put_pool,
    put_queue,
    put_team,
    start_move,
)


class FoldTest(unittest.TestCase):
    def test_race_has_one_winner(self):
        """Guards against two operators both editing the same revision."""
        log = Log()
        log.append(put_team())
        first, second = log.append(
            put_team(revision=1, limit=5), put_team(revision=1, limit=9)
        )
        self.assertTrue(first.accepted)
        self.assertEqual(second.code, "revision_conflict")
        self.assertEqual(log.state.tables.team_by_id["red"].limit, 5)

    def test_a_record_nested_too_deeply_contains_no_changes(self):
        """Guards against one record that stops all readers of the log.

        Nor may it depend on a reader's stack whether it contains changes.
        """
        for depth in (MAX_DEPTH + 1, 600, 100_000):
            log = Log()
            log.append(put_team())
            more = b"[" * depth + b"]" * depth
            encoded = ch.encode_batch(ch.Batch((put_team("blue"),)))
            nested = encoded[:-1] + b',"more":' + more + b"}"
            log.records.append((5.0, nested))
            results = fold.apply_record(log.state, 1, 5.0, nested)
            self.assertEqual(results, [])
            self.assertNotIn("blue", log.state.tables.team_by_id)
            (later,) = log.append(put_team(revision=1, limit=5))
            self.assertTrue(later.accepted)

    def test_repeated_change_id_is_applied_once(self):
        """Guards against a repeated append after a lost answer."""
        log = Log()
        change = put_team()
        (first,) = log.append(change)
        (again,) = log.append(change)
        self.assertEqual(first, again)
        self.assertEqual(log.state.tables.team_by_id["red"].revision, 1)

    def test_atomic_batch_applies_nothing_in_part(self):
        """Guards against a partly applied import."""
        log = Log()
        results = log.append(
            put_pool(), put_instance("m1", pool_id="absent"), atomic=True
        )
        self.assertFalse(any(each.accepted for each in results))
        self.assertEqual(log.state.tables.pool_by_id, {})

    def test_snapshot_restores_the_same_state(self):
        """Guards against tables that a snapshot leaves out."""
        log = Log()
        log.append(put_team(), put_pool(), put_data_centre(), join("e1"))
        log.append(put_instance("m1"))
        batch = ch.Batch(tuple(snapshots.chunks(log.state, "s1")))
        restored = snapshots.newest([batch])
        self.assertEqual(
            snapshots.encode(restored), snapshots.encode(log.state)
        )
        self.assertEqual(len(restored.instances_at("dc1", "pairing")), 1)

    def test_unreadable_record_is_skipped(self):
        """Guards against a reader that stops at a record it cannot read."""
        log = Log()
        self.assertEqual(fold.apply_record(log.state, 0, 0.0, b"{"), [])
        self.assertEqual(log.state.offset, 0)


class AllowanceTest(unittest.TestCase):
    def _take(self, log, entry_id, units):
        log.append(
            ch.AllowanceTake(
                publisher_id=entry_id,
                sequence=len(log.records),
                units_by_team={"red": units},
            )
        )

    def test_sum_of_units_never_passes_the_limit(self):
        """Guards against two entries taking the same units."""
        log = Log()
        log.append(put_team(limit=4), join("e1"), join("e2", "dc2"))
        self._take(log, "e1", 3)
        self._take(log, "e2", 3)
        held = log.state.tables.allowances_by_team["red"].units_by_entry
        self.assertEqual(held, {"e1": 3, "e2": 1})

    def test_units_of_a_gone_entry_wait_for_its_last_work(self):
        """Guards against exceeding a limit by work of an entry that ended."""
        log = Log()
        log.append(put_team(limit=4), put_pool(), join("e1"))
        log.append(put_queue("q", max_run_seconds=100.0))
        self._take(log, "e1", 4)
        log.append(gone("e1"), join("e2"), time=10.0)
        log.append(time=169.0)
        self.assertEqual(log.state.unallocated("red"), 0)
        log.append(time=170.0)
        self.assertEqual(log.state.unallocated("red"), 4)


class DrainTest(unittest.TestCase):
    def _log(self, **pool):
        log = Log()
        log.append(put_data_centre(), put_pool(**pool), put_pool("spare"))
        for number in range(4):
            log.append(put_instance(f"m{number}", rack=f"r{number % 2}"))
        log.append(join("e1"))
        log.append(join("e2"))
        log.append(join_ack("e1", "e2"))
        return log

    def test_move_waits_for_every_member(self):
        """Guards against an instance used by two pools at once."""
        log = self._log()
        log.append(start_move("m0", "spare"))
        log.append(drain_ack(log.state, "m0", "e1"))
        self.assertEqual(
            log.state.tables.instance_by_id["m0"].pool_id, "pairing"
        )
        log.append(drain_ack(log.state, "m0", "e2"))
        self.assertEqual(log.state.tables.instance_by_id["m0"].pool_id, "spare")

    def test_second_move_of_an_instance_is_rejected(self):
        """Guards against two operators moving one instance."""
        log = self._log()
        first, second = log.append(
            start_move("m0", "spare", "v1"), start_move("m0", "spare", "v2")
        )
        self.assertTrue(first.accepted)
        self.assertEqual(second.code, "revision_conflict")

    def test_wave_counts_failed_instances_in_its_budget(self):
        """Guards against draining instances during correlated failures."""
        log = self._log(max_unavailable=2, max_unavailable_per_rack=1)
        wave = ch.StartWave(
            change_id=new_change_id(),
            expected_revision=0,
            wave_id="w",
            pool_id="pairing",
            canary=0,
        )
        down = ch.InstanceObserved(
            change_id=new_change_id(), instance_id="m2", up=False
        )
        take = ch.WaveTake(
            change_id=new_change_id(), wave_id="w", instance_id="m0"
        )
        results = log.append(wave, down, take)
        self.assertEqual(results[-1].code, "budget_exhausted")
        take = ch.WaveTake(
            change_id=new_change_id(), wave_id="w", instance_id="m1"
        )
        self.assertTrue(log.append(take)[0].accepted)
        self.assertIs(
            log.state.tables.instance_by_id["m1"].state,
            InstanceState.DRAINING,
        )
