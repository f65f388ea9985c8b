"""Interfaces of other packages that the gateway uses."""

from __future__ import annotations

import typing

from agatestile.routing import router

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.results import outcomes


class Permit(typing.Protocol):
    """Permission to send requests to a backend server."""

    @property
    def server(self) -> str:
        """Name of the server."""

    @property
    def fence(self) -> str:
        """Fencing token that the server checks."""

    @property
    def expires(self) -> float:
        """Clock of the event loop when the permission ends, seconds."""

    @property
    def running(self) -> int:
        """Requests that the server was running when this gate started."""

    @property
    def warm_incarnation(self) -> str:
        """Incarnation known to have full capacity, empty if unknown."""


class Permits(typing.Protocol):
    """Servers that this host may send to (`ownership.gates.GateTable`)."""

    def enter(
        self, server: str, position: int, now: float
    ) -> Permit | outcomes.Refusal:
        """Return the permission for a request to a position, or a refusal.

        The request counts as running in its range until `leave` is called.
        """

    def check(
        self, permit: typing.Any, now: float
    ) -> Permit | outcomes.Refusal:
        """Check a permission again, immediately before the request is sent."""

    def leave(self, permit: typing.Any) -> None:
        """Record the end of a request that entered."""


class Router(typing.Protocol):
    """Looks up owners and gates (`routing.router.Router`)."""

    def route(self, service: str, key: str) -> router.Route | outcomes.Refusal:
        """Return the route for a key of a service."""


class DomainState(typing.Protocol):
    """State of a failure domain."""

    @property
    def state(self) -> str:
        """State of the domain, "in" or "out"."""


class State(router.State, typing.Protocol):
    """Part of the replicated state that the gateway reads."""

    @property
    def domains_by_name(
        self,
    ) -> collections.abc.Mapping[str, DomainState]:
        """Failure domains that a record has set, by name."""
