"""The configuration in force: routes, services and limits of callers."""

from __future__ import annotations

import enum
import typing


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


class Target(typing.NamedTuple):
    """Part of a route's requests.

    Attributes
    ----------
    service : str
        Service that gets the part.
    weight : float
        Share of the requests, relative to the route's other targets.
    """

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Requests of one host name and path prefix.

    Attributes
    ----------
    name : str
        Name given by the operator.
    kind : RouteKind
        Whether its requests are idempotent.
    targets : tuple of Target
        Services that take the requests.
    timeout : float
        Longest time until the final answer, seconds.
    latency_objective : float
        Time within which an answer has its full worth, seconds.
    max_attempts : int
        Largest number of servers that one request may be sent to.
    priority : int
        Rank; 0 is the highest.
    """

    name: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout: float
    latency_objective: float
    max_attempts: int
    priority: int


class Service(typing.NamedTuple):
    """A group of backend servers with the same function.

    Attributes
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that one server accepts from all callers.
    warmup_seconds : float
        How long a server stays cold after its start.
    warmup_rate : float
        Requests a second that a cold server bears.
    is_partitioned : bool
        Whether each key belongs to one server.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_seconds: float
    warmup_rate: float
    is_partitioned: bool


class CallerLimits(typing.NamedTuple):
    """Bounds on what a caller may send.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest head and body of a request.
    header_timeout, idle_timeout : float
        Longest time for a head, and between two requests, seconds.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout: float = 5.0
    idle_timeout: float = 30.0


class Configuration(typing.NamedTuple):
    """One version of the operator's configuration.

    Attributes
    ----------
    version : int
        Higher versions replace lower ones.
    routes : dict
        Route by path prefix, by host name.
    services_by_name : dict
        Services that routes refer to.
    limits : CallerLimits
        Bounds on callers.
    """

    version: int
    routes: dict[str, dict[str, Route]]
    services_by_name: dict[str, Service]
    limits: CallerLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        Prefixes begin and end with a slash, so that only the path's own
        slashes can end one.
        """
        by_prefix = self.routes.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
