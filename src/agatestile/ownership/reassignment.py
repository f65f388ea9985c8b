"""New owners for ranges that have none or whose owner goes away."""

from __future__ import annotations

import collections
import typing

from agatestile.placement import rendezvous
from agatestile.state import ranges
from agatestile.state import records

if typing.TYPE_CHECKING:
    from agatestile.ownership import succession
    from agatestile.state import cluster

SUCCESSORS = 2
"""Successors of each range."""
INITIAL_RANGES_PER_SERVER = 8
"""Ranges per server into which an unowned service is split."""
LOAD_BOUND = 1.25
"""Maximum of unowned ranges that a server gets, relative to its share of all
ranges by weight (section 9 of docs/design.md)."""


class OwnerChooser:
    """Chooses owners of a service's ranges in proportion to weights.

    Parameters
    ----------
    state : cluster.ClusterState
        The current state.
    service : str
        Name of the service.
    exclude : set of str
        Servers that get no ranges.

    Attributes
    ----------
    rows : list of records.TableRow
        Active servers in domains that are in service.
    """

    def __init__(
        self,
        state: cluster.ClusterState,
        service: str,
        exclude: frozenset[str] = frozenset(),
    ) -> None:
        self.rows = sorted(
            (
                row
                for row in state.table.servers_by_service.get(service, ())
                if row.state == "active"
                and row.server not in exclude
                and state.domain(row.domain).state == "in"
            ),
            key=lambda row: row.server,
        )
        self._counts = collections.Counter(
            current.server for current in state.ranges_by_service[service]
        )

    def choose(self, near: str = "") -> tuple[str, tuple[str, ...]]:
        """Return an owner and its successors.

        Parameters
        ----------
        near : str
            Domain to prefer, empty for none.
        """
        row = min(
            self.rows,
            key=lambda row: (
                bool(near) and row.domain != near,
                (self._counts[row.server] + 1) / row.weight,
                row.server,
            ),
        )
        self._counts[row.server] += 1
        return row.server, self.successors(row)

    def successors(self, owner: records.TableRow) -> tuple[str, ...]:
        """Return the successors of an owner, from its own domain."""
        names = [row.server for row in self.rows if row.domain == owner.domain]
        if owner.server not in names:
            return tuple(names[:SUCCESSORS])
        first = names.index(owner.server)
        others = names[first + 1 :] + names[:first]
        if len(others) > SUCCESSORS:
            # Spread the ranges of a lost owner over all other servers.
            shift = self._counts[owner.server] % len(others)
            others = others[shift:] + others[:shift]
        return tuple(others[:SUCCESSORS])


def assign_unowned(
    state: cluster.ClusterState, service: str
) -> list[records.RangeChange]:
    """Return changes that give owners to a service's unowned ranges."""
    rows = OwnerChooser(state, service).rows
    if not rows:
        return []
    pieces = [
        piece
        for current in state.ranges_by_service[service]
        if not current.server and current.intent == ranges.NO_INTENT
        for piece in _split(current, INITIAL_RANGES_PER_SERVER * len(rows))
    ]
    placed = rendezvous.place(
        [f"{service}:{piece.start}" for piece in pieces],
        [
            rendezvous.Candidate(row.server, row.domain, row.weight)
            for row in rows
        ],
        LOAD_BOUND,
        state.ranges_by_service[service].counts_by_server(),
    )
    return [
        _change(service, piece, placement.server, placement.successors)
        for piece, placement in zip(pieces, placed, strict=True)
    ]


def _split(current: ranges.Range, count: int) -> list[ranges.Range]:
    """Split a range into `count` pieces if it contains all positions."""
    if current.end - current.start < ranges.END:
        return [current]
    starts = [index * ranges.END // count for index in range(count)]
    ends = [*starts[1:], ranges.END]
    return [
        current._replace(start=start, end=end)
        for start, end in zip(starts, ends, strict=True)
    ]


def confirm_steps(
    state: cluster.ClusterState, steps: succession.Steps
) -> list[records.RangeChange]:
    """Return the changes that record steps in the log."""
    changes = []
    for step in steps:
        row = state.table.servers_by_name.get(step.server)
        range_map = state.ranges_by_service.get(step.service)
        if row is None or range_map is None:
            continue
        current = range_map.find(step.start)
        if (current.start, current.end, current.version) != step[1:4]:
            continue
        if steps.find(state, step.service, step.start, current) != step:
            continue
        if current.intent == ranges.NO_INTENT:
            successors = OwnerChooser(state, step.service).successors(row)
            changes.append(
                _change(step.service, current, step.server, successors)
            )
    return changes


def move_off_lost_servers(
    state: cluster.ClusterState,
    steps: succession.Steps,
    lost: frozenset[str],
) -> list[records.RangeChange]:
    """Return moves of ranges whose lost owner has no live successor."""
    changes = []
    for service, range_map in state.ranges_by_service.items():
        if lost.isdisjoint(range_map.owners()):
            continue
        chooser = OwnerChooser(state, service, lost)
        for current in range_map:
            owner = steps.owner_of(state, service, current)
            if (
                owner in lost
                and current.intent == ranges.NO_INTENT
                and chooser.rows
            ):
                near = state.table.domain_of(owner)
                server, successors = chooser.choose(near)
                changes.append(_change(service, current, server, successors))
    return changes


def move_off_leaving_servers(
    state: cluster.ClusterState, domain: str, lost: frozenset[str]
) -> list[records.RangeChange]:
    """Return moves of ranges off leaving servers and a domain that is out."""
    changes = []
    out = state.domain(domain).state != "in"
    leaving = {
        row.server
        for row in state.table.servers_by_name.values()
        if row.domain == domain and (out or row.state == "leaving")
    }
    if not leaving:
        return []
    for service, range_map in state.ranges_by_service.items():
        chooser = OwnerChooser(state, service, lost)
        if not chooser.rows:
            continue
        for current in range_map:
            if current.server in leaving and (
                current.intent == ranges.NO_INTENT
            ):
                server, successors = chooser.choose("" if out else domain)
                changes.append(_change(service, current, server, successors))
    return changes


def _change(
    service: str,
    current: ranges.Range,
    server: str,
    successors: tuple[str, ...],
) -> records.RangeChange:
    return records.RangeChange(
        service,
        current.start,
        current.end,
        (current.version,),
        server,
        successors,
    )
