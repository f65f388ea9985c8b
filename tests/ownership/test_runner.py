"""Runners of several hosts with injected faults, in virtual time."""

from __future__ import annotations

import pytest

from bench import soak


@pytest.mark.parametrize("seed", [5, 6, 20])
@pytest.mark.parametrize(
    "kind", ["server-down", "leader-down", "leader-and-owner-down"]
)
def test_keys_are_served_again_within_3_seconds(kind: str, seed: int) -> None:
    """Guards against a failover that takes longer than its leases allow."""
    run = soak.run_virtual(seed, 12, (kind,), (1,))
    assert run.simulation.violations == []
    assert 0 < run.unavailable_by_kind[kind] < 3.0


def test_seed_determines_the_run() -> None:
    """Guards against failures that can't be replayed with their seed."""

    def unavailable() -> dict[str, float]:
        run = soak.run_virtual(5, 12, ("server-down", "leader-down"), (1, 2))
        return dict(run.unavailable_by_kind)

    assert unavailable() == unavailable()


@pytest.mark.parametrize(
    "kinds",
    [
        ("leader-frozen", "server-frozen"),
        ("split", "partition"),
        ("log-down", "answers-lost", "operators", "leader-down"),
    ],
)
def test_no_position_has_two_owners(kinds: tuple[str, ...]) -> None:
    """Guards against two servers that accept requests for one position."""
    run = soak.run_virtual(6, 15, kinds, (2,))
    assert run.events > 1
    assert run.simulation.violations == []
