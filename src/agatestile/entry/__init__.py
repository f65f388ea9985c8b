"""Takes callers' requests and finds a server for each."""
