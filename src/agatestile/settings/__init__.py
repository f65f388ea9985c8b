"""Typed settings of one host."""
