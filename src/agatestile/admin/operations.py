"""What operators can ask of a daemon."""

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
    """Where a change is in force.

    Attributes
    ----------
    offset : int
        Offset of the change in the log.
    in_force : list of str
        Hosts that applied it.
    pending : list of str
        Hosts that responded but have not applied it.
    unreachable : dict of str to str
        Hosts that did not respond, with the reason.
    """

    offset: int
    in_force: list[str]
    pending: list[str]
    unreachable: dict[str, str]


class Explanation(typing.TypedDict):
    """Why a key is served where it is."""

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
    """Status, explanations and changes, for one daemon.

    Parameters
    ----------
    settings : schema.Settings
        Settings of the host.
    state : cluster.ClusterState
        The replicated state.
    follower, appender, views, peers : ports
        See `admin.ports`.
    reports : dict of str to callable
        Further parts of the status, such as grants and limits.
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
        self._stopping = False

    def stop(self) -> None:
        """Tell the balancer from now on that this host leaves."""
        self._stopping = True

    def ready(self) -> bool:
        """Tell whether the balancer may send requests to this host."""
        return self._follower.ready and not self._leaving()

    def host_status(self) -> dict[str, typing.Any]:
        """Return the status of this host as plain data."""
        state, now = self._state, anyio.current_time()
        age = now - self._follower.last_read
        status: dict[str, typing.Any] = {
            "host": self._settings.host,
            "failure_domain": self._settings.failure_domain,
            "ready": self.ready(),
            "state": "leaving" if self._leaving() else "active",
            "offset": state.offset,
            "table_version": state.table.version,
            "log_read_age": round(age, 3) if age < float("inf") else None,
            "domains": {
                name: state.domain(name).state for name in self._domains()
            },
            "leaders": {
                name: self._leader(name)[0] for name in self._domains()
            },
            "gated_ranges": self._gated_ranges(),
            "invariant_violations": dict(state.checks.violations_by_name),
        }
        for name, report in self._reports.items():
            status[name] = report()
        return status

    def host_status_text(self) -> str:
        """Return the status of this host as JSON, for other daemons."""
        return msgspec.json.encode(self.host_status()).decode()

    async def status(self) -> dict[str, typing.Any]:
        """Return the status of every host of the membership list."""
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
        """Return owner, gate and leader of a key, and why.

        Returns
        -------
        Explanation or Refusal
            ``NOT_READY`` or ``UNKNOWN_SERVICE``.
        """
        state = self._state
        if state.offset < 0:
            return outcomes.Refusal(
                codes.ResultCode.NOT_READY, "the state has not been read yet"
            )
        range_map = state.ranges_by_service.get(service)
        if range_map is None:
            return outcomes.Refusal(
                codes.ResultCode.UNKNOWN_SERVICE,
                f"the table has no service {service[:64]!r}",
            )
        position = keys.position_of(key)
        owned = range_map.find(position)
        owner, why = self._owner(service, position, owned)
        domain = state.table.domain_of(owner)
        gate = self._views.gate_of(owner)
        leader, term = self._leader(domain)
        return {
            "service": service,
            "position": position,
            "start": owned.start,
            "end": owned.end,
            "owner": owner,
            "since": owned.version,
            "successors": list(owned.successors),
            "why": why,
            "domain": domain,
            "domain_state": state.domain(domain).state,
            "gate": gate.host if gate else None,
            "gate_address": gate.forward_address if gate else None,
            "leader": leader,
            "leader_term": term,
        }

    def table(self) -> dict[str, typing.Any]:
        """Return the services table in force with its version."""
        in_force = self._state.table
        return {
            "version": in_force.version,
            "csv": table.to_csv(in_force.rows),
        }

    async def apply_table(
        self, sheet: str, base: str, operator: str
    ) -> Confirmations | outcomes.Refusal:
        """Replace the services table.

        Parameters
        ----------
        sheet : str
            The new table as CSV.
        base : str
            Version that the change was made on, or "current".
        operator : str
            Who asks, for the log.
        """
        version = self._state.table.version
        if base != CURRENT and not _VERSION.fullmatch(base):
            return outcomes.Refusal(
                codes.ResultCode.TABLE_INVALID,
                f"base: found {base[:32]!r}, expected a version or {CURRENT}",
            )
        rows = table.from_csv(sheet)
        if isinstance(rows, outcomes.Refusal):
            return rows
        return await self._append(
            records.TableChange(
                _request_id(),
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
                _request_id(),
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
        known = self._state.hosts_by_name.get(host)
        listed = self._peers.hosts()
        # The list is a hint: without one, no name can be called unknown.
        if listed and host not in listed and known is None:
            return outcomes.Refusal(
                codes.ResultCode.NAME_UNKNOWN,
                f"no host {host[:64]!r} in the membership list",
            )
        return await self._append(
            records.HostChange(
                _request_id(),
                operator,
                host,
                state,
                known.version if known else -1,
            )
        )

    async def confirmations(self, offset: int) -> Confirmations:
        """Return the hosts that have applied the record at an offset."""
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

    def _leaving(self) -> bool:
        if self._stopping:
            return True
        known = self._state.hosts_by_name.get(self._settings.host)
        return known is not None and known.state == "leaving"

    def _domains(self) -> list[str]:
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

    def _leader(self, domain: str) -> tuple[str | None, str | None]:
        """Return host and term of the leader that this host heard of."""
        order = self._views.last_update_of(domain)
        if order is None:
            return None, None
        term = order[0]
        return (
            term.instance.rpartition("#")[0],
            f"{term.epoch}.{term.step}.{term.instance}",
        )

    def _owner(
        self, service: str, position: int, owned: ranges.Range
    ) -> tuple[str, str]:
        step = self._views.step_of(service, position)
        # A step that is based on another assignment is out of date.
        if step is not None and step.version == owned.version:
            return step.server, f"stepped after loss of {owned.server}"
        if owned.intent >= 0:
            return owned.server, f"moving since offset {owned.intent}"
        return owned.server, "assigned" if owned.server else "unassigned"

    def _gated_ranges(self) -> dict[str, int]:
        """Return how many ranges the servers that this host gates own."""
        counts: collections.Counter[str] = collections.Counter()
        for range_map in self._state.ranges_by_service.values():
            counts.update(range_map.counts_by_server())
        return {
            server: counts[server]
            for server in self._state.table.servers_by_name
            if (gate := self._views.gate_of(server)) is not None
            and gate.host == self._settings.host
        }


def _request_id() -> str:
    return uuid.uuid4().hex
