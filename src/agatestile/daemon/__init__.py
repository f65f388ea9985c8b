"""Builds, starts and stops a daemon."""
