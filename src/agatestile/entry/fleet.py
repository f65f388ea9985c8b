"""What one host believes of the backend servers."""

from __future__ import annotations

import collections
import heapq
import random
import typing

from agatestile.assignment import planner
from agatestile.assignment import state as state_module
from agatestile.balancing import choice
from agatestile.balancing import load
from agatestile.catalog import directory as directory_module

if typing.TYPE_CHECKING:
    from agatestile.catalog import configuration
    from agatestile.node import settings as node_settings

FIRST_SERVICE_TIME = 0.12
"""Mean time of a request before any was measured, seconds."""

DISCOVERY_LAG_SECONDS = 1.0
"""Longest time that this host learns of a leaving server after the store
acknowledged it: the interval of its reads and their duration."""

COLD_WINDOW_SECONDS = 1.1
"""Window in which a host keeps its share of a cold server's bound; longer
than the second of the bound, as requests take uneven times to arrive."""

COLD_SHARE = 0.85
"""Part of a cold server's bound that is divided among the hosts; the rest
covers hosts that restart and hosts that are not known yet."""

UNKNOWN_HOSTS = 8
"""Number of hosts that is assumed before it was learnt."""

HOST_COUNT_SECONDS = 5.0
"""How long the largest number of hosts holds: until all hosts have reported
to a new coordinator."""

CONFIRM_SECONDS = 2.0
"""Time after which a server's report of a cold start would have arrived: the
interval of reports, of reads and of messages between hosts."""

PROBED_SERVERS = 2
"""Servers that are asked for their load before one of them is chosen."""

REPORT_SECONDS = 0.15
"""Age from which a report of load is renewed; a machine is slow for a few
hundred milliseconds at a time."""

Life = tuple[str, int]


