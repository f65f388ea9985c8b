"""Finds the server that owns a key and the gate of the server."""

from __future__ import annotations

import typing

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.routing import keys

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.routing import views as route_views
    from agatestile.state import records


class OwnedRange(typing.Protocol):
    """Fields of a range that routing reads."""

    @property
    def server(self) -> str:
        """Name of the owning backend server, empty for none."""

    @property
    def version(self) -> int:
        """Log offset of the record that last changed the range."""


class RangeMap(typing.Protocol):
    """Ranges that partition the positions of a service."""

    def find(self, position: int) -> OwnedRange:
        """Return the range that contains a position."""


class Table(typing.Protocol):
    """Part of the services table that routing reads."""

    @property
    def services_by_name(
        self,
    ) -> collections.abc.Mapping[str, records.TableRow]:
        """Rows of kind service by the name of the service."""

    @property
    def servers_by_name(
        self,
    ) -> collections.abc.Mapping[str, records.TableRow]:
        """Rows of kind server by the name of the server."""


class State(typing.Protocol):
    """Part of the replicated state that routing reads."""

    @property
    def offset(self) -> int:
        """Log offset of the last applied record, -1 if there is none."""

    @property
    def table(self) -> Table:
        """Services table in force."""

    @property
    def ranges_by_service(self) -> collections.abc.Mapping[str, RangeMap]:
        """Ranges of each service with their owners."""


class Route(typing.NamedTuple):
    """Destination of a request.

    Attributes
    ----------
    service : str
        Name of the service.
    position : int
        Position of the key.
    server : str
        Backend server that owns the key.
    domain : str
        Failure domain of the server.
    gate : views.GateAddress
        Host that is the gate of the server, the only one that may send to
        it.
    fence : tuple of (int, int)
        Fencing token: version of the assignment and number of failovers
        since.
    version : int
        Version of the assignment.
    """

    service: str
    position: int
    server: str
    domain: str
    gate: route_views.GateAddress
    fence: tuple[int, int]
    version: int


class Router:
    """Resolves a key to its position, owner and gate, in that order.

    Parameters
    ----------
    state : State
        Replicated state.
    views : views.RouteViews
        Gates and failovers that the leaders announced.
    """

    def __init__(self, state: State, views: route_views.RouteViews) -> None:
        self._state = state
        self._views = views

    def route(self, service: str, key: str) -> Route | outcomes.Refusal:
        """Return the route of a key.

        Returns
        -------
        Route or Refusal
            The refusal has the code ``NOT_READY``, ``UNKNOWN_SERVICE``,
            ``NO_OWNER`` or ``NO_GATE``.
        """
        return self.route_position(service, keys.position_of(key))

    def route_position(
        self, service: str, position: int
    ) -> Route | outcomes.Refusal:
        """Return the route of a position, like `route`."""
        state = self._state
        ranges = state.ranges_by_service.get(service)
        if ranges is None:
            return _refuse_unknown_service(state, service)
        owned = ranges.find(position)
        server, version, failovers = owned.server, owned.version, 0
        step = self._views.step_of(service, position)
        # A failover step that is based on another assignment is outdated.
        if step is not None and step.version == version:
            server, failovers = step.server, step.step
        row = state.table.servers_by_name.get(server)
        if row is None:
            return outcomes.Refusal(
                codes.ResultCode.NO_OWNER,
                f"position {position} of service {service} has no owner",
            )
        gate = self._views.gate_of(server)
        if gate is None:
            return outcomes.Refusal(
                codes.ResultCode.NO_GATE,
                f"no host is the gate of server {server}",
            )
        return Route(
            service,
            position,
            server,
            row.domain,
            gate,
            (version, failovers),
            version,
        )


def _refuse_unknown_service(state: State, service: str) -> outcomes.Refusal:
    if state.offset < 0:
        return outcomes.Refusal(
            codes.ResultCode.NOT_READY, "the state has not been read yet"
        )
    return outcomes.Refusal(
        codes.ResultCode.UNKNOWN_SERVICE,
        f"the table has no service {service[:64]!r}",
    )
