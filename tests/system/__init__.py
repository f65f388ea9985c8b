"""Tests with real processes and signals."""
