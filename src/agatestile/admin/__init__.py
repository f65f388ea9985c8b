"""Operators' interface of a daemon, and its client."""
