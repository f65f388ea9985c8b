"""Messages between hosts, encoded as msgpack."""

from __future__ import annotations

import msgspec

from agatestile.assignment import records
from agatestile.balancing import load
from agatestile.catalog import directory


class Report(msgspec.Struct, array_like=True):
    """What a host tells the coordinator.

    Attributes
    ----------
    host : str
        Peer address of the host.
    epoch, version : int
        Assignment that it knows.
    directory : int
        Version of the coordinator's directory that it knows.
    requests : dict
        Requests by key since the last report, by service.
    servers : dict
        What was measured since the last report, by server.
    """

    host: str
    epoch: int
    version: int
    directory: int
    requests: dict[str, dict[int, int]]
    servers: dict[str, load.Samples]


class RelayedServer(msgspec.Struct, array_like=True):
    """A server as the coordinator knows it.

    Attributes
    ----------
    id, incarnation, sequence, service, address, failure_domain, slots
        As in the server's entry.
    is_draining : bool
        Whether it says that it leaves.
    warmup_left : float
        How much longer it stays cold, seconds.
    leaving_age : float or None
        Since when it is known to leave, seconds.
    is_missing : bool
        Whether its entry was removed.
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
    leaving_age: float | None
    is_missing: bool

    @classmethod
    def from_server(
        cls, server: directory.Server, is_missing: bool, now: float
    ) -> RelayedServer:
        """Return the message for a known server."""
        entry = server.entry
        cold = max(0.0, entry.warmup_left - (now - server.received))
        since = server.leaving_since
        age = None if since is None else now - since
        return cls(*entry._replace(warmup_left=cold), age, is_missing)

    def entry(self) -> directory.ServerEntry:
        """Return the entry of the server."""
        return directory.ServerEntry(
            self.id,
            self.incarnation,
            self.sequence,
            self.service,
            self.address,
            self.failure_domain,
            self.slots,
            self.is_draining,
            self.warmup_left,
        )


class ReportResponse(msgspec.Struct, array_like=True):
    """What the coordinator answers.

    Attributes
    ----------
    epoch, version : int
        The present assignment.
    host_count, host_rank : int
        Number of hosts that report, and the place of this one.
    is_confirmed : bool
        Whether the store answered the coordinator lately.
    operator_end : int
        Where the coordinator's reads of the operator's records ended.
    directory : int
        Version of the coordinator's directory.
    servers : list of RelayedServer
        Servers that changed since the version that the host knows.
    services : dict or None
        Range maps, None if the host knows them.
    """

    epoch: int
    version: int
    host_count: int
    host_rank: int
    is_confirmed: bool
    operator_end: int
    directory: int
    servers: list[RelayedServer]
    services: dict[str, records.ServiceRanges] | None


class SupersedeRequest(msgspec.Struct, array_like=True):
    """Tells the leader that a later epoch has begun.

    Attributes
    ----------
    epoch : int
        The later epoch.
    """

    epoch: int


class SupersedeResponse(msgspec.Struct, array_like=True):
    """Answer of the earlier leader.

    Attributes
    ----------
    was_holder : bool
        Whether its process led until now.
    holds : list of (str, int, float)
        Identifier and incarnation of servers, and for how much longer each
        may hold keys, seconds.
    """

    was_holder: bool
    holds: list[tuple[str, int, float]]


class Redirect(msgspec.Struct, array_like=True):
    """Answer of a host that is not the coordinator.

    Attributes
    ----------
    coordinator : str
        Peer address of the coordinator it knows, empty for none.
    """

    coordinator: str
