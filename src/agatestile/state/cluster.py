"""Replicated state that hosts derive from the records of the log."""

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
"""Number of refused records whose request identifiers a state keeps."""


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
        Offset of the last record by a registered leader, applied or
        refused, -1 without one.
    """

    state: str = "in"
    version: int = -1
    term: records.Term | None = None
    lead_offset: int = 0
    heard: int = -1


class Host(typing.NamedTuple):
    """State that an operator gave a host.

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
    """Services table, domains, hosts and range owners at a log offset.

    Hosts that have applied the same records have equal states.

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
        Domains and hosts that have been named in a record.
    ranges_by_service : dict of str to ranges.RangeMap
        Range map of each service of the table.
    intents : intents.OpenIntents
        Intents that still cover a range.
    refused_by_id : dict of str to int
        Offsets of the last refused records by request identifier. A copy
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
        """Return a domain's state, the initial one if no record named it."""
        return self.domains_by_name.get(name, Domain())

    def host(self, name: str) -> Host:
        """Return a host's state, the initial one if no record named it."""
        return self.hosts_by_name.get(name, Host())

    def may_change(
        self,
        record: records.Intent | records.Assign,
        service: str,
        current: ranges.Range,
    ) -> bool:
        """Return whether the writer of a record may change a range.

        A domain's registered leader may change unowned ranges and those
        of its own domain. If the service has ``on_cut=move``, the leader
        of another domain may announce an eviction with an Intent, and may
        assign the range if no record by the owning domain's registered
        leader follows that Intent. How long to wait between the two is up
        to the evicting leader.
        """
        owning_domain = self.table.domain_of(current.server)
        if not current.server or owning_domain == record.domain:
            return True
        if self.table.services_by_name[service].on_cut != "move":
            return False
        return (
            isinstance(record, records.Intent)
            or self.evicting_domain(current) == record.domain
        )

    def evicting_domain(self, current: ranges.Range) -> str:
        """Return the domain that is evicting a range, or "".

        This is a domain that announced the eviction of a range of another
        domain, whose registered leader has not objected to it by a later
        record.
        """
        owning_domain = self.table.domain_of(current.server)
        intent = self.intents.by_offset.get(current.intent)
        if intent is None or intent.domain == owning_domain:
            return ""
        objected = self.domain(owning_domain).heard > current.intent
        return "" if not owning_domain or objected else intent.domain

    def intent_of(self, current: ranges.Range) -> records.Intent | None:
        """Return the open Intent of a range, if it can still take effect.

        An eviction that the owning domain's leader objected to cannot.
        """
        intent = self.intents.by_offset.get(current.intent)
        owning_domain = self.table.domain_of(current.server)
        if (
            intent is None
            or intent.domain == owning_domain
            or not owning_domain
        ):
            return intent
        return intent if self.evicting_domain(current) else None

    def apply(
        self, offset: int, record: records.Record
    ) -> Applied | outcomes.Refusal:
        """Apply the record at an offset of the log.

        A refused record changes only `offset`, `refused_by_id` and, if a
        registered leader wrote it, `Domain.heard`.

        Returns
        -------
        Applied or Refusal
            ``RECORD_STALE`` if the state has already reached the offset
            or a record with the same request identifier was refused.
        """
        if not self.skip(offset):
            return outcomes.Refusal(
                codes.ResultCode.RECORD_STALE,
                f"offset {offset} is not above {self.offset}",
            )
        refused_offset = self.refused_by_id.get(record.request_id)
        if refused_offset is not None:
            return outcomes.Refusal(
                codes.ResultCode.RECORD_STALE,
                f"request {record.request_id} was already refused at offset "
                f"{refused_offset}",
            )
        refusal = changes.apply(record, self)
        if refusal is None:
            return Applied(offset, record)
        self._remember_refused(record.request_id)
        return refusal

    def _remember_refused(self, request_id: str) -> None:
        # Without this, a copy of a record refused for a temporary reason,
        # such as a server that still owned ranges, could take effect
        # after its writer was told that it was refused. Copies of applied
        # records are refused because their base versions are outdated.
        if not request_id:
            return
        self.refused_by_id[request_id] = self.offset
        if len(self.refused_by_id) > REFUSED_LIMIT:
            del self.refused_by_id[next(iter(self.refused_by_id))]

    def skip(self, offset: int) -> bool:
        """Advance past a record that cannot be decoded.

        Returns
        -------
        bool
            False if the state has already reached the offset.
        """
        if offset <= self.offset:
            return False
        self.offset = offset
        return True

    def adopt(self, other: ClusterState) -> bool:
        """Replace the contents by those of a newer state.

        Returns
        -------
        bool
            False, without a change, if the other state is not newer.
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
