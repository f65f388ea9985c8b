"""Tests of shares that successive coordinators allocate."""

from __future__ import annotations

import typing

from agatestile.limits import shares

SERVICE = "prices"
LIMIT = 100.0
REPORT_SECONDS = 0.25
LEADER_LEASE_SECONDS = 8.0
EVEN = shares.even_share(0, 2)


class _Host(typing.NamedTuple):
    name: str
    held: shares.HostShares

    def report(
        self, allocator: shares.ShareAllocator, requests: int, now: float
    ) -> None:
        """Report to a coordinator and apply the shares in its response."""
        allocator.add_demand(self.name, {SERVICE: requests}, now)
        allocated = allocator.shares_of(self.name, {SERVICE}, now)
        if allocated is None:
            self.held.renew(now)
        else:
            self.held.update(allocated, EVEN, now)

    def quota(self, now: float) -> int:
        return self.held.quota(SERVICE, LIMIT, 0.0, 2, now)


def _hosts(allocator: shares.ShareAllocator) -> tuple[_Host, _Host]:
    """Return hosts that had a settled coordinator, the first one busier."""
    first = _Host("first", shares.HostShares(0))
    second = _Host("second", shares.HostShares(1))
    for step in range(-40, 1):
        first.report(allocator, 9, step * REPORT_SECONDS)
        second.report(allocator, 1, step * REPORT_SECONDS)
    assert first.quota(0.0) > second.quota(0.0) > 0
    return first, second


def _most_used(
    hosts: tuple[_Host, _Host],
    report: typing.Callable[[float], None],
    seconds: float,
) -> int:
    """Return the highest sum of the quotas of all hosts."""
    most = 0
    for step in range(1, int(seconds / REPORT_SECONDS)):
        now = step * REPORT_SECONDS
        report(now)
        most = max(most, sum(host.quota(now) for host in hosts))
    return most


def test_limit_holds_while_a_superseded_coordinator_responds() -> None:
    """Guards against shares of a coordinator without the store (LIMIT).

    It responds for the rest of its leader lease to a host that reaches no
    other.
    """
    earlier = shares.ShareAllocator(-50.0)
    first, second = _hosts(earlier)
    later = shares.ShareAllocator(0.0)

    def report(now: float) -> None:
        if now < LEADER_LEASE_SECONDS:
            first.report(earlier, 9, now)
        second.report(later, 9, now)

    assert _most_used((first, second), report, 25.0) <= LIMIT


def test_limit_holds_if_a_host_falls_silent_as_a_new_allocation_begins() -> (
    None
):
    """Guards against earlier shares that a successor renews (LIMIT).

    A host that gets no new share in time keeps the one of the predecessor.
    """
    first, second = _hosts(shares.ShareAllocator(-50.0))
    later = shares.ShareAllocator(0.0)

    def report(now: float) -> None:
        if now < shares.SHARE_LEASE_SECONDS:
            first.report(later, 1, now)
        second.report(later, 9, now)

    assert _most_used((first, second), report, 25.0) <= LIMIT


def test_limit_holds_if_demand_grows_while_a_host_is_silent() -> None:
    """Guards against shares that are reduced without their host (LIMIT)."""
    allocator = shares.ShareAllocator(-50.0)
    first, second = _hosts(allocator)

    def report(now: float) -> None:
        second.report(allocator, 40, now)

    assert _most_used((first, second), report, 25.0) <= LIMIT
