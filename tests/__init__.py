"""Tests of sardinedrift, one module per module of the package."""
