"""Interface to the persistent store."""
