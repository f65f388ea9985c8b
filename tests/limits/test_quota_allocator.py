"""Tests of the allocation of quotas to hosts."""

from __future__ import annotations

import pytest

from agatestile.catalog import tenants
from agatestile.limits import quota_allocator
from agatestile.limits import quotas
from tests.limits import quota_guards

LIMITS = quotas.Limits(0.0, 0.0, 4)
LARGE = tenants.Tenant("large", None, 100.0, 100.0)
SMALL = tenants.Tenant("small", None, 2.0, 2.0)
NOW = 100.0


class _Host:
    def __init__(self, name: str, process: int = 1) -> None:
        self.name = name
        self.quotas = quotas.HostQuotas(process, LIMITS)
        self.quotas.configure([LARGE, SMALL], NOW)

    def report(
        self,
        allocator: quota_allocator.QuotaAllocator,
        now: float,
        is_lost: bool = False,
    ) -> quotas.Grant | None:
        """Report and apply the response, or lose it."""
        report = self.quotas.report(now)
        assert report is not None
        allocator.receive(self.name, report, now)
        grant = allocator.grant(self.name, report.number, now)
        if grant is not None and not is_lost:
            self.quotas.apply(grant, now)
        return grant

    def share(self, tenant: str, now: float) -> float:
        self.quotas._expire(now)
        bucket = self.quotas._bucket_by_tenant.get(tenant)
        return 0.0 if bucket is None else bucket.share

    def request(self, tenant: str, count: int, now: float) -> int:
        """Return how many of some requests are admitted."""
        return sum(
            self.quotas.admit(tenant, now).wait == 0.0 for _ in range(count)
        )


def _allocator(
    *hosts: str, epoch: int = 1, is_settled: bool = True
) -> quota_allocator.QuotaAllocator:
    allocator = quota_allocator.QuotaAllocator(epoch, hosts, LIMITS)
    allocator.configure([LARGE, SMALL], NOW)
    allocator.advance(is_settled, NOW)
    return allocator


def _run(
    allocator: quota_allocator.QuotaAllocator,
    hosts: list[_Host],
    seconds: float,
    requests: dict[str, int],
    start: float = NOW,
) -> float:
    """Let hosts report four times per second; return the time."""
    now = start
    while now < start + seconds:
        now += 0.25
        allocator.advance(True, now)
        for host in hosts:
            host.request("large", requests.get(host.name, 0), now)
            host.report(allocator, now)
    return now


def test_shares_follow_demand() -> None:
    """Guards against a loss by shares on hosts without demand."""
    first, second = _Host("first"), _Host("second")
    allocator = _allocator("first", "second")
    now = _run(allocator, [first, second], 8.0, {"first": 15, "second": 5})
    assert 0.55 < first.share("large", now) < 0.75
    assert 0.2 < second.share("large", now) < 0.4
    now = _run(allocator, [first, second], 8.0, {"second": 15}, now)
    assert second.share("large", now) > 0.6


def test_first_request_is_followed_by_a_token() -> None:
    """Guards against a host that refuses although the quota is unused."""
    hosts = [_Host(f"host-{index}") for index in range(20)]
    allocator = _allocator(*(host.name for host in hosts))
    now = _run(allocator, hosts, 10.0, {})
    for host in hosts:
        now = _run(allocator, hosts, 1.0, {}, now)
        if not host.request("small", 1, now):
            host.report(allocator, now)
            assert host.request("small", 1, now) == 1
        host.report(allocator, now)


def test_nothing_is_granted_to_a_host_that_is_not_listed() -> None:
    """Guards against shares that a successor does not know of."""
    host = _Host("first")
    allocator = _allocator()
    now = _run(allocator, [host], 2.0, {"first": 5})
    assert host.share("large", now) == 0.0
    assert allocator.required_hosts == {"first"}
    allocator.set_listed_hosts(["first"])
    now = _run(allocator, [host], 2.0, {"first": 5}, now)
    assert host.share("large", now) > 0.5


def test_allocation_waits_for_all_listed_hosts() -> None:
    """Guards against shares that a silent host still uses."""
    host = _Host("first")
    allocator = _allocator("first", "silent")
    now = _run(allocator, [host], quota_allocator.EXPIRY_SECONDS - 1.0, {})
    assert not allocator.is_allocating
    now = _run(allocator, [host], 2.0, {"first": 5}, now)
    assert allocator.is_allocating
    assert allocator.required_hosts == {"first"}


def test_hosts_keep_their_shares_after_a_change_of_coordinator() -> None:
    """Guards against a gap in service while a new one starts."""
    host = _Host("first")
    now = _run(_allocator("first"), [host], 4.0, {"first": 15})
    share = host.share("large", now)
    assert share > 0.5
    successor = _allocator("first", "silent", epoch=2)
    now = _run(successor, [host], 8.0, {"first": 15}, now)
    assert not successor.is_allocating
    assert host.share("large", now) == share
    assert host.request("large", 1, now) == 1


def test_restarted_host_gets_a_share_at_once() -> None:
    """Guards against the share of a process that has ended."""
    host = _Host("first")
    allocator = _allocator("first")
    now = _run(allocator, [host], 4.0, {"first": 15})
    restarted = _Host("first", 2)
    now = _run(allocator, [restarted], 0.75, {"first": 15}, now)
    assert restarted.share("large", now) > 0.5


