"""Allowances: each change takes effect at most once, however late."""

import unittest
from unittest import mock

from sardinedrift import allowances
from sardinedrift import changes as ch
from tests.decision_fakes import gone, new_change_id
from tests.limit_world import LimitMachine, World, search
from tests.sample_changes import Log, join, put_team


def unchecked():
    """Disables the check of sequence numbers."""
    return mock.patch.object(allowances, "is_folded", return_value=False)


def take(number, units=1, publisher="e1", receiver=None):
    return ch.AllowanceTake(
        publisher_id=publisher,
        sequence=number,
        receiver_id=receiver,
        units_by_team={"red": units},
    )


def give(number, units=1, publisher="e1", receiver="e2"):
    return ch.AllowanceGive(
        publisher_id=publisher,
        sequence=number,
        receiver_id=receiver,
        units_by_team={"red": units},
    )


class SequenceTest(unittest.TestCase):
    def setUp(self):
        self.log = Log()
        self.log.append(put_team(limit=8), join("e1"), join("e2", "dc2"))
        self.log.append(take(1, 4))

    @property
    def held(self):
        rows = self.log.state.tables.allowances_by_team
        return dict(rows["red"].units_by_entry)

    @property
    def numbers(self):
        return dict(self.log.state.tables.sequence_by_publisher)

    def test_repeated_change_has_no_second_effect(self):
        """Guards against units transferred twice by a repeated append."""
        self.log.append(give(2))
        (result,) = self.log.append(give(2), time=1e6)
        self.assertEqual(result.code, "already_folded")
        self.assertEqual(self.held, {"e1": 3, "e2": 1})

    def test_change_below_a_folded_number_has_no_effect(self):
        """Guards against units transferred twice by appends out of order."""
        self.log.append(give(2), give(3))
        self.log.append(give(2))
        self.assertEqual(self.held, {"e1": 2, "e2": 2})

    def test_refused_change_is_decided(self):
        """Guards against units that stay locked after a refused give."""
        (result,) = self.log.append(give(2, receiver="absent"))
        self.assertEqual(result.code, "not_active")
        self.assertEqual(self.numbers, {"e1": 2})

    def test_changes_of_an_atomic_batch_are_decided_together(self):
        """Guards against applying part of a rejected atomic batch later."""
        bad = give(3, receiver="absent")
        self.log.append(give(2), bad, atomic=True)
        self.assertEqual(self.held, {"e1": 4})
        self.assertEqual(self.log.append(give(2))[0].code, "already_folded")

    def test_number_is_kept_per_publisher(self):
        """Guards against confusing changes of publishers with equal numbers."""
        self.log.append(take(1, 2, publisher="e2", receiver="e1"))
        self.assertEqual(self.held, {"e1": 6})
        self.assertEqual(self.numbers, {"e1": 1, "e2": 1})

    def test_changes_after_the_end_of_the_publisher_are_refused(self):
        """Guards against late appends after the number was dropped."""
        leave = ch.EntryLeave(
            change_id=new_change_id(), entry_id="e1", successor_id="e2"
        )
        for end in (gone("e1"), leave):
            self.setUp()
            self.log.append(give(2))
            self.log.append(end)
            # Long after its end, the entry itself is dropped from the state.
            self.log.append(join("e3", "dc3"), time=1e6)
            self.log.append(gone("e3"), time=1e6)
            self.assertNotIn("e1", self.log.state.tables.entry_by_id)
            before = self.held
            late = give(2), give(3), take(4, receiver="e2"), take(5)
            codes = {each.code for each in self.log.append(*late)}
            self.assertEqual(codes, {"not_active"})
            self.assertEqual(self.held, before)
            self.assertEqual(self.numbers, {})

    def test_nothing_is_kept_for_each_change(self):
        """Guards against a state that grows with the number of changes."""
        rows = self.log.state.tables.result_by_change_id
        before = len(rows)
        for number in range(2, 500):
            self.log.append(take(number, 0))
        self.assertEqual(len(rows), before)
        self.assertEqual(self.numbers, {"e1": 499})


class UncheckedTest(unittest.TestCase):
    def _running(self, deliver):
        """Starts requests at both entries after a give.

        Args:
            deliver: appends the batches of the giver in a faulty way.

        Returns:
            The number of running requests; the limit of the team is 4.
        """
        world = World(entries=2, limit=4)
        self.addCleanup(world.close)
        while world.held().get("e0", 0) < 4:
            world.start("e0")
            world.step("e0")
        for _ in range(3):
            world.finish("e0")
        giver = world.entry_by_id["e0"]
        giver.limits._use("red")._recent_use = 0.0
        self.assertEqual(world.give("e0", "e1", 1), {"red": 1})
        deliver(world, giver.publisher)
        # The giver has not folded the latest records.
        world.entry_by_id["e1"].follower.fold()
        for entry_id in ("e1", "e0"):
            while world.start(entry_id):
                pass
        return world.running()

    def _repeated(self, world, publisher):
        """Appends a batch twice, because the first response was lost."""
        world.step("e0", "lost")
        world.step("e0", "twice")
        publisher.deliver()

    def _late(self, world, publisher):
        """Appends a batch days after a later one was folded."""
        world.step("e0", "late")
        world.step("e0")
        world.pass_time(3 * 86400.0)
        publisher.deliver()

    def _out_of_order(self, world, publisher):
        """Appends three batches with the give in reverse order."""
        for _ in range(3):
            world.step("e0", "late")
        for index in (2, 1, 0):
            publisher.deliver_one(index)

    def test_late_repeated_and_reordered_appends_count_once(self):
        """Guards against units used by both the giver and the receiver."""
        for deliver in (self._repeated, self._late, self._out_of_order):
            with self.subTest(deliver.__name__):
                self.assertLessEqual(self._running(deliver), 4)

    def test_appends_without_the_check_are_noticed(self):
        """Guards against cases that pass even without the sequence check."""
        for deliver in (self._repeated, self._late, self._out_of_order):
            with (
                self.subTest(deliver.__name__),
                unchecked(),
                self.assertRaisesRegex(AssertionError, "run on"),
            ):
                self._running(deliver)

    def test_search_without_the_check_is_noticed(self):
        """Guards against a search that never repeats an append."""
        with (
            unchecked(),
            self.assertRaisesRegex(AssertionError, "run on"),
        ):
            search(LimitMachine, shrink=False)
