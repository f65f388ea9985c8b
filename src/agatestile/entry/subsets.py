"""Servers without keys that a host uses as long as they suffice."""

from __future__ import annotations

import math
import typing
import zlib

if typing.TYPE_CHECKING:
    from agatestile.catalog import directory as directory_module

SUBSET_SIZE = 6
"""Servers of a service and of the own failure domain that a host uses: enough
to choose from, and few enough that connections to them stay in use."""

_GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0
"""Its multiples are spread evenly over the unit interval, whatever numbers in
a row are taken."""


class ServerSubsets:
    """Chooses a few servers near this host, evenly over all hosts.

    The servers are on a circle, ordered by a hash of their identifiers. A
    host takes adjacent ones from a point that its place among the hosts
    determines. A server that comes or goes shifts the choice by one; a host
    that comes or goes moves the points of those behind it.

    Parameters
    ----------
    directory : directory.Directory
        Known servers.
    failure_domain : str
        Failure domain of this host.
    """

    def __init__(
        self, directory: directory_module.Directory, failure_domain: str
    ) -> None:
        self._directory = directory
        self._failure_domain = failure_domain
        self._ids_by_service: dict[str, list[str]] = {}
        self._chosen_for: tuple[int, int | None] = (-1, None)

    def of_service(self, service: str, rank: int | None) -> list[str]:
        """Return the identifiers of the servers that this host uses.

        Parameters
        ----------
        service : str
            Service of the servers.
        rank : int or None
            Place of this host among all hosts, None if it is unknown.
        """
        chosen_for = (self._directory.version, rank)
        if chosen_for != self._chosen_for:
            self._chosen_for = chosen_for
            self._ids_by_service.clear()
        ids = self._ids_by_service.get(service)
        if ids is None:
            ids = self._ids_by_service[service] = self._choose(service, rank)
        return ids

    def _choose(self, service: str, rank: int | None) -> list[str]:
        near = sorted(
            (zlib.crc32(server.entry.id.encode()), server.entry.id)
            for server in self._directory.of_service(service)
            if server.entry.failure_domain == self._failure_domain
            and server.leaving_since is None
        )
        if len(near) <= SUBSET_SIZE:
            return [server_id for _, server_id in near]
        if rank is None:
            # Without a place, the choice would be the same for many hosts.
            return []
        start = int(rank * _GOLDEN_RATIO % 1.0 * len(near))
        return [
            near[(start + index) % len(near)][1]
            for index in range(SUBSET_SIZE)
        ]
