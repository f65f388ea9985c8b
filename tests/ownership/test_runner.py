"""Runners of several hosts in virtual time, through faults."""

from __future__ import annotations

import pytest

from bench import soak


@pytest.mark.parametrize(
    "kind, bound",
    [
        ("server-down", 3.0),
        ("leader-down", 3.0),
        ("leader-and-owner-down", 3.0),
    ],
)
def test_keys_are_served_again_within_the_bound(
    kind: str, bound: float
) -> None:
    """Guards against a failover that takes longer than its leases."""
    run = soak.run_virtual(5, 25, (kind,))
    assert run.world.violations == []
    assert 0 < run.unavailable[kind] < bound


@pytest.mark.parametrize(
    "kinds",
    [
        ("leader-frozen", "server-frozen"),
        ("split", "partition"),
        ("log-down", "answers-lost", "operators", "leader-down"),
    ],
)
def test_no_position_has_two_owners(kinds: tuple[str, ...]) -> None:
    """Guards against two servers that accept orders for one position."""
    run = soak.run_virtual(6, 30, kinds)
    assert run.events > 1
    assert run.world.violations == []
