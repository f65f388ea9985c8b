"""Client side of the platform log."""
