"""Soak test of the guarantees under faults, with real processes."""

from __future__ import annotations

import pytest

from bench import platform_soak


@pytest.mark.slow
@pytest.mark.parametrize("seed", [1, 2])
def test_guarantees_hold_under_faults(seed: int) -> None:
    """Guards against violations that occur only while faults are injected."""
    outcome = platform_soak.run_soak(seed, 10.0)
    assert outcome.violations == []
    assert outcome.faults
