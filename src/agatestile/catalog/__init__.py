"""What the operator configured and which backend servers there are."""