class Fleet:
    """Servers with their load, and what excludes them.

    Parameters
    ----------
    bounds : node_settings.Bounds
        Agreed bounds.
    failure_domain : str
        Where this host is.
    now : callable
        The runtime's clock, seconds.
    """

    def __init__(
        self,
        bounds: node_settings.Bounds,
        failure_domain: str,
        now: typing.Callable[[], float],
    ) -> None:
        self.bounds = bounds
        self._now = now
        self.failure_domain = failure_domain
        self.directory = directory_module.Directory()
        self.configuration: configuration.Configuration | None = None
        self.evacuated_since: dict[str, float] = {}
        self._evacuation_end: dict[str, float] = {}
        self._loads: dict[Life, load.ServerLoad] = {}
        self._cold_sends: dict[Life, collections.deque[float]] = {}
        self._unconfirmed_since: dict[Life, float] = {}
        self._generator = random.Random()
        self.host_count = UNKNOWN_HOSTS
        self._host_counts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.host_rank = 0

    # Beliefs

    def update_host_count(self, count: int, now: float) -> None:
        """Take a number of hosts; the largest one told lately counts.

        A new coordinator has heard of few hosts at first, and hosts that
        all divide a common bound by too few exceed it together.
        """
        told = self._host_counts
        while told and told[0][0] < now - HOST_COUNT_SECONDS:
            told.popleft()
        while told and told[-1][1] <= count:
            told.pop()
        told.append((now, count))
        self.host_count = max(1, told[0][1])

    def set_evacuated_domains(
        self, domains: set[str], now: float, since: float | None = None
    ) -> bool:
        """Take the set of evacuated failure domains; tell of a change.

        Parameters
        ----------
        domains : set of str
            All evacuated failure domains.
        now : float
            The runtime's clock, seconds.
        since : float, optional
            Since when new ones may have been evacuated, seconds; now by
            default. A host that could not read learns of them late.
        """
        before = set(self.evacuated_since)
        for domain in before - domains:
            del self.evacuated_since[domain]
            self._evacuation_end[domain] = now
        for domain in domains - before:
            self.evacuated_since[domain] = now if since is None else since
        return before != domains

    def load_of(self, entry: directory_module.ServerEntry) -> load.ServerLoad:
        """Return the load of a server's present life."""
        life = (entry.id, entry.incarnation)
        known = self._loads.get(life)
        if known is None:
            known = load.ServerLoad(
                entry.slots, self._usual_time(entry.service)
            )
            self._loads[life] = known
        return known

    def take_samples(self) -> dict[str, load.Samples]:
        """Return what was measured since the last call, by server."""
        taken = {}
        for life, known in self._loads.items():
            samples = known.take_samples()
            if samples is not None:
                taken[life[0]] = samples
        return taken

    def remove_missing(self, keep_seconds: float, now: float) -> None:
        """Drop servers that are gone for long."""
        for name, since in self.directory.missing_since_by_id().items():
            if now - since > keep_seconds:
                self.directory.delete(name)
        known = {
            (one.entry.id, one.entry.incarnation)
            for one in self.directory.by_id.values()
        }
        for by_life in (
            self._loads,
            self._cold_sends,
            self._unconfirmed_since,
        ):
            for life in list(by_life):
                if life not in known:
                    del by_life[life]

    def on_unreachable(
        self, entry: directory_module.ServerEntry, now: float
    ) -> None:
        """Note a failed connection: the server may have restarted cold."""
        self.load_of(entry).on_unreachable(now)
        self._unconfirmed_since[entry.id, entry.incarnation] = now

    def merge_samples(self, server_id: str, samples: load.Samples) -> None:
        """Take what another host measured of a server."""
        server = self.directory.by_id.get(server_id)
        if server is not None:
            self.load_of(server.entry).merge_samples(samples)

    # Exclusion

    def is_leaving(self, server: directory_module.Server) -> bool:
        """Tell whether a server leaves or its failure domain does."""
        return (
            server.leaving_since is not None
            or server.entry.failure_domain in self.evacuated_since
        )

    def may_still_send(
        self, server: directory_module.Server, now: float
    ) -> bool:
        """Tell whether an owner that leaves may get its keys' requests."""
        since = server.leaving_since
        if since is not None:
            allowed = self.bounds.drain - DISCOVERY_LAG_SECONDS - 0.1
            if now > since + allowed:
                return False
        domain = server.entry.failure_domain
        evacuated = self.evacuated_since.get(domain)
        if evacuated is not None:
            allowed = self.bounds.evacuate - DISCOVERY_LAG_SECONDS - 0.5
            if now > evacuated + allowed:
                return False
        return True

    def is_cold(self, server: directory_module.Server, now: float) -> bool:
        """Tell whether a server is cold or may be."""
        entry = server.entry
        if entry.warmup_left > 0 and now < server.received + entry.warmup_left:
            return True
        life = (entry.id, entry.incarnation)
        since = self._unconfirmed_since.get(life)
        if since is not None:
            if now < since + CONFIRM_SECONDS:
                return True
            del self._unconfirmed_since[life]
        ended = self._evacuation_end.get(entry.failure_domain)
        return ended is not None and now < ended + CONFIRM_SECONDS

    def allows_cold(self, server: directory_module.Server, now: float) -> bool:
        """Tell whether this host's share of a cold server is left."""
        entry = server.entry
        sends = self._cold_sends.get((entry.id, entry.incarnation))
        if sends is None:
            return self._cold_quota(entry) > 0
        while sends and sends[0] < now - COLD_WINDOW_SECONDS:
            sends.popleft()
        return len(sends) < self._cold_quota(entry)

    def on_sent(self, entry: directory_module.ServerEntry, now: float) -> None:
        """Count a request, as its server may turn out to be cold."""
        life = (entry.id, entry.incarnation)
        sends = self._cold_sends.get(life)
        if sends is None:
            sends = self._cold_sends[life] = collections.deque(maxlen=32)
        sends.append(now)

    def candidates(
        self, service: str, now: float, without: set[str], size: int = 0
    ) -> list[choice.Candidate]:
        """Return the servers that may take a request without a key.

        Parameters
        ----------
        service : str
            Service of the request.
        now : float
            The runtime's clock, seconds.
        without : set of str
            Servers that are left out.
        size : int
            Bytes of the request's body.
        """
        found = []
        for server in self.directory.of_service(service):
            entry = server.entry
            if entry.id in without or self.is_leaving(server):
                continue
            if self.is_cold(server, now) and not self.allows_cold(server, now):
                continue
            is_near = entry.failure_domain == self.failure_domain
            way = choice.distance(is_near, size)
            found.append(choice.Candidate(entry.id, self.load_of(entry), way))
        return found

    def worth_asking(
        self, service: str, now: float, without: set[str], size: int
    ) -> list[directory_module.ServerEntry]:
        """Return the likely choices whose last report is old."""
        candidates = self.candidates(service, now, without, size)
        likely = heapq.nsmallest(
            PROBED_SERVERS,
            (
                one
                for one in candidates
                if not one.load.is_suspended(now)
                and not one.load.is_silent(now)
            ),
            key=lambda one: choice.expected_cost(one, now, self._generator),
        )
        return [
            self.directory.by_id[one.id].entry
            for one in likely
            if one.load.report_age(now) > REPORT_SECONDS
        ]

    # state.Fleet

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
        """Return the servers of a service as holders of keys."""
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
            now - server.received,
        )

    def is_replaced(self, life: Life) -> bool:
        """Tell whether a life has surely ended, as a later one shows.

        A later life of the same server, or another server that started
        later at the same address, proves it.
        """
        known = self.directory.by_id.get(life[0])
        if known is None:
            return False
        if known.entry.incarnation > life[1]:
            return True
        later = self.directory.newest_at(known.entry.address)
        return later is not None and later.incarnation > life[1]

    def _holder(
        self, server: directory_module.Server, now: float
    ) -> planner.OwnerCandidate:
        entry = server.entry
        known = self.load_of(entry)
        capacity = known.slots / max(known.service_time, 0.005)
        capacity *= 1.0 - 0.8 * known.failure_share
        is_cold = self.is_cold(server, now)
        if is_cold:
            capacity = min(capacity, 0.5 * self._cold_bound(entry))
        leaves = self.is_leaving(server)
        return planner.OwnerCandidate(
            entry.id,
            entry.incarnation,
            capacity,
            accepts_keys=not leaves and not is_cold,
            must_release_keys=leaves,
        )

    def _usual_time(self, service: str) -> float:
        times = sorted(
            self._loads[life].service_time
            for life in self._loads
            if self._loads[life].answered
            and self._service_of(life[0]) == service
        )
        return times[len(times) // 2] if times else FIRST_SERVICE_TIME

    def _service_of(self, server_id: str) -> str:
        server = self.directory.by_id.get(server_id)
        return "" if server is None else server.entry.service

    def _cold_bound(self, entry: directory_module.ServerEntry) -> float:
        service = None
        if self.configuration is not None:
            service = self.configuration.services_by_name.get(entry.service)
        rate = 1.0 if service is None else service.warmup_rate
        return rate * self.bounds.cold_ratio + self.bounds.cold_slack

    def _cold_quota(self, entry: directory_module.ServerEntry) -> int:
        """Return this host's requests to a cold server in a window.

        If there are more hosts than the bound has requests, each server
        is open to a part of the hosts only.
        """
        bound = int(COLD_SHARE * self._cold_bound(entry))
        if self.host_count <= bound:
            return bound // self.host_count
        shift = sum(entry.id.encode())
        return int((self.host_rank + shift) % self.host_count < bound)
