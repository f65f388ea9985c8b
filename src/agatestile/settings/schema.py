"""Schema of the settings of one host, as Python types.

The loader derives its checks from these types, so a new key needs only a
field here and a row in docs/configuration.md.
"""

from __future__ import annotations

import typing


class Quantity(typing.NamedTuple):
    """Constraint on a quantity that is written with its unit.

    Attributes
    ----------
    kind : str
        What the quantity is, for error messages.
    factors_by_name : dict of str to float
        Factor that converts each unit to the program's own unit.
    whole : bool
        Whether only whole numbers are accepted.
    """

    kind: str
    factors_by_name: dict[str, float]
    whole: bool


class Pattern(typing.NamedTuple):
    """Constraint on a text that must match a regular expression.

    Attributes
    ----------
    expected : str
        Description of matching texts, for error messages.
    expression : str
        Regular expression that the whole text must match.
    """

    expected: str
    expression: str


Duration = typing.Annotated[
    float, Quantity("a duration", {"ms": 0.001, "s": 1.0}, whole=False)
]
Size = typing.Annotated[
    int, Quantity("a size", {"KiB": 1024, "MiB": 1024 * 1024}, whole=True)
]
# Names are sent in HTTP headers and follow the same rules as in the services
# table.
Name = typing.Annotated[
    str,
    Pattern(
        "a name of 1 to 128 letters, digits, '-', '_' or '.'",
        r"[A-Za-z0-9_.-]{1,128}",
    ),
]


class Address(typing.NamedTuple):
    """IPv4 address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class BaseUrl(typing.NamedTuple):
    """Base URL of a platform service."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"http://{self.host}:{self.port}"


class Listen(typing.NamedTuple):
    """Addresses at which a daemon listens.

    Attributes
    ----------
    callers : Address
        Requests of callers, sent by the balancer.
    forward : Address
        Requests forwarded by other daemons.
    peers : Address
        Thrift calls from other daemons.
    admin : Address
        Admin interface.
    """

    callers: Address
    forward: Address
    peers: Address
    admin: Address


class Platform(typing.NamedTuple):
    """Base URLs of the platform's log and membership list."""

    log: BaseUrl
    membership: BaseUrl


class Timing(typing.NamedTuple):
    """Intervals and leases, seconds; see section 5 of docs/design.md."""

    heartbeat_interval: Duration = 0.25
    leader_lease: Duration = 1.0
    serve_lease: Duration = 1.4
    permit: Duration = 10.0
    log_wait: Duration = 0.5
    log_retention: Duration = 3600.0


class Requests(typing.NamedTuple):
    """Limits for each request, bytes and seconds."""

    header_limit: Size = 16 * 1024
    body_memory: Size = 256 * 1024
    head_timeout: Duration = 5.0
    body_idle_timeout: Duration = 10.0


class Logging(typing.NamedTuple):
    """Level and format of the log."""

    level: typing.Literal["debug", "info", "warning", "error"] = "info"
    format: typing.Literal["text", "json"] = "text"


class Metrics(typing.NamedTuple):
    """Destination of metrics; none are sent without an address."""

    statsd: Address | None = None
    prefix: Name = "agatestile"


class Settings(typing.NamedTuple):
    """Settings of one host."""

    host: Name
    failure_domain: Name
    failure_domains: tuple[Name, ...]
    listen: Listen
    platform: Platform
    timing: Timing = Timing()
    requests: Requests = Requests()
    logging: Logging = Logging()
    metrics: Metrics = Metrics()
