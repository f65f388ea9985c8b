"""One host of a deployment whose platform has a store."""
