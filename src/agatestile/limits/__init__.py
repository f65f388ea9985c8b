"""Limits on the load of backend servers."""
