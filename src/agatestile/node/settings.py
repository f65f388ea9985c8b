"""Settings of a host."""

from __future__ import annotations

import typing

Address = tuple[str, int]


class Bounds(typing.NamedTuple):
    """Bounds that the deployment's owner agreed with its users.

    Attributes
    ----------
    drain : float
        Time after which a leaving server gets nothing, seconds.
    evacuate : float
        The same for the servers of an evacuated failure domain, seconds.
    grace : float
        Time between the request to stop and the kill, seconds.
    retry_ratio, retry_slack, retry_window : float
        Repeats for each request and beside them, in a window of seconds.
    cold_ratio, cold_slack : float
        A cold server's rate may be exceeded by this factor, plus this
        number of requests a second.
    """

    drain: float = 2.0
    evacuate: float = 5.0
    grace: float = 6.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 20.0
    cold_ratio: float = 1.0
    cold_slack: float = 0.0


class NodeSettings(typing.NamedTuple):
    """Settings of one host.

    Attributes
    ----------
    host, failure_domain : str
        Names of the host and of the place where it is.
    callers, readiness, peers : tuple of (str, int)
        Addresses for callers, for the balancer's check and for other
        hosts.
    seeds : tuple of str
        Peer addresses of a few hosts, which may be gone.
    store : tuple of (str, int)
        Address of the store.
    bounds : Bounds
        Agreed bounds.
    metrics : tuple of (str, int) or None
        Address for counters and histograms, None without them.
    """

    host: str
    failure_domain: str
    callers: Address
    readiness: Address
    peers: Address
    seeds: tuple[str, ...]
    store: Address
    bounds: Bounds
    metrics: Address | None = None
