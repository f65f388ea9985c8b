"""Tests of the quotas of one host."""

from __future__ import annotations

import math

import pytest

from agatestile.catalog import tenants
from agatestile.limits import quotas
from tests.limits import quota_guards

LIMITS = quotas.Limits.from_bounds(5.0, 0.1, 20.0)
NARROW = quotas.Limits(0.0, 0.0, 0)
TENANT = tenants.Tenant("shop", None, 10.0, 20.0)
NOW = 100.0


def _established(
    limits: quotas.Limits = NARROW, tenant: tenants.Tenant = TENANT
) -> quotas.HostQuotas:
    """Return the quotas of a host that a coordinator of epoch 1 knows."""
    host = quotas.HostQuotas(1, limits)
    host.configure([tenant], NOW)
    _exchange(host, NOW, needs_full=True)
    _exchange(host, NOW)
    return host


def _exchange(
    host: quotas.HostQuotas,
    now: float,
    *rows: quotas.GrantRow,
    epoch: int = 1,
    needs_full: bool = False,
) -> quotas.Report:
    report = host.report(now)
    assert report is not None
    grant = quotas.Grant(
        report.number, epoch, needs_full, not needs_full, list(rows)
    )
    host.apply(grant, now)
    return report


def _admitted(host: quotas.HostQuotas, now: float, most: int = 1000) -> int:
    """Return how many requests are admitted at once."""
    for count in range(most):
        if host.admit("shop", now).wait > 0.0:
            return count
    return most


def test_limits_stay_within_the_permitted_overshoot() -> None:
    """Guards against more than 80% of the overage and slack."""
    assert LIMITS.send_delay + LIMITS.extra_burst == pytest.approx(0.4)
    assert LIMITS.tokens == 16


def test_bucket_of_a_new_share_is_empty() -> None:
    """Guards against tokens that another host has already used."""
    host = _established()
    _exchange(host, NOW, quotas.GrantRow("shop", 0.5))
    assert _admitted(host, NOW) == 0
    assert _admitted(host, NOW + 1.0) == 5
    assert _admitted(host, NOW + 11.0) == 10


def _run_while_a_share_moves() -> int:
    """Return the requests that run in a window of 5 seconds.

    The whole share moves from one host to another in it.
    """
    first, second = _established(), _established()
    _exchange(first, NOW, quotas.GrantRow("shop", 1.0))
    ran = _admitted(first, NOW + 2.0)
    _exchange(first, NOW + 2.0, quotas.GrantRow("shop", 0.0))
    _exchange(second, NOW + 2.0, quotas.GrantRow("shop", 1.0))
    for step in range(6):
        ran += _admitted(second, NOW + 2.0 + step)
    return ran


def test_quota_holds_while_a_share_moves() -> None:
    """Guards against tokens that accrue twice."""
    # 20 at the start of the window and 10/s for 5 s.
    assert _run_while_a_share_moves() == 70


def test_full_bucket_of_a_new_share_breaks_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a test of a moving share that can't fail."""
    quota_guards.start_with_full_buckets(monkeypatch)
    assert _run_while_a_share_moves() > 70


def test_smaller_share_drops_tokens_beyond_its_capacity() -> None:
    """Guards against tokens of a share that another host has got."""
    host = _established()
    _exchange(host, NOW, quotas.GrantRow("shop", 0.5))
    _exchange(host, NOW + 4.0, quotas.GrantRow("shop", 0.1))
    assert _admitted(host, NOW + 4.0) == 2


def test_nothing_is_admitted_after_the_lease() -> None:
    """Guards against a suspended host that uses what others have got."""
    host = _established()
    _exchange(host, NOW, quotas.GrantRow("shop", 0.5, 3))
    assert _admitted(host, NOW + quotas.LEASE_SECONDS - 0.1) > 0
    assert _admitted(host, NOW + quotas.LEASE_SECONDS) == 0
    report = host.report(NOW + quotas.LEASE_SECONDS)
    assert report is not None and report.is_full
    assert all(not row.tokens and not row.share for row in report.rows)


def test_response_to_a_report_before_the_lease_ended_is_ignored() -> None:
    """Guards against shares that the coordinator thinks a host still has."""
    host = _established()
    _exchange(host, NOW, quotas.GrantRow("shop", 0.5))
    report = host.report(NOW + 11.5)
    assert report is not None and not report.is_full
    grant = quotas.Grant(report.number, 1, False, True)
    assert not host.apply(grant, NOW + quotas.LEASE_SECONDS)
    after = host.report(NOW + quotas.LEASE_SECONDS)
    assert after is not None and after.is_full


def test_late_response_is_ignored() -> None:
    """Guards against a share that the coordinator has given to others."""
    host = _established()
    earlier = host.report(NOW)
    assert earlier is not None
    host.report(NOW + 1.0)
    grant = quotas.Grant(
        earlier.number, 1, False, True, [quotas.GrantRow("shop", 1.0)]
    )
    assert not host.apply(grant, NOW + 1.0)
    assert host.totals(NOW + 1.0).shares == 0


def test_response_of_a_replaced_coordinator_is_ignored() -> None:
    """Guards against two coordinators that grant to the same host."""
    host = _established()
    _exchange(host, NOW, epoch=2, needs_full=True)
    report = host.report(NOW)
    assert report is not None and report.epoch == 2 and report.is_full
    rows = [quotas.GrantRow("shop", 1.0)]
    grant = quotas.Grant(report.number, 1, False, True, rows)
    assert not host.apply(grant, NOW)
    assert host.totals(NOW).shares == 0


