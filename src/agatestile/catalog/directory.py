"""Backend servers as service discovery reports them."""

from __future__ import annotations

import typing

REAPPEARANCE_SECONDS = 2.2
"""How long an entry may be missing after an outage of service discovery
before its server counts as gone; the platform's pages say about 2 s."""


class ServerEntry(typing.NamedTuple):
    """What a backend server says of itself.

    Attributes
    ----------
    id : str
        Identifier; a restarted server may keep it.
    incarnation : int
        Unix time of the server's start, ms.
    sequence : int
        Number of the report within its incarnation.
    service : str
        Service that the server belongs to.
    address : tuple of (str, int)
        IP address and port.
    failure_domain : str
        Where the server is.
    slots : int
        Requests that it works on at the same time.
    is_draining : bool
        Whether it is about to leave.
    warmup_left : float
        How much longer it says to stay cold, seconds.
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
        Its newest report.
    received : float
        Clock when the report was read, seconds.
    leaving_since : float or None
        Clock when it was first seen to leave.
    """

    entry: ServerEntry
    received: float
    leaving_since: float | None


class Directory:
    """Servers by identifier, with the rules for stale and lost entries.

    A server that was seen to leave stays so until it starts again.
    Removed servers are kept as leaving until `delete`, as those that hold
    keys still have to hand them over.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Server] = {}
        self._ids_by_service: dict[str, dict[str, None]] = {}
        self._missing_since: dict[str, float] = {}
        self._outage_end = float("-inf")
        self._newest_by_address: dict[tuple[str, int], ServerEntry] = {}
        self._version_by_id: dict[str, int] = {}
        self.version = 0

    def of_service(self, service: str) -> list[Server]:
        """Return the servers of a service, leaving ones included."""
        by_id = self.by_id
        return [by_id[name] for name in self._ids_by_service.get(service, ())]

    def on_outage_end(self, now: float) -> None:
        """Note that reports can be read again after an outage."""
        self._outage_end = now

    def put(self, entry: ServerEntry, now: float) -> bool:
        """Apply a report; return whether more than its number changed."""
        known = self.by_id.get(entry.id)
        leaving = now if entry.is_draining else None
        if known is not None:
            order = (entry.incarnation, entry.sequence)
            if order < (known.entry.incarnation, known.entry.sequence):
                return False
            is_same = entry.incarnation == known.entry.incarnation
            is_back = entry.id in self._missing_since
            if is_same and known.leaving_since is not None and not is_back:
                leaving = known.leaving_since
            self._unlink(known.entry)
        self._missing_since.pop(entry.id, None)
        newest = self._newest_by_address.get(entry.address)
        if newest is None or newest.incarnation <= entry.incarnation:
            self._newest_by_address[entry.address] = entry
        self.by_id[entry.id] = Server(entry, now, leaving)
        self._ids_by_service.setdefault(entry.service, {})[entry.id] = None
        changed = known is None or _facts(known.entry) != _facts(entry)
        if changed or known is None or known.leaving_since != leaving:
            self._note_change(entry.id)
            return True
        return False

    def mark_leaving(
        self, server_id: str, since: float, is_missing: bool
    ) -> None:
        """Apply what another host knows of a server that leaves.

        Parameters
        ----------
        server_id : str
            Identifier of the server.
        since : float
            Clock when it was first seen to leave, seconds.
        is_missing : bool
            Whether its entry was removed.
        """
        server = self.by_id.get(server_id)
        if server is None:
            return
        if is_missing:
            self._missing_since.setdefault(server_id, since)
        if server.leaving_since is None or server.leaving_since > since:
            self.by_id[server_id] = server._replace(leaving_since=since)
            self._note_change(server_id)

    def changed_after(self, version: int) -> list[Server]:
        """Return the servers that changed after a version."""
        return [
            self.by_id[server_id]
            for server_id, changed in self._version_by_id.items()
            if changed > version
        ]

    def is_missing(self, server_id: str) -> bool:
        """Tell whether the entry of a known server was removed."""
        return server_id in self._missing_since

    def remove(self, server_id: str, now: float) -> None:
        """Apply the removal of an entry, later if it may come back."""
        if server_id in self.by_id:
            self._missing_since.setdefault(server_id, now)

    def expire(self, now: float) -> list[str]:
        """Return the servers whose removal takes effect now."""
        if not self._missing_since:
            return []
        if now < self._outage_end + REAPPEARANCE_SECONDS:
            return []
        gone = []
        for server_id in self._missing_since:
            server = self.by_id[server_id]
            if server.leaving_since is None:
                self.by_id[server_id] = server._replace(leaving_since=now)
                self._note_change(server_id)
                gone.append(server_id)
        return gone

    def delete(self, server_id: str) -> None:
        """Drop a removed server."""
        server = self.by_id.pop(server_id, None)
        self._missing_since.pop(server_id, None)
        if server is not None:
            self._unlink(server.entry)
            newest = self._newest_by_address.get(server.entry.address)
            if newest is not None and newest.id == server_id:
                del self._newest_by_address[server.entry.address]
            self._version_by_id.pop(server_id, None)
            self.version += 1

    def newest_at(self, address: tuple[str, int]) -> ServerEntry | None:
        """Return the server that started last at an address."""
        return self._newest_by_address.get(address)

    def missing_since_by_id(self) -> dict[str, float]:
        """Return since when removed servers are missing, by identifier."""
        return dict(self._missing_since)

    def _note_change(self, server_id: str) -> None:
        self.version += 1
        self._version_by_id[server_id] = self.version

    def _unlink(self, entry: ServerEntry) -> None:
        self._ids_by_service.get(entry.service, {}).pop(entry.id, None)


def _facts(entry: ServerEntry) -> ServerEntry:
    is_cold = entry.warmup_left > 0
    return entry._replace(sequence=0, warmup_left=float(is_cold))
