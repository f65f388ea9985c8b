"""Follows, stands for and leads one failure domain."""

from __future__ import annotations

import logging
import typing

import anyio
import anyio.abc

from agatestile.charts import interpreter
from agatestile.ownership import exchanges
from agatestile.ownership import gates
from agatestile.ownership import leadership
from agatestile.ownership import leading
from agatestile.ownership import ports
from agatestile.ownership import standing
from agatestile.ownership import terms
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.rpc.generated.agatestile_rpc import ttypes

if typing.TYPE_CHECKING:
    from agatestile.observability import invariants
    from agatestile.ownership import handover as moves
    from agatestile.state import cluster
    from agatestile.state import records

LOG = logging.getLogger(__name__)


class LocalHost(typing.NamedTuple):
    """The host that runs the drivers."""

    name: str
    domain: str
    instance: str
    forward_address: str


class Driver:
    """Runs one host's part in one failure domain.

    Parameters
    ----------
    domain : str
        The failure domain.
    me : LocalHost
        This host.
    state : cluster.ClusterState
        This host's copy of the state.
    gate_table : gates.GateTable
        Gates that this host holds.
    used : ports.Ports
        Calls to servers, peers and the log.
    timing : terms.Timing
        Lengths of leases.
    checks : invariants.Invariants
        Counts broken invariants.

    Attributes
    ----------
    leader : str
        Host that leads the domain as far as known, or empty.
    leaves : bool
        Whether this host gives up gates and leadership.
    chart : interpreter.StatechartRun
        State of the leader lease.
    """

    def __init__(
        self,
        domain: str,
        me: LocalHost,
        state: cluster.ClusterState,
        gate_table: gates.GateTable,
        used: ports.Ports,
        timing: terms.Timing,
        checks: invariants.Invariants,
    ) -> None:
        self.domain = domain
        self.leader = ""
        self.leaves = False
        self.chart = interpreter.StatechartRun("lease")
        self._me = me
        self._state = state
        self._gates = gate_table
        self._ports = used
        self._timing = timing
        self._checks = checks
        self._heard_at = -1.0
        self._refused = ""
        self._rival = terms.NO_TERM
        self._leading: leading.Leading | None = None
        self._calls = exchanges.Exchanges(used.servers, state)
        self._standing = standing.Standing(
            domain, me.name, me.instance, state, used, timing, self._calls
        )
        self._wake = anyio.Event()

    @property
    def leadership(self) -> leadership.Leadership | None:
        """The leadership of this host, if it leads."""
        return self._leading.leadership if self._leading else None

    @property
    def handover(self) -> moves.Handover | None:
        """The moves of this host's leadership, if it leads."""
        return self._leading.handover if self._leading else None

    async def run(self) -> None:
        """Follow and lead until cancelled."""
        self._heard_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            while True:
                if self._leading is None:
                    await self._follow(tasks)
                else:
                    await self._lead(self._leading)

    def wake(self, leader: str) -> None:
        """Send the next heartbeat now, to this leader."""
        self.leader = leader
        self._wake.set()

    def set_leaving(self, leaves: bool) -> None:
        """Take up or give up gates and leadership."""
        self.leaves = leaves
        if self._leading is not None:
            self._leading.leaves = leaves

    def on_heartbeat(
        self, heartbeat: ttypes.Heartbeat
    ) -> ttypes.HeartbeatReply:
        """Answer a host's heartbeat."""
        now = anyio.current_time()
        led = self._leading
        if led is None or not led.leadership.may_act(now):
            known = "" if self.leader == self._me.name else self.leader
            return leadership.refuse_heartbeat(heartbeat, known)
        return led.on_heartbeat(heartbeat, now)

    async def pause(self, seconds: float) -> bool:
        """Wait; True if a leader was heard of meanwhile."""
        heard = self._heard_at
        woken = False
        with anyio.move_on_after(max(0.0, seconds)):
            await self._wake.wait()
            woken = True
        self._wake = anyio.Event()
        return woken or self._heard_at > heard

    def known_term(self) -> records.Term:
        """Return the highest term that a host is known to have heard of."""
        return max(self._rival, self._gates.view(self.domain).known_term)

    async def find_leader(self, named: str) -> bool:
        """Turn to the host that the servers name; True if it leads."""
        if not named or named in (self.leader, self._me.name):
            return False
        self.leader = named
        heard = self._heard_at
        await self._beat()
        return self._heard_at > heard

    async def _follow(self, tasks: anyio.abc.TaskGroup) -> None:
        began = anyio.current_time()
        if self.leader and self.leader != self._me.name:
            reported = set(self._gates.released())
            await self._beat()
            if not reported.issuperset(self._gates.released()):
                # The range is not served until the leader knows.
                await self._beat()
        now = anyio.current_time()
        if now - self._heard_at >= self._timing.silence:
            await self._campaign(tasks)
        if self._leading is None:
            spent = anyio.current_time() - began
            await self.pause(self._timing.heartbeat_interval - spent)

    async def _beat(self) -> None:
        known = self._gates.view(self.domain).known_term
        await self._send_heartbeat()
        if known < self._gates.view(self.domain).known_term:
            # The leader heeds the gates that are held here only in a
            # heartbeat that knows its term.
            await self._send_heartbeat()

    async def _send_heartbeat(self) -> None:
        address = next(
            (
                host.peers
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
            self._take(reply)
        elif reply.leader and reply.leader != self._me.name:
            self.leader = reply.leader

    def _beat_own(self) -> None:
        if self._leading is not None:
            now = anyio.current_time()
            beat = self._heartbeat(now)
            self._take(self._leading.on_heartbeat(beat, now))

    def _take(self, reply: ttypes.HeartbeatReply) -> None:
        view = self._gates.apply_reply(self.domain, reply)
        known = self._gates.view(self.domain).known_term
        if reply.leads and terms.from_thrift(reply.term) == known:
            self._heard_at = anyio.current_time()
        if view is not None:
            self._ports.on_view(view)

    def _heartbeat(self, now: float) -> ttypes.Heartbeat:
        view = self._gates.view(self.domain)
        held = self._gates.held(self.domain, now)
        loads = self._ports.loads
        inherited = view.route_term != view.known_term
        return ttypes.Heartbeat(
            domain=self.domain,
            host=self._me.name,
            host_domain=self._me.domain,
            instance=self._me.instance,
            stamp=now,
            forward_address=self._me.forward_address,
            offset=self._state.offset,
            route_sequence=view.route_sequence,
            route_term=terms.to_thrift(view.route_term),
            leaving=self.leaves,
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
        self._note("silence")
        votes = await self._standing.campaign(tasks, self, self.leaves)
        if isinstance(votes, outcomes.Refusal):
            self._note("refused")
            if str(votes) != self._refused:
                LOG.info("lead: %s not won: %s", self.domain, votes)
            self._refused = str(votes)
            return
        self._refused = ""
        self._note("majority")
        self.leader = self._me.name
        self._gates.note_term(self.domain, votes.term)
        leader = leadership.Leadership(
            votes,
            self._me.name,
            self._state,
            self._checks,
            anyio.current_time(),
        )
        leader.note_warm(self._gates.view(self.domain).warm_incarnations)
        self._leading = leading.Leading(
            leader, self._ports, self._timing, self._calls, self._beat_own
        )
        self._leading.leaves = self.leaves
        LOG.info(
            "lead: %s term %s: majority obtained, result %d",
            self.domain,
            votes.term,
            codes.ResultCode.ANSWERED,
        )

    async def _lead(self, led: leading.Leading) -> None:
        try:
            await led.run()
        finally:
            self._leading = None
        self._rival = max(self._rival, led.leadership.rival)
        is_held = led.leadership.may_act(anyio.current_time())
        self._note("resigned" if is_held else "lapsed")
        self.leader = ""
        self._heard_at = anyio.current_time()

    def _note(self, event: str) -> None:
        state = self.chart.state
        self._checks.check(
            "chart-lease",
            self.chart.send(event),
            f"{self.domain}: {event} in state {state}",
        )
