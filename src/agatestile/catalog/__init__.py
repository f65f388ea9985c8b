"""Configuration by the operator and directory of backend servers."""
