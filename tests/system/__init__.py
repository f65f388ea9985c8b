"""Tests of a deployment of real processes, with signals and outages."""
