"""Tests of the measurement of tenants and API keys."""

from __future__ import annotations

import pytest

from bench import tenants


@pytest.mark.parametrize("key_count", [2, 87])
def test_each_cost_is_measured(key_count: int) -> None:
    """Guards against a row whose tenants were not decoded."""
    costs = tenants.measure(key_count)
    assert costs.tenants == -(-key_count // tenants.KEYS_PER_TENANT)
    assert all(value > 0 for value in costs)
    assert costs.change_memory > costs.memory
    assert costs.to_row().count("|") == len(costs) + 1
