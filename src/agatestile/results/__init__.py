"""Numbered result codes and the values that carry expected failures."""
