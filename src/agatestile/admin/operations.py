"""Operations of the admin interface, independent of HTTP."""

from __future__ import annotations

import collections
import logging
import re
import typing
import uuid

import anyio
import msgspec

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.routing import keys
from agatestile.state import records
from agatestile.state import table

if typing.TYPE_CHECKING:
    from agatestile.admin import ports
    from agatestile.settings import schema
    from agatestile.state import cluster
    from agatestile.state import ranges

LOG = logging.getLogger(__name__)

CURRENT = "current"
_VERSION = re.compile(r"-1|[0-9]{1,18}")


class Confirmations(typing.NamedTuple):
    """Hosts on which a change is in force, and those on which it is not.

    Attributes
    ----------
    offset : int
        Offset of the change in the log.
    in_force : list of str
        Hosts that applied it.
    pending : list of str
        Hosts that responded but have not applied it yet.
    unreachable : dict of str to str
        Hosts that did not respond, with the reason.
    """

    offset: int
    in_force: list[str]
    pending: list[str]
    unreachable: dict[str, str]


class Explanation(typing.TypedDict):
    """Owner, gate and leader of a key, with the reason for the owner."""

    service: str
    position: int
    start: int
    end: int
    owner: str
    since: int
    successors: list[str]
    why: str
    domain: str
    domain_state: str
    gate: str | None
    gate_address: str | None
    leader: str | None
    leader_term: str | None


