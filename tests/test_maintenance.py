"""Fold of waves: budgets hold and loans are returned under any race."""

import unittest
from unittest import mock

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from sardinedrift import budgets, lending, maintenance
from sardinedrift import changes as ch
from sardinedrift.identifiers import InstanceState, WaveState, WaveStep
from standins import capacitywaves
from tests.wave_machine import POOL, SPARE, BudgetBroken, WaveMachine

SEARCH = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=200,
    stateful_step_count=50,
    # Shrinking would repeat the search for minutes.
    phases=[Phase.generate],
)


def started(max_unavailable, borrow):
    """Returns a machine with one entry and a wave without a canary."""
    waves = WaveMachine()
    waves.start(max_unavailable=max_unavailable, per_rack=1, up=False)
    waves.start_wave(canary=0, borrow=borrow)
    return waves


class MaintenanceTest(unittest.TestCase):
    def test_budgets_hold_and_loans_are_returned(self):
        """Guards P1 and P2 against races, failed racks and operators."""
        run_state_machine_as_test(WaveMachine, settings=SEARCH)

    def test_search_finds_a_wave_without_budget_check(self):
        """Guards against a search that passes without the budget check."""
        no_check = mock.patch.object(maintenance, "check_budgets")
        with no_check, self.assertRaises(BudgetBroken):
            run_state_machine_as_test(WaveMachine, settings=SEARCH)

    def test_search_finds_loans_without_budget_check(self):
        """Guards against a search that misses an overdrawn spare pool."""
        no_check = mock.patch.object(lending.budgets, "check_budgets")
        with no_check, self.assertRaises(BudgetBroken):
            run_state_machine_as_test(WaveMachine, settings=SEARCH)

    def test_lent_instance_raises_the_budget_of_the_pool_only(self):
        """Guards against loans without effect or raising a rack budget."""
        waves = started(max_unavailable=1, borrow=1)
        waves.take("m0")
        waves.take("m2")
        self.assertIs(waves.instances["m2"].state, InstanceState.ACTIVE)
        waves.lend_or_return(0, "s0", returned=False)
        waves.acknowledge("e1")
        self.assertEqual(waves.instances["s0"].pool_id, POOL)
        waves.take("m1")
        self.assertIs(waves.instances["m1"].state, InstanceState.ACTIVE)
        waves.take("m2")
        self.assertIs(waves.instances["m2"].state, InstanceState.DRAINING)

    def test_wave_stops_at_max_failures_and_keeps_the_rest(self):
        """Guards against a wave that continues while no instance returns."""
        waves = started(max_unavailable=2, borrow=0)
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
        """Guards against a wave that waits for a removed instance."""
        waves = started(max_unavailable=1, borrow=0)
        removal = {
            "expected_revision": 1,
            "kind": "instance",
            "object_id": "m0",
        }
        self.assertTrue(waves.apply(ch.Delete, **removal).accepted)
        waves.take("m0")
        step = waves.wave.step_by_instance["m0"]
        self.assertIs(step, WaveStep.SKIPPED)

    def test_records_without_loans_decode(self):
        """Guards against records of older versions that cannot be decoded."""
        data = (
            b'{"changes":[{"type":"StartMove","change_id":"c",'
            b'"expected_revision":1,"move_id":"v","instance_id":"m",'
            b'"pool_id":"p"},{"type":"StartWave","change_id":"d",'
            b'"expected_revision":0,"wave_id":"w","pool_id":"p"}]}'
        )
        move, wave = ch.decode_batch(data).changes
        self.assertIsNone(move.wave_id)
        self.assertEqual(wave.borrow, 0)

    def test_ended_waves_and_moves_are_dropped(self):
        """Guards against a state that grows with every wave and move."""
        waves = started(max_unavailable=1, borrow=1)
        waves.lend_or_return(0, "s0", returned=False)
        self.assertEqual(len(waves.state.tables.move_by_id), 1)
        waves.acknowledge("e1")
        self.stop(waves)
        waves.time += lending.ENDED_WAVE_RETENTION_SECONDS
        waves.start_wave(canary=0, borrow=0)
        # The first wave still has to return its loan.
        self.assertEqual(list(waves.state.tables.wave_by_id), ["w0", "w1"])
        waves.apply(
            ch.StartMove,
            expected_revision=waves.instances["s0"].revision,
            move_id="home",
            instance_id="s0",
            pool_id=SPARE,
            wave_id="w0",
        )
        self.assertEqual(list(waves.state.tables.move_by_id), ["home"])
        waves.acknowledge("e1")
        self.stop(waves)
        waves.time += lending.ENDED_WAVE_RETENTION_SECONDS
        waves.start_wave(canary=0, borrow=0)
        self.assertEqual(list(waves.state.tables.wave_by_id), ["w2"])

    def test_reused_wave_id_orders_new_reboots(self):
        """Guards against a reboot token equal to that of a dropped wave."""
        waves = started(max_unavailable=1, borrow=0)
        first = waves.wave.reboot_token
        self.stop(waves)
        waves.time += lending.ENDED_WAVE_RETENTION_SECONDS
        waves.wave_ids.clear()
        waves.state.tables.wave_by_id.clear()
        waves.start_wave(canary=0, borrow=0)
        self.assertNotEqual(waves.wave.reboot_token, first)

    def stop(self, waves):
        wave = waves.wave
        result = waves.apply(
            ch.StopWave,
            expected_revision=wave.revision,
            wave_id=wave.wave_id,
        )
        self.assertTrue(result.accepted)


class WaveDriverTest(unittest.IsolatedAsyncioTestCase):
    async def test_unchanged_wave_is_not_scanned_again(self):
        """Guards against 4 ms for each pass over an unchanged 870 instances."""
        folding = capacitywaves.wave_at_budget(40)
        driver = capacitywaves.driver(folding)
        for _ in range(4):
            await driver.step()
        with mock.patch.object(
            budgets, "usage", side_effect=budgets.usage
        ) as usage:
            for _ in range(10):
                await driver.step()
            self.assertEqual(usage.call_count, 0)

    async def test_wave_continues_after_a_change(self):
        """Guards against a driver that misses a raised budget."""
        folding = capacitywaves.wave_at_budget(4)
        driver = capacitywaves.driver(folding)
        for _ in range(4):
            await driver.step()
        (wave,) = folding.state.tables.wave_by_id.values()
        self.assertEqual(wave.count(WaveStep.PENDING), 3)
        capacitywaves.widen_budget(folding)
        for _ in range(4):
            await driver.step()
        (wave,) = folding.state.tables.wave_by_id.values()
        self.assertEqual(wave.count(WaveStep.PENDING), 2)
