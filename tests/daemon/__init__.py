"""Tests of the daemon as a whole."""
