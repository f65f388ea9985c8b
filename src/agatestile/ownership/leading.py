"""Carries out what the leader of one failure domain decides."""

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
    from agatestile.ownership import exchanges
    from agatestile.ownership import leadership
    from agatestile.ownership import ports
    from agatestile.rpc.generated.agatestile_rpc import ttypes
    from agatestile.state import records

LOG = logging.getLogger(__name__)

TICK = 0.02
"""Interval of a leader's decisions, seconds; bounds how late it sees that
a lease has ended."""
LOG_PAUSE = 0.25
MAX_LOG_PAUSE = 2.0
"""Pauses after the log refused a record, seconds; each is twice as long as
the one before."""


class Leading:
    """Sends grants and announcements and writes to the log.

    Parameters
    ----------
    leader : leadership.Leadership
        Decides.
    used : ports.Ports
        Calls to servers, peers and the log.
    timing : terms.Timing
        Lengths of leases.
    calls : exchanges.Exchanges
        Grants under way.
    beat : callable
        Gives the leader its own host's heartbeat.
    """

    def __init__(
        self,
        leader: leadership.Leadership,
        used: ports.Ports,
        timing: terms.Timing,
        calls: exchanges.Exchanges,
        beat: typing.Callable[[], None],
    ) -> None:
        self.leadership = leader
        self.handover = handover.Handover(leader)
        self.rebalancer = rebalancing.Rebalancer(
            leader, self.handover, anyio.current_time()
        )
        self.leaves = False
        self._ports = used
        self._timing = timing
        self._calls = calls
        self._beat = beat
        self._sent: dict[str, tuple[str, records.Term]] = {}
        self._announcing: set[str] = set()

    def on_heartbeat(
        self, heartbeat: ttypes.Heartbeat, now: float
    ) -> ttypes.HeartbeatReply:
        """Take a host's heartbeat and return the answer."""
        reply = self.leadership.on_heartbeat(heartbeat, now)
        if reply.leads:
            self.rebalancer.note(heartbeat, now)
        return reply

    async def run(self) -> None:
        """Lead until the majority is lost or the host leaves."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_log)
            await self._lead(tasks)
            tasks.cancel_scope.cancel()
        LOG.warning(
            "lead: %s term %s: given up, result %d",
            self.leadership.domain,
            self.leadership.votes.term,
            codes.ResultCode.NOT_LEADER,
        )

    async def _lead(self, tasks: anyio.abc.TaskGroup) -> None:
        due, sequence = anyio.current_time(), -1
        while self.leadership.may_act(anyio.current_time()):
            now = anyio.current_time()
            if self.leaves and self.leadership.has_other_host(now):
                return
            self.leadership.tick(now)
            is_due = now >= due
            if is_due:
                due = now + self._timing.heartbeat_interval
                self.rebalancer.tick(now)
            self._send_grants(tasks, is_due)
            current = self.leadership.view().sequence
            if is_due or current != sequence:
                self._beat()
                self._announce(tasks, current != sequence, now)
                sequence = current
            await anyio.sleep(TICK)

    def _send_grants(self, tasks: anyio.abc.TaskGroup, is_due: bool) -> None:
        for row in self.leadership.witnesses() if is_due else ():
            self._send_grant(tasks, row)
        for server, gate in self.leadership.gates_by_server.items():
            news = (gate.fence, self.leadership.votes.term)
            is_new = self._sent.get(server) != news
            if self._calls.is_busy(server) or not (is_due or is_new):
                continue
            if not gate.row.fenced:
                if is_due:
                    tasks.start_soon(
                        self._calls.probe,
                        gate.row,
                        self.leadership.note_probe,
                    )
                continue
            if not self._send_grant(tasks, gate.row):
                return
            self._sent[server] = news

    def _send_grant(
        self, tasks: anyio.abc.TaskGroup, row: records.TableRow
    ) -> bool:
        # Time has passed since the check before, and maybe a pause.
        now = anyio.current_time()
        if not self.leadership.may_act(now):
            return False
        prepared = self.leadership.request(row.server, now)
        if prepared is None:
            return False
        tasks.start_soon(
            self._calls.grant, row, prepared, self.leadership.receive
        )
        return True

    def _announce(
        self, tasks: anyio.abc.TaskGroup, to_all: bool, now: float
    ) -> None:
        """Ask hosts for a heartbeat: all, or those not heard lately."""
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
                host.peers,
                "announce",
                self.leadership.domain,
                terms.to_thrift(self.leadership.votes.term),
                self.leadership.host,
            )
        finally:
            self._announcing.discard(host.name)

    async def _write_log(self) -> None:
        pause, shown = LOG_PAUSE, ""
        while True:
            record = self.handover.next_record(anyio.current_time())
            if record is None:
                await anyio.sleep(TICK)
                continue
            offset = await self._ports.appender.append(record)
            kind = type(record).__name__
            if isinstance(offset, outcomes.Refusal):
                refusal = f"{kind} not in force: {offset}"
                if refusal != shown:
                    LOG.warning("lead: %s %s", self.leadership.domain, refusal)
                shown = refusal
                await anyio.sleep(pause)
                pause = min(2 * pause, MAX_LOG_PAUSE)
                continue
            pause, shown = LOG_PAUSE, ""
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
