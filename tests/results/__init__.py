"""Tests of the result codes."""
