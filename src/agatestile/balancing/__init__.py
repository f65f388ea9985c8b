"""Which server takes a request, and whether any may take it now."""
