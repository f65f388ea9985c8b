"""Carries out the decisions of the leader of one failure domain."""

from __future__ import annotations

import logging
import typing

import anyio
import anyio.abc

from agatestile.ownership import handover
from agatestile.ownership import rebalancing
from agatestile.ownership import terms
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.ownership import gate_records
    from agatestile.ownership import leadership
    from agatestile.ownership import ports
    from agatestile.ownership import server_calls
    from agatestile.rpc.generated.agatestile_rpc import ttypes
    from agatestile.state import records

LOG = logging.getLogger(__name__)

TICK_INTERVAL = 0.02
"""Seconds between decisions of a leader; bounds how late it sees that a lease
has expired."""
REFUSED_GRANT_INTERVAL = 0.05
"""Seconds after which a refused grant is repeated; a server that has just
started refuses grants for the time of a leader lease."""
MIN_LOG_PAUSE = 0.25
MAX_LOG_PAUSE = 2.0
"""Bounds of the pause after the log refused a record, seconds. Each pause is
twice as long as the one before."""


class LeaderLoop:
    """Sends a leader's grants and announcements and writes its records.

    Parameters
    ----------
    leader : leadership.Leadership
        The decisions to carry out.
    dependencies : ports.Ports
        Interfaces to servers, peers, the log and the daemon.
    timing : terms.Timing
        Durations of leases.
    calls : server_calls.ServerCalls
        Sends grants and probes.
    apply_own_heartbeat : callable
        Passes this host's own heartbeat to the leader.
    """

    def __init__(
        self,
        leader: leadership.Leadership,
        dependencies: ports.Ports,
        timing: terms.Timing,
        calls: server_calls.ServerCalls,
        apply_own_heartbeat: typing.Callable[[], None],
    ) -> None:
        self.leadership = leader
        self.handover = handover.Handover(leader)
        self.rebalancer = rebalancing.Rebalancer(
            leader, self.handover, anyio.current_time()
        )
        self.is_leaving = False
        self._ports = dependencies
        self._timing = timing
        self._calls = calls
        self._apply_own_heartbeat = apply_own_heartbeat
        self._sent_by_server: dict[str, tuple[str, records.Term]] = {}
        self._announcing: set[str] = set()

    def on_heartbeat(
        self, heartbeat: ttypes.Heartbeat, now: float
    ) -> ttypes.HeartbeatReply:
        """Apply a host's heartbeat and return the reply."""
        reply = self.leadership.on_heartbeat(heartbeat, now)
        if reply.leads:
            self.rebalancer.record_loads(heartbeat, now)
        return reply

    async def run(self) -> None:
        """Lead until the majority is lost or the host leaves."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_log)
            await self._run_ticks(tasks)
            tasks.cancel_scope.cancel()
        LOG.warning(
            "lead: %s term %s: leadership given up, result %d",
            self.leadership.domain,
            self.leadership.votes.term,
            codes.ResultCode.NOT_LEADER,
        )

    async def _run_ticks(self, tasks: anyio.abc.TaskGroup) -> None:
        due, sequence = anyio.current_time(), -1
        while self.leadership.may_act(anyio.current_time()):
            now = anyio.current_time()
            if self.is_leaving and self.leadership.has_other_host(now):
                return
            self.leadership.tick(now)
            is_due = now >= due
            if is_due:
                due = now + self._timing.heartbeat_interval
                self.rebalancer.tick(now)
            self._send_grants(tasks, is_due)
            current = self.leadership.view().sequence
            if is_due or current != sequence:
                self._apply_own_heartbeat()
                self._announce(tasks, current != sequence, now)
                sequence = current
            await anyio.sleep(TICK_INTERVAL)

    def _send_grants(self, tasks: anyio.abc.TaskGroup, is_due: bool) -> None:
        for row in self.leadership.witnesses() if is_due else ():
            self._send_grant(tasks, row)
        now = anyio.current_time()
        for server, gate in self.leadership.gates_by_server.items():
            grant = (gate.fence, self.leadership.votes.term)
            is_changed = self._sent_by_server.get(server) != grant
            is_due_here = is_due or is_changed or self._is_refused(gate, now)
            if self._calls.is_busy(server) or not is_due_here:
                continue
            if not gate.row.fenced:
                if is_due:
                    tasks.start_soon(
                        self._calls.probe,
                        gate.row,
                        self.leadership.record_probe,
                    )
                continue
            if not self._send_grant(tasks, gate.row):
                return
            self._sent_by_server[server] = grant

    def _is_refused(self, gate: gate_records.GateRecord, now: float) -> bool:
        """Return whether a refused grant may be repeated."""
        reply = gate.lease.reply
        return (
            gate.row.fenced
            and reply is not None
            and not reply.accepted
            and gate.lease.is_fresh(now)
            and now >= gate.lease.asked_at + REFUSED_GRANT_INTERVAL
        )

    def _send_grant(
        self, tasks: anyio.abc.TaskGroup, row: records.TableRow
    ) -> bool:
        # The lease may have expired since the last check, for example if
        # the process was paused.
        now = anyio.current_time()
        if not self.leadership.may_act(now):
            return False
        prepared = self.leadership.next_grant(row.server, now)
        if prepared is None:
            return False
        tasks.start_soon(
            self._calls.grant, row, prepared, self.leadership.receive
        )
        return True

    def _announce(
        self, tasks: anyio.abc.TaskGroup, to_all: bool, now: float
    ) -> None:
        """Announce this leader to all hosts or to those that are silent."""
        for host in self._ports.membership.hosts():
            record = self.leadership.hosts.get(host.name)
            is_live = record is not None and record.is_live(now, self._timing)
            if (
                host.name != self.leadership.host
                and host.name not in self._announcing
                and (to_all or not is_live)
            ):
                tasks.start_soon(self._announce_to, host)

    async def _announce_to(self, host: ports.Host) -> None:
        # A term raised after the majority was lost must not reach hosts.
        if not self.leadership.may_act(anyio.current_time()):
            return
        self._announcing.add(host.name)
        try:
            await self._ports.peers.call(
                host.peer_address,
                "announce",
                self.leadership.domain,
                terms.to_thrift(self.leadership.votes.term),
                self.leadership.host,
            )
        finally:
            self._announcing.discard(host.name)

    async def _write_log(self) -> None:
        pause, logged_refusal = MIN_LOG_PAUSE, ""
        while True:
            record = self.handover.next_record(anyio.current_time())
            if record is None:
                await anyio.sleep(TICK_INTERVAL)
                continue
            offset = await self._ports.appender.append(record)
            kind = type(record).__name__
            if isinstance(offset, outcomes.Refusal):
                refusal = f"{kind} not in force: {offset}"
                if refusal != logged_refusal:
                    LOG.warning("lead: %s %s", self.leadership.domain, refusal)
                logged_refusal = refusal
                await anyio.sleep(pause)
                pause = min(2 * pause, MAX_LOG_PAUSE)
                continue
            pause, logged_refusal = MIN_LOG_PAUSE, ""
            now = anyio.current_time()
            self.handover.note_applied(record, offset, now)
            LOG.info(
                "lead: %s %s at offset %d, %d changes, result %d",
                self.leadership.domain,
                kind,
                offset,
                len(getattr(record, "changes", ())),
                codes.ResultCode.ANSWERED,
            )
