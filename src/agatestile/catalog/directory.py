"""Directory of the backend servers that service discovery reports."""

from __future__ import annotations

import itertools
import typing

REAPPEARANCE_SECONDS = 2.2
"""Time for which an entry may be missing after an outage of service discovery
before its server is considered removed; the platform documents about 2 s."""

ERA_GRACE_SECONDS = 5.0
"""The same after the store was restored from an older copy: six heartbeats.
A server that departed meanwhile gets requests for as long."""

REMEMBERED_DEPARTURES = 20_000
"""Number of deleted servers whose entries are recognised if they return with
an older copy of the store."""


Instance = tuple[str, int]
"""Identifier and incarnation of a server."""


class ServerEntry(typing.NamedTuple):
    """Report of a backend server about itself.

    Attributes
    ----------
    id : str
        Identifier; a restarted server may keep its identifier.
    incarnation : int
        Unix time of the start of the server, ms.
    sequence : int
        Number of the report within the incarnation.
    service : str
        Service that the server belongs to.
    address : tuple of (str, int)
        IP address and port.
    failure_domain : str
        Failure domain of the server.
    slots : int
        Requests that the server processes concurrently.
    is_draining : bool
        Whether the server is about to leave.
    warmup_left : float
        Time for which the server will remain cold, seconds.
    """

    id: str
    incarnation: int
    sequence: int
    service: str
    address: tuple[str, int]
    failure_domain: str
    slots: int
    is_draining: bool
    warmup_left: float


class Server(typing.NamedTuple):
    """A known server.

    Attributes
    ----------
    entry : ServerEntry
        Newest report of the server.
    received : float
        Time at which the report was read, seconds.
    leaving_since : float or None
        Earliest time at which the server may have begun to leave, seconds.
    is_departing : bool
        Whether the server itself said that it leaves, which holds until it
        restarts; False if only its entry is missing.
    rate_limit : float or None
        Requests per second that it takes from all hosts together, None
        without a limit.
    rate_limit_known_at : float
        Time of the newest response that named the limit, or none, seconds.
    alive_at : float
        Time at which the incarnation was certainly running, seconds; minus
        infinity if none is known.
    """

    entry: ServerEntry
    received: float
    leaving_since: float | None
    is_departing: bool = False
    rate_limit: float | None = None
    rate_limit_known_at: float = float("-inf")
    alive_at: float = float("-inf")

    @property
    def instance(self) -> Instance:
        """Identifier and incarnation of the server."""
        return self.entry.id, self.entry.incarnation