def _run_with_returns(host: quotas.HostQuotas) -> int:
    """Return the requests that ran in a window of 5 seconds.

    Requests of a full bucket are refused only once it is full again.
    """
    _exchange(host, NOW, quotas.GrantRow("shop", 1.0))
    start = NOW + 3.0
    refused = [host.admit("shop", start).number for _ in range(20)]
    assert all(refused)
    ran = _admitted(host, start + 2.0)
    for number in refused:
        host.give_back("shop", number, start + 2.0)
    for second in range(6):
        ran += _admitted(host, start + 2.0 + second)
    return ran


def test_returned_tokens_stay_within_the_capacity() -> None:
    """Guards against tokens that were replaced before their return."""
    # 20 at the start of the window and 10/s for 5 s.
    assert _run_with_returns(_established()) <= 70


def test_unlimited_returns_break_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a test of returned tokens that can't fail."""
    quota_guards.give_back_any_token(monkeypatch)
    assert _run_with_returns(_established()) > 70


def test_returned_token_is_used_again() -> None:
    """Guards against a loss by requests that did not run."""
    host = _established()
    _exchange(host, NOW, quotas.GrantRow("shop", 0.05, 1))
    first = host.admit("shop", NOW)
    assert first.wait == 0.0
    assert host.admit("shop", NOW).wait > 0.0
    host.give_back("shop", first.number, NOW)
    second = host.admit("shop", NOW)
    assert second.wait == 0.0
    host.finish("shop", second.number)
    host.give_back("shop", second.number, NOW)
    assert host.admit("shop", NOW).wait > 0.0


def test_lower_quota_reduces_single_tokens() -> None:
    """Guards against a lowered quota that earlier tokens exceed."""
    limits = quotas.Limits(0.0, 0.0, 10)
    host = _established(limits)
    _exchange(host, NOW, quotas.GrantRow("shop", 0.0, 9))
    host.configure([TENANT._replace(burst=0.0)], NOW)
    assert _admitted(host, NOW) == 3


def test_lower_quota_limits_the_bucket() -> None:
    """Guards against a lowered quota that a full bucket exceeds."""
    host = _established()
    _exchange(host, NOW, quotas.GrantRow("shop", 1.0))
    host.configure([TENANT._replace(rate=2.0, burst=4.0)], NOW + 5.0)
    assert _admitted(host, NOW + 5.0) == 4
    assert _admitted(host, NOW + 6.0) == 2


@pytest.mark.parametrize(
    ("share", "waits"), [(0.5, (0.2, 0.4, 0.6)), (1.0, (0.1, 0.2, 0.3))]
)
def test_refused_callers_get_successive_times(
    share: float, waits: tuple[float, ...]
) -> None:
    """Guards against callers that return together for a single token."""
    host = _established()
    _exchange(host, NOW, quotas.GrantRow("shop", share))
    found = [host.admit("shop", NOW).wait for _ in waits]
    assert found == pytest.approx(waits)


def test_host_without_a_share_names_the_time_of_the_coordinator() -> None:
    """Guards against callers that return before there is a token."""
    host = _established()
    assert host.admit("shop", NOW).wait == quotas.COORDINATOR_WAIT_SECONDS
    _exchange(host, NOW, quotas.GrantRow("shop", 0.0, 0, 1.5))
    assert host.admit("shop", NOW).wait == pytest.approx(1.5)


def test_nothing_is_reported_without_quotas() -> None:
    """Guards against larger messages in deployments without quotas."""
    host = quotas.HostQuotas(1, LIMITS)
    host.configure([tenants.Tenant("free")], NOW)
    assert host.report(NOW) is None
    assert host.admit("free", NOW) == quotas.UNLIMITED
    assert host.admit("unknown", NOW) == quotas.UNLIMITED
    assert host.report(NOW) is None


def test_undelivered_demand_is_reported_again() -> None:
    """Guards against demand that is lost with a report."""
    host = _established()
    host.admit("shop", NOW)
    first = host.report(NOW)
    assert first is not None and first.is_urgent
    host.admit("shop", NOW + 1.0)
    second = host.report(NOW + 1.0)
    assert second is not None
    assert [row.demand for row in second.rows] == [2]
    host.apply(quotas.Grant(second.number, 1, False, True), NOW + 1.0)
    third = host.report(NOW + 1.0)
    assert third is not None and third.rows == []


def test_report_has_a_limited_size() -> None:
    """Guards against reports that exceed the budget of a host's link."""
    found = [
        tenants.Tenant(f"shop-{index}", None, 1.0) for index in range(999)
    ]
    host = _established()
    host.configure(found, NOW)
    for one in found:
        host.admit(one.name, NOW)
    reported: set[str] = set()
    for step in range(10):
        report = _exchange(host, NOW + step)
        assert len(report.rows) <= quotas.MAX_REPORT_ROWS
        reported |= {row.tenant for row in report.rows}
    assert len(reported) == len(found)


@pytest.mark.parametrize(
    "tenant",
    [
        TENANT._replace(rate=0.01, burst=0.0),
        TENANT._replace(rate=1e9, burst=1e9),
        TENANT._replace(rate=0.5, burst=0.25),
    ],
)
def test_unusual_quotas_give_a_finite_wait(tenant: tenants.Tenant) -> None:
    """Guards against an overflow or a division by zero."""
    host = _established(LIMITS, tenant)
    _exchange(host, NOW, quotas.GrantRow("shop", 1e-6, 1))
    assert _admitted(host, NOW, 50) >= 1
    assert math.isfinite(host.admit("shop", NOW).wait)
