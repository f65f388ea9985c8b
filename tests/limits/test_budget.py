"""Retry budget."""

from __future__ import annotations

import pytest

from agatestile.limits import budget


def test_retries_are_a_tenth_of_recent_requests() -> None:
    # Without the bound, an outage doubles the load.
    made = budget.RetryBudget()
    for number in range(1000):
        made.on_request(100.0 + number / 200.0)
    assert sum(made.spend(105.0) for _ in range(500)) == 100


def test_requests_older_than_the_window_do_not_count() -> None:
    made = budget.RetryBudget()
    for _ in range(1000):
        made.on_request(100.0)
    assert sum(made.spend(111.0) for _ in range(500)) == budget.DEFAULT_FLOOR
    assert not made.spend(115.0)
    assert made.spend(122.0)


def test_first_retry_of_a_quiet_daemon_is_allowed() -> None:
    made = budget.RetryBudget()
    made.on_request(1.0)
    assert made.spend(1.0)


@pytest.mark.parametrize("hosts", [1, 5, 25])
def test_repeats_of_all_hosts_stay_within_the_budget(hosts: int) -> None:
    """Pattern: answers lost at many servers."""
    budgets = [
        budget.RetryBudget.for_host(0.2, 62.0, 10.0) for _ in range(hosts)
    ]
    repeats = 0
    for tick in range(1000):
        now = tick * 0.01
        made = budgets[tick % hosts]
        made.on_request(now)
        if made.allows(now, hosts):
            made.on_retry(now)
            repeats += 1
    assert repeats <= 0.2 * 1000 + 62
    assert repeats > 0.15 * 1000
