"""Bounds that hosts keep together."""

from __future__ import annotations

import collections

import pytest

from agatestile.balancing import limits


@pytest.mark.parametrize("hosts", [1, 5, 25])
def test_repeats_of_all_hosts_stay_within_the_budget(hosts: int) -> None:
    """Pattern: answers lost at many servers."""
    budgets = [limits.RetryBudget(0.2, 62.0, 10.0) for _ in range(hosts)]
    repeats = 0
    for tick in range(1000):
        now = tick * 0.01
        budget = budgets[tick % hosts]
        budget.on_request(now)
        if budget.allows(now, hosts):
            budget.spend(now)
            repeats += 1
    assert repeats <= 0.2 * 1000 + 62
    assert repeats > 0.15 * 1000


def test_split_follows_weights_exactly() -> None:
    split = limits.WeightedSplit([90.0, 10.0])
    counts = collections.Counter(split.next() for _ in range(100))
    assert counts == {0: 90, 1: 10}
