"""Tests of the admin interface."""
