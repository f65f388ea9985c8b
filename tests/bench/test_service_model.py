"""Choice of a server by many hosts, compared on one load."""

from __future__ import annotations

from bench import service_model


def test_hosts_with_servers_of_their_own_answer_more_in_time() -> None:
    """Pattern: many hosts that seldom ask the same server."""
    shape = service_model.Shape(seconds=8.0)
    outcomes = service_model.compare(shape, range(3))
    plain, homes = outcomes["plain"], outcomes["homes"]
    assert homes.in_time > plain.in_time
    assert homes.mean < plain.mean
