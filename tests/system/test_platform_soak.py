"""Promises under faults, with real processes of the program."""

from __future__ import annotations

import pytest

from bench import platform_soak


@pytest.mark.slow
@pytest.mark.parametrize("seed", [1, 2])
def test_promises_hold_under_faults(seed: int) -> None:
    outcome = platform_soak.run_soak(seed, 10.0)
    assert outcome.violations == []
    assert outcome.faults
