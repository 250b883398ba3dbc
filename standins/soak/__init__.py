"""Soak test: random faults on real processes, checked from the outside."""