class Directory:
    """Servers by identifier, with the rules for stale and missing entries.

    A server that said that it leaves remains so until it restarts. Removed
    servers are kept as leaving until `delete`, because those that own keys
    still have to hand them over.

    Attributes
    ----------
    by_id : dict of str to Server
        Known servers.
    version : int
        Number of changes so far.
    read_version : int
        Value of `version` after the last change by a read of this host.
    confirmed_at : float
        Latest time at which the directory was certainly complete, seconds;
        minus infinity before the first read.
    era : int
        Era of the store in which the servers were read; 0 without one.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Server] = {}
        self._ids_by_service: dict[str, dict[str, None]] = {}
        self._missing_since_by_id: dict[str, float] = {}
        self._expires_from = float("-inf")
        self._departed_order_by_id: dict[str, tuple[int, int]] = {}
        self.era = 0
        self._version_by_id: dict[str, int] = {}
        self.version = 0
        self.read_version = 0
        self._limited_services: set[str] = set()
        self._limited_at_version = 0
        self.confirmed_at = float("-inf")

    def of_service(self, service: str) -> list[Server]:
        """Return the servers of a service, including leaving ones."""
        by_id = self.by_id
        return [by_id[name] for name in self._ids_by_service.get(service, ())]

    def on_outage_end(self, now: float) -> None:
        """Record that reports can be read again after an outage."""
        self._extend_grace(now + REAPPEARANCE_SECONDS)

    def start_era(self, era: int, now: float) -> bool:
        """Note the era of the store; return whether it was restored.

        Entries of servers that have departed may return with the older copy,
        so a missing server counts as present only with a later report.

        Parameters
        ----------
        era : int
            Era of the store in which servers are read from now on.
        now : float
            Clock, seconds.
        """
        is_restored = era > self.era and bool(self.era or self.by_id)
        self.era = max(self.era, era)
        if is_restored:
            self._extend_grace(now + ERA_GRACE_SECONDS)
            for server_id in self._missing_since_by_id:
                self._note_departed(server_id)
        return is_restored

    def has_departed(self, entry: ServerEntry) -> bool:
        """Return whether a report precedes the departure of its server."""
        departed = self._departed_order_by_id.get(entry.id, (-1, -1))
        return (entry.incarnation, entry.sequence) <= departed

    def _extend_grace(self, until: float) -> None:
        self._expires_from = max(self._expires_from, until)

    def _note_departed(self, server_id: str) -> None:
        entry = self.by_id[server_id].entry
        order = self._departed_order_by_id.pop(server_id, (-1, -1))
        order = max(order, (entry.incarnation, entry.sequence))
        self._departed_order_by_id[server_id] = order
        if len(self._departed_order_by_id) > REMEMBERED_DEPARTURES:
            del self._departed_order_by_id[
                next(iter(self._departed_order_by_id))
            ]

    def confirm(self, time: float) -> None:
        """Record a time at which the directory was certainly complete."""
        self.confirmed_at = max(self.confirmed_at, time)

    def put(
        self,
        entry: ServerEntry,
        now: float,
        unseen_since: float | None = None,
        alive_at: float = float("-inf"),
    ) -> bool:
        """Apply a report; return whether more than its sequence changed.

        Parameters
        ----------
        entry : ServerEntry
            Report of the server.
        now : float
            Clock, seconds.
        unseen_since : float, optional
            Earliest time at which it may have been written, seconds; now by
            default.
        alive_at : float, optional
            Time after which it was certainly sent unless it is known already,
            seconds.
        """
        if self.has_departed(entry):
            return False
        self._departed_order_by_id.pop(entry.id, None)
        known = self.by_id.get(entry.id)
        has_reappeared = entry.id in self._missing_since_by_id
        leaving = None
        is_departing = entry.is_draining
        if entry.is_draining:
            leaving = now if unseen_since is None else unseen_since
        if known is not None:
            order = (entry.incarnation, entry.sequence)
            if order < (known.entry.incarnation, known.entry.sequence):
                return False
            is_same_incarnation = entry.incarnation == known.entry.incarnation
            is_departing |= is_same_incarnation and known.is_departing
            if (
                is_same_incarnation
                and known.leaving_since is not None
                and (known.is_departing or not has_reappeared)
            ):
                leaving = known.leaving_since
            self._remove_from_index(known.entry)
        self._missing_since_by_id.pop(entry.id, None)
        server = Server(entry, now, leaving, is_departing, alive_at=alive_at)
        if known is not None and known.entry.incarnation == entry.incarnation:
            if entry.sequence == known.entry.sequence:
                alive_at = known.alive_at
            server = server._replace(
                rate_limit=known.rate_limit,
                rate_limit_known_at=known.rate_limit_known_at,
                alive_at=max(alive_at, known.alive_at),
            )
        self.by_id[entry.id] = server
        self._ids_by_service.setdefault(entry.service, {})[entry.id] = None
        if (
            known is None
            or has_reappeared
            or known.leaving_since != leaving
            or _comparable(known.entry) != _comparable(entry)
        ):
            self._record_change(entry.id)
            return True
        return False

    def mark_leaving(
        self,
        instance: Instance,
        since: float,
        is_missing: bool = False,
    ) -> bool:
        """Apply that a server leaves; return whether that is new.

        Parameters
        ----------
        instance : tuple of (str, int)
            Identifier and incarnation of the server.
        since : float
            Earliest time at which it may have begun to leave, seconds.
        is_missing : bool
            Whether its entry is missing; otherwise the server said so.
        """
        server_id = instance[0]
        server = self.by_id.get(server_id)
        if server is None or server.instance != instance:
            return False
        if is_missing:
            self._missing_since_by_id.setdefault(server_id, since)
        earliest = since
        if server.leaving_since is not None:
            earliest = min(since, server.leaving_since)
        is_departing = server.is_departing or not is_missing
        if (earliest, is_departing) == (
            server.leaving_since,
            server.is_departing,
        ):
            return False
        self.by_id[server_id] = server._replace(
            leaving_since=earliest, is_departing=is_departing
        )
        self._record_change(server_id)
        return server.leaving_since is None

    def set_rate_limit(
        self, instance: Instance, rate: float | None, known_at: float
    ) -> bool:
        """Apply a server's limit unless it is outdated; return if it changed.

        Parameters
        ----------
        instance : tuple of (str, int)
            Identifier and incarnation of the server.
        rate : float or None
            Requests per second that the server takes, None without a limit.
        known_at : float
            Time of the response that says so, seconds.
        """
        server = self.by_id.get(instance[0])
        if server is None or server.instance != instance:
            return False
        if known_at <= server.rate_limit_known_at:
            return False
        self.by_id[instance[0]] = server._replace(
            rate_limit=rate, rate_limit_known_at=known_at
        )
        if rate == server.rate_limit:
            return False
        self._record_change(instance[0])
        return True

    def services_with_rate_limits(self) -> set[str]:
        """Return the services with servers that named a limit."""
        if self._limited_at_version != self.version:
            self._limited_at_version = self.version
            self._limited_services = {
                server.entry.service
                for server in self.by_id.values()
                if server.rate_limit is not None
            }
        return self._limited_services

    def changed_after(self, version: int) -> list[Server]:
        """Return the servers that have changed since a version."""
        # The newest changes are last, and a report misses only a few.
        changed = itertools.takewhile(
            lambda item: item[1] > version,
            reversed(self._version_by_id.items()),
        )
        return [self.by_id[server_id] for server_id, _ in changed]

    def is_missing(self, server_id: str) -> bool:
        """Return whether the entry of a known server is missing."""
        return server_id in self._missing_since_by_id

    def remove(self, server_id: str, since: float) -> None:
        """Mark an entry as missing; `expire` removes it if it stays so.

        Parameters
        ----------
        server_id : str
            Identifier of the server.
        since : float
            Earliest time at which it may have been removed, seconds.
        """
        if server_id in self.by_id and not self.is_missing(server_id):
            self._missing_since_by_id[server_id] = since
            self.version += 1

    def remove_unlisted(self, listed_ids: set[str], since: float) -> None:
        """Mark all entries as missing that a complete list lacks.

        Parameters
        ----------
        listed_ids : set of str
            Identifiers of all servers.
        since : float
            Earliest time at which the others may have been removed, seconds.
        """
        for server_id in self.by_id.keys() - listed_ids:
            self.remove(server_id, since)

    def expire(self, now: float) -> list[str]:
        """Mark servers with missing entries as leaving; return the new ones.

        Nothing expires within `REAPPEARANCE_SECONDS` after an outage, or
        within `ERA_GRACE_SECONDS` after the store was restored.
        """
        if not self._missing_since_by_id:
            return []
        if now < self._expires_from:
            return []
        expired = []
        for server_id, since in self._missing_since_by_id.items():
            server = self.by_id[server_id]
            if server.leaving_since is None:
                self.by_id[server_id] = server._replace(leaving_since=since)
                self._record_change(server_id)
                expired.append(server_id)
        return expired

    def delete(self, server_id: str) -> None:
        """Delete a server from the directory."""
        if self.era and server_id in self.by_id:
            self._note_departed(server_id)
        server = self.by_id.pop(server_id, None)
        self._missing_since_by_id.pop(server_id, None)
        if server is not None:
            self._remove_from_index(server.entry)
            self._version_by_id.pop(server_id, None)
            self.version += 1

    def missing_since_by_id(self) -> dict[str, float]:
        """Return since when entries are missing, by server identifier."""
        return dict(self._missing_since_by_id)

    def _record_change(self, server_id: str) -> None:
        self.version += 1
        self._version_by_id.pop(server_id, None)
        self._version_by_id[server_id] = self.version

    def _remove_from_index(self, entry: ServerEntry) -> None:
        self._ids_by_service.get(entry.service, {}).pop(entry.id, None)


def _comparable(entry: ServerEntry) -> ServerEntry:
    is_cold = entry.warmup_left > 0
    return entry._replace(sequence=0, warmup_left=float(is_cold))
