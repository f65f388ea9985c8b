"""Maps requests to keys, positions, owners and gates."""
