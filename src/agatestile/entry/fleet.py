"""State of the backend servers, as one host knows it."""

from __future__ import annotations

import collections
import heapq
import random
import typing
import zlib

from agatestile.assignment import planner
from agatestile.assignment import state as state_module
from agatestile.balancing import choice
from agatestile.balancing import load
from agatestile.catalog import directory as directory_module
from agatestile.entry import cold_servers
from agatestile.entry import send_times
from agatestile.entry import server_notices
from agatestile.entry import subsets
from agatestile.limits import shares
from agatestile.observability import events

if typing.TYPE_CHECKING:
    from agatestile.catalog import configuration
    from agatestile.entry import header_port
    from agatestile.node import settings as node_settings

INITIAL_SERVICE_TIME = 0.12
"""Service time that is assumed before any was measured, seconds."""

MIN_SERVICE_TIME = 0.005
"""Shortest service time that estimates are trusted with, seconds."""

DELIVERY_MARGIN_SECONDS = 0.4
"""Time before the bound at which requests to a leaving server stop, for the
time that a request takes to reach it."""

EVACUATION_MARGIN_SECONDS = 1.5
"""The same for the servers of an evacuated failure domain."""

COLD_WINDOW_SECONDS = 1.1
"""Window over which a host counts its share of a cold server's bound;
longer than the one second of the bound, as the latency of requests varies."""

COLD_BOUND_SHARE = 0.85
"""Share of a cold server's bound that is divided among the hosts; the rest
covers hosts that restart and hosts that are not known yet."""

INITIAL_HOST_COUNT = 8
"""Number of hosts that is assumed before the coordinator reports it."""

HOST_COUNT_RETENTION_SECONDS = 5.0
"""How long the largest reported number of hosts is used: until all hosts
have reported to a new coordinator."""

PROBE_COUNT = 2
"""Number of servers whose load is probed before one of them is chosen."""

MAX_REPORT_AGE_SECONDS = 0.15
"""Age from which a load report is renewed by a probe; a machine is slow for
a few hundred milliseconds at a time."""

NEAR_TIME_SHARE = 0.5
"""Share of the time left in which a server near this host has to be expected
to respond for others to be left out: traffic between failure domains is
billed, and a response within its objective is as good as a faster one."""


class HostView(typing.NamedTuple):
    """What a host knows of the others.

    Attributes
    ----------
    rank : int or None
        Position of this host among them, None if it is not known.
    host_count : int
        Number of hosts.
    until : float
        Clock until which it was used, seconds.
    """

    rank: int | None
    host_count: int
    until: float

    def cold_quota(self, server_id: str, bound: int) -> int:
        """Return this host's part of the bound of a cold server.

        If the hosts outnumber the requests of the bound, only some of
        the hosts may send to a given server. A host that does not know its
        rank may send none: many hosts may have restarted together.
        """
        if self.rank is None:
            return 0
        if self.host_count <= bound:
            return bound // self.host_count
        shift = sum(server_id.encode())
        return int((self.rank + shift) % self.host_count < bound)


