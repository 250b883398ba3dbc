"""Stand-ins for the platform and its minions, shared by the cases' scripts."""
