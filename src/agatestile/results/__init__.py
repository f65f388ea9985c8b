"""Numbered result codes and the values that represent expected failures."""
