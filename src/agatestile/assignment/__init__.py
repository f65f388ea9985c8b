"""Assignment of key ranges to servers by one elected leader."""
