"""Division of a limit among hosts that send without consulting each other.

A host's share is an interval of the limit. Shares of hosts that take part
are disjoint, so that the quotas of all hosts never exceed the limit, however
they are rounded.
"""

from __future__ import annotations

import collections
import math
import typing

from agatestile.assignment import leases

WINDOW_SECONDS = 4.0
"""Window in which the requests to a server with a rate limit are counted."""

WINDOW_RATIO = 1.25
"""Requests in a window relative to the rate limit. Hosts rarely use up their
quotas at the same time."""

WINDOW_SLACK = 4.0
"""Requests that are allowed in a window in addition."""

RESERVED_FRACTION = 0.1
"""Fraction that is divided among hosts without a current share: those that
have just started and those that the coordinator does not reach."""

SHARE_LEASE_SECONDS = 10.0
"""How long a host uses its share without hearing from the coordinator, which
keeps it for a silent host for longer than that."""

EVEN_FRACTION = 0.3
"""Fraction that is divided evenly, so that a host without recent requests can
send some."""

DEMAND_DECAY_SECONDS = 15.0
"""Time constant with which earlier requests lose their weight."""

ALLOCATION_INTERVAL_SECONDS = 2.0
"""Interval between allocations, as a larger share counts only later."""

MIN_MOVED_FRACTION = 0.15
"""Fraction of a limit that has to move between hosts for an allocation to be
replaced."""

EPSILON = 1e-9
"""Width below which shares count as equal."""

Share = tuple[float, float]
"""Start and end of an interval within 0 and 1."""


class AppliedShares(typing.NamedTuple):
    """Shares that a host uses.

    Attributes
    ----------
    by_service : dict of str to (float, float)
        Shares by service.
    other : tuple of (float, float)
        Share for other services.
    """

    by_service: dict[str, Share]
    other: Share


NO_SHARE = (0.0, 0.0)
"""Share that is empty."""

NO_SHARES = AppliedShares({}, NO_SHARE)
"""Shares of a host that takes no part in the allocation."""


def window_limit(rate: float) -> float:
    """Return how many requests all hosts may send in a window."""
    return WINDOW_SECONDS * WINDOW_RATIO * rate + WINDOW_SLACK


def quota(limit: float, share: Share, offset: float) -> int:
    """Return the part of a limit that belongs to a share.

    Parameters
    ----------
    limit : float
        Limit of all hosts.
    share : tuple of (float, float)
        Interval of the host.
    offset : float
        Value from 0 to 1 that decides who gets the fractions; it has to be
        the same on all hosts.
    """
    start, end = share
    return math.floor(limit * end + offset) - math.floor(
        limit * start + offset
    )


def even_share(rank: int, count: int) -> Share:
    """Return the share of one of several equal hosts."""
    width = (1.0 - RESERVED_FRACTION) / max(1, count)
    rank = min(rank, max(0, count - 1))
    return width * rank, width * (rank + 1)


def reserved_share(number: int, count: int) -> Share:
    """Return the share of a host that takes no part in the allocation.

    Parameters
    ----------
    number : int
        Number from which the place of the host is derived.
    count : int
        Number of hosts.
    """
    width = RESERVED_FRACTION / max(1, count)
    start = 1.0 - RESERVED_FRACTION + width * (number % max(1, count))
    return start, start + width


class _HeldShares(typing.NamedTuple):
    held_since: float
    by_service: dict[str, Share]
    other: Share


class HostShares:
    """Shares of one host in the limits of servers.

    A larger share counts only once it has been held for a window: the hosts
    that held it before may have used it within the window.

    Parameters
    ----------
    number : int
        Number from which the place of this host is derived while it takes
        no part in the allocation.
    """

    def __init__(self, number: int) -> None:
        self._number = number
        self._held: collections.deque[_HeldShares] = collections.deque()
        self._known_at = -math.inf

    def update(
        self,
        by_service: dict[str, Share],
        other: Share,
        now: float,
        age: float = 0.0,
    ) -> bool:
        """Apply allocated shares; return whether those by service changed.

        Parameters
        ----------
        by_service : dict of str to (float, float)
            Shares by service.
        other : tuple of (float, float)
            Share for services that it does not allocate yet.
        now : float
            Clock, seconds.
        age : float
            Time since the report to which they are the response, seconds.
        """
        held = self._held
        before = held[-1].by_service if held else {}
        if not self._is_known(now):
            held.clear()
        self._known_at = now - age
        while len(held) > 1 and held[1].held_since <= now - WINDOW_SECONDS:
            held.popleft()
        if not held or held[-1][1:] != (by_service, other):
            held.append(_HeldShares(now, by_service, other))
        return by_service != before

    def renew(self, now: float, age: float = 0.0) -> None:
        """Keep the present shares, unless their lease has expired."""
        if self._is_known(now):
            self._known_at = now - age

    def applied(self, now: float) -> AppliedShares:
        """Return the present shares."""
        if not self._is_known(now):
            return NO_SHARES
        return AppliedShares(self._held[-1].by_service, self._held[-1].other)

    def quota(
        self,
        service: str,
        limit: float,
        offset: float,
        host_count: int,
        now: float,
    ) -> int:
        """Return how much of a limit this host may use in a window.

        Parameters
        ----------
        service : str
            Service of the server.
        limit : float
            Limit of all hosts.
        offset : float
            Value from 0 to 1 that decides who gets the fractions.
        host_count : int
            Number of hosts.
        now : float
            Clock, seconds.
        """
        reserved = reserved_share(self._number, host_count)
        if not self._is_known(now):
            return quota(limit, reserved, offset)
        start = now - WINDOW_SECONDS
        held = list(self._held)
        counted = [
            one.by_service.get(service, one.other)
            for one, later in zip(held, [*held[1:], None])
            if later is None or later.held_since > start
        ]
        if held[0].held_since > start:
            counted.append(reserved)
        return min(quota(limit, share, offset) for share in counted)

    def _is_known(self, now: float) -> bool:
        return now < self._known_at + SHARE_LEASE_SECONDS


