"""Stand-ins for the operators' platform, by its published protocol."""
