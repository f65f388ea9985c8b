"""Settings of a host."""

from __future__ import annotations

import typing

Address = tuple[str, int]


class Bounds(typing.NamedTuple):
    """Bounds that the deployment's owner agreed with its users.

    Attributes
    ----------
    drain : float
        Time after which a leaving server receives no requests, in seconds.
    evacuate : float
        The same for servers of an evacuated failure domain, in seconds.
    configuration : float
        Time within which a configuration has to be in force, in seconds.
    grace : float
        Time between the signal to stop and the kill, in seconds.
    retry_ratio : float
        Retries allowed per request within the retry window.
    retry_window : float
        Length of the retry window, in seconds.
    retry_slack : float
        Retries allowed per window in addition to the ratio.
    cold_ratio : float
        Factor by which the rate of a cold server may be exceeded.
    cold_slack : float
        Rate allowed in addition, in requests per second.
    strict_revoke : bool
        Whether a host that may have missed the revocation of an API key
        refuses the requests that need one.
    revoke : float
        Time after which a revoked API key is not accepted by any host if
        `strict_revoke` is set, in seconds.
    quota_window : float
        Window in which the requests of a tenant are counted, in seconds.
    quota_overage : float
        Fraction by which the quota of a tenant may be exceeded in a window.
    quota_slack : float
        Requests of a tenant that are allowed per window in addition.
    """

    drain: float = 2.0
    evacuate: float = 5.0
    configuration: float = 2.0
    grace: float = 6.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 20.0
    cold_ratio: float = 1.0
    cold_slack: float = 0.0
    strict_revoke: bool = False
    revoke: float = 5.0
    quota_window: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0


class NodeSettings(typing.NamedTuple):
    """Settings of one host.

    Attributes
    ----------
    host, failure_domain : str
        Names of the host and of its failure domain.
    callers, readiness, peers : tuple of (str, int)
        Addresses to listen on for callers, for the load balancer's
        readiness check and for other hosts.
    seeds : tuple of str
        Peer addresses of a few hosts, which may no longer exist.
    store : tuple of (str, int)
        Address of the store.
    bounds : Bounds
        Bounds agreed with the users.
    metrics : tuple of (str, int) or None
        Address to listen on for metrics, None to serve none.
    link_rate : float or None
        Rate of the host's link, in bytes per second; None if unknown.
    memory : int or None
        Memory that the host may use, in bytes; None if unknown.
    descriptors : int or None
        Descriptors that the process may open; None if unknown.
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
    link_rate: float | None = None
    memory: int | None = None
    descriptors: int | None = None
