"""Logging, metrics and runtime invariant checks."""
