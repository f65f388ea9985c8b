"""Active configuration: routes, services and limits for callers."""

from __future__ import annotations

import enum
import typing

if typing.TYPE_CHECKING:
    from agatestile.catalog import tenants as tenants_module


class RouteKind(enum.Enum):
    """Which requests of a route may be repeated.

    `UNKNOWN` stands for kinds that this version does not know. Their
    requests are not repeated.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"
    DOWNLOAD = "download"
    UNKNOWN = "unknown"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self in (RouteKind.SAFE, RouteKind.DOWNLOAD)


class Target(typing.NamedTuple):
    """Service that handles a part of the requests of a route.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Share of the requests, relative to the other targets of the route.
    """

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Handling of the requests for a host name and path prefix.

    Attributes
    ----------
    name : str
        Name given by the operator.
    kind : RouteKind
        Whether its requests are idempotent.
    targets : tuple of Target
        Services that handle the requests.
    timeout : float
        Longest time until the complete answer, seconds.
    latency_objective : float
        Time within which an answer has its full value, seconds.
    max_attempts : int
        Highest number of servers that a request may be sent to.
    priority : int
        Priority of the requests; 0 is the highest.
    is_public : bool
        Whether callers need no API key.
    invalid_reason : str
        Why the entry cannot be used, empty for a valid one. Its requests are
        refused: a shorter prefix may belong to another service.
    """

    name: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout: float
    latency_objective: float
    max_attempts: int
    priority: int
    is_public: bool = False
    invalid_reason: str = ""

    @classmethod
    def invalid(cls, name: str, reason: str) -> Route:
        """Return the route of an entry that cannot be used."""
        return cls(name, RouteKind.UNKNOWN, (), 1.0, 0.0, 1, 0, False, reason)


class Service(typing.NamedTuple):
    """A group of interchangeable backend servers.

    Attributes
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that one server accepts from all callers together.
    warmup_seconds : float
        Time for which a server is cold after its start.
    warmup_rate : float
        Requests per second that a cold server can handle.
    is_partitioned : bool
        Whether each key is owned by one server.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_seconds: float
    warmup_rate: float
    is_partitioned: bool


class CallerLimits(typing.NamedTuple):
    """Limits on the requests of a caller.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest size of the header and of the body of a request, bytes.
    header_timeout, idle_timeout : float
        Longest time to receive a header, and between two requests, seconds.
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
        Version number; higher versions replace lower ones.
    routes : dict
        Routes by path prefix, by host name.
    services_by_name : dict
        Services that the routes refer to.
    limits : CallerLimits
        Limits for callers.
    tenants : tenants.Tenants or None
        Tenants with their API keys, None if callers need no key.
    problems : tuple of str
        Entries that cannot be used, one sentence each.
    invalid_services : frozenset of str
        Names of services whose entries cannot be used.
    """

    version: int
    routes: dict[str, dict[str, Route]]
    services_by_name: dict[str, Service]
    limits: CallerLimits
    tenants: tenants_module.Tenants | None = None
    problems: tuple[str, ...] = ()
    invalid_services: frozenset[str] = frozenset()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix.

        Prefixes start and end with a slash, so a matching prefix always ends
        at a slash of the path.
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
