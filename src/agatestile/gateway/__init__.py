"""HTTP proxy between callers and backend servers."""
