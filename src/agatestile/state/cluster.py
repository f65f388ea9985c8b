"""State that every host derives from the records of the log."""

from __future__ import annotations

import typing

from agatestile.observability import invariants
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import changes
from agatestile.state import intents
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
        Offset of the last change of `state`, -1 without one.
    """

    state: str = "active"
    version: int = -1


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

    def host(self, name: str) -> Host:
        """Return the state of a host, the initial one if not named."""
        return self.hosts_by_name.get(name, Host())

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
        return (
            isinstance(record, records.Intent)
            or self.evicting_domain(current) == record.domain
        )

    def evicting_domain(self, current: ranges.Range) -> str:
        """Return the domain that is about to take a range, or "".

        This is the domain that announced an eviction of a range of
        another domain, to which the owning domain's registered leader has
        not objected with a later record.
        """
        owning = self.table.domain_of(current.server)
        intent = self.intents.by_offset.get(current.intent)
        if intent is None or intent.domain == owning:
            return ""
        objected = self.domain(owning).heard > current.intent
        return "" if not owning or objected else intent.domain

    def intent_of(self, current: ranges.Range) -> records.Intent | None:
        """Return the open Intent of a range that may yet be carried out.

        An eviction that met an objection cannot be.
        """
        intent = self.intents.by_offset.get(current.intent)
        owning = self.table.domain_of(current.server)
        if intent is None or intent.domain == owning or not owning:
            return intent
        return intent if self.evicting_domain(current) else None

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
        refusal = changes.apply(record, self)
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
