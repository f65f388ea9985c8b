"""Retry budget."""

from __future__ import annotations

import pytest

from agatestile.limits import budget


def test_retries_are_a_tenth_of_recent_requests() -> None:
    """Guards against retries that double the load during an outage."""
    retry_budget = budget.RetryBudget()
    for number in range(1000):
        retry_budget.on_request(100.0 + number / 200.0)
    assert sum(retry_budget.spend(105.0) for _ in range(500)) == 100


def test_requests_older_than_the_window_do_not_count() -> None:
    """Guards against a budget that grows with past load."""
    retry_budget = budget.RetryBudget()
    for _ in range(1000):
        retry_budget.on_request(100.0)
    assert (
        sum(retry_budget.spend(111.0) for _ in range(500))
        == budget.DEFAULT_FLOOR
    )
    assert not retry_budget.spend(115.0)
    assert retry_budget.spend(122.0)


def test_first_retry_of_an_idle_daemon_is_allowed() -> None:
    """Guards against a ratio that forbids the only retry of an idle daemon."""
    retry_budget = budget.RetryBudget()
    retry_budget.on_request(1.0)
    assert retry_budget.spend(1.0)


@pytest.mark.parametrize("hosts", [1, 5, 25])
def test_repeats_of_all_hosts_stay_within_the_budget(hosts: int) -> None:
    """Guards against hosts that together exceed their common budget.

    This happens when many servers lose answers at the same time.
    """
    budgets = [
        budget.RetryBudget.for_host(0.2, 62.0, 10.0) for _ in range(hosts)
    ]
    retries = 0
    for tick in range(1000):
        now = tick * 0.01
        retry_budget = budgets[tick % hosts]
        retry_budget.on_request(now)
        if retry_budget.reserve(now, hosts):
            retry_budget.on_retry(now)
            retries += 1
    assert retries <= 0.2 * 1000 + 62
    assert retries > 0.15 * 1000