class Operations:
    """Status, explanations and changes on behalf of operators.

    Parameters
    ----------
    settings : schema.Settings
        Settings of the host.
    state : cluster.ClusterState
        The replicated state.
    follower, appender, views, peers : ports
        See `admin.ports`.
    reports : dict of str to callable
        Functions that return further sections of the status, such as
        grants and limits.
    """

    def __init__(
        self,
        settings: schema.Settings,
        state: cluster.ClusterState,
        follower: ports.Follower,
        appender: ports.Appender,
        views: ports.Views,
        peers: ports.Peers,
        reports: ports.Reports,
    ) -> None:
        self._settings = settings
        self._state = state
        self._follower = follower
        self._appender = appender
        self._views = views
        self._peers = peers
        self._reports = reports
        self._marked_leaving = False

    def mark_leaving(self) -> None:
        """Report this host as leaving, and so not ready, from now on."""
        self._marked_leaving = True

    def ready(self) -> bool:
        """Return whether the balancer may send requests to this host."""
        return self._follower.ready and not self._is_leaving()

    def host_status(self) -> dict[str, typing.Any]:
        """Return the status of this host as plain data."""
        state, now = self._state, anyio.current_time()
        read_age = now - self._follower.last_read
        status: dict[str, typing.Any] = {
            "host": self._settings.host,
            "failure_domain": self._settings.failure_domain,
            "ready": self.ready(),
            "state": "leaving" if self._is_leaving() else "active",
            "offset": state.offset,
            "table_version": state.table.version,
            "log_read_age": (
                round(read_age, 3) if read_age < float("inf") else None
            ),
            "domains": {
                name: state.domain(name).state for name in self._domain_names()
            },
            "leaders": {
                name: self._leader_and_term(name)[0]
                for name in self._domain_names()
            },
            "gated_ranges": self._gated_range_counts(),
            "invariant_violations": dict(state.checks.violations_by_name),
        }
        for name, read_report in self._reports.items():
            status[name] = read_report()
        return status

    def host_status_text(self) -> str:
        """Return the status of this host as JSON, for other daemons."""
        return msgspec.json.encode(self.host_status()).decode()

    async def status(self) -> dict[str, typing.Any]:
        """Return the status of every host in the membership list."""
        hosts: dict[str, typing.Any] = {
            self._settings.host: self.host_status()
        }
        for host, found in (await self._peers.statuses()).items():
            if isinstance(found, outcomes.Refusal):
                found = {"host": host, "unreachable": found.reason}
            hosts[host] = found
        return {"asked": self._settings.host, "hosts": hosts}

    def explain(
        self, service: str, key: str
    ) -> Explanation | outcomes.Refusal:
        """Return the owner, gate and leader of a key, with the reason.

        Returns
        -------
        Explanation or Refusal
            ``NOT_READY`` before any state was read, ``UNKNOWN_SERVICE`` if
            the table does not contain the service.
        """
        state = self._state
        if state.offset < 0:
            return outcomes.Refusal(
                codes.ResultCode.NOT_READY, "no state has been read yet"
            )
        range_map = state.ranges_by_service.get(service)
        if range_map is None:
            return outcomes.Refusal(
                codes.ResultCode.UNKNOWN_SERVICE,
                f"the services table has no service {service[:64]!r}",
            )
        position = keys.position_of(key)
        owned_range = range_map.find(position)
        owner, why = self._owner_and_reason(service, position, owned_range)
        domain = state.table.domain_of(owner)
        gate = self._views.gate_of(owner)
        leader, term = self._leader_and_term(domain)
        return {
            "service": service,
            "position": position,
            "start": owned_range.start,
            "end": owned_range.end,
            "owner": owner,
            "since": owned_range.version,
            "successors": list(owned_range.successors),
            "why": why,
            "domain": domain,
            "domain_state": state.domain(domain).state,
            "gate": gate.host if gate else None,
            "gate_address": gate.forward_address if gate else None,
            "leader": leader,
            "leader_term": term,
        }

    def table(self) -> dict[str, typing.Any]:
        """Return the version and the CSV form of the table in force."""
        in_force = self._state.table
        return {
            "version": in_force.version,
            "csv": table.to_csv(in_force.rows),
        }

    async def apply_table(
        self, table_csv: str, base: str, operator: str
    ) -> Confirmations | outcomes.Refusal:
        """Replace the services table.

        Parameters
        ----------
        table_csv : str
            The new table as CSV.
        base : str
            Version from which the new table was made, or "current".
        operator : str
            Name of the operator, kept in the record.
        """
        version = self._state.table.version
        if base != CURRENT and not _VERSION.fullmatch(base):
            return outcomes.Refusal(
                codes.ResultCode.TABLE_INVALID,
                f"base: found {base[:32]!r}, expected a version or {CURRENT}",
            )
        rows = table.from_csv(table_csv)
        if isinstance(rows, outcomes.Refusal):
            return rows
        return await self._append(
            records.TableChange(
                _new_request_id(),
                operator,
                version if base == CURRENT else int(base),
                rows,
            )
        )

    async def set_domain(
        self, domain: str, state: str, operator: str
    ) -> Confirmations | outcomes.Refusal:
        """Take a failure domain "out" of service or back "in"."""
        return await self._append(
            records.DomainChange(
                _new_request_id(),
                operator,
                domain,
                state,
                self._state.domain(domain).version,
            )
        )

    async def set_host(
        self, host: str, state: str, operator: str
    ) -> Confirmations | outcomes.Refusal:
        """Mark a host as "leaving" or "active"."""
        recorded = self._state.hosts_by_name.get(host)
        listed = self._peers.hosts()
        # The membership list is only a hint: while it is empty, no name can
        # be rejected as unknown.
        if listed and host not in listed and recorded is None:
            return outcomes.Refusal(
                codes.ResultCode.NAME_UNKNOWN,
                f"host {host[:64]!r} is not in the membership list",
            )
        return await self._append(
            records.HostChange(
                _new_request_id(),
                operator,
                host,
                state,
                recorded.version if recorded else -1,
            )
        )

    async def confirmations(self, offset: int) -> Confirmations:
        """Return which hosts have applied the record at an offset."""
        in_force: list[str] = []
        pending: list[str] = []
        unreachable: dict[str, str] = {}
        for host, status in (await self.status())["hosts"].items():
            if "unreachable" in status:
                unreachable[host] = status["unreachable"]
            elif status.get("offset", -1) >= offset:
                in_force.append(host)
            else:
                pending.append(host)
        return Confirmations(offset, in_force, pending, unreachable)

    async def _append(
        self,
        record: records.TableChange
        | records.DomainChange
        | records.HostChange,
    ) -> Confirmations | outcomes.Refusal:
        answer = await self._appender.append(record)
        kind = type(record).__name__
        if isinstance(answer, outcomes.Refusal):
            LOG.warning(
                "table: %s by %s refused: %s", kind, record.operator, answer
            )
            return answer
        LOG.info(
            "table: %s by %s accepted at offset %d",
            kind,
            record.operator,
            answer,
        )
        return await self.confirmations(answer)

    def _is_leaving(self) -> bool:
        if self._marked_leaving:
            return True
        recorded = self._state.hosts_by_name.get(self._settings.host)
        return recorded is not None and recorded.state == "leaving"

    def _domain_names(self) -> list[str]:
        return sorted(
            {
                *self._settings.failure_domains,
                *self._state.domains_by_name,
                *(
                    row.domain
                    for row in self._state.table.servers_by_name.values()
                ),
            }
        )

    def _leader_and_term(self, domain: str) -> tuple[str | None, str | None]:
        """Return host and term of the last known leader of a domain."""
        update = self._views.last_update_of(domain)
        if update is None:
            return None, None
        term = update[0]
        return (
            term.instance.rpartition("#")[0],
            f"{term.epoch}.{term.step}.{term.instance}",
        )

    def _owner_and_reason(
        self, service: str, position: int, owned_range: ranges.Range
    ) -> tuple[str, str]:
        step = self._views.step_of(service, position)
        # A step that is based on another assignment is obsolete.
        if step is not None and step.version == owned_range.version:
            return step.server, f"stepped after loss of {owned_range.server}"
        if owned_range.intent >= 0:
            return (
                owned_range.server,
                f"moving since offset {owned_range.intent}",
            )
        return (
            owned_range.server,
            "assigned" if owned_range.server else "unassigned",
        )

    def _gated_range_counts(self) -> dict[str, int]:
        """Return the number of ranges owned by each server gated here."""
        counts: collections.Counter[str] = collections.Counter()
        for range_map in self._state.ranges_by_service.values():
            counts.update(range_map.counts_by_server())
        return {
            server: counts[server]
            for server in self._state.table.servers_by_name
            if (gate := self._views.gate_of(server)) is not None
            and gate.host == self._settings.host
        }


def _new_request_id() -> str:
    return uuid.uuid4().hex
