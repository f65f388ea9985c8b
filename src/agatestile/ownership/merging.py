"""Chooses neighbouring ranges of one owner that become one range."""

from __future__ import annotations

import typing

from agatestile.state import ranges
from agatestile.state import records

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.placement import planner
    from agatestile.state import cluster

RANGES_PER_SERVER = 16
"""Ranges per server above which neighbours are merged; twice the number
that a service starts with."""

COLD_SHARE = 1 / 32
"""Part of a server's mean load below which two neighbours together count
as cold; half of what a server's initial ranges have on average for two."""

MERGES = 8
"""Merges of a service in one round."""

SCANNED = 1024
"""Ranges that are looked at in one round, which takes about 2 ms."""


class Merger:
    """Plans merges, a part of the ranges at a time.

    Parameters
    ----------
    state : cluster.ClusterState
        The present state.
    """

    def __init__(self, state: cluster.ClusterState) -> None:
        self._state = state
        self._next_by_service: dict[str, int] = {}

    def plan(
        self,
        service: str,
        servers: collections.abc.Collection[str],
        owned: collections.abc.Sequence[planner.OwnedRange],
        hot_keys: collections.abc.Iterable[planner.HotKey] = (),
    ) -> list[records.RangeChange]:
        """Return the merges of one round; they change no owner.

        Parameters
        ----------
        service : str
            Name of the service.
        servers : collection of str
            Servers whose ranges may be merged.
        owned : sequence of planner.OwnedRange
            Their ranges with load.
        hot_keys : iterable of planner.HotKey
            Keys whose ranges stay as they are.
        """
        range_map = self._state.ranges_by_service[service]
        counts = range_map.counts_by_server()
        count = sum(counts[server] for server in servers)
        if count <= RANGES_PER_SERVER * len(servers):
            return []
        loads = {current.start: current.load for current in owned}
        for key in hot_keys:
            loads[range_map.find(key.position).start] = float("inf")
        total = sum(current.load for current in owned)
        most = COLD_SHARE * total / len(servers)
        changes: list[records.RangeChange] = []
        for one, other in self._pairs(service, range_map):
            if len(changes) == min(
                MERGES, count - RANGES_PER_SERVER * len(servers)
            ):
                break
            load = loads.get(one.start, 0.0) + loads.get(other.start, 0.0)
            if changes and changes[-1].end > one.start:
                continue
            if one.server in servers and load <= most and _fit(one, other):
                changes.append(_merge(service, one, other))
        return changes

    def _pairs(
        self, service: str, range_map: ranges.RangeMap
    ) -> collections.abc.Iterator[tuple[ranges.Range, ranges.Range]]:
        """Yield neighbours, from where the previous round ended."""
        first = self._next_by_service.get(service, 0)
        if first >= len(range_map) - 1:
            first = 0
        last = min(first + SCANNED, len(range_map) - 1)
        self._next_by_service[service] = last
        for index in range(first, last):
            yield range_map.at(index), range_map.at(index + 1)


def _fit(one: ranges.Range, other: ranges.Range) -> bool:
    return (
        one.server == other.server
        and one.intent == other.intent == ranges.NO_INTENT
    )


def _merge(
    service: str, one: ranges.Range, other: ranges.Range
) -> records.RangeChange:
    return records.RangeChange(
        service,
        one.start,
        other.end,
        (one.version, other.version),
        one.server,
        one.successors,
    )
