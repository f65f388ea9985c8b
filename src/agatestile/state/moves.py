"""Validation and effects of the records that move ranges."""

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
    """Effect of one change of a record on a service's ranges.

    Attributes
    ----------
    service : str
        Name of the service.
    old_ranges : list of ranges.Range
        All ranges that the change overlaps.
    new_ranges : list of ranges.Range
        New ranges of the positions that the change covers.
    """

    service: str
    old_ranges: list[ranges.Range]
    new_ranges: list[ranges.Range]


def plan(
    state: cluster.ClusterState, record: records.Intent | records.Assign
) -> list[Replacement] | outcomes.Refusal:
    """Return the effects of a record without applying them, or a refusal."""
    ordered = sorted(
        record.changes, key=lambda change: (change.service, change.start)
    )
    for first, second in itertools.pairwise(ordered):
        if first.service == second.service and first.end > second.start:
            return outcomes.Refusal(
                codes.ResultCode.RANGE_CONFLICT,
                f"two changes of {first.service} overlap at {second.start}",
            )
    planned = []
    for change in ordered:
        replacement = _plan_change(state, record, change)
        if isinstance(replacement, outcomes.Refusal):
            return replacement
        planned.append(replacement)
    return planned


def execute(
    state: cluster.ClusterState,
    record: records.Intent | records.Assign,
    planned: list[Replacement],
) -> outcomes.Refusal | None:
    """Apply planned replacements, if the ranges stay a partition."""
    for service, old_ranges, new_ranges in planned:
        if not state.checks.check(
            "ranges-partition",
            ranges.can_replace(old_ranges, new_ranges),
            f"{service} at offset {state.offset}",
        ):
            return outcomes.Refusal(
                codes.ResultCode.RANGE_CONFLICT,
                f"{service}: the ranges would no longer be a partition",
            )
    if isinstance(record, records.Intent):
        state.intents.add(state.offset, record)
    for service, old_ranges, new_ranges in planned:
        state.ranges_by_service[service].replace(new_ranges)
        state.intents.replace(old_ranges, new_ranges)
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
            f"{change.service}: invalid range [{change.start}, {change.end})",
        )
    old_ranges = range_map.overlapping(change.start, change.end)
    refusal = _check_servers(state, change) or _check_old_ranges(
        state, record, change, old_ranges
    )
    if refusal is not None:
        return refusal
    if isinstance(record, records.Intent):
        new_ranges = [
            current._replace(
                start=max(current.start, change.start),
                end=min(current.end, change.end),
                version=state.offset,
                intent=state.offset,
            )
            for current in old_ranges
        ]
    else:
        new_ranges = [
            ranges.Range(
                change.start,
                change.end,
                change.server,
                change.successors,
                state.offset,
                ranges.NO_INTENT,
            )
        ]
    return Replacement(change.service, old_ranges, new_ranges)


def _check_old_ranges(
    state: cluster.ClusterState,
    record: records.Intent | records.Assign,
    change: records.RangeChange,
    old_ranges: list[ranges.Range],
) -> outcomes.Refusal | None:
    versions = tuple(current.version for current in old_ranges)
    if versions != change.bases:
        return outcomes.Refusal(
            codes.ResultCode.RANGE_CONFLICT,
            f"{change.service} from {change.start} is at versions "
            f"{versions[:8]}, the change is based on {change.bases[:8]}",
        )
    for current in old_ranges:
        if not state.may_change(record, change.service, current):
            return outcomes.Refusal(
                codes.ResultCode.TERM_STALE,
                f"{change.service} from {current.start} belongs to domain "
                f"{state.table.domain_of(current.server)}, the writer of the "
                f"record to {record.domain}",
            )
    return None


def _check_servers(
    state: cluster.ClusterState, change: records.RangeChange
) -> outcomes.Refusal | None:
    """Check owner and successors. An empty owner releases the range."""
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
