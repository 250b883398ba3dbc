"""Waves over the fold: budgets hold and loans come home under any race."""

import unittest
from unittest import mock

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from sardinedrift import changes as ch
from sardinedrift import lending, maintenance
from sardinedrift.identifiers import InstanceState, WaveState, WaveStep
from tests.wave_machine import POOL, BudgetBroken, Waves

SEARCH = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=200,
    stateful_step_count=50,
    # Shrinking would repeat the whole search for minutes.
    phases=[Phase.generate],
)


def started(most, borrow):
    """Returns a machine with one entry and a wave without a canary."""
    waves = Waves()
    waves.start(most=most, per_rack=1, up=False)
    waves.start_wave(canary=0, borrow=borrow)
    return waves


class MaintenanceTest(unittest.TestCase):
    def test_budgets_hold_and_loans_come_home(self):
        """Guards P1 and P2 against races, failed racks and operators."""
        run_state_machine_as_test(Waves, settings=SEARCH)

    def test_search_finds_a_wave_without_budget_check(self):
        """Guards against a search that would pass without the mechanism."""
        off = mock.patch.object(maintenance, "check_take")
        with off, self.assertRaises(BudgetBroken):
            run_state_machine_as_test(Waves, settings=SEARCH)

    def test_search_finds_loans_without_budget_check(self):
        """Guards against lending that empties a spare pool unnoticed."""
        off = mock.patch.object(lending.budgets, "check_take")
        with off, self.assertRaises(BudgetBroken):
            run_state_machine_as_test(Waves, settings=SEARCH)

    def test_lent_instance_raises_the_budget_of_the_pool_only(self):
        """Guards against loans that have no effect, or lift a rack budget."""
        waves = started(most=1, borrow=1)
        waves.take("m0")
        waves.take("m2")
        self.assertIs(waves.instances["m2"].state, InstanceState.ACTIVE)
        waves.lend_or_return(0, "s0", home=False)
        waves.acknowledge("e1")
        self.assertEqual(waves.instances["s0"].pool_id, POOL)
        waves.take("m1")
        self.assertIs(waves.instances["m1"].state, InstanceState.ACTIVE)
        waves.take("m2")
        self.assertIs(waves.instances["m2"].state, InstanceState.DRAINING)

    def test_wave_stops_at_its_failures_and_keeps_the_rest(self):
        """Guards against a wave that goes on while nothing comes back."""
        waves = started(most=2, borrow=0)
        for name in ("m0", "m2"):
            waves.take(name)
            waves.acknowledge("e1")
            waves.progress(name, WaveStep.REBOOTING)
            # Before the return deadline a failure is rejected.
            waves.progress(name, WaveStep.FAILED)
            self.assertIs(waves.instances[name].state, InstanceState.REBOOTING)
            waves.time += 1.0
            waves.progress(name, WaveStep.FAILED)
            self.assertIs(waves.instances[name].state, InstanceState.FAILED)
        self.assertIs(waves.wave.state, WaveState.STOPPED)
        waves.take("m4")
        self.assertIs(waves.instances["m4"].state, InstanceState.ACTIVE)

    def test_removed_instance_is_skipped(self):
        """Guards against a wave that waits for what no longer exists."""
        waves = started(most=1, borrow=0)
        gone = {"expected_revision": 1, "kind": "instance", "object_id": "m0"}
        self.assertTrue(waves.apply(ch.Delete, **gone).accepted)
        waves.take("m0")
        step = waves.wave.step_by_instance["m0"]
        self.assertIs(step, WaveStep.SKIPPED)

    def test_records_without_loans_decode(self):
        """Guards against a log of an older version that cannot be read."""
        data = (
            b'{"changes":[{"type":"StartMove","change_id":"c",'
            b'"expected_revision":1,"move_id":"v","instance_id":"m",'
            b'"pool_id":"p"},{"type":"StartWave","change_id":"d",'
            b'"expected_revision":0,"wave_id":"w","pool_id":"p"}]}'
        )
        move, wave = ch.decode_batch(data).changes
        self.assertIsNone(move.wave_id)
        self.assertEqual(wave.borrow, 0)
