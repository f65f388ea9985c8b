"""Assignment of a domain's gates to hosts."""

from __future__ import annotations

import collections
import logging
import typing

from agatestile.ownership import election
from agatestile.ownership import gate_records
from agatestile.results import codes
from agatestile.state import records

if typing.TYPE_CHECKING:
    from agatestile.observability import invariants
    from agatestile.ownership import leases
    from agatestile.state import cluster

LOG = logging.getLogger(__name__)

GATHER_DELAY = 0.3
"""Seconds that a new leader waits for heartbeats of hosts whose gates it can
adopt before it assigns gates to others: a heartbeat interval and a margin."""
BALANCE_INTERVAL = 5.0
"""Seconds between moves of a gate to a better host. Moves are rare because the
next gate of the server does not know the request identifiers of the last."""
DISCARD_HOST_AFTER = 60.0
"""Seconds of silence after which the record of a host is removed."""


class GateAssignment:
    """Assigns the gates of a domain's servers to hosts.

    Parameters
    ----------
    votes : leases.Votes
        Leases of the domain's servers.
    state : cluster.ClusterState
        This host's copy of the state.
    checks : invariants.Invariants
        Counts violations of invariants.
    now : float
        When the majority was obtained, seconds.
    """

    def __init__(
        self,
        votes: leases.Votes,
        state: cluster.ClusterState,
        checks: invariants.Invariants,
        now: float,
    ) -> None:
        self.hosts: dict[str, gate_records.HostRecord] = {}
        self.gates_by_server: dict[str, gate_records.GateRecord] = {}
        self._votes = votes
        self._state = state
        self._checks = checks
        self._timing = votes.timing
        self._started_at = now
        self._balanced_at = now
        self._sequence = 0
        self._applied_table: object = None
        self.apply_table(now)

    def apply_table(self, now: float) -> None:
        """Update voters and gates after a change of the table."""
        if self._state.table is self._applied_table:
            return
        self._applied_table = self._state.table
        rows = {
            row.server: row
            for row in self._state.table.servers_by_name.values()
            if row.domain == self._votes.domain
        }
        self._votes.set_servers(
            election.voters(self._state.table, self._votes.domain)
        )
        for name in set(self.gates_by_server) - set(rows):
            del self.gates_by_server[name]
        for name, row in rows.items():
            if name in self.gates_by_server:
                self.gates_by_server[name].row = row
                continue
            # A gate of an earlier leader or domain may still send to it.
            lease = self._votes.by_server[name]
            lease.lapse_at = now + self._timing.serve_wait
            self.gates_by_server[name] = gate_records.GateRecord(row, lease)

    def is_service_settled(self, service: str) -> bool:
        """Return whether all earlier steps of a service are known or void."""
        return all(
            gate.is_settled
            for gate in self.gates_by_server.values()
            if gate.row.service == service
        )

    def decide(self, now: float) -> None:
        """Detect lost servers, and adopt and assign gates."""
        for gate in self.gates_by_server.values():
            self._update_lost(gate, now)
            if not gate.is_settled:
                self._settle(gate, now)
            if (
                gate.lease.is_fresh(now)
                and now >= self._started_at + GATHER_DELAY
            ):
                self._assign_if_needed(gate, now)
            if gate.chart.state in ("unsettled", "free") and (
                gate.is_confirmed
            ):
                self._send_event(gate, "confirmed")
        if now >= self._balanced_at + BALANCE_INTERVAL:
            self._balanced_at = now
            self._balance_gates(now)
            self._discard_hosts(now)

    def _send_event(self, gate: gate_records.GateRecord, event: str) -> None:
        state = gate.chart.state
        self._checks.check(
            "chart-server",
            gate.chart.send(event),
            f"{gate.row.server}: {event} in state {state}",
        )

    def _update_lost(self, gate: gate_records.GateRecord, now: float) -> None:
        if gate.lease.is_fresh(now):
            if gate.is_lost:
                self._send_event(gate, "answers")
        elif not gate.is_lost and gate.lease.is_lapsed(now):
            gate.unassign()
            self._send_event(gate, "lost")
            self._log(
                gate, codes.ResultCode.SERVER_UNREACHABLE, "server is lost"
            )

    def _settle(self, gate: gate_records.GateRecord, now: float) -> None:
        if gate.row.fenced:
            self._settle_fenced(gate)
        elif gate.lease.is_lapsed(now):
            self._send_event(gate, "lapsed")
        else:
            for host in self.hosts.values():
                fence = host.claimed_fences.get(gate.row.server)
                if fence and host.is_live(now, self._timing):
                    self._adopt(gate, fence, host)
                    return

    def _settle_fenced(self, gate: gate_records.GateRecord) -> None:
        reply = gate.lease.reply
        # A reply from before the majority may be older than a step of the
        # earlier leader.
        if (
            gate.fence
            or reply is None
            or not reply.accepted
            or gate.lease.asked_at < self._started_at
        ):
            return
        if not reply.fence or reply.serve_remaining_ms <= 0:
            self._send_event(gate, "lapsed")
            return
        for host in self.hosts.values():
            if host.claimed_fences.get(gate.row.server) == reply.fence:
                self._adopt(gate, reply.fence, host)
                return

    def _adopt(
        self,
        gate: gate_records.GateRecord,
        fence: str,
        host: gate_records.HostRecord,
    ) -> None:
        gate.assign(fence, host)
        gate.is_granted = True
        self._send_event(gate, "kept")
        self._log(gate, codes.ResultCode.ANSWERED, "gate adopted")

    def _assign_if_needed(
        self, gate: gate_records.GateRecord, now: float
    ) -> None:
        """Assign the gate of a server to a host if it has no usable one."""
        reason = self._reason_to_move(gate, now)
        if not reason:
            return
        if not gate.row.fenced and not gate.lease.is_lapsed(now):
            if gate.fence:
                gate.unassign()
                if gate.chart.state == "gated":
                    self._send_event(gate, "cleared")
            return
        eligible = self._eligible_hosts(now)
        counts = collections.Counter(
            other.host for other in self.gates_by_server.values()
        )
        chosen = gate_records.choose_host(eligible, counts, self._votes.domain)
        if chosen is not None:
            self._assign(gate, chosen, reason)

    def _eligible_hosts(self, now: float) -> list[gate_records.HostRecord]:
        """Return the live hosts that have read all moves made so far."""
        return [
            host
            for host in self.hosts.values()
            if host.is_live(now, self._timing)
            and not host.leaving
            and host.offset >= self._votes.highest_epoch
        ]

    def _assign(
        self,
        gate: gate_records.GateRecord,
        host: gate_records.HostRecord,
        reason: str,
    ) -> None:
        self._sequence += 1
        fence = records.Fence(self._votes.term, self._sequence)
        gate.assign(fence.to_text(), host)
        self._log(gate, codes.ResultCode.ANSWERED, reason)

    def _reason_to_move(
        self, gate: gate_records.GateRecord, now: float
    ) -> str:
        if not gate.host:
            return "server has no gate"
        host = self.hosts.get(gate.host)
        if host is None or host.instance != gate.instance:
            return "gate's host restarted"
        if not host.is_live(now, self._timing):
            return "gate's host is lost"
        if host.leaving and any(
            other.is_live(now, self._timing) and not other.leaving
            for other in self.hosts.values()
        ):
            return "gate's host is leaving"
        return ""

    def _balance_gates(self, now: float) -> None:
        """Move one gate to a host of the domain or to one with fewer gates."""
        movable = [
            gate
            for gate in self.gates_by_server.values()
            if gate.row.fenced and gate.is_granted and gate.host in self.hosts
        ]
        counts = collections.Counter(gate.host for gate in movable)
        domain = self._votes.domain
        best = gate_records.choose_host(
            self._eligible_hosts(now), counts, domain
        )
        if best is None or not movable:
            return
        gate = max(
            movable,
            key=lambda gate: (
                self.hosts[gate.host].domain != domain,
                counts[gate.host],
                gate.row.server,
            ),
        )
        is_foreign = self.hosts[gate.host].domain != domain
        is_nearer = is_foreign and best.domain == domain
        is_level = is_foreign == (best.domain != domain)
        if is_nearer or (
            is_level and counts[gate.host] - counts[best.name] >= 2
        ):
            self._assign(gate, best, "gates are balanced")

    def _discard_hosts(self, now: float) -> None:
        holders = {gate.host for gate in self.gates_by_server.values()}
        for name, host in list(self.hosts.items()):
            if (
                name not in holders
                and now - host.last_seen_at > DISCARD_HOST_AFTER
            ):
                del self.hosts[name]

    def _log(
        self,
        gate: gate_records.GateRecord,
        code: codes.ResultCode,
        reason: str,
    ) -> None:
        LOG.info(
            "lead: %s server %s gate %s fence %s: %s, result %d",
            self._votes.domain,
            gate.row.server,
            gate.host or "none",
            gate.fence or "none",
            reason,
            code,
        )
