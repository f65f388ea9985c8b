"""Replicated state that every host derives from the platform's log."""
