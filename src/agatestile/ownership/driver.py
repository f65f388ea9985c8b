"""Follows, stands for and leads one failure domain."""

from __future__ import annotations

import logging
import typing

import anyio
import anyio.abc

from agatestile.ownership import election
from agatestile.ownership import gates
from agatestile.ownership import grants
from agatestile.ownership import handover
from agatestile.ownership import leadership
from agatestile.ownership import ports
from agatestile.ownership import terms
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.rpc.generated.agatestile_rpc import ttypes

if typing.TYPE_CHECKING:
    from agatestile.observability import invariants
    from agatestile.state import cluster
    from agatestile.state import records

LOG = logging.getLogger(__name__)

TICK = 0.02
"""Interval of a leader's decisions, seconds; bounds how late it sees that
a lease has ended."""
LOG_PAUSE = 0.25
"""Pause after the log refused a record, seconds."""
LEAVING_DELAY = 1.0
"""A leaving host stands this much later, seconds, than all others."""


class Self(typing.NamedTuple):
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
    me : Self
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
    """

    def __init__(
        self,
        domain: str,
        me: Self,
        state: cluster.ClusterState,
        gate_table: gates.GateTable,
        used: ports.Ports,
        timing: terms.Timing,
        checks: invariants.Invariants,
    ) -> None:
        self.domain = domain
        self.leader = ""
        self.leadership: leadership.Leadership | None = None
        self.handover: handover.Handover | None = None
        self.leaves = False
        self._me = me
        self._state = state
        self._gates = gate_table
        self._ports = used
        self._timing = timing
        self._checks = checks
        self._heard_at = -1.0
        self._busy: set[str] = set()
        self._sent: dict[str, str] = {}
        self._announcing: set[str] = set()
        self._wake = anyio.Event()

    async def run(self) -> None:
        """Follow and lead until cancelled."""
        self._heard_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            while True:
                if self.leadership is None:
                    await self._follow(tasks)
                else:
                    await self._lead(self.leadership)

    def wake(self, leader: str) -> None:
        """Send the next heartbeat now, to this leader."""
        self.leader = leader
        self._wake.set()

    def on_heartbeat(
        self, heartbeat: ttypes.Heartbeat
    ) -> ttypes.HeartbeatReply:
        """Answer a host's heartbeat."""
        now = anyio.current_time()
        if self.leadership is None or not self.leadership.may_act(now):
            known = "" if self.leader == self._me.name else self.leader
            return leadership.refuse_heartbeat(heartbeat, known)
        return self.leadership.on_heartbeat(heartbeat, now)

    async def _pause(self, seconds: float) -> None:
        with anyio.move_on_after(max(0.0, seconds)):
            await self._wake.wait()
        self._wake = anyio.Event()

    async def _follow(self, tasks: anyio.abc.TaskGroup) -> None:
        began = anyio.current_time()
        if self.leader and self.leader != self._me.name:
            await self._beat()
        now = anyio.current_time()
        if now - self._heard_at >= self._timing.silence:
            await self._campaign(tasks)
        spent = anyio.current_time() - began
        if self.leadership is None:
            await self._pause(self._timing.heartbeat_interval - spent)

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

    async def _beat(self) -> None:
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

    def _take(self, reply: ttypes.HeartbeatReply) -> None:
        view = self._gates.apply_reply(self.domain, reply)
        known = self._gates.view(self.domain).known_term
        if terms.from_thrift(reply.term) == known:
            self._heard_at = anyio.current_time()
        if view is not None:
            self._ports.on_view(view)

    def _rows(self) -> dict[str, records.TableRow]:
        return {
            row.server: row
            for row in self._state.table.servers_by_name.values()
            if row.domain == self.domain
        }

    async def _campaign(self, tasks: anyio.abc.TaskGroup) -> None:
        votes = grants.Votes(self.domain, self._me.instance, self._timing)
        votes.set_servers(self._rows().values())
        if not any(row.fenced for row in self._rows().values()):
            return
        campaign = election.Campaign(votes, self._state, anyio.current_time())
        await self._poll(tasks, campaign, campaign.has_answers)
        wait = campaign.wait()
        if isinstance(wait, outcomes.Refusal):
            LOG.info("lead: %s not contested: %s", self.domain, wait)
            return
        if wait > 0 and await self._found_leader(campaign):
            return
        wait += self._stagger()
        if wait > 0:
            heard = self._heard_at
            await self._pause(wait)
            if self._heard_at > heard or self._wake.is_set():
                return
            campaign.ask_again(anyio.current_time())
            await self._poll(tasks, campaign, campaign.has_answers)
            if campaign.wait() != 0:
                return
        campaign.stand()
        await self._poll(
            tasks,
            campaign,
            lambda: votes.is_held(anyio.current_time()),
        )
        if votes.is_held(anyio.current_time()):
            self._begin(votes)

    async def _found_leader(self, campaign: election.Campaign) -> bool:
        """Turn to the leader that the servers name, if it answers."""
        named = campaign.present_leader()
        if not named or named in (self.leader, self._me.name):
            return False
        self.leader = named
        heard = self._heard_at
        await self._beat()
        return self._heard_at > heard

    def _stagger(self) -> float:
        names = election.candidates(
            self.domain, self._ports.membership.hosts()
        )
        position = len(names)
        if self._me.name in names:
            position = names.index(self._me.name)
        delay = position * self._timing.stagger
        return delay + LEAVING_DELAY if self.leaves else delay

    async def _poll(
        self,
        tasks: anyio.abc.TaskGroup,
        campaign: election.Campaign,
        is_done: typing.Callable[[], bool],
    ) -> None:
        """Send a grant to each server and wait until enough answered."""
        for row in self._rows().values():
            if row.fenced and row.server not in self._busy:
                prepared = campaign.request(row.server, anyio.current_time())
                tasks.start_soon(
                    self._exchange, row, prepared, campaign.receive
                )
        with anyio.move_on_after(self._timing.call_timeout):
            while not is_done():
                await anyio.sleep(self._timing.call_timeout / 100)

    async def _exchange(
        self,
        row: records.TableRow,
        prepared: tuple[grants.GrantRequest, grants.Exchange],
        receive: typing.Callable[
            [str, grants.Exchange, grants.GrantReply, float], None
        ],
    ) -> None:
        if row.server in self._busy:
            return
        request, exchange = prepared
        self._busy.add(row.server)
        try:
            reply = await self._ports.servers.grant(row, request)
        finally:
            self._busy.discard(row.server)
        if not isinstance(reply, outcomes.Refusal):
            receive(row.server, exchange, reply, anyio.current_time())

    def _begin(self, votes: grants.Votes) -> None:
        now = anyio.current_time()
        self.leader = self._me.name
        self._gates.note_term(self.domain, votes.term)
        self.leadership = leadership.Leadership(
            votes, self._me.name, self._state, self._checks, now
        )
        self.handover = handover.Handover(self.leadership)
        self._sent = {}
        LOG.info(
            "lead: %s term %s: majority obtained, result %d",
            self.domain,
            votes.term,
            codes.ResultCode.ANSWERED,
        )

    async def _lead(self, leader: leadership.Leadership) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_log, leader)
            await self._lead_until_lost(leader, tasks)
            tasks.cancel_scope.cancel()
        self.leadership = self.handover = None
        self.leader = ""
        self._heard_at = anyio.current_time()
        LOG.warning(
            "lead: %s term %s: given up, result %d",
            self.domain,
            leader.votes.term,
            codes.ResultCode.NOT_LEADER,
        )

    async def _lead_until_lost(
        self,
        leader: leadership.Leadership,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        due, sequence = anyio.current_time(), -1
        while leader.may_act(anyio.current_time()):
            now = anyio.current_time()
            if self.leaves and leader.has_other_host(now):
                return
            leader.tick(now)
            is_due = now >= due
            if is_due:
                due = now + self._timing.heartbeat_interval
            self._send_grants(leader, tasks, is_due, now)
            current = leader.view().sequence
            if is_due or current != sequence:
                self._take(leader.on_heartbeat(self._heartbeat(now), now))
                self._announce(leader, tasks, current != sequence, now)
                sequence = current
            await anyio.sleep(TICK)

    def _send_grants(
        self,
        leader: leadership.Leadership,
        tasks: anyio.abc.TaskGroup,
        is_due: bool,
        now: float,
    ) -> None:
        for server, post in leader.posts.items():
            is_new = self._sent.get(server, "") != post.fence
            if server in self._busy or not (is_due or is_new):
                continue
            if not post.row.fenced:
                if is_due:
                    tasks.start_soon(self._probe, post.row, leader)
                continue
            prepared = leader.request(server, now)
            if prepared is None:
                return
            self._sent[server] = post.fence
            tasks.start_soon(
                self._exchange, post.row, prepared, leader.receive
            )

    async def _probe(
        self, row: records.TableRow, leader: leadership.Leadership
    ) -> None:
        self._busy.add(row.server)
        try:
            answers = await self._ports.servers.probe(row)
        finally:
            self._busy.discard(row.server)
        if answers:
            leader.note_probe(row.server, anyio.current_time())

    def _announce(
        self,
        leader: leadership.Leadership,
        tasks: anyio.abc.TaskGroup,
        to_all: bool,
        now: float,
    ) -> None:
        for host in self._ports.membership.hosts():
            record = leader.hosts.get(host.name)
            is_live = record is not None and record.is_live(now, self._timing)
            if host.name == self._me.name or host.name in self._announcing:
                continue
            if to_all or not is_live:
                tasks.start_soon(self._announce_to, host, leader)

    async def _announce_to(
        self, host: ports.Host, leader: leadership.Leadership
    ) -> None:
        self._announcing.add(host.name)
        try:
            await self._ports.peers.call(
                host.peers,
                "announce",
                self.domain,
                terms.to_thrift(leader.votes.term),
                self._me.name,
            )
        finally:
            self._announcing.discard(host.name)

    async def _write_log(self, leader: leadership.Leadership) -> None:
        writer = self.handover
        while writer is not None:
            record = writer.next_record(anyio.current_time())
            if record is None:
                await anyio.sleep(TICK)
                continue
            offset = await self._ports.appender.append(record)
            if isinstance(offset, outcomes.Refusal):
                LOG.warning(
                    "lead: %s %s not in force: %s",
                    self.domain,
                    type(record).__name__,
                    offset,
                )
                await anyio.sleep(LOG_PAUSE)
                continue
            writer.note_applied(record, offset)
            LOG.info(
                "lead: %s %s at offset %d, %d changes, result %d",
                self.domain,
                type(record).__name__,
                offset,
                len(getattr(record, "changes", ())),
                codes.ResultCode.ANSWERED,
            )
