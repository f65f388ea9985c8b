"""Follower, candidate and leader of one failure domain."""

from __future__ import annotations

import logging
import typing

import anyio
import anyio.abc

from agatestile.charts import interpreter
from agatestile.ownership import candidacy
from agatestile.ownership import gates
from agatestile.ownership import leader_loop
from agatestile.ownership import leadership
from agatestile.ownership import ports
from agatestile.ownership import server_calls
from agatestile.ownership import terms
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.rpc.generated.agatestile_rpc import ttypes

if typing.TYPE_CHECKING:
    from agatestile.observability import invariants
    from agatestile.ownership import handover as handover_module
    from agatestile.state import cluster
    from agatestile.state import records

LOG = logging.getLogger(__name__)


class LocalHost(typing.NamedTuple):
    """The host on which the drivers run."""

    name: str
    domain: str
    instance: str
    forward_address: str


class Driver:
    """Lets this host follow, campaign for and lead one failure domain.

    Parameters
    ----------
    domain : str
        Name of the failure domain.
    local_host : LocalHost
        This host.
    state : cluster.ClusterState
        This host's copy of the state.
    gate_table : gates.GateTable
        The gates that this host holds.
    dependencies : ports.Ports
        Interfaces to servers, peers, the log and the daemon.
    timing : terms.Timing
        Durations of leases.
    checks : invariants.Invariants
        Counts violations of invariants.

    Attributes
    ----------
    leader : str
        Host that leads the domain as far as known, empty for none.
    is_leaving : bool
        Whether this host gives up its gates and leaderships.
    chart : interpreter.StatechartRun
        State of the leader lease.
    """

    def __init__(
        self,
        domain: str,
        local_host: LocalHost,
        state: cluster.ClusterState,
        gate_table: gates.GateTable,
        dependencies: ports.Ports,
        timing: terms.Timing,
        checks: invariants.Invariants,
    ) -> None:
        self.domain = domain
        self.leader = ""
        self.is_leaving = False
        self.chart = interpreter.StatechartRun("lease")
        self._local_host = local_host
        self._state = state
        self._gates = gate_table
        self._ports = dependencies
        self._timing = timing
        self._checks = checks
        self._last_contact_at = -1.0
        self._last_refusal = ""
        self._rival_term = terms.NO_TERM
        self._leader_loop: leader_loop.LeaderLoop | None = None
        self._calls = server_calls.ServerCalls(dependencies.servers, state)
        self._candidacy = candidacy.Candidacy(
            domain,
            local_host.name,
            local_host.instance,
            state,
            dependencies,
            timing,
            self._calls,
        )
        self._wake = anyio.Event()

    @property
    def leadership(self) -> leadership.Leadership | None:
        """The leadership of this host, None if it does not lead."""
        return self._leader_loop.leadership if self._leader_loop else None

    @property
    def handover(self) -> handover_module.Handover | None:
        """Planner of the leader's records, None if it does not lead."""
        return self._leader_loop.handover if self._leader_loop else None

    async def run(self) -> None:
        """Follow, campaign and lead until cancelled."""
        self._last_contact_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            while True:
                if self._leader_loop is None:
                    await self._follow(tasks)
                else:
                    await self._run_leader_loop(self._leader_loop)

    def wake(self, leader: str) -> None:
        """Follow this leader and send it a heartbeat now."""
        self.leader = leader
        self._wake.set()

    def set_leaving(self, is_leaving: bool) -> None:
        """Set whether this host gives up its gates and leaderships."""
        self.is_leaving = is_leaving
        if self._leader_loop is not None:
            self._leader_loop.is_leaving = is_leaving

    def on_heartbeat(
        self, heartbeat: ttypes.Heartbeat
    ) -> ttypes.HeartbeatReply:
        """Return the reply to a host's heartbeat."""
        now = anyio.current_time()
        loop = self._leader_loop
        if loop is None or not loop.leadership.may_act(now):
            known = "" if self.leader == self._local_host.name else self.leader
            return leadership.refuse_heartbeat(heartbeat, known)
        return loop.on_heartbeat(heartbeat, now)

    async def wait_for_leader(self, seconds: float) -> bool:
        """Wait; return whether a leader became known in the meantime."""
        last_contact = self._last_contact_at
        woken = False
        with anyio.move_on_after(max(0.0, seconds)):
            await self._wake.wait()
            woken = True
        self._wake = anyio.Event()
        return woken or self._last_contact_at > last_contact

    def known_term(self) -> records.Term:
        """Return the highest term that a host is known to have received."""
        return max(self._rival_term, self._gates.view(self.domain).known_term)

    async def find_leader(self, named: str) -> bool:
        """Follow the host that the servers name; return whether it leads."""
        if not named or named in (self.leader, self._local_host.name):
            return False
        self.leader = named
        last_contact = self._last_contact_at
        await self._exchange_heartbeats()
        return self._last_contact_at > last_contact

    async def _follow(self, tasks: anyio.abc.TaskGroup) -> None:
        began = anyio.current_time()
        if self.leader and self.leader != self._local_host.name:
            reported = set(self._gates.released())
            await self._exchange_heartbeats()
            if not reported.issuperset(self._gates.released()):
                # A released range is not served until the leader knows of
                # the release.
                await self._exchange_heartbeats()
        now = anyio.current_time()
        if now - self._last_contact_at >= self._timing.silence:
            await self._campaign(tasks)
        if self._leader_loop is None:
            spent = anyio.current_time() - began
            await self.wait_for_leader(self._timing.heartbeat_interval - spent)

    async def _exchange_heartbeats(self) -> None:
        known = self._gates.view(self.domain).known_term
        await self._send_heartbeat()
        if known < self._gates.view(self.domain).known_term:
            # The leader accepts this host's gates only from a heartbeat that
            # contains its term.
            await self._send_heartbeat()

    async def _send_heartbeat(self) -> None:
        address = next(
            (
                host.peer_address
                for host in self._ports.membership.hosts()
                if host.name == self.leader
            ),
            "",
        )
        if not address:
            return
        heartbeat = self._heartbeat(anyio.current_time())
        reply = await self._ports.peers.call(address, "heartbeat", heartbeat)
        if isinstance(reply, outcomes.Refusal):
            return
        if reply.leads and reply.stamp == heartbeat.stamp:
            self._apply_reply(reply)
        elif reply.leader and reply.leader != self._local_host.name:
            self.leader = reply.leader

    def _apply_own_heartbeat(self) -> None:
        if self._leader_loop is not None:
            now = anyio.current_time()
            heartbeat = self._heartbeat(now)
            self._apply_reply(self._leader_loop.on_heartbeat(heartbeat, now))

    def _apply_reply(self, reply: ttypes.HeartbeatReply) -> None:
        view = self._gates.apply_reply(self.domain, reply)
        known = self._gates.view(self.domain).known_term
        if reply.leads and terms.from_thrift(reply.term) == known:
            self._last_contact_at = anyio.current_time()
        if view is not None:
            self._ports.on_view(view)

    def _heartbeat(self, now: float) -> ttypes.Heartbeat:
        view = self._gates.view(self.domain)
        held = self._gates.held(self.domain, now)
        loads = self._ports.loads
        inherited = view.route_term != view.known_term
        return ttypes.Heartbeat(
            domain=self.domain,
            host=self._local_host.name,
            host_domain=self._local_host.domain,
            instance=self._local_host.instance,
            stamp=now,
            forward_address=self._local_host.forward_address,
            offset=self._state.offset,
            route_sequence=view.route_sequence,
            route_term=terms.to_thrift(view.route_term),
            leaving=self.is_leaving,
            gates=[
                loads.gate_report(server, fence)
                for server, fence in held.items()
            ],
            released=[item.to_thrift() for item in self._gates.released()],
            loads=loads.range_loads(self.domain),
            hot_keys=loads.hot_keys(self.domain),
            known_term=terms.to_thrift(view.known_term),
            steps=[step.to_thrift() for step in view.steps]
            if inherited
            else [],
        )

    async def _campaign(self, tasks: anyio.abc.TaskGroup) -> None:
        self._send_event("silence")
        votes = await self._candidacy.campaign(tasks, self, self.is_leaving)
        if isinstance(votes, outcomes.Refusal):
            self._send_event("refused")
            if str(votes) != self._last_refusal:
                LOG.info("lead: %s election not won: %s", self.domain, votes)
            self._last_refusal = str(votes)
            return
        self._last_refusal = ""
        self._send_event("majority")
        self.leader = self._local_host.name
        self._gates.note_term(self.domain, votes.term)
        leader = leadership.Leadership(
            votes,
            self._local_host.name,
            self._state,
            self._checks,
            anyio.current_time(),
        )
        leader.set_warm_incarnations(
            self._gates.view(self.domain).warm_incarnations
        )
        self._leader_loop = leader_loop.LeaderLoop(
            leader,
            self._ports,
            self._timing,
            self._calls,
            self._apply_own_heartbeat,
        )
        self._leader_loop.is_leaving = self.is_leaving
        LOG.info(
            "lead: %s term %s: majority obtained, result %d",
            self.domain,
            votes.term,
            codes.ResultCode.ANSWERED,
        )

    async def _run_leader_loop(self, loop: leader_loop.LeaderLoop) -> None:
        try:
            await loop.run()
        finally:
            self._leader_loop = None
        self._rival_term = max(self._rival_term, loop.leadership.rival_term)
        is_held = loop.leadership.may_act(anyio.current_time())
        self._send_event("resigned" if is_held else "lapsed")
        self.leader = ""
        self._last_contact_at = anyio.current_time()

    def _send_event(self, event: str) -> None:
        state = self.chart.state
        self._checks.check(
            "chart-lease",
            self.chart.send(event),
            f"{self.domain}: {event} in state {state}",
        )
