"""State charts, kept in YAML files that the program interprets."""
