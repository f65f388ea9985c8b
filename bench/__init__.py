"""Demonstration, load and measurements."""
