"""Stand-ins for the operators' platform that follow its protocol."""