class Fleet:
    """Servers with their load, and the rules that exclude them.

    Parameters
    ----------
    bounds : node_settings.Bounds
        Bounds on times and rates, from the settings.
    failure_domain : str
        Failure domain of this host.
    now : callable
        Clock of the event loop, seconds.
    boot_time : callable, optional
        Clock that includes the time of a suspension, seconds; `now` by
        default.
    """

    def __init__(
        self,
        bounds: node_settings.Bounds,
        failure_domain: str,
        now: typing.Callable[[], float],
        boot_time: typing.Callable[[], float] | None = None,
    ) -> None:
        self._boot_time = boot_time or now
        self.bounds = bounds
        self._now = now
        self.failure_domain = failure_domain
        self.directory = directory_module.Directory()
        self._subsets = subsets.ServerSubsets(self.directory, failure_domain)
        self.configuration: configuration.Configuration | None = None
        self.evacuated_since: dict[str, float] = {}
        self._loads: dict[directory_module.Instance, load.ServerLoad] = {}
        self._send_times = send_times.SendTimes()
        self.notices = server_notices.ServerNotices(self.directory, now)
        self._demand: collections.Counter[str] = collections.Counter()
        self._cold_servers = cold_servers.ColdServers()
        self._generator = random.Random()
        self._shares = shares.HostShares(self._generator.getrandbits(32))
        self.host_count = INITIAL_HOST_COUNT
        self._host_counts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.host_rank: int | None = None
        self._former_views: collections.deque[HostView] = collections.deque()

    # Updates

    def update_hosts(self, count: int, rank: int, now: float) -> None:
        """Record how many hosts there are, and the rank of this one."""
        before = HostView(self.host_rank, self.host_count, now)
        self.update_host_count(count, now)
        self.host_rank = rank
        views = self._former_views
        while views and views[0].until < now - HOST_COUNT_RETENTION_SECONDS:
            views.popleft()
        after = HostView(rank, self.host_count, now)
        if before.rank is not None and before != after:
            views.append(before)

    def update_host_count(self, count: int, now: float) -> None:
        """Record a number of hosts; the largest recent one is used.

        A new coordinator knows few hosts at first, and hosts that all
        divide a common bound by too small a number exceed it together.
        """
        counts = self._host_counts
        while counts and counts[0][0] < now - HOST_COUNT_RETENTION_SECONDS:
            counts.popleft()
        while counts and counts[-1][1] <= count:
            counts.pop()
        counts.append((now, count))
        self.host_count = max(1, counts[0][1])

    def set_evacuated_domains(
        self, domains: set[str], now: float, since: float | None = None
    ) -> bool:
        """Replace the evacuated failure domains; return whether they changed.

        Parameters
        ----------
        domains : set of str
            All evacuated failure domains.
        now : float
            Clock of the event loop, seconds.
        since : float, optional
            Clock from which the added domains may have been evacuated,
            seconds; now by default. A host whose reads failed learns of
            an evacuation late.
        """
        before = set(self.evacuated_since)
        for domain in before - domains:
            del self.evacuated_since[domain]
            self._cold_servers.on_evacuation_ended(domain, now)
        for domain in domains - before:
            self.evacuated_since[domain] = now if since is None else since
        return before != domains

    def load_of(self, entry: directory_module.ServerEntry) -> load.ServerLoad:
        """Return the load of a server in its present incarnation."""
        instance = (entry.id, entry.incarnation)
        known = self._loads.get(instance)
        if known is None:
            known = load.ServerLoad(
                entry.slots, self._median_service_time(entry.service)
            )
            self._loads[instance] = known
        return known

    def take_samples(self) -> dict[str, load.Samples]:
        """Return the samples since the last call, by server."""
        taken = {}
        for instance, known in self._loads.items():
            samples = known.take_samples()
            if samples is not None:
                taken[instance[0]] = samples
        return taken

    def remove_missing(self, keep_seconds: float, now: float) -> None:
        """Remove the servers that have been missing for too long."""
        for name, since in self.directory.missing_since_by_id().items():
            if now - since > keep_seconds:
                self.directory.delete(name)
        known = {one.instance for one in self.directory.by_id.values()}
        self._send_times.retain(known)
        self._cold_servers.retain(known)
        for instance in self._loads.keys() - known:
            del self._loads[instance]

    def on_unreachable(
        self, entry: directory_module.ServerEntry, now: float
    ) -> None:
        """Record a failed connection: the server may have restarted cold."""
        self.load_of(entry).on_unreachable(now)
        self._cold_servers.suspect((entry.id, entry.incarnation), now)

    def on_probe_response(
        self,
        entry: directory_module.ServerEntry,
        headers: header_port.ServerHeaders,
        now: float,
    ) -> None:
        """Apply the response to a load probe.

        Another server may answer at an address that is used again.
        """
        if headers.server_id not in (None, entry.id):
            return
        self.load_of(entry).on_report(now, headers.report)
        self._cold_servers.on_warmup(
            (entry.id, entry.incarnation), headers.warmup_left, now
        )
        self.on_server_headers(entry, headers, now)

    def on_server_headers(
        self,
        entry: directory_module.ServerEntry,
        headers: header_port.ServerHeaders,
        now: float,
    ) -> None:
        """Apply what a server says of itself in a response."""
        if headers.pause is not None:
            self.load_of(entry).on_pause(now, headers.pause)
            events.emit(
                "server_paused",
                server=entry.id,
                incarnation=entry.incarnation,
                seconds=headers.pause,
            )
        self.notices.on_response((entry.id, entry.incarnation), headers)

    def merge_samples(self, server_id: str, samples: load.Samples) -> None:
        """Merge the samples of a server that another host measured."""
        server = self.directory.by_id.get(server_id)
        if server is not None:
            self.load_of(server.entry).merge_samples(samples)

    # Exclusion

    def is_leaving(self, server: directory_module.Server) -> bool:
        """Return whether a server is draining or its domain is evacuated."""
        return (
            server.leaving_since is not None
            or server.entry.failure_domain in self.evacuated_since
        )

    def may_still_receive(
        self, server: directory_module.Server, now: float
    ) -> bool:
        """Return whether an owner may still get requests while it leaves."""
        since = server.leaving_since
        if since is not None:
            if now > since + self.bounds.drain - DELIVERY_MARGIN_SECONDS:
                return False
        domain = server.entry.failure_domain
        evacuated = self.evacuated_since.get(domain)
        if evacuated is not None:
            allowed = self.bounds.evacuate - EVACUATION_MARGIN_SECONDS
            if now > evacuated + allowed:
                return False
        return True

    def is_cold(self, server: directory_module.Server, now: float) -> bool:
        """Return whether a server is cold or may have restarted cold."""
        return self._cold_servers.is_cold(server, now)

    def has_cold_quota(
        self, server: directory_module.Server, now: float
    ) -> bool:
        """Return whether this host may send a request to a cold server."""
        sent = self._send_times.count_since(
            server.instance, now - COLD_WINDOW_SECONDS
        )
        return sent < self._cold_quota(server.entry, now)

    def rate_limit_wait(
        self, server: directory_module.Server, now: float
    ) -> float:
        """Return when this host may next send to a server with a rate limit.

        Returns
        -------
        float
            Time until then, seconds; 0 if a request may be sent now.
        """
        if server.rate_limit is None:
            return 0.0
        entry = server.entry
        quota = self._shares.quota(
            entry.service,
            shares.window_limit(server.rate_limit),
            _rounding_offset(entry.id),
            self.host_count,
            self._boot_time(),
        )
        start = now - shares.WINDOW_SECONDS
        if self._send_times.count_since(server.instance, start) < quota:
            return 0.0
        if quota <= 0:
            return shares.WINDOW_SECONDS
        return self._send_times.nth_last(server.instance, quota) - start

    def on_sent(self, entry: directory_module.ServerEntry, now: float) -> None:
        """Record a request, as its server may turn out to have a limit."""
        self._send_times.add((entry.id, entry.incarnation), now)

    def count_demand(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._demand[service] += 1

    def take_demand(self) -> dict[str, int]:
        """Return the requests of callers since the last call, by service."""
        demand, self._demand = dict(self._demand), collections.Counter()
        return demand

    def applied_shares(self) -> shares.AppliedShares:
        """Return the shares of this host in the limits of servers."""
        return self._shares.applied(self._boot_time())

    def set_shares(
        self,
        shares_by_service: dict[str, shares.Share] | None,
        age: float = 0.0,
    ) -> None:
        """Apply the shares of this host in the limits of servers.

        Parameters
        ----------
        shares_by_service : dict of str to (float, float) or None
            Shares by service, None to keep the present ones.
        age : float
            Time since the report to which they are the response, seconds.
        """
        now = self._boot_time()
        if shares_by_service is None or self.host_rank is None:
            self._shares.renew(now, age)
            return
        even = shares.even_share(self.host_rank, self.host_count)
        if self._shares.update(shares_by_service, even, now, age):
            events.emit(
                "rate_limit_shares",
                shares={
                    service: [round(start, 4), round(end, 4)]
                    for service, (start, end) in shares_by_service.items()
                },
                host_count=self.host_count,
            )

    def candidates(
        self,
        service: str,
        now: float,
        excluded_ids: set[str],
        body_size: int = 0,
    ) -> list[choice.Candidate]:
        """Return the servers that accept a request without a key.

        Parameters
        ----------
        service : str
            Service of the request.
        now : float
            Clock of the event loop, seconds.
        excluded_ids : set of str
            Servers that are excluded.
        body_size : int
            Bytes of the request's body.
        """
        servers = self.directory.of_service(service)
        return self._candidates_of(servers, now, excluded_ids, body_size)

    def sufficient_candidates(
        self,
        service: str,
        now: float,
        time_left: float,
        excluded_ids: set[str],
        body_size: int = 0,
    ) -> list[choice.Candidate]:
        """Return the candidates to choose from, near ones if they suffice.

        Parameters
        ----------
        service : str
            Service of the request.
        now : float
            Clock of the event loop, seconds.
        time_left : float
            Time until the response is due, seconds.
        excluded_ids : set of str
            Servers that are excluded.
        body_size : int
            Bytes of the request's body.
        """
        by_id = self.directory.by_id
        ids = self._subsets.of_service(service, self.host_rank)
        near = self._candidates_of(
            [by_id[server_id] for server_id in ids],
            now,
            excluded_ids,
            body_size,
        )
        limit = NEAR_TIME_SHARE * time_left
        if any(
            choice.is_available(one, now)
            and one.load.expected_time(now) <= limit
            and one.load.failure_share <= choice.FAILURE_SHARE_LIMIT
            for one in near
        ):
            return near
        return self.candidates(service, now, excluded_ids, body_size)

    def _candidates_of(
        self,
        servers: list[directory_module.Server],
        now: float,
        excluded_ids: set[str],
        body_size: int,
    ) -> list[choice.Candidate]:
        found = []
        for server in servers:
            entry = server.entry
            if entry.id in excluded_ids or self.is_leaving(server):
                continue
            if self.is_cold(server, now) and not self.has_cold_quota(
                server, now
            ):
                continue
            if self.rate_limit_wait(server, now):
                continue
            is_same_domain = entry.failure_domain == self.failure_domain
            cost = choice.network_cost(is_same_domain, body_size)
            found.append(choice.Candidate(entry.id, self.load_of(entry), cost))
        return found

    def servers_to_probe(
        self,
        service: str,
        now: float,
        time_left: float,
        excluded_ids: set[str],
        body_size: int,
    ) -> list[directory_module.ServerEntry]:
        """Return the likely choices whose load report is out of date.

        A server whose response is in time even if its machine is slow now
        needs no probe.
        """
        candidates = self.sufficient_candidates(
            service, now, time_left, excluded_ids, body_size
        )
        likely = heapq.nsmallest(
            PROBE_COUNT,
            (
                one
                for one in candidates
                if choice.is_available(one, now)
                and self.directory.by_id[one.id].rate_limit is None
            ),
            key=lambda one: choice.expected_cost(one, now, self._generator),
        )
        return [
            self.directory.by_id[one.id].entry
            for one in likely
            if one.load.report_age(now) > MAX_REPORT_AGE_SECONDS
            and one.load.expected_time(now) * load.MAX_SLOWDOWN > time_left
        ]

    # Implementation of state.Fleet

    def services(self) -> list[str]:
        """Return the services divided by key."""
        if self.configuration is None:
            return []
        return [
            one.name
            for one in self.configuration.services_by_name.values()
            if one.is_partitioned
        ]

    def registered_servers(
        self, service: str
    ) -> dict[str, state_module.RegisteredServer]:
        """Return the servers of a service by identifier."""
        now = self._now()
        return {
            server.entry.id: self._placement(server, now)
            for server in self.directory.of_service(service)
        }

    def registered_server(
        self, service: str, server_id: str
    ) -> state_module.RegisteredServer | None:
        """Return one server, None if it is not of the service."""
        server = self.directory.by_id.get(server_id)
        if server is None or server.entry.service != service:
            return None
        return self._placement(server, self._now())

    def _placement(
        self, server: directory_module.Server, now: float
    ) -> state_module.RegisteredServer:
        return state_module.RegisteredServer(
            server.entry.address,
            self._holder(server, now),
            server.alive_at,
            _answer_rate(self.load_of(server.entry)),
        )

    def _holder(
        self, server: directory_module.Server, now: float
    ) -> planner.OwnerCandidate:
        entry = server.entry
        known = self.load_of(entry)
        capacity = _answer_rate(known)
        capacity *= 1.0 - 0.8 * known.failure_share
        is_cold = self.is_cold(server, now)
        if is_cold:
            capacity = min(capacity, 0.5 * self._cold_bound(entry))
        if server.rate_limit is not None:
            capacity = min(capacity, self._limited_capacity(server.rate_limit))
        leaves = self.is_leaving(server)
        return planner.OwnerCandidate(
            entry.id,
            entry.incarnation,
            capacity,
            accepts_keys=not leaves and not is_cold,
            must_release_keys=leaves,
        )

    def _limited_capacity(self, rate: float) -> float:
        """Return the rate at which hosts refuse few requests for a server.

        The fewer requests each host may send in a window, the more it
        refuses at the same utilisation.
        """
        quota = shares.window_limit(rate) / self.host_count
        return rate * quota / (quota + 1.0)

    def _median_service_time(self, service: str) -> float:
        times = sorted(
            self._loads[instance].service_time
            for instance in self._loads
            if self._loads[instance].answered
            and self._service_of(instance[0]) == service
        )
        return times[len(times) // 2] if times else INITIAL_SERVICE_TIME

    def _service_of(self, server_id: str) -> str:
        server = self.directory.by_id.get(server_id)
        return "" if server is None else server.entry.service

    def _cold_bound(self, entry: directory_module.ServerEntry) -> float:
        service = None
        if self.configuration is not None:
            service = self.configuration.services_by_name.get(entry.service)
        rate = 1.0 if service is None else service.warmup_rate
        return rate * self.bounds.cold_ratio + self.bounds.cold_slack

    def _cold_quota(
        self, entry: directory_module.ServerEntry, now: float
    ) -> int:
        """Return how many requests this host may send in a window.

        Hosts learn of a change at different times. Those that may send both
        before and after it are no more than those that may before.
        """
        bound = int(COLD_BOUND_SHARE * self._cold_bound(entry))
        current = HostView(self.host_rank, self.host_count, now)
        quota = current.cold_quota(entry.id, bound)
        for view in self._former_views:
            if view.until >= now - HOST_COUNT_RETENTION_SECONDS:
                quota = min(quota, view.cold_quota(entry.id, bound))
        return quota


def _answer_rate(known: load.ServerLoad) -> float:
    """Return the requests per second that a server can answer."""
    return known.slots / max(known.service_time, MIN_SERVICE_TIME)


def _rounding_offset(server_id: str) -> float:
    """Return a value from 0 to 1 by which hosts round quotas alike."""
    return zlib.crc32(server_id.encode()) / 2**32
