"""State that every host derives from the records of the log."""

from __future__ import annotations

import functools
import typing

from agatestile.observability import invariants
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import intents
from agatestile.state import moves
from agatestile.state import ranges
from agatestile.state import records
from agatestile.state import table

REFUSED_LIMIT = 1024
"""Request identifiers of refused records that a state remembers."""


class Applied(typing.NamedTuple):
    """A record that took effect.

    Attributes
    ----------
    offset : int
        Offset of the record in the log.
    record : records.Record
        The record.
    """

    offset: int
    record: records.Record


class Domain(typing.NamedTuple):
    """State of a failure domain.

    Attributes
    ----------
    state : str
        "in" or "out".
    version : int
        Offset of the last change of `state`, -1 without one.
    term : records.Term or None
        Term of the registered leader.
    lead_offset : int
        Offset of the Lead record that registered it, 0 without one.
    heard : int
        Offset of the last record of a registered leader, applied or
        refused, -1 without one.
    """

    state: str = "in"
    version: int = -1
    term: records.Term | None = None
    lead_offset: int = 0
    heard: int = -1


class Host(typing.NamedTuple):
    """State of a host that an operator marked.

    Attributes
    ----------
    state : str
        "active" or "leaving".
    version : int
        Offset of the last change of `state`.
    """

    state: str
    version: int


class ClusterState:
    """The table, the domains, the hosts and the owners of all ranges.

    All hosts that applied the same records have equal states.

    Parameters
    ----------
    checks : invariants.Invariants, optional
        Counts broken invariants.

    Attributes
    ----------
    offset : int
        Offset of the last record applied or refused, -1 when empty.
    table : table.Table
        The services table in force.
    domains_by_name, hosts_by_name : dict
        Domains and hosts that a record named.
    ranges_by_service : dict of str to ranges.RangeMap
        Owners of the positions of each service of the table.
    intents : intents.OpenIntents
        Intents that still cover a range.
    refused_by_id : dict of str to int
        Offsets of the last refused records by request identifier; a copy
        of such a record is refused as well.
    """

    def __init__(self, checks: invariants.Invariants | None = None) -> None:
        self.checks = checks or invariants.Invariants()
        self.offset = -1
        self.table = table.Table(-1, ())
        self.domains_by_name: dict[str, Domain] = {}
        self.hosts_by_name: dict[str, Host] = {}
        self.ranges_by_service: dict[str, ranges.RangeMap] = {}
        self.intents = intents.OpenIntents()
        self.refused_by_id: dict[str, int] = {}

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, ClusterState):
            return NotImplemented
        return (
            self.offset == other.offset
            and self.table == other.table
            and self.domains_by_name == other.domains_by_name
            and self.hosts_by_name == other.hosts_by_name
            and self.ranges_by_service == other.ranges_by_service
            and self.intents == other.intents
            and self.refused_by_id == other.refused_by_id
        )

    def domain(self, name: str) -> Domain:
        """Return the state of a domain, the initial one if not named."""
        return self.domains_by_name.get(name, Domain())

    def may_change(
        self,
        record: records.Intent | records.Assign,
        service: str,
        current: ranges.Range,
    ) -> bool:
        """Tell whether the writer of a record may change a range.

        A domain's registered leader may change the ranges of its own
        domain and unowned ones. If the service has ``on_cut=move``, the
        leader of another domain may announce an eviction with an Intent,
        and assign the range if no record of the owning domain's
        registered leader followed that Intent. The waiting time between
        the two is up to the evicting leader.
        """
        owning = self.table.domain_of(current.server)
        if not current.server or owning == record.domain:
            return True
        if self.table.services_by_name[service].on_cut != "move":
            return False
        if isinstance(record, records.Intent):
            return True
        intent = self.intents.by_offset.get(current.intent)
        return (
            intent is not None
            and intent.domain == record.domain
            and self.domain(owning).heard < current.intent
        )

    def apply(
        self, offset: int, record: records.Record
    ) -> Applied | outcomes.Refusal:
        """Apply the record at an offset of the log.

        A refused record changes nothing but `offset` and, if a registered
        leader wrote it, `Domain.heard`.

        Returns
        -------
        Applied or Refusal
            ``RECORD_STALE`` if the state already is at this offset.
        """
        if not self.skip(offset):
            return outcomes.Refusal(
                codes.ResultCode.RECORD_STALE,
                f"offset {offset} is not above {self.offset}",
            )
        earlier = self.refused_by_id.get(record.request_id)
        if earlier is not None:
            return outcomes.Refusal(
                codes.ResultCode.RECORD_STALE,
                f"request {record.request_id} was refused at {earlier}",
            )
        refusal = _apply(record, self)
        if refusal is None:
            return Applied(offset, record)
        self._remember_refused(record.request_id)
        return refusal

    def _remember_refused(self, request_id: str) -> None:
        # A copy of a record refused for, say, a server that still owned
        # ranges could take effect later, after its writer was told that
        # it had not. Copies of applied records fail on their bases.
        if not request_id:
            return
        self.refused_by_id[request_id] = self.offset
        if len(self.refused_by_id) > REFUSED_LIMIT:
            del self.refused_by_id[next(iter(self.refused_by_id))]

    def skip(self, offset: int) -> bool:
        """Move past a record that cannot be decoded.

        Returns
        -------
        bool
            False if the state already is at this offset.
        """
        if offset <= self.offset:
            return False
        self.offset = offset
        return True

    def adopt(self, other: ClusterState) -> bool:
        """Take over the contents of a newer state.

        Returns
        -------
        bool
            False if the other state is not newer; nothing changes then.
        """
        if other.offset <= self.offset:
            return False
        self.offset = other.offset
        self.table = other.table
        self.domains_by_name = other.domains_by_name
        self.hosts_by_name = other.hosts_by_name
        self.ranges_by_service = other.ranges_by_service
        self.intents = other.intents
        self.refused_by_id = other.refused_by_id
        return True


