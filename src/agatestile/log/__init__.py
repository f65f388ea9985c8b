"""The platform log."""
