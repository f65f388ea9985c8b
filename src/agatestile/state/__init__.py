"""State that every host derives from the platform's log."""
