"""Admin interface of a daemon, and its client."""
