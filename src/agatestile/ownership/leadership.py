"""Decisions of the leader of one failure domain."""

from __future__ import annotations

import logging
import typing

from agatestile.charts import interpreter
from agatestile.ownership import appointments
from agatestile.ownership import failover
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
    """State of a leader from its majority to the loss of it.

    Parameters
    ----------
    votes : leases.Votes
        Leases of the domain's servers; a majority is held.
    host : str
        This host.
    state : cluster.ClusterState
        This host's copy of the state.
    checks : invariants.Invariants
        Counts broken invariants.
    now : float
        When the majority was obtained, seconds.

    Attributes
    ----------
    steps : succession.Steps
        Ranges that stepped to a successor.
    gates_by_server : dict of str to gate_records.GateRecord
        The domain's servers by name.
    hosts : dict of str to gate_records.HostRecord
        The hosts that sent heartbeats, by name.
    chart : interpreter.StatechartRun
        State of the failure domain.
    rival : records.Term
        Term above this leader's that a host knows.
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
        self.rival = terms.NO_TERM
        self._timing = votes.timing
        self._appointments = appointments.Appointments(
            votes, state, checks, now
        )
        self.gates_by_server = self._appointments.gates_by_server
        self.hosts = self._appointments.hosts
        self.is_group_settled = self._appointments.is_group_settled
        self._routes: tuple[typing.Any, ...] = ()
        self._route_sequence = 0
        self._failover = failover.Failover(self)

    def may_act(self, now: float) -> bool:
        """Tell whether this leader holds a majority at this moment."""
        return not self.is_deposed and self.votes.is_held(now)

    def has_other_host(self, now: float) -> bool:
        """Tell whether another host could lead in place of this one."""
        return any(
            host.name != self.host
            and not host.leaving
            and host.is_live(now, self._timing)
            for host in self.hosts.values()
        )

    def is_caught_up(self) -> bool:
        """Tell whether no earlier leader's Intent can be unknown here.

        A leader registers with the log again after each Intent and shows
        the new epoch to a majority before it acts on the Intent.
        """
        domain = self.state.domain(self.domain)
        return domain.lead_offset >= self.votes.highest_epoch

    def request(
        self, server: str, now: float
    ) -> tuple[grants.GrantRequest, leases.Exchange] | None:
        """Return the next grant for a server."""
        lease = self.votes.by_server.get(server)
        if lease is None or self.is_deposed:
            return None
        gate = self.gates_by_server.get(server)
        if gate is None:
            # A witness votes and has no gate of this domain.
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
        """Return the servers of other domains that vote in this one."""
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
        """Take a server's answer to a grant."""
        lease = self.votes.by_server.get(server)
        if lease is None:
            return
        lease.receive(exchange, reply, now)
        self.votes.note_reply(reply)
        self.tick(now)

    def note_probe(self, server: str, now: float) -> None:
        """Note that a server that does not check fences answered."""
        if server in self.gates_by_server:
            self.gates_by_server[server].lease.replied_at = now

    def on_heartbeat(
        self, heartbeat: ttypes.Heartbeat, now: float
    ) -> ttypes.HeartbeatReply:
        """Take a host's heartbeat and return the answer."""
        known = terms.from_thrift(heartbeat.known_term)
        if known > self.votes.term:
            self.is_deposed = True
            self.rival = max(self.rival, known)
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
                gate.note_report(report)
        if known >= self.first_term:
            for report in heartbeat.gates or ():
                host.claims[report.server] = report.fence
            self._learn_steps(heartbeat)
        self.tick(now)
        if known < self.first_term:
            return self._introduction(heartbeat)
        return self._reply(heartbeat, host, now)

    def _introduction(
        self, heartbeat: ttypes.Heartbeat
    ) -> ttypes.HeartbeatReply:
        """Tell a host the term only.

        Its claims count once it obeys no earlier leader; an answer with
        grants would make it give up these gates before that.
        """
        return ttypes.HeartbeatReply(
            leads=True,
            leader=self.host,
            term=terms.to_thrift(self.votes.term),
            stamp=heartbeat.stamp,
            grants=[],
            release=[],
        )

    def _learn_steps(self, heartbeat: ttypes.Heartbeat) -> None:
        """Take the steps of an earlier leader that a gate applies.

        A host without a live gate may have been cut off for long, and once
        a group is settled no step is unknown; an old step taken then would
        move a range while its present owner serves.
        """
        if not heartbeat.gates:
            return
        for message in heartbeat.steps or ():
            step = succession.Step.from_thrift(message)
            if not self.is_group_settled(step.service):
                self.steps.merge(step)

    def _reply(
        self,
        heartbeat: ttypes.Heartbeat,
        host: gate_records.HostRecord,
        now: float,
    ) -> ttypes.HeartbeatReply:
        told = [
            gate
            for gate in self.gates_by_server.values()
            if self._tell(gate, host, now)
        ]
        for gate in told:
            gate.is_told = True
            if not gate.row.fenced:
                gate.lease.lapse_at = max(
                    gate.lease.lapse_at, now + self._timing.serve_wait
                )
        release = handover.releases(self, now)
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
            grants=[gate.to_grant() for gate in told],
            release=[
                reference.to_thrift()
                for gate in told
                for reference in release.get(gate.row.server, ())
            ],
            view=None if known == (self.votes.term, view.sequence) else view,
        )

    def _tell(
        self,
        gate: gate_records.GateRecord,
        host: gate_records.HostRecord,
        now: float,
    ) -> bool:
        if (gate.host, gate.instance) != (host.name, host.instance):
            return False
        if not gate.row.fenced and not gate.lease.is_fresh(now):
            return False
        if gate.is_told:
            return True
        return gate.is_confirmed and self.is_group_settled(gate.row.service)

    def note_warm(self, incarnations: dict[str, str]) -> None:
        """Take what the earlier leader knew of servers at full capacity.

        Without it, a gate that is lost with its leader would leave a warm
        server to a slow start. An incarnation that has ended has no effect.
        """
        for server, gate in self.gates_by_server.items():
            gate.warm_incarnation = incarnations.get(server, "")

    def view(self) -> ttypes.RouteView:
        """Return where the domain's servers are reached."""
        addresses = tuple(
            (
                server,
                gate.host,
                self.hosts[gate.host].forward_address,
                gate.warm_incarnation,
            )
            for server, gate in sorted(self.gates_by_server.items())
            if gate.is_told and gate.host in self.hosts
        )
        routes = (addresses, self.steps.sequence)
        if routes != self._routes:
            self._routes = routes
            self._route_sequence += 1
        return ttypes.RouteView(
            domain=self.domain,
            term=terms.to_thrift(self.votes.term),
            sequence=self._route_sequence,
            gates=[ttypes.GateAddress(*address) for address in addresses],
            steps=[step.to_thrift() for step in self.steps],
        )

    def tick(self, now: float) -> None:
        """Decide whatever the present moment asks for."""
        if not self.may_act(now):
            return
        self._appointments.take_table(now)
        self._appointments.decide(now)
        self._follow_domain()
        self._failover.decide(now)

    def _follow_domain(self) -> None:
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
    """Return the answer of a host that does not lead the domain."""
    return ttypes.HeartbeatReply(
        leads=False,
        leader=leader,
        term=terms.to_thrift(terms.NO_TERM),
        stamp=heartbeat.stamp,
        grants=[],
        release=[],
    )
