"""Interfaces that the runner needs from the rest of the daemon."""

from __future__ import annotations

import math
import typing

from agatestile.results import outcomes
from agatestile.rpc.generated.agatestile_rpc import ttypes

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.ownership import grants
    from agatestile.state import records


class Host(typing.NamedTuple):
    """A host in the membership list.

    Attributes
    ----------
    name, domain : str
        Names of the host and of its failure domain.
    peer_address : str
        IP address and port of its Peer service.
    """

    name: str
    domain: str
    peer_address: str


class Servers(typing.Protocol):
    """Calls to backend servers."""

    async def grant(
        self, row: records.TableRow, request: grants.GrantRequest
    ) -> grants.GrantReply | outcomes.Refusal:
        """Send a grant to a server and return its reply."""

    async def probe(self, row: records.TableRow) -> bool:
        """Return whether a server that does not check fences answers."""


class Peers(typing.Protocol):
    """Calls to the daemons of other hosts."""

    async def call(
        self, address: str, method: str, *arguments: typing.Any
    ) -> typing.Any | outcomes.Refusal:
        """Call a method of the Peer service at an address."""


class Appender(typing.Protocol):
    """Appends to the configuration stream."""

    async def append(self, record: records.Record) -> int | outcomes.Refusal:
        """Append a record; return the offset at which it was applied."""


class Membership(typing.Protocol):
    """The platform's membership list, which may be late or wrong."""

    def hosts(self) -> collections.abc.Sequence[Host]:
        """Return the hosts in the last known list."""


class Loads(typing.Protocol):
    """Loads that the gates of this host measured."""

    def gate_report(self, server: str, fence: str) -> ttypes.GateReport:
        """Return one gate's report for the time since its previous one."""

    def range_loads(self, domain: str) -> list[ttypes.RangeLoad]:
        """Return the loads of the ranges owned by servers of a domain."""

    def hot_keys(self, domain: str) -> list[ttypes.HotKey]:
        """Return the hottest keys of the gates in a domain."""


class NoLoads:
    """Reports all gates as idle."""

    def gate_report(self, server: str, fence: str) -> ttypes.GateReport:
        """Return a report of an idle gate."""
        return ttypes.GateReport(server, fence, 0, 0.0, 0.0)

    def range_loads(self, domain: str) -> list[ttypes.RangeLoad]:
        """Return no loads."""
        return []

    def hot_keys(self, domain: str) -> list[ttypes.HotKey]:
        """Return no keys."""
        return []


def _never_read() -> float:
    return -math.inf


class Ports(typing.NamedTuple):
    """All interfaces that a runner uses.

    Attributes
    ----------
    on_view : callable
        Called with each new route view.
    last_read : callable
        Returns when the last successful read of the log began, seconds;
        used in domains in which no server checks fences.
    """

    servers: Servers
    peers: Peers
    appender: Appender
    membership: Membership
    on_view: collections.abc.Callable[[ttypes.RouteView], object]
    loads: Loads = NoLoads()
    last_read: collections.abc.Callable[[], float] = _never_read
