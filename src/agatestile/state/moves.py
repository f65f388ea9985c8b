"""Checks and effects of the records that move ranges."""

from __future__ import annotations

import itertools
import typing

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import ranges
from agatestile.state import records

if typing.TYPE_CHECKING:
    from agatestile.state import cluster


class Replacement(typing.NamedTuple):
    """What one change of a record does to a service's ranges.

    Attributes
    ----------
    service : str
        Name of the service.
    before : list of ranges.Range
        The whole ranges that the change overlaps.
    pieces : list of ranges.Range
        The ranges that take the place of the positions it covers.
    """

    service: str
    before: list[ranges.Range]
    pieces: list[ranges.Range]


def plan(
    state: cluster.ClusterState, record: records.Intent | records.Assign
) -> list[Replacement] | outcomes.Refusal:
    """Return what a record does, without doing it, or why it may not."""
    ordered = sorted(
        record.changes, key=lambda change: (change.service, change.start)
    )
    for one, other in itertools.pairwise(ordered):
        if one.service == other.service and one.end > other.start:
            return outcomes.Refusal(
                codes.ResultCode.RANGE_CONFLICT,
                f"two changes of {one.service} overlap at {other.start}",
            )
    planned = []
    for change in ordered:
        replacement = _plan_change(state, record, change)
        if isinstance(replacement, outcomes.Refusal):
            return replacement
        planned.append(replacement)
    return planned


def carry_out(
    state: cluster.ClusterState,
    record: records.Intent | records.Assign,
    planned: list[Replacement],
) -> outcomes.Refusal | None:
    """Do what was planned, if all ranges stay a partition."""
    for service, before, pieces in planned:
        if not state.checks.check(
            "ranges-partition",
            ranges.covers(before, pieces),
            f"{service} at offset {state.offset}",
        ):
            return outcomes.Refusal(
                codes.ResultCode.RANGE_CONFLICT,
                f"{service}: the change does not keep the partition",
            )
    if isinstance(record, records.Intent):
        state.intents.open(state.offset, record)
    for service, before, pieces in planned:
        state.ranges_by_service[service].replace(pieces)
        state.intents.replace(before, pieces)
    return None


def _plan_change(
    state: cluster.ClusterState,
    record: records.Intent | records.Assign,
    change: records.RangeChange,
) -> Replacement | outcomes.Refusal:
    range_map = state.ranges_by_service.get(change.service)
    if range_map is None:
        return outcomes.Refusal(
            codes.ResultCode.NAME_UNKNOWN, f"no service {change.service!r}"
        )
    if not 0 <= change.start < change.end <= ranges.END:
        return outcomes.Refusal(
            codes.ResultCode.RANGE_CONFLICT,
            f"{change.service}: [{change.start}, {change.end}) is no range",
        )
    before = range_map.overlapping(change.start, change.end)
    refusal = _check_names(state, change) or _check_before(
        state, record, change, before
    )
    if refusal is not None:
        return refusal
    if isinstance(record, records.Intent):
        pieces = [
            row._replace(
                start=max(row.start, change.start),
                end=min(row.end, change.end),
                version=state.offset,
                intent=state.offset,
            )
            for row in before
        ]
    else:
        pieces = [
            ranges.Range(
                change.start,
                change.end,
                change.server,
                change.successors,
                state.offset,
                ranges.NO_INTENT,
            )
        ]
    return Replacement(change.service, before, pieces)


def _check_before(
    state: cluster.ClusterState,
    record: records.Intent | records.Assign,
    change: records.RangeChange,
    before: list[ranges.Range],
) -> outcomes.Refusal | None:
    versions = tuple(row.version for row in before)
    if versions != change.bases:
        return outcomes.Refusal(
            codes.ResultCode.RANGE_CONFLICT,
            f"{change.service} from {change.start} is at versions "
            f"{versions[:8]}, the change was made on {change.bases[:8]}",
        )
    for row in before:
        if not state.may_change(record, change.service, row):
            return outcomes.Refusal(
                codes.ResultCode.TERM_STALE,
                f"{change.service} from {row.start} belongs to domain "
                f"{state.table.domain_of(row.server)}, the term "
                f"to {record.domain}",
            )
    return None


def _check_names(
    state: cluster.ClusterState, change: records.RangeChange
) -> outcomes.Refusal | None:
    """Check owner and successors; an empty owner releases the range."""
    names = (change.server, *change.successors)
    if names == ("",):
        return None
    for name in names:
        row = state.table.servers_by_name.get(name)
        if row is None or row.service != change.service:
            return outcomes.Refusal(
                codes.ResultCode.NAME_UNKNOWN,
                f"{change.service} has no server {name!r}",
            )
    domains = {state.table.domain_of(name) for name in names}
    if len(domains) > 1 or len(set(names)) < len(names):
        return outcomes.Refusal(
            codes.ResultCode.RANGE_CONFLICT,
            f"{change.service}: owner and successors {names} are not "
            "different servers of one domain",
        )
    return None
