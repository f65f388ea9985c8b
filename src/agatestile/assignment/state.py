"""What the parts of the coordinator share."""

from __future__ import annotations

import typing

from agatestile.assignment import key_load as heat_module
from agatestile.assignment import ports
from agatestile.assignment import ranges

if typing.TYPE_CHECKING:
    from agatestile.assignment import leases
    from agatestile.assignment import planner


class RegisteredServer(typing.NamedTuple):
    """What the coordinator needs to know of a server.

    Attributes
    ----------
    address : tuple of (str, int)
        Where orders go.
    candidate : planner.OwnerCandidate
        What the planner needs.
    report_age : float
        Age of its newest report to service discovery, seconds.
    """

    address: tuple[str, int]
    candidate: planner.OwnerCandidate
    report_age: float

    @property
    def recipient(self) -> ports.Recipient:
        """The life of the server that orders are meant for."""
        return ports.Recipient(
            self.candidate.id, self.candidate.incarnation, self.address
        )


class Fleet(typing.Protocol):
    """Servers of the partitioned services, as discovery shows them."""

    def services(self) -> list[str]:
        """Return the services divided by key."""

    def registered_servers(self, service: str) -> dict[str, RegisteredServer]:
        """Return the servers of a service by identifier."""

    def registered_server(
        self, service: str, server_id: str
    ) -> RegisteredServer | None:
        """Return one server, None if it is not of the service."""

    def is_replaced(self, life: leases.Life) -> bool:
        """Tell whether a life has surely ended, as a later one shows."""


class ServiceState:
    """Assignment of one service."""

    def __init__(self, key_map: ranges.RangeMap, now: float) -> None:
        self.key_map = key_map
        self.heat = heat_module.KeyHeat(now)
        self.is_new = True
        self.first_seen: float | None = None
        self.has_owners = any(
            one.owner != ranges.UNOWNED for one in key_map.ranges
        )

    def is_owned(self, key_range: ranges.KeyRange) -> bool:
        """Tell whether a range still has the same owner and bounds."""
        return self.key_map.find(key_range.first) == key_range


class Leader(typing.Protocol):
    """The leadership of this host, as its parts see it.

    Attributes
    ----------
    epoch : int
        Number of the leadership, 0 without it.
    services : dict of str to ServiceState
        Assignments by service.
    """

    epoch: int
    services: dict[str, ServiceState]

    @property
    def is_active(self) -> bool:
        """Whether this host leads and may decide."""

    def lose_leadership(self, reason: str) -> None:
        """Stop to decide."""

    def publish(self) -> None:
        """Tell hosts of a changed assignment."""

    def request_plan(self) -> None:
        """Plan soon."""


def find_server(
    fleet: Fleet, service: str, life: leases.Life
) -> RegisteredServer | None:
    """Return a life of a server, None if it is not known any more."""
    server = fleet.registered_server(service, life[0])
    if server is None or server.candidate.incarnation != life[1]:
        return None
    return server
