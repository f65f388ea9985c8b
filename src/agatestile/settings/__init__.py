"""Settings of one host, typed and validated."""
