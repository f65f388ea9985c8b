"""The platform list of hosts."""
