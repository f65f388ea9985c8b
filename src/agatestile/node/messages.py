"""Messages between hosts, encoded as msgpack arrays.

Fields are identified by position, so their order must not change.
"""

from __future__ import annotations

import math

import msgspec

from agatestile.assignment import records
from agatestile.balancing import load
from agatestile.catalog import directory
from agatestile.limits import quotas as quotas_module
from agatestile.limits import shares as shares_module
from agatestile.node import content_history


class OperatorState(msgspec.Struct, array_like=True):
    """What a host knows of the operator's records.

    Attributes
    ----------
    end : int
        Offset up to which the host knows the records.
    age : float
        Time since they were certainly complete, in seconds.
    version : int
        Version of the configuration.
    evacuated : list of str
        Evacuated failure domains.
    base_version : int
        Version that `patch` applies to, -1 if to none.
    patch : bytes
        Configuration compressed against that version, empty unless the
        recipient has an older one.
    era : int
        Era of the store to which `end` belongs.
    """

    end: int
    age: float
    version: int
    evacuated: list[str]
    base_version: int = -1
    patch: bytes = b""
    era: int = 0


class Report(msgspec.Struct, array_like=True):
    """Periodic report of a host to the coordinator.

    Attributes
    ----------
    host : str
        Peer address of the reporting host.
    epoch, version : int
        Epoch and version of the assignment that the host has.
    directory_version : int
        Version of the coordinator's directory that the host has.
    requests : dict
        Number of requests since the last report, by service and key.
    servers : dict
        Samples taken since the last report, by server identifier.
    operator : OperatorState or None
        What the host knows of the operator's records.
    departures : list of (str, int, float)
        Identifier and incarnation of servers that told this host that they
        leave, and the time since then, in seconds.
    rate_limits : list of (str, int, float or None, float)
        Identifier and incarnation of servers whose limit changed in a
        response to this host, the limit in requests per second, and the time
        since the response, in seconds.
    demand : dict of str to int
        Requests of callers since the last report, by service.
    assignment_version : int or None
        Version of the assignment to which the host can apply a patch, -1 if
        to none; None if it cannot read patches.
    directory_age : float
        Time since the host's directory was certainly complete, in seconds.
    shares : shares.AppliedShares or None
        Shares of the host in the limits of servers, None from a host that
        runs an earlier release.
    quotas : quotas.Report or None
        What the host has of the quotas of tenants, None without quotas.
    """

    host: str
    epoch: int
    version: int
    directory_version: int
    requests: dict[str, dict[int, int]]
    servers: dict[str, load.Samples]
    operator: OperatorState | None = None
    departures: list[tuple[str, int, float]] = []
    rate_limits: list[tuple[str, int, float | None, float]] = []
    demand: dict[str, int] = {}
    assignment_version: int | None = None
    directory_age: float = math.inf
    shares: shares_module.AppliedShares | None = None
    quotas: quotas_module.Report | None = None


class RelayedServer(msgspec.Struct, array_like=True):
    """Directory entry of a server, relayed by the coordinator.

    Attributes
    ----------
    id, incarnation, sequence, service, address, failure_domain, slots
        As in `directory.ServerEntry`.
    is_draining : bool
        Whether the server reports that it is draining.
    warmup_left : float
        Remaining warm-up time, in seconds.
    leaving_age : float or None
        Longest time for which the server may have been leaving, in seconds;
        None unless it is leaving.
    is_missing : bool
        Whether the entry was removed from service discovery.
    rate_limit : float or None
        Limit that the server named, in requests per second.
    rate_limit_age : float
        Time since the response that named it, in seconds.
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
    rate_limit: float | None = None
    rate_limit_age: float = math.inf

    @classmethod
    def from_server(
        cls, server: directory.Server, is_missing: bool, now: float
    ) -> RelayedServer:
        """Return the message for a server of the directory."""
        entry = server.entry
        warmup_left = max(0.0, entry.warmup_left - (now - server.received))
        leaving_since = server.leaving_since
        age = None if leaving_since is None else now - leaving_since
        return cls(
            *entry._replace(warmup_left=warmup_left),
            age,
            is_missing,
            server.rate_limit,
            now - server.rate_limit_known_at,
        )

    def entry(self) -> directory.ServerEntry:
        """Return the directory entry of the server."""
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
    """Response of the coordinator to a report.

    Attributes
    ----------
    epoch, version : int
        Epoch and version of the current assignment.
    host_count, host_rank : int
        Number of reporting hosts, and the index of the recipient in their
        sorted addresses.
    is_confirmed : bool
        Whether the store responded to the coordinator recently.
    operator_end : int
        Offset up to which the coordinator has read the operator's records.
    directory_version : int
        Version of the coordinator's directory.
    servers : list of RelayedServer
        Servers that changed after the version that the host reported; none
        if its directory is more recent than the coordinator's.
    services : dict or None
        Key ranges by service, None if the host has the current assignment or
        reads patches.
    operator : OperatorState or None
        What the coordinator knows of the operator's records.
    directory_age : float
        Time since the coordinator's directory was certainly complete, in
        seconds.
    shares : dict of str to (float, float) or None
        Shares of the recipient in the limits of servers, by service; None to
        keep those that it has.
    assignment : content_history.ContentPatch or None
        Encoded key ranges by service, None if the host has the current
        assignment or cannot read patches.
    has_all_servers : bool
        Whether `servers` are all servers that the coordinator knows.
    admitted_shares : dict of str to dict of int to float
        Share of the requests for hot keys that hosts may send to their
        owners, by service and key.
    directory_era : int
        Era of the store in which the coordinator has read its directory.
    quotas : quotas.Grant or None
        Changes of what the recipient has of the quotas of tenants.
    """

    epoch: int
    version: int
    host_count: int
    host_rank: int
    is_confirmed: bool
    operator_end: int
    directory_version: int
    servers: list[RelayedServer]
    services: dict[str, records.ServiceRanges] | None
    operator: OperatorState | None = None
    directory_age: float = math.inf
    shares: dict[str, tuple[float, float]] | None = None
    assignment: content_history.ContentPatch | None = None
    has_all_servers: bool = False
    admitted_shares: dict[str, dict[int, float]] = {}
    directory_era: int = 0
    quotas: quotas_module.Grant | None = None


def encode(message: Report | ReportResponse) -> bytes:
    """Return an encoded message, without its last fields if they are unused.

    Messages of a deployment without quotas and eras are as small as those of
    earlier releases, which do not have the fields.
    """
    fields = msgspec.structs.astuple(message)
    if message.quotas is None:
        fields = fields[:-1]
        if isinstance(message, ReportResponse) and not message.directory_era:
            fields = fields[:-1]
    return msgspec.msgpack.encode(fields)


class SupersedeRequest(msgspec.Struct, array_like=True):
    """Tells the previous leader that a later epoch has begun.

    Attributes
    ----------
    epoch : int
        Epoch of the new leader.
    """

    epoch: int


class SupersedeResponse(msgspec.Struct, array_like=True):
    """Response of the previous leader.

    Attributes
    ----------
    was_holder : bool
        Whether its process was the leader until this request.
    remaining_leases : list of (str, int, float)
        Identifier and incarnation of each server, and the remaining time
        for which it may hold keys, in seconds.
    """

    was_holder: bool
    remaining_leases: list[tuple[str, int, float]]


class Redirect(msgspec.Struct, array_like=True):
    """Response of a host that is not the coordinator.

    Attributes
    ----------
    coordinator : str
        Peer address of the coordinator, empty if the host knows none.
    """

    coordinator: str
