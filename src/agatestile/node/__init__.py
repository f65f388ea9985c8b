"""Runs a host of a deployment whose platform provides a store."""
