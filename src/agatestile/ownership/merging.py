"""Merging of adjoining ranges that have the same owner and little load."""

from __future__ import annotations

import typing

from agatestile.state import ranges
from agatestile.state import records

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.placement import planner
    from agatestile.state import cluster

MAX_RANGES_PER_SERVER = 16
"""Ranges per server above which adjoining ranges are merged; twice the number
that a service starts with."""

MAX_COLD_SHARE = 1 / 32
"""Share of the mean load per server up to which two adjoining ranges together
are cold; half of the mean load of two initial ranges."""

MAX_MERGES_PER_ROUND = 8
"""Merges per service and round."""

MAX_RANGES_SCANNED = 1024
"""Ranges checked per service and round, which takes about 2 ms."""


class Merger:
    """Plans merges, checking a part of the ranges in each round.

    Parameters
    ----------
    state : cluster.ClusterState
        The current state.
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
        """Return the merges of one round, none of which changes an owner.

        Parameters
        ----------
        service : str
            Name of the service.
        servers : collection of str
            Servers whose ranges may be merged.
        owned : sequence of planner.OwnedRange
            Their ranges with known load.
        hot_keys : iterable of planner.HotKey
            Keys whose ranges are not merged.
        """
        range_map = self._state.ranges_by_service[service]
        counts = range_map.counts_by_server()
        count = sum(counts[server] for server in servers)
        if count <= MAX_RANGES_PER_SERVER * len(servers):
            return []
        loads = {current.start: current.load for current in owned}
        for key in hot_keys:
            loads[range_map.find(key.position).start] = float("inf")
        total = sum(current.load for current in owned)
        cold_load = MAX_COLD_SHARE * total / len(servers)
        changes: list[records.RangeChange] = []
        for left, right in self._neighbours(service, range_map):
            if len(changes) == min(
                MAX_MERGES_PER_ROUND,
                count - MAX_RANGES_PER_SERVER * len(servers),
            ):
                break
            load = loads.get(left.start, 0.0) + loads.get(right.start, 0.0)
            if changes and changes[-1].end > left.start:
                continue
            if (
                left.server in servers
                and load <= cold_load
                and _can_merge(left, right)
            ):
                changes.append(_merge(service, left, right))
        return changes

    def _neighbours(
        self, service: str, range_map: ranges.RangeMap
    ) -> collections.abc.Iterator[tuple[ranges.Range, ranges.Range]]:
        """Yield adjoining ranges, from where the previous round ended."""
        first = self._next_by_service.get(service, 0)
        if first >= len(range_map) - 1:
            first = 0
        last = min(first + MAX_RANGES_SCANNED, len(range_map) - 1)
        self._next_by_service[service] = last
        for index in range(first, last):
            yield range_map.at(index), range_map.at(index + 1)


def _can_merge(left: ranges.Range, right: ranges.Range) -> bool:
    return (
        left.server == right.server
        and left.intent == right.intent == ranges.NO_INTENT
    )


def _merge(
    service: str, left: ranges.Range, right: ranges.Range
) -> records.RangeChange:
    return records.RangeChange(
        service,
        left.start,
        right.end,
        (left.version, right.version),
        left.server,
        left.successors,
    )
