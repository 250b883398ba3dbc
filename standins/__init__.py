"""Stand-ins for the outside systems, for tests and demonstrations only."""
