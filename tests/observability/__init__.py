"""Tests of logs, metrics and checks."""
