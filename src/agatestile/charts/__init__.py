"""Statecharts in YAML files, which the program interprets."""
