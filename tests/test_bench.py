"""Statistics of the benchmarks and of the capacity measurements."""

import unittest

from standins.benchloads import slot_seconds
from standins.capacity import fit
from standins.history import Execution


class ArithmeticTest(unittest.TestCase):
    def test_fit_of_exact_points(self):
        """Guards against a wrong slope in the capacity measurements."""
        intercept, slope, r_squared = fit([1, 2, 4], [5.0, 7.0, 11.0])
        self.assertAlmostEqual(intercept, 3.0)
        self.assertAlmostEqual(slope, 2.0)
        self.assertAlmostEqual(r_squared, 1.0)

    def test_slot_seconds_are_cut_to_the_window(self):
        """Guards against shares that count work outside of the window."""
        executions = [
            Execution("1", "red", "m", 0.0, 12.0),
            Execution("2", "blue", "m", 19.0, None),
            Execution("3", "blue", "m", 30.0, 31.0),
        ]
        used = slot_seconds(executions, 10.0, 20.0)
        self.assertEqual(used, {"red": 2.0, "blue": 1.0})
