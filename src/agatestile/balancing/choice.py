"""Selection of a server by the expected time of its response."""

from __future__ import annotations

import random
import typing

if typing.TYPE_CHECKING:
    from agatestile.balancing import load as load_module

QUEUE_LIMIT = 7
"""Largest queue of a server; it rejects further requests."""

FAILURE_COST_SECONDS = 0.8
"""Cost of a failed request beside its time, as a second server is tried."""

CROSS_DOMAIN_COST_SECONDS = 0.03
"""Cost of a request to another failure domain: traffic between domains is
billed, and the request fails if the domain is cut off."""

CROSS_DOMAIN_COST_SECONDS_PER_BYTE = 1.5e-6
"""Cost of each byte that a request sends to another failure domain, by the
price of traffic between domains. Uploads are most of that traffic."""

FAILURE_SHARE_LIMIT = 0.6
"""Share of failures above which a server is used only if all others
fail too."""

RECOVERY_CHECK_SHARE = 0.03
"""Share of requests for which the failures of a server are ignored, so that
its recovery is noticed."""


class Candidate(typing.NamedTuple):
    """A server that may be selected for a request.

    Attributes
    ----------
    id : str
        Identifier of the server.
    load : load.ServerLoad
        Load of the server, as this host estimates it.
    network_cost : float
        Cost of the network path to the server, seconds.
    """

    id: str
    load: load_module.ServerLoad
    network_cost: float


def choose(
    candidates: list[Candidate], now: float, generator: random.Random
) -> Candidate | None:
    """Return the candidate with the least expected cost.

    Servers with a full queue, paused, unreachable and unresponsive ones are
    excluded. Among servers of equal cost the choice is random: hosts that
    all prefer the same one overload it before its load report shows it.

    Parameters
    ----------
    candidates : list of Candidate
        Servers that the request may go to.
    now : float
        Clock of the event loop, seconds.
    generator : random.Random
        Source of randomness.

    Returns
    -------
    Candidate or None
        None if no server accepts requests.
    """
    best = None
    best_cost = float("inf")
    for candidate in candidates:
        if not is_available(candidate, now):
            continue
        cost = expected_cost(candidate, now, generator)
        if cost < best_cost:
            best, best_cost = candidate, cost
    return best


def is_available(candidate: Candidate, now: float) -> bool:
    """Return whether a server may get a request now."""
    server_load = candidate.load
    if server_load.is_suspended(now) or server_load.is_unresponsive(now):
        return False
    if server_load.pause_left(now):
        return False
    return server_load.occupancy(now) < server_load.slots + QUEUE_LIMIT


def expected_cost(
    candidate: Candidate, now: float, generator: random.Random
) -> float:
    """Return the expected time until a response plus penalties, seconds."""
    server_load = candidate.load
    cost = server_load.expected_time(now)
    # Hosts that see the same reports spread over servers of equal cost.
    cost *= 0.9 + 0.2 * generator.random()
    failure_share = server_load.failure_share
    if failure_share > 0.05 and generator.random() >= RECOVERY_CHECK_SHARE:
        cost += failure_share * FAILURE_COST_SECONDS
        if failure_share > FAILURE_SHARE_LIMIT:
            cost += FAILURE_COST_SECONDS
    return cost + candidate.network_cost


def network_cost(is_same_domain: bool, body_size: int) -> float:
    """Return the cost of the network path to a server, seconds.

    Parameters
    ----------
    is_same_domain : bool
        Whether the server is in this host's failure domain.
    body_size : int
        Bytes of the request's body.
    """
    if is_same_domain:
        return 0.0
    return (
        CROSS_DOMAIN_COST_SECONDS
        + CROSS_DOMAIN_COST_SECONDS_PER_BYTE * body_size
    )
