"""Accepts the requests of callers and forwards each to a server."""
