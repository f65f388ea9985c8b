"""Division of a limit among hosts that send without consulting each other.

A host's share is an interval of the limit. Shares of hosts that take part
are disjoint, so that the quotas of all hosts never exceed the limit, however
they are rounded.
"""

from __future__ import annotations

import collections
import math
import typing

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

Share = tuple[float, float]
"""Start and end of an interval within 0 and 1."""


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
        self, by_service: dict[str, Share], other: Share, now: float
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
        """
        held = self._held
        before = held[-1].by_service if held else {}
        if not self._is_known(now):
            held.clear()
        self._known_at = now
        while len(held) > 1 and held[1].held_since <= now - WINDOW_SECONDS:
            held.popleft()
        if not held or held[-1][1:] != (by_service, other):
            held.append(_HeldShares(now, by_service, other))
        return by_service != before

    def renew(self, now: float) -> None:
        """Keep the present shares, unless their lease has expired."""
        if self._is_known(now):
            self._known_at = now

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


class ShareAllocator:
    """Allocates shares by the number of requests that hosts receive.

    The demand of a host that is silent does not decay, as it may still be
    sending; it keeps its share until `discard`. A new allocator does not know
    the shares of its predecessor and waits until they have ended at all hosts
    that it does not hear of.

    Parameters
    ----------
    now : float
        Clock, seconds.
    """

    def __init__(self, now: float) -> None:
        self._settled_at = now + SHARE_LEASE_SECONDS
        self._demand_by_host: dict[str, dict[str, _Demand]] = {}
        self._shares_by_service: dict[str, dict[str, Share]] = {}
        self._allocated_at: dict[str, float] = {}

    def add_demand(
        self, host: str, requests_by_service: dict[str, int], now: float
    ) -> None:
        """Add the requests that a host received since its last report."""
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

    def discard(self, host: str) -> None:
        """Forget a host that no longer counts as a member."""
        self._demand_by_host.pop(host, None)

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
        return {name: self._share_of(host, name, now) for name in services}

    def _share_of(self, host: str, service: str, now: float) -> Share:
        shares = self._shares_by_service.get(service, {})
        allocated_at = self._allocated_at.get(service, -math.inf)
        is_due = now >= allocated_at + ALLOCATION_INTERVAL_SECONDS
        if is_due or shares.keys() != self._demand_by_host.keys():
            allocated = self._allocate(service)
            if _has_moved(shares, allocated):
                shares = self._shares_by_service[service] = allocated
            self._allocated_at[service] = now
        return shares.get(host, (0.0, 0.0))

    def _allocate(self, service: str) -> dict[str, Share]:
        hosts = sorted(self._demand_by_host)
        demand = [
            self._demand_by_host[host].get(service, _Demand(0.0, 0.0)).requests
            for host in hosts
        ]
        total = sum(demand)
        even = 1.0 if total <= 0.0 else EVEN_FRACTION
        shares: dict[str, Share] = {}
        start = 0.0
        for host, requests in zip(hosts, demand):
            fraction = even / len(hosts)
            if total > 0.0:
                fraction += (1.0 - even) * requests / total
            end = start + (1.0 - RESERVED_FRACTION) * fraction
            shares[host] = (start, end)
            start = end
        return shares


def _has_moved(before: dict[str, Share], after: dict[str, Share]) -> bool:
    if before.keys() != after.keys():
        return True
    moved = sum(
        max(0.0, (end - start) - (before[host][1] - before[host][0]))
        for host, (start, end) in after.items()
    )
    return moved > MIN_MOVED_FRACTION
