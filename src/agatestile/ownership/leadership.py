"""Decisions of the leader of one failure domain."""

from __future__ import annotations

import logging
import typing

from agatestile.charts import interpreter
from agatestile.ownership import failover
from agatestile.ownership import gate_assignment
from agatestile.ownership import gate_records
from agatestile.ownership import handover
from agatestile.ownership import succession
from agatestile.ownership import terms
from agatestile.rpc.generated.agatestile_rpc import ttypes

if typing.TYPE_CHECKING:
    from agatestile.observability import invariants
    from agatestile.ownership import grants
    from agatestile.ownership import leases
    from agatestile.state import cluster
    from agatestile.state import records

LOG = logging.getLogger(__name__)


class Leadership:
    """Decisions of one leader while it holds a majority.

    Parameters
    ----------
    votes : leases.Votes
        Leases of the domain's servers; a majority is held.
    host : str
        Name of this host.
    state : cluster.ClusterState
        This host's copy of the state.
    checks : invariants.Invariants
        Counts violations of invariants.
    now : float
        When the majority was obtained, seconds.

    Attributes
    ----------
    steps : succession.Steps
        Ranges taken over by a successor.
    gates_by_server : dict of str to gate_records.GateRecord
        The gates of the domain's servers, by server.
    hosts : dict of str to gate_records.HostRecord
        The hosts that sent heartbeats, by host name.
    chart : interpreter.StatechartRun
        State of the failure domain.
    rival_term : records.Term
        Highest term above this leader's that a host reported.
    """

    def __init__(
        self,
        votes: leases.Votes,
        host: str,
        state: cluster.ClusterState,
        checks: invariants.Invariants,
        now: float,
    ) -> None:
        self.votes = votes
        self.domain = votes.domain
        self.first_term = votes.term
        self.host = host
        self.state = state
        self.checks = checks
        self.steps = succession.Steps()
        self.chart = interpreter.StatechartRun("domain")
        self.is_deposed = False
        self.rival_term = terms.NO_TERM
        self._timing = votes.timing
        self._gate_assignment = gate_assignment.GateAssignment(
            votes, state, checks, now
        )
        self.gates_by_server = self._gate_assignment.gates_by_server
        self.hosts = self._gate_assignment.hosts
        self.is_service_settled = self._gate_assignment.is_service_settled
        self._last_routes: tuple[typing.Any, ...] = ()
        self._route_sequence = 0
        self._failover = failover.Failover(self)

    def may_act(self, now: float) -> bool:
        """Return whether this leader holds a majority now."""
        return not self.is_deposed and self.votes.is_held(now)

    def has_other_host(self, now: float) -> bool:
        """Return whether another host could lead instead of this one."""
        return any(
            host.name != self.host
            and not host.leaving
            and host.is_live(now, self._timing)
            for host in self.hosts.values()
        )

    def is_caught_up(self) -> bool:
        """Return whether this host has read all Intents of earlier leaders.

        After each Intent a leader registers with the log again and reports
        the new epoch to a majority before it acts on the Intent. So a host
        that has read the Lead of the highest known epoch has read them all.
        """
        domain = self.state.domain(self.domain)
        return domain.lead_offset >= self.votes.highest_epoch

    def next_grant(
        self, server: str, now: float
    ) -> tuple[grants.GrantRequest, leases.Exchange] | None:
        """Return the next grant for a server, or None if there is none."""
        lease = self.votes.by_server.get(server)
        if lease is None or self.is_deposed:
            return None
        gate = self.gates_by_server.get(server)
        if gate is None:
            # A witness votes but has no gate in this domain.
            return lease.prepare(self.domain, self.votes.term, now)
        held = self.votes.is_held(now)
        if gate.fence and not self.checks.check(
            "grant-with-majority", held, f"{server} fence {gate.fence}"
        ):
            self.is_deposed = True
            return None
        return lease.prepare(
            self.domain,
            self.votes.term,
            now,
            gate.fence or None,
            gate.host or None,
        )

    def witnesses(self) -> list[records.TableRow]:
        """Return the servers of other domains that vote in this domain."""
        return [
            self.state.table.servers_by_name[name]
            for name in self.votes.by_server
            if name not in self.gates_by_server
            and name in self.state.table.servers_by_name
        ]

    def receive(
        self,
        server: str,
        exchange: leases.Exchange,
        reply: grants.GrantReply,
        now: float,
    ) -> None:
        """Apply a server's reply to a grant."""
        lease = self.votes.by_server.get(server)
        if lease is None:
            return
        lease.receive(exchange, reply, now)
        self.votes.note_reply(reply)
        self.tick(now)

    def record_probe(self, server: str, now: float) -> None:
        """Record that a server without fence checks answered a probe."""
        if server in self.gates_by_server:
            self.gates_by_server[server].lease.replied_at = now

    def on_heartbeat(
        self, heartbeat: ttypes.Heartbeat, now: float
    ) -> ttypes.HeartbeatReply:
        """Apply a host's heartbeat and return the reply."""
        known = terms.from_thrift(heartbeat.known_term)
        if known > self.votes.term:
            self.is_deposed = True
            self.rival_term = max(self.rival_term, known)
        if not self.may_act(now):
            return refuse_heartbeat(heartbeat, "")
        host = self.hosts.get(heartbeat.host)
        if host is None or host.instance != heartbeat.instance:
            host = self.hosts[heartbeat.host] = gate_records.HostRecord(
                heartbeat
            )
        host.update(heartbeat, now)
        for report in heartbeat.gates or ():
            gate = self.gates_by_server.get(report.server)
            if gate is not None:
                gate.apply_report(report)
        if known >= self.first_term:
            for report in heartbeat.gates or ():
                host.claimed_fences[report.server] = report.fence
            self._merge_steps(heartbeat)
        self.tick(now)
        if known < self.first_term:
            return self._term_only_reply(heartbeat)
        return self._reply(heartbeat, host, now)

    def _term_only_reply(
        self, heartbeat: ttypes.Heartbeat
    ) -> ttypes.HeartbeatReply:
        """Return a reply that contains the term and no grants.

        The gates that a host claims count only once it no longer follows an
        earlier leader. A reply with grants would make it give up those
        gates before that.
        """
        return ttypes.HeartbeatReply(
            leads=True,
            leader=self.host,
            term=terms.to_thrift(self.votes.term),
            stamp=heartbeat.stamp,
            grants=[],
            release=[],
        )

    def _merge_steps(self, heartbeat: ttypes.Heartbeat) -> None:
        """Merge an earlier leader's steps that a gate still applies.

        Steps of a host without a live gate are ignored, since it may have
        been cut off for long, and so are steps of a settled service, which
        has no unknown steps. An old step merged then would move a range
        while its current owner serves it.
        """
        if not heartbeat.gates:
            return
        for message in heartbeat.steps or ():
            step = succession.Step.from_thrift(message)
            if not self.is_service_settled(step.service):
                self.steps.merge(step)

    def _reply(
        self,
        heartbeat: ttypes.Heartbeat,
        host: gate_records.HostRecord,
        now: float,
    ) -> ttypes.HeartbeatReply:
        granted = [
            gate
            for gate in self.gates_by_server.values()
            if self._may_grant(gate, host, now)
        ]
        for gate in granted:
            gate.is_granted = True
            if not gate.row.fenced:
                gate.lease.lapse_at = max(
                    gate.lease.lapse_at, now + self._timing.serve_wait
                )
        release = handover.ranges_to_release(self, now)
        view = self.view()
        known = (
            terms.from_thrift(heartbeat.route_term),
            heartbeat.route_sequence,
        )
        return ttypes.HeartbeatReply(
            leads=True,
            leader=self.host,
            term=terms.to_thrift(self.votes.term),
            stamp=heartbeat.stamp,
            grants=[gate.to_grant() for gate in granted],
            release=[
                reference.to_thrift()
                for gate in granted
                for reference in release.get(gate.row.server, ())
            ],
            view=None if known == (self.votes.term, view.sequence) else view,
        )

    def _may_grant(
        self,
        gate: gate_records.GateRecord,
        host: gate_records.HostRecord,
        now: float,
    ) -> bool:
        if (gate.host, gate.instance) != (host.name, host.instance):
            return False
        if not gate.row.fenced and not gate.lease.is_fresh(now):
            return False
        if gate.is_granted:
            return True
        return gate.is_confirmed and self.is_service_settled(gate.row.service)

    def set_warm_incarnations(self, incarnations: dict[str, str]) -> None:
        """Take over the warm incarnations that the earlier leader knew.

        Without them a warm server would get a slow start after its gate is
        lost together with the leader. An incarnation that has ended has no
        effect.
        """
        for server, gate in self.gates_by_server.items():
            gate.warm_incarnation = incarnations.get(server, "")

    def view(self) -> ttypes.RouteView:
        """Return the route view: the domain's gates and steps."""
        addresses = tuple(
            (
                server,
                gate.host,
                self.hosts[gate.host].forward_address,
                gate.warm_incarnation,
            )
            for server, gate in sorted(self.gates_by_server.items())
            if gate.is_granted and gate.host in self.hosts
        )
        routes = (addresses, self.steps.sequence)
        if routes != self._last_routes:
            self._last_routes = routes
            self._route_sequence += 1
        return ttypes.RouteView(
            domain=self.domain,
            term=terms.to_thrift(self.votes.term),
            sequence=self._route_sequence,
            gates=[ttypes.GateAddress(*address) for address in addresses],
            steps=[step.to_thrift() for step in self.steps],
        )

    def tick(self, now: float) -> None:
        """Apply the table, assign gates and step ranges as of now."""
        if not self.may_act(now):
            return
        self._gate_assignment.apply_table(now)
        self._gate_assignment.decide(now)
        self._update_chart()
        self._failover.decide(now)

    def _update_chart(self) -> None:
        is_in = self.state.domain(self.domain).state == "in"
        if is_in == (self.chart.state == "in"):
            return
        event = "brought in" if is_in else "taken out"
        self.checks.check(
            "chart-domain",
            self.chart.send(event),
            f"{self.domain}: {event} in state {self.chart.state}",
        )
        LOG.info("lead: %s %s", self.domain, event)


def refuse_heartbeat(
    heartbeat: ttypes.Heartbeat, leader: str
) -> ttypes.HeartbeatReply:
    """Return the reply of a host that does not lead the domain."""
    return ttypes.HeartbeatReply(
        leads=False,
        leader=leader,
        term=terms.to_thrift(terms.NO_TERM),
        stamp=heartbeat.stamp,
        grants=[],
        release=[],
    )
