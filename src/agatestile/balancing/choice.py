"""Choice of a server by the expected time of its answer."""

from __future__ import annotations

import random
import typing

if typing.TYPE_CHECKING:
    from agatestile.balancing import load as load_module

QUEUE_LIMIT = 7
"""Requests that may wait at a server; it rejects more."""

FAILURE_SECONDS = 0.8
"""Cost of a failed request beside its time, as a second server is asked."""

DOMAIN_SECONDS = 0.03
"""Cost of a server in another failure domain: traffic between domains is
billed, and a request there fails when the domain is cut off."""

DOMAIN_SECONDS_PER_BYTE = 1.5e-6
"""Cost of each byte that a request sends to another failure domain, by the
price of traffic between domains. Uploads are most of that traffic."""

FAILURE_SHARE_LIMIT = 0.6
"""Share of failures from which a server is used only if all are bad."""

PROBE_SHARE = 0.03
"""Share of requests that may go to a server with failures, so that its
recovery is noticed."""


class Candidate(typing.NamedTuple):
    """A server that may take a request.

    Attributes
    ----------
    id : str
        Identifier of the server.
    load : load.ServerLoad
        What is known of it.
    distance : float
        Cost of the way to it, seconds.
    """

    id: str
    load: load_module.ServerLoad
    distance: float


def choose(
    candidates: list[Candidate], now: float, generator: random.Random
) -> Candidate | None:
    """Return the candidate with the least expected cost.

    Servers with a full queue or that could not be reached are left out.
    Equal servers are chosen among at random, since hosts that all prefer
    the same one overload it before its report shows so.

    Parameters
    ----------
    candidates : list of Candidate
        Servers that the request may go to.
    now : float
        The runtime's clock, seconds.
    generator : random.Random
        Source of randomness.

    Returns
    -------
    Candidate or None
        None if no server has room.
    """
    best = None
    best_cost = float("inf")
    for candidate in candidates:
        known = candidate.load
        if known.is_suspended(now) or known.is_silent(now):
            continue
        if known.occupancy(now) >= known.slots + QUEUE_LIMIT:
            continue
        cost = expected_cost(candidate, now, generator)
        if cost < best_cost:
            best, best_cost = candidate, cost
    return best


def expected_cost(
    candidate: Candidate, now: float, generator: random.Random
) -> float:
    """Return the expected time of an answer with its penalties, seconds."""
    known = candidate.load
    cost = known.expected_time(now)
    # Spreads hosts that see the same reports over servers of equal cost.
    cost *= 0.9 + 0.2 * generator.random()
    share = known.failure_share
    if share > 0.05 and generator.random() >= PROBE_SHARE:
        cost += share * FAILURE_SECONDS
        if share > FAILURE_SHARE_LIMIT:
            cost += FAILURE_SECONDS
    return cost + candidate.distance


def distance(is_near: bool, size: int) -> float:
    """Return the cost of the way to a server, seconds.

    Parameters
    ----------
    is_near : bool
        Whether the server is in this host's failure domain.
    size : int
        Bytes of the request's body.
    """
    if is_near:
        return 0.0
    return DOMAIN_SECONDS + DOMAIN_SECONDS_PER_BYTE * size
