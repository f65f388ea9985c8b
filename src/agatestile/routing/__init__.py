"""Maps keys to positions, owning servers and their gates."""
