"""Test doubles of the platform's services and of backend servers."""
