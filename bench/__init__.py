"""Demonstration, load generators, fault soaks and measurements."""
