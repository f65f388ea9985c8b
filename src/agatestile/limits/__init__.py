"""Limits on the load of backend servers and on retries."""
