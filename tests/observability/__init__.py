"""Tests of logging, metrics and invariant checks."""
