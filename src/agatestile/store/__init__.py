"""Port to the store that keeps what must last."""
