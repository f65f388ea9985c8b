"""Validation and effects of each type of record."""

from __future__ import annotations

import functools
import typing

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import moves
from agatestile.state import ranges
from agatestile.state import records
from agatestile.state import table

if typing.TYPE_CHECKING:
    from agatestile.state import cluster


@functools.singledispatch
def apply(
    record: records.Record, state: cluster.ClusterState
) -> outcomes.Refusal | None:
    """Apply a record at the state's offset, or return why it is refused."""
    raise TypeError(f"no rule for records of type {type(record).__name__}")


@apply.register(records.TableChange)
def _apply_table(
    record: records.TableChange, state: cluster.ClusterState
) -> outcomes.Refusal | None:
    if record.base != state.table.version:
        return outcomes.Refusal(
            codes.ResultCode.TABLE_CONFLICT,
            f"the table is at version {state.table.version}, "
            f"the change is based on version {record.base}",
        )
    refusal = table.check(record.rows)
    if refusal is not None:
        return refusal
    new = table.Table(state.offset, record.rows)
    refusal = _check_owners(state, new)
    if refusal is not None:
        return refusal
    _update_range_maps(state, new)
    state.table = new
    return None


def _check_owners(
    state: cluster.ClusterState, new: table.Table
) -> outcomes.Refusal | None:
    """Refuse to remove or relocate a server that owns ranges."""
    for service, range_map in state.ranges_by_service.items():
        for server in sorted(range_map.owners()):
            row = new.servers_by_name.get(server)
            domain = state.table.domain_of(server)
            if row is None or (row.service, row.domain) != (service, domain):
                return outcomes.Refusal(
                    codes.ResultCode.SERVER_OWNS_RANGES,
                    f"server {server} still owns ranges of {service}",
                )
    return None


def _update_range_maps(state: cluster.ClusterState, new: table.Table) -> None:
    """Match the range maps to the services and servers of a new table."""
    for name in set(state.ranges_by_service) - set(new.services_by_name):
        state.intents.remove_ranges(state.ranges_by_service.pop(name))
    for name, servers in new.servers_by_service.items():
        range_map = state.ranges_by_service.get(name)
        if range_map is None:
            state.ranges_by_service[name] = ranges.RangeMap(state.offset)
        else:
            range_map.drop_invalid_successors(
                {row.server: row.domain for row in servers}
            )


@apply.register(records.DomainChange)
def _apply_domain(
    record: records.DomainChange, state: cluster.ClusterState
) -> outcomes.Refusal | None:
    known = record.domain in state.domains_by_name or any(
        row.domain == record.domain
        for row in state.table.servers_by_name.values()
    )
    if not known:
        return outcomes.Refusal(
            codes.ResultCode.NAME_UNKNOWN,
            f"no server is in domain {record.domain!r}",
        )
    domain = state.domain(record.domain)
    refusal = _check_state_change(
        f"domain {record.domain}", record, ("in", "out"), domain.version
    )
    if refusal is None:
        state.domains_by_name[record.domain] = domain._replace(
            state=record.state, version=state.offset
        )
    return refusal


@apply.register(records.HostChange)
def _apply_host(
    record: records.HostChange, state: cluster.ClusterState
) -> outcomes.Refusal | None:
    host = state.host(record.host)
    refusal = _check_state_change(
        f"host {record.host}", record, ("active", "leaving"), host.version
    )
    if refusal is None:
        state.hosts_by_name[record.host] = host._replace(
            state=record.state, version=state.offset
        )
    return refusal


def _check_state_change(
    name: str,
    record: records.DomainChange | records.HostChange,
    choices: tuple[str, ...],
    version: int,
) -> outcomes.Refusal | None:
    if record.state not in choices:
        return outcomes.Refusal(
            codes.ResultCode.TABLE_INVALID,
            f"{name}: found state {record.state!r}, "
            f"expected {' or '.join(choices)}",
        )
    if record.base != version:
        return outcomes.Refusal(
            codes.ResultCode.TABLE_CONFLICT,
            f"{name} is at version {version}, "
            f"the change is based on version {record.base}",
        )
    return None


@apply.register(records.Lead)
def _apply_lead(
    record: records.Lead, state: cluster.ClusterState
) -> outcomes.Refusal | None:
    domain = state.domain(record.domain)
    if record.term.epoch > domain.lead_offset:
        return outcomes.Refusal(
            codes.ResultCode.RECORD_STALE,
            f"the epoch of term {record.term} is above {domain.lead_offset}, "
            f"the offset of the last Lead record of {record.domain}",
        )
    if domain.term is not None and record.term <= domain.term:
        if record.term == domain.term:
            _note_leader_record(state, record.domain)
        return outcomes.Refusal(
            codes.ResultCode.TERM_STALE,
            f"term {record.term} is not above {domain.term}, the term "
            f"registered for {record.domain}",
        )
    state.domains_by_name[record.domain] = domain._replace(
        term=record.term, lead_offset=state.offset, heard=state.offset
    )
    return None


@apply.register(records.Intent)
@apply.register(records.Assign)
def _apply_move(
    record: records.Intent | records.Assign, state: cluster.ClusterState
) -> outcomes.Refusal | None:
    domain = state.domain(record.domain)
    if domain.term is None or record.term != domain.term:
        return outcomes.Refusal(
            codes.ResultCode.TERM_STALE,
            f"term {record.term} is not {domain.term}, the term "
            f"registered for {record.domain}",
        )
    _note_leader_record(state, record.domain)
    planned = moves.plan(state, record)
    if isinstance(planned, outcomes.Refusal):
        return planned
    return moves.execute(state, record, planned)


def _note_leader_record(state: cluster.ClusterState, name: str) -> None:
    """Note a record by the registered leader, even if it is then refused.

    The record shows that the leader still reads the log, which counts as an
    objection to an eviction of its domain's ranges.
    """
    domain = state.domain(name)
    state.domains_by_name[name] = domain._replace(heard=state.offset)
