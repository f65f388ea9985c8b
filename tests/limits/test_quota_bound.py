"""Model-based tests of quotas in virtual time."""

from __future__ import annotations

import typing

import pytest

from agatestile.catalog import tenants
from agatestile.node import settings
from tests.limits import quota_guards
from tests.limits import quota_model

TENANTS = (
    tenants.Tenant("large", None, 60.0, 60.0),
    tenants.Tenant("mid", None, 20.0, 10.0),
)
NARROW_BOUNDS = settings.Bounds(quota_overage=0.0, quota_slack=5.0)
"""Bounds with little reserve, which show each additional request."""

MOST_SEEDS = 60
"""Schedules of which one has to show a missing guard; most need fewer than
five."""

SERVED_TENANTS = (
    tenants.Tenant("large", None, 120.0, 120.0),
    tenants.Tenant("mid", None, 40.0, 40.0),
    tenants.Tenant("small", None, 10.0, 10.0),
    tenants.Tenant("rare", None, 2.0, 2.0),
)
USUAL_DEMAND = 1.0 / 1.6


def _fault(seed: int, fault_rate: float) -> str:
    """Return which bound is broken, empty if none is."""
    cluster = quota_model.Cluster(seed, 4, fault_rate, TENANTS, NARROW_BOUNDS)
    cluster.run(60.0, cluster.offer_greedily)
    excess = cluster.worst_excess()
    if not cluster.broken and excess > 0:
        return f"{excess} requests too many in a window"
    return cluster.broken


@pytest.mark.parametrize("seed", range(12))
def test_bound_holds_with_narrow_bounds(seed: int) -> None:
    """Guards against shares and tokens that two hosts use."""
    assert _fault(seed, (0.2, 0.5, 1.0)[seed % 3]) == ""


@pytest.mark.parametrize("seed", range(12))
def test_bound_holds_with_usual_bounds(seed: int) -> None:
    """Guards against the same with single tokens on all hosts."""
    fault_rate = (0.1, 0.3, 0.6)[seed % 3]
    cluster = quota_model.Cluster(1000 + seed, 6, fault_rate)
    cluster.run(60.0, cluster.offer_greedily)
    assert cluster.broken == ""
    assert cluster.worst_excess() <= 0.0
    assert len(cluster.ran_by_tenant["large"]) > 300


@pytest.mark.parametrize("guard", quota_guards.DETECTED)
def test_bound_breaks_without_a_guard(
    guard: typing.Callable[[pytest.MonkeyPatch], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a model that cannot show the fault of a guard."""
    guard(monkeypatch)
    assert any(_fault(seed, 0.5) for seed in range(MOST_SEEDS))


@pytest.mark.parametrize("seed", range(2))
def test_usual_demand_is_served_without_faults(seed: int) -> None:
    """Guards against refusals of tenants below their quota.

    A refused caller returns once, after the time that it was told.
    """
    cluster = quota_model.Cluster(seed, 36, 0.0, SERVED_TENANTS)
    offer: typing.Callable[[], None] = lambda: cluster.offer_demand(
        USUAL_DEMAND
    )
    cluster.run(10.0, offer)
    start = cluster.now
    cluster.run(40.0, offer)
    assert cluster.served("large", start) > 0.97
    assert cluster.served("mid", start) > 0.93
    assert cluster.served("small", start) > 0.85
    assert cluster.served("rare", start) > 0.8


@pytest.mark.parametrize("seed", range(4))
def test_tenants_are_served_after_a_restart_of_all_hosts(seed: int) -> None:
    """Guards against a wait for leases of processes that have ended."""
    cluster = quota_model.Cluster(seed, 36, 0.0, SERVED_TENANTS)
    offer: typing.Callable[[], None] = lambda: cluster.offer_demand(
        USUAL_DEMAND
    )
    cluster.run(10.0, offer)
    for host in cluster.hosts:
        cluster.restart(host, cluster.random.uniform(0.2, 2.0))
    cluster.run(5.0, offer)
    start = cluster.now
    cluster.run(5.0, offer)
    assert cluster.served("large", start) > 0.9
    assert cluster.served("mid", start) > 0.75


@pytest.mark.parametrize("seed", range(2))
def test_overload_is_served_at_about_the_quota(seed: int) -> None:
    """Guards against a served rate far below the quota."""
    cluster = quota_model.Cluster(seed, 36, 0.0, SERVED_TENANTS)
    cluster.run(10.0, lambda: cluster.offer_demand(USUAL_DEMAND))
    start = cluster.now
    cluster.run(10.0, lambda: cluster.offer_demand(3.0))
    for one in SERVED_TENANTS[:3]:
        ran = [at for at in cluster.ran_by_tenant[one.name] if at >= start]
        assert len(ran) > 0.85 * one.rate * 10.0
    assert cluster.worst_excess() <= 0.0
