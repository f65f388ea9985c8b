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
    is_near : bool
        Whether it is in this host's failure domain.
    """

    id: str
    load: load_module.ServerLoad
    is_near: bool


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
    if not candidate.is_near:
        cost += DOMAIN_SECONDS
    return cost
