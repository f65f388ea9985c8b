"""State and interfaces shared by the parts of the coordinator."""

from __future__ import annotations

import typing

from agatestile.assignment import key_load
from agatestile.assignment import ports
from agatestile.assignment import ranges
from agatestile.assignment import records

if typing.TYPE_CHECKING:
    from agatestile.assignment import leases
    from agatestile.assignment import planner


class RegisteredServer(typing.NamedTuple):
    """A server as the coordinator sees it.

    Attributes
    ----------
    address : tuple of (str, int)
        IP address and port that receive orders.
    candidate : planner.OwnerCandidate
        The server as a possible owner of keys.
    alive_at : float
        Time at which the instance was certainly running, seconds on the
        clock of `ports.Orders`.
    answer_rate : float
        Requests per second that it can answer if it rejects none.
    """

    address: tuple[str, int]
    candidate: planner.OwnerCandidate
    alive_at: float
    answer_rate: float

    @property
    def recipient(self) -> ports.Recipient:
        """The server instance that orders are meant for."""
        return ports.Recipient(
            self.candidate.id, self.candidate.incarnation, self.address
        )


class Fleet(typing.Protocol):
    """Servers of partitioned services, as service discovery reports them."""

    def services(self) -> list[str]:
        """Return the names of the partitioned services."""

    def registered_servers(self, service: str) -> dict[str, RegisteredServer]:
        """Return the servers of a service by identifier."""

    def registered_server(
        self, service: str, server_id: str
    ) -> RegisteredServer | None:
        """Return a server; None if the service does not have it."""


class ServiceState:
    """Assignment and load of a service.

    Parameters
    ----------
    key_map : ranges.RangeMap
        Owners of the keys.
    now : float
        Current time, seconds.
    servers : records.ServiceServers
        Servers of the service, as an earlier leader has stored them.
    """

    def __init__(
        self,
        key_map: ranges.RangeMap,
        now: float,
        servers: records.ServiceServers = records.NO_SERVERS,
    ) -> None:
        self.key_map = key_map
        # What this leader has stored.
        self.stored_servers = records.NO_SERVERS
        self.owed_releases = ranges.outstanding_releases(
            servers.to_owed_releases(), key_map
        )
        self.load = key_load.KeyLoad(now)
        self.is_new = True
        self.admitted_shares: dict[int, float] = {}
        self.first_server_seen_at: float | None = None
        self.changes_being_stored: list[ranges.KeyRange] = []
        self.has_owners = any(
            key_range.owner != ranges.UNOWNED for key_range in key_map.ranges
        )

    def is_owned(self, key_range: ranges.KeyRange) -> bool:
        """Return whether a range still has the same owner and bounds."""
        return self.key_map.find(key_range.first) == key_range

    def is_being_changed(self, key_range: ranges.KeyRange) -> bool:
        """Return whether a change of some of the keys is being stored."""
        return any(
            change.first <= key_range.last and key_range.first <= change.last
            for change in self.changes_being_stored
        )


class Leader(typing.Protocol):
    """The leadership of this host, as the parts of the coordinator use it.

    Attributes
    ----------
    epoch : int
        Number of the leadership; 0 while this host is not the leader.
    services : dict of str to ServiceState
        Assignments by service.
    """

    epoch: int
    services: dict[str, ServiceState]

    @property
    def is_active(self) -> bool:
        """Whether this host is the leader and its lease is valid."""

    def lose_leadership(self, reason: str) -> None:
        """Stop acting as the leader."""

    def next_fence(self) -> int:
        """Return a fencing token that is higher than all earlier ones."""

    def publish(self, may_wait: bool = False) -> None:
        """Notify hosts of a changed assignment."""

    def request_plan(self) -> None:
        """Plan without waiting for the next interval."""

    def renew_fence(
        self, service: str, key_range: ranges.KeyRange
    ) -> ranges.KeyRange | None:
        """Replace the fencing token of a range by one that was never sent.

        Returns None if the range has changed or is about to.
        """


def find_server(
    fleet: Fleet, service: str, instance: leases.Instance
) -> RegisteredServer | None:
    """Return the server of an instance; None if it is no longer known."""
    server = fleet.registered_server(service, instance[0])
    if server is None or server.candidate.incarnation != instance[1]:
        return None
    return server
