"""Tests of reading and validating settings."""
