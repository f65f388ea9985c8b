"""Assembly and life cycle of a daemon."""
