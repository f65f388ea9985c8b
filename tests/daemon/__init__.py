"""Tests of the assembled daemon."""