class _Demand(typing.NamedTuple):
    requests: float
    updated_at: float


class _Allocation(typing.NamedTuple):
    """Shares of a service.

    Attributes
    ----------
    target_by_host : dict of str to float
        Widths that hosts should have.
    share_by_host : dict of str to (float, float)
        Shares that hosts may have as long as others hold more than their
        targets.
    waits_for : set of str
        Hosts that may still use more than their present share.
    is_complete : bool
        Whether all shares are as wide as their targets.
    allocated_at : float
        Clock, seconds.
    members_version : int
        Version of the set of hosts.
    """

    target_by_host: dict[str, float]
    share_by_host: dict[str, Share]
    waits_for: set[str]
    is_complete: bool
    allocated_at: float
    members_version: int


class ShareAllocator:
    """Allocates shares by the number of requests that hosts receive.

    A share grows only into what no other host may still use: a host may use
    the share that it reported last and those that were sent to it since. A
    host that is silent keeps these until `discard`.

    Hosts whose share grows get it once those whose share shrinks report the
    smaller one. That takes less than a window, in which the shares before and
    after are both disjoint. If it takes longer, the shares of some may overlap
    in their places, though not in sum; quotas are then rounded one by one.

    A new allocator knows the shares of hosts that report to it, and waits
    until those of all others have ended.

    Parameters
    ----------
    now : float
        Clock, seconds.
    is_sole : bool
        Whether no earlier allocator responds to hosts any longer.
    """

    def __init__(self, now: float, *, is_sole: bool = False) -> None:
        earlier_end = now if is_sole else now + leases.LEADER_LEASE_SECONDS
        self._settled_at = earlier_end + SHARE_LEASE_SECONDS
        self._demand_by_host: dict[str, dict[str, _Demand]] = {}
        self._members_version = 0
        self._reported_by_host: dict[str, AppliedShares] = {}
        self._sent_by_host: dict[str, AppliedShares] = {}
        self._allocation_by_service: dict[str, _Allocation] = {}

    def add_demand(
        self,
        host: str,
        requests_by_service: dict[str, int],
        now: float,
        applied: AppliedShares | None = None,
    ) -> None:
        """Add the requests that a host received since its last report.

        Parameters
        ----------
        host : str
            The host.
        requests_by_service : dict of str to int
            Requests since its last report, by service.
        now : float
            Clock, seconds.
        applied : AppliedShares, optional
            Shares that the host has; by default those that were last sent
            to it, as hosts of earlier releases don't report any.
        """
        if host not in self._demand_by_host:
            self._members_version += 1
        demand = self._demand_by_host.setdefault(host, {})
        for service in demand.keys() | requests_by_service.keys():
            known = demand.get(service, _Demand(0.0, now))
            elapsed = now - known.updated_at
            decayed = known.requests * math.exp(
                -elapsed / DEMAND_DECAY_SECONDS
            )
            demand[service] = _Demand(
                decayed + requests_by_service.get(service, 0), now
            )
        self._set_applied(host, applied)

    def _set_applied(self, host: str, applied: AppliedShares | None) -> None:
        sent = self._sent_by_host.pop(host, None)
        if applied is None:
            applied = sent or self._reported_by_host.get(host, NO_SHARES)
        self._reported_by_host[host] = applied
        for service, allocation in self._allocation_by_service.items():
            share = allocation.share_by_host.get(host, NO_SHARE)
            if self._usable_width(host, service) <= _width(share) + EPSILON:
                allocation.waits_for.discard(host)

    def discard(self, host: str) -> None:
        """Forget a host that no longer counts as a member."""
        if self._demand_by_host.pop(host, None) is not None:
            self._members_version += 1
        self._reported_by_host.pop(host, None)
        self._sent_by_host.pop(host, None)

    def shares_of(
        self, host: str, services: set[str], now: float
    ) -> dict[str, Share] | None:
        """Return the shares of a host by service, None to keep earlier ones.

        Parameters
        ----------
        host : str
            The host.
        services : set of str
            Services with servers that named a limit.
        now : float
            Clock, seconds.
        """
        if now < self._settled_at:
            return None
        found = {name: self._share_of(host, name, now) for name in services}
        if host not in self._demand_by_host:
            return found
        if any(share[0] >= share[1] for share in found.values()):
            # The others have not made room for a new host yet.
            return None
        other = even_share(0, len(self._demand_by_host))
        sent = self._sent_by_host.setdefault(host, AppliedShares({}, other))
        for service, share in found.items():
            if _width(share) > _width(sent.by_service.get(service, NO_SHARE)):
                sent.by_service[service] = share
        return found

    def _share_of(self, host: str, service: str, now: float) -> Share:
        allocation = self._allocation_by_service.get(service)
        if allocation is None or self._is_due(allocation, now):
            allocation = self._allocate(service, allocation, now)
            self._allocation_by_service[service] = allocation
        return allocation.share_by_host.get(host, NO_SHARE)

    def _is_due(self, allocation: _Allocation, now: float) -> bool:
        return (
            now >= allocation.allocated_at + ALLOCATION_INTERVAL_SECONDS
            or allocation.members_version != self._members_version
            or (not allocation.waits_for and not allocation.is_complete)
        )

    def _allocate(
        self, service: str, earlier: _Allocation | None, now: float
    ) -> _Allocation:
        target_by_host = self._target_by_host(service)
        if earlier is not None and not _has_moved(
            earlier.target_by_host, target_by_host
        ):
            target_by_host = earlier.target_by_host
        usable_by_host = {
            host: self._usable_width(host, service) for host in target_by_host
        }
        missing = sum(
            max(0.0, target - usable_by_host[host])
            for host, target in target_by_host.items()
        )
        free = max(0.0, 1.0 - RESERVED_FRACTION - sum(usable_by_host.values()))
        is_complete = missing <= free + EPSILON * len(target_by_host)
        if is_complete:
            share_by_host = _shares_of_widths(target_by_host, target_by_host)
        elif earlier is None or not earlier.waits_for:
            share_by_host = _shares_of_widths(target_by_host, target_by_host)
            for host, target in target_by_host.items():
                if target > usable_by_host[host]:
                    share_by_host[host] = self._present_share(host, service)
        else:
            # A host that is waited for may be silent.
            width_by_host = {
                host: min(target, usable)
                + max(0.0, target - usable) * free / missing
                for (host, target), usable in zip(
                    target_by_host.items(), usable_by_host.values()
                )
            }
            share_by_host = _shares_of_widths(width_by_host, usable_by_host)
        return _Allocation(
            target_by_host,
            share_by_host,
            {
                host
                for host, share in share_by_host.items()
                if usable_by_host[host] > _width(share) + EPSILON
            },
            is_complete,
            now,
            self._members_version,
        )

    def _present_share(self, host: str, service: str) -> Share:
        """Return the share that a host has if the last response arrived."""
        reported = self._reported_by_host[host]
        latest = self._sent_by_host.get(host, reported)
        return latest.by_service.get(service, latest.other)

    def _usable_width(self, host: str, service: str) -> float:
        """Return the width of the largest share that a host may have."""
        reported = self._reported_by_host[host]
        width = _width(reported.by_service.get(service, reported.other))
        sent = self._sent_by_host.get(host)
        if sent is None:
            return width
        return max(width, _width(sent.by_service.get(service, sent.other)))

    def _target_by_host(self, service: str) -> dict[str, float]:
        requests_by_host = {
            host: demand.get(service, _Demand(0.0, 0.0)).requests
            for host, demand in sorted(self._demand_by_host.items())
        }
        total = sum(requests_by_host.values())
        even = 1.0 if total <= 0.0 else EVEN_FRACTION
        target_by_host = {}
        for host, requests in requests_by_host.items():
            fraction = even / len(requests_by_host)
            if total > 0.0:
                fraction += (1.0 - even) * requests / total
            target_by_host[host] = (1.0 - RESERVED_FRACTION) * fraction
        return target_by_host


def _shares_of_widths(
    width_by_host: dict[str, float], usable_by_host: dict[str, float]
) -> dict[str, Share]:
    """Return disjoint shares that leave room for what hosts may still use."""
    share_by_host = {}
    start = 0.0
    for host, width in width_by_host.items():
        share_by_host[host] = (start, start + width)
        start += max(width, usable_by_host[host])
    return share_by_host


def _width(share: Share) -> float:
    start, end = share
    return end - start


def _has_moved(before: dict[str, float], after: dict[str, float]) -> bool:
    if before.keys() != after.keys():
        return True
    moved = sum(
        max(0.0, width - before[host]) for host, width in after.items()
    )
    return moved > MIN_MOVED_FRACTION
