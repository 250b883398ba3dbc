"""Stand-ins for external systems, used only by tests, benchmarks and demos."""
