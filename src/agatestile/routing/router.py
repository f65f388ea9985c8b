"""Finds the owner of a key and the gate of the owner."""

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
    """What routing needs to know of a range."""

    @property
    def server(self) -> str:
        """Backend server that owns the range, empty for none."""

    @property
    def version(self) -> int:
        """Offset of the record that last changed the range."""


class RangeMap(typing.Protocol):
    """Partition of the positions of a service."""

    def find(self, position: int) -> OwnedRange:
        """Return the range that contains a position."""


class Table(typing.Protocol):
    """Rows of the services table by name."""

    @property
    def services_by_name(
        self,
    ) -> collections.abc.Mapping[str, records.TableRow]:
        """Return the rows of kind service."""

    @property
    def servers_by_name(
        self,
    ) -> collections.abc.Mapping[str, records.TableRow]:
        """Return the rows of kind server."""


class State(typing.Protocol):
    """Part of the replicated state that routing reads."""

    @property
    def offset(self) -> int:
        """Offset of the last record applied, -1 when empty."""

    @property
    def table(self) -> Table:
        """The services table in force."""

    @property
    def ranges_by_service(self) -> collections.abc.Mapping[str, RangeMap]:
        """Return the owners of the positions of each service."""


class Route(typing.NamedTuple):
    """Where a request goes.

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
        Host that may send to the server.
    fence : tuple of (int, int)
        Version of the assignment and failover steps since.
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
    """Maps a request to key, position, owner and gate, in that order.

    Parameters
    ----------
    state : State
        The replicated state.
    views : views.RouteViews
        What the leaders announce.
    """

    def __init__(self, state: State, views: route_views.RouteViews) -> None:
        self._state = state
        self._views = views

    def route(self, service: str, key: str) -> Route | outcomes.Refusal:
        """Return the route of a key.

        Returns
        -------
        Route or Refusal
            ``NOT_READY``, ``UNKNOWN_SERVICE``, ``NO_OWNER`` or ``NO_GATE``.
        """
        return self.route_position(service, keys.position_of(key))

    def route_position(
        self, service: str, position: int
    ) -> Route | outcomes.Refusal:
        """Return the route of a position."""
        state = self._state
        ranges = state.ranges_by_service.get(service)
        if ranges is None:
            return _unknown(state, service)
        owned = ranges.find(position)
        server, version, count = owned.server, owned.version, 0
        step = self._views.step_of(service, position)
        # A step that is based on another assignment is out of date.
        if step is not None and step.version == version:
            server, count = step.server, step.step
        row = state.table.servers_by_name.get(server)
        if row is None:
            return outcomes.Refusal(
                codes.ResultCode.NO_OWNER,
                f"position {position} of {service} has no owner",
            )
        gate = self._views.gate_of(server)
        if gate is None:
            return outcomes.Refusal(
                codes.ResultCode.NO_GATE, f"no host is gate of {server}"
            )
        return Route(
            service,
            position,
            server,
            row.domain,
            gate,
            (version, count),
            version,
        )


def _unknown(state: State, service: str) -> outcomes.Refusal:
    if state.offset < 0:
        return outcomes.Refusal(
            codes.ResultCode.NOT_READY, "the state has not been read yet"
        )
    return outcomes.Refusal(
        codes.ResultCode.UNKNOWN_SERVICE,
        f"the table has no service {service[:64]!r}",
    )
