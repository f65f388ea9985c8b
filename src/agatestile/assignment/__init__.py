"""Which server owns which keys, decided by one host at a time."""