@functools.singledispatch
def _apply(
    record: records.Record, state: ClusterState
) -> outcomes.Refusal | None:
    raise TypeError(type(record).__name__)


@_apply.register
def _apply_table(
    record: records.TableChange, state: ClusterState
) -> outcomes.Refusal | None:
    if record.base != state.table.version:
        return outcomes.Refusal(
            codes.ResultCode.TABLE_CONFLICT,
            f"the table is at version {state.table.version}, "
            f"the change was made on {record.base}",
        )
    refusal = table.check(record.rows)
    if refusal is not None:
        return refusal
    new = table.Table(state.offset, record.rows)
    refusal = _check_owners(state, new)
    if refusal is not None:
        return refusal
    _take_over_services(state, new)
    state.table = new
    return None


def _check_owners(
    state: ClusterState, new: table.Table
) -> outcomes.Refusal | None:
    """Refuse to remove or to relocate a server that owns ranges."""
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


def _take_over_services(state: ClusterState, new: table.Table) -> None:
    for name in set(state.ranges_by_service) - set(new.services_by_name):
        state.intents.close(state.ranges_by_service.pop(name))
    for name, servers in new.servers_by_service.items():
        range_map = state.ranges_by_service.get(name)
        if range_map is None:
            state.ranges_by_service[name] = ranges.RangeMap(state.offset)
        else:
            range_map.keep_successors(
                {row.server: row.domain for row in servers}
            )


@_apply.register
def _apply_domain(
    record: records.DomainChange, state: ClusterState
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
    refusal = _check_state(
        f"domain {record.domain}", record, ("in", "out"), domain.version
    )
    if refusal is None:
        state.domains_by_name[record.domain] = domain._replace(
            state=record.state, version=state.offset
        )
    return refusal


@_apply.register
def _apply_host(
    record: records.HostChange, state: ClusterState
) -> outcomes.Refusal | None:
    host = state.hosts_by_name.get(record.host, Host("active", -1))
    refusal = _check_state(
        f"host {record.host}", record, ("active", "leaving"), host.version
    )
    if refusal is None:
        state.hosts_by_name[record.host] = Host(record.state, state.offset)
    return refusal


def _check_state(
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
            f"the change was made on {record.base}",
        )
    return None


@_apply.register
def _apply_lead(
    record: records.Lead, state: ClusterState
) -> outcomes.Refusal | None:
    domain = state.domain(record.domain)
    if record.term.epoch > domain.lead_offset:
        return outcomes.Refusal(
            codes.ResultCode.RECORD_STALE,
            f"term {record.term} names a Lead record after the last one "
            f"of {record.domain}, {domain.lead_offset}",
        )
    if domain.term is not None and record.term <= domain.term:
        if record.term == domain.term:
            _hear(state, record.domain)
        return outcomes.Refusal(
            codes.ResultCode.TERM_STALE,
            f"term {record.term} is not above {domain.term}, "
            f"registered for {record.domain}",
        )
    state.domains_by_name[record.domain] = domain._replace(
        term=record.term, lead_offset=state.offset, heard=state.offset
    )
    return None


@_apply.register(records.Intent)
@_apply.register(records.Assign)
def _apply_move(
    record: records.Intent | records.Assign, state: ClusterState
) -> outcomes.Refusal | None:
    domain = state.domain(record.domain)
    if domain.term is None or record.term != domain.term:
        return outcomes.Refusal(
            codes.ResultCode.TERM_STALE,
            f"term {record.term} is not the one registered for "
            f"{record.domain}, {domain.term}",
        )
    _hear(state, record.domain)
    planned = moves.plan(state, record)
    if isinstance(planned, outcomes.Refusal):
        return planned
    return moves.carry_out(state, record, planned)


def _hear(state: ClusterState, name: str) -> None:
    """Note a record of the registered leader, even one to be refused.

    It shows that the leader still reads the log, which objects to an
    eviction.
    """
    domain = state.domain(name)
    state.domains_by_name[name] = domain._replace(heard=state.offset)
