"""Logs, metrics and checks inside the running program."""
