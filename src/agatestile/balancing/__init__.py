"""Load balancing: estimates of server load and selection of a server."""
