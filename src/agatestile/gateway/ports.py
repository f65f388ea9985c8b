"""What the gateway needs of other packages."""

from __future__ import annotations

import typing

from agatestile.routing import router

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.results import outcomes


class Permit(typing.Protocol):
    """Permission to send to a backend server."""

    @property
    def server(self) -> str:
        """Name of the server."""

    @property
    def fence(self) -> str:
        """Fencing token that the server checks."""

    @property
    def expires(self) -> float:
        """Runtime's clock at which the permission ends."""


class Permits(typing.Protocol):
    """Servers that this host may send to (`ownership.gates.GateTable`)."""

    def enter(
        self, server: str, position: int, now: float
    ) -> Permit | outcomes.Refusal:
        """Return the permission for a position, or why there is none.

        The request counts as running in its range until ``leave``.
        """

    def check(
        self, permit: typing.Any, now: float
    ) -> Permit | outcomes.Refusal:
        """Check a permission again, immediately before the request is sent."""

    def leave(self, permit: typing.Any) -> None:
        """Count the end of a request that entered."""


class Router(typing.Protocol):
    """Finds owners and gates (`routing.router.Router`)."""

    def route(self, service: str, key: str) -> router.Route | outcomes.Refusal:
        """Return the route of a key."""


class DomainState(typing.Protocol):
    """State of a failure domain."""

    @property
    def state(self) -> str:
        """Return "in" or "out"."""


class State(router.State, typing.Protocol):
    """Part of the replicated state that the gateway reads."""

    @property
    def domains_by_name(
        self,
    ) -> collections.abc.Mapping[str, DomainState]:
        """Domains that a record named."""
