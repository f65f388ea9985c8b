"""Life cycle of requests between callers and backend servers."""