def test_report_of_an_ended_process_is_ignored() -> None:
    """Guards against a late report that hides what its successor has."""
    earlier = _Host("first")
    allocator = _allocator("first")
    late = earlier.quotas.report(NOW)
    restarted = _Host("first", 2)
    now = _run(allocator, [restarted], 4.0, {"first": 15})
    assert late is not None
    allocator.receive("first", late, now)
    reserved = allocator._quota_by_tenant["large"].share_by_host["first"]
    assert reserved == restarted.share("large", now) > 0.5


def test_share_of_a_lost_response_counts_until_the_next_report() -> None:
    """Guards against a share that the host may have got."""
    first, second = _Host("first"), _Host("second")
    allocator = _allocator("first", "second")
    for host in (first, second):
        host.report(allocator, NOW)
        host.report(allocator, NOW)
    first.request("large", 20, NOW + 1.0)
    grant = first.report(allocator, NOW + 1.0, is_lost=True)
    assert grant is not None
    sent = {row.tenant: row.share for row in grant.rows}["large"]
    quota = allocator._quota_by_tenant["large"]
    assert quota.share_by_host["first"] == sent > 0.0
    assert first.share("large", NOW + 1.0) == 0.0


def test_dropped_tokens_count_until_the_host_reports_it() -> None:
    """Guards against tokens that a host used instead of dropping them."""
    quota = quota_allocator._TenantQuota(NOW)
    quota.configure(SMALL, LIMITS, NOW)
    for index in range(6):
        quota.reserve(f"host-{index}", 0.0, 1, NOW)
    quota.allocate(NOW)
    assert sum(quota.recalled_by_host.values()) == 1
    assert sum(quota.tokens_by_host.values()) == 6


def _served_around_a_takeover() -> int:
    """Return the requests of a small tenant that run within a second."""
    hosts = [_Host(f"host-{index}") for index in range(6)]
    names = [host.name for host in hosts]
    now = _run(_allocator(*names), hosts, 10.0, {})
    served = sum(host.request("small", 9, now) for host in hosts)
    successor = _allocator(*names, epoch=2)
    for _ in range(4):
        now = _run(successor, hosts, 0.25, {}, now)
        served += sum(host.request("small", 9, now) for host in hosts)
    return served


def test_coordinator_starts_without_tokens() -> None:
    """Guards against tokens that its predecessor has given away."""
    # A burst of 2, 4 single tokens and 2/s for a second.
    assert 6 <= _served_around_a_takeover() <= 8


def test_tokens_of_a_new_coordinator_break_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a test of a new coordinator that can't fail."""
    quota_guards.start_with_tokens_of_the_coordinator(monkeypatch)
    assert _served_around_a_takeover() > 8


def _tokens_beside_a_share() -> float:
    """Return the tokens that hosts may have while one gets a share."""
    quota = quota_allocator._TenantQuota(NOW)
    quota.configure(LARGE, LIMITS, NOW)
    quota.reserve("second", 0.0, 50, NOW)
    quota.reserve("first", quota.allocatable_share, 0, NOW)
    return 50 + LARGE.burst * quota.share_by_host["first"]


def test_share_leaves_room_for_single_tokens() -> None:
    """Guards against tokens that exceed the capacity beside a share."""
    assert _tokens_beside_a_share() == pytest.approx(104.0)


def test_whole_share_beside_single_tokens_breaks_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a test of shares beside tokens that can't fail."""
    quota_guards.allocate_the_cover_of_tokens(monkeypatch)
    assert _tokens_beside_a_share() > 104.0


def _largest_sum_after_isolation() -> float:
    """Return the largest sum of shares while two coordinators respond.

    A host that was cut off from the earlier coordinator reports to the later
    one, while the earlier one still gives its share to another host.
    """
    first, second = _Host("first"), _Host("second")
    earlier = _allocator("first", "second")
    now = _run(earlier, [first, second], 8.0, {"first": 15, "second": 5})
    # The first host reaches nobody for 7 s; then the later coordinator leads.
    now = _run(earlier, [second], 7.0, {"second": 15}, now)
    later = _allocator("first", "second", epoch=2, is_settled=False)
    largest = 0.0
    for _ in range(32):
        now += 0.25
        earlier.advance(True, now)
        later.advance(False, now)
        first.request("large", 15, now)
        second.request("large", 15, now)
        first.report(later, now)
        second.report(earlier, now)
        largest = max(
            largest, first.share("large", now) + second.share("large", now)
        )
    return largest


def test_leases_are_not_renewed_before_earlier_coordinators_stop() -> None:
    """Guards against a share that the earlier coordinator gives away."""
    assert _largest_sum_after_isolation() <= 1.0


def test_early_renewals_break_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a test of early renewals that can't fail."""
    quota_guards.renew_before_earlier_coordinators_stop(monkeypatch)
    assert _largest_sum_after_isolation() > 1.0


def test_unusual_quotas_are_allocated() -> None:
    """Guards against an overflow or a division by zero."""
    unusual = [
        tenants.Tenant("a", None, 0.01, 0.0),
        tenants.Tenant("b", None, 1e9, 0.0),
        tenants.Tenant("c", None, 0.5, 0.25),
        tenants.Tenant("d", None, 0.0, 5.0),
    ]
    host = _Host("first")
    host.quotas.configure(unusual, NOW)
    allocator = _allocator("first")
    allocator.configure(unusual, NOW)
    for step in range(200):
        now = NOW + step
        for one in unusual:
            host.quotas.admit(one.name, now)
        host.report(allocator, now)
    for one in unusual:
        assert host.quotas.admit(one.name, now).wait < 200.0
