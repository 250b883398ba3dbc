"""Randomized faults on real processes, with promises checked from outside."""
