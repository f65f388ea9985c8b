"""Shares of the requests for hot keys that hosts send to their owners.

Each host sees a small part of the requests for a key and learns its owner's
load only from its own requests. If one key gets more requests than a server
can answer, all hosts together try far too many of them.
"""

from __future__ import annotations

import math
import typing

from agatestile.assignment import key_load

if typing.TYPE_CHECKING:
    from agatestile.assignment import ranges

ADMITTED_RATIO = 1.5
"""Requests admitted per request that an owner can answer: its queue must not
run empty while its service time is estimated too high."""

SIGNIFICANT_DEVIATIONS = 3.0
"""Standard deviations by which the requests for an owner have to exceed those
that are admitted."""


def admitted_shares(
    key_map: ranges.RangeMap,
    capacity_by_server: dict[str, float],
    load: key_load.KeyLoad,
) -> dict[int, float]:
    """Return the share of the requests for a key that is admitted.

    Keys with few requests are admitted in full, even if their owner has a
    hot one; the hottest ones get equal parts of the rest.

    Parameters
    ----------
    key_map : ranges.RangeMap
        Owners of the keys.
    capacity_by_server : dict of str to float
        Requests per second that servers can answer.
    load : key_load.KeyLoad
        Load by key.

    Returns
    -------
    dict of int to float
        Shares from 0 to 1 by key; all requests for other keys are admitted.
    """
    shares: dict[int, float] = {}
    for (server_id, _), owned in key_map.by_owner().items():
        capacity = capacity_by_server.get(server_id)
        if capacity is None:
            continue
        admitted = ADMITTED_RATIO * capacity
        requested = sum(load.recent_rate(one.first, one.last) for one in owned)
        deviation = math.sqrt(key_load.RECENT_VARIANCE * admitted)
        if requested <= admitted + SIGNIFICANT_DEVIATIONS * deviation:
            continue
        rate_by_key: dict[int, float] = {}
        for one in owned:
            rate_by_key.update(load.recent_rates(one.first, one.last))
        shares.update(_limit(rate_by_key, admitted))
    return shares


def _limit(rate_by_key: dict[int, float], admitted: float) -> dict[int, float]:
    """Return the shares that cut the highest rates to the same value."""
    left = admitted
    keys = sorted(rate_by_key, key=lambda key: rate_by_key[key])
    for index, lowest in enumerate(keys):
        highest_rate = left / (len(keys) - index)
        if rate_by_key[lowest] > highest_rate:
            return {
                key: highest_rate / rate_by_key[key] for key in keys[index:]
            }
        left -= rate_by_key[lowest]
    return {}
