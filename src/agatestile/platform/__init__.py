"""Adapter to the platform: names, formats and calls, and no decisions."""
