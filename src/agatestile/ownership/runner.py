"""Runs one host's part in all failure domains."""

from __future__ import annotations

import logging
import typing

import anyio

from agatestile.charts import interpreter
from agatestile.observability import invariants
from agatestile.ownership import driver
from agatestile.ownership import gates
from agatestile.ownership import leadership
from agatestile.ownership import terms
from agatestile.rpc.generated.agatestile_rpc import ttypes

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.ownership import ports
    from agatestile.state import cluster
    from agatestile.state import records

LOG = logging.getLogger(__name__)


class Runner:
    """Heartbeats, elections, leadership and gates of a host.

    Parameters
    ----------
    me : driver.LocalHost
        This host.
    domains : iterable of str
        All failure domains.
    state : cluster.ClusterState
        This host's copy of the state, kept current by the log's follower.
    used : ports.Ports
        Calls to servers, peers and the log.
    timing : terms.Timing, optional
        Lengths of leases.
    checks : invariants.Invariants, optional
        Counts broken invariants.

    Attributes
    ----------
    gates : gates.GateTable
        Gates that this host holds.
    checks : invariants.Invariants
        Counts broken invariants.
    chart : interpreter.StatechartRun
        State of the host.
    """

    def __init__(
        self,
        me: driver.LocalHost,
        domains: collections.abc.Iterable[str],
        state: cluster.ClusterState,
        used: ports.Ports,
        timing: terms.Timing | None = None,
        checks: invariants.Invariants | None = None,
    ) -> None:
        self.checks = checks or invariants.Invariants()
        self._me = me
        self._state = state
        self._leaves = False
        self.chart = interpreter.StatechartRun("host")
        self._timing = timing or terms.Timing()
        self.gates = gates.GateTable(state, self._timing, self.checks)
        self.by_domain = {
            domain: driver.Driver(
                domain,
                me,
                state,
                self.gates,
                used,
                self._timing,
                self.checks,
            )
            for domain in domains
        }

    async def run(self) -> None:
        """Take part until cancelled."""
        async with anyio.create_task_group() as tasks:
            for one in self.by_domain.values():
                tasks.start_soon(one.run)
            while True:
                self._note_state()
                await anyio.sleep(self._timing.heartbeat_interval)

    def leave(self) -> None:
        """Give up gates and leaderships; the process is about to end."""
        self._leaves = True
        self._note_state()

    def on_heartbeat(
        self, heartbeat: ttypes.Heartbeat
    ) -> ttypes.HeartbeatReply:
        """Answer a host's heartbeat, as leader of its domain or not."""
        one = self.by_domain.get(heartbeat.domain)
        if one is None:
            return leadership.refuse_heartbeat(heartbeat, "")
        return one.on_heartbeat(heartbeat)

    def on_announce(self, domain: str, term: ttypes.Term, host: str) -> None:
        """Take the word of a leader; it is asked at once."""
        one = self.by_domain.get(domain)
        if one is None or host == self._me.name:
            return
        if self.gates.note_term(domain, terms.from_thrift(term)):
            one.wake(host)

    def propose(
        self,
        domain: str,
        changes: collections.abc.Iterable[records.RangeChange],
    ) -> bool:
        """Ask for moves of a domain's ranges.

        Returns
        -------
        bool
            False if this host does not lead the domain.
        """
        writer = self.by_domain[domain].handover
        if writer is None:
            return False
        writer.propose(changes)
        return True

    def status(self) -> dict[str, typing.Any]:
        """Return leaders, gates and broken invariants, ready for JSON."""
        now = anyio.current_time()
        return {
            "host": self._me.name,
            "instance": self._me.instance,
            "state": self.chart.state,
            "leaving": self.chart.state != "active",
            "domains": {
                domain: {
                    "leader": one.leader,
                    "lease": one.chart.state,
                    "state": _domain_state(one),
                    "servers": _server_states(one),
                    "leads": one.leadership is not None
                    and one.leadership.may_act(now),
                    "term": list(self.gates.view(domain).known_term),
                    "gates": self.gates.held(domain, now),
                    "steps": len(list(self.gates.view(domain).steps)),
                }
                for domain, one in self.by_domain.items()
            },
            "violations": dict(self.checks.violations_by_name),
        }

    def _follow_host(self, leaves: bool) -> None:
        now = anyio.current_time()
        state = self.chart.state
        holds = any(self.gates.held(name, now) for name in self.by_domain)
        event = ""
        if leaves == (state == "active"):
            event = "leave" if leaves else "return"
        elif state != "active" and holds == (state == "forwarding"):
            event = "gate named" if holds else "gates given up"
        if not event:
            return
        self.checks.check(
            "chart-host",
            self.chart.send(event),
            f"{self._me.name}: {event} in state {state}",
        )
        LOG.info("gate: host %s is %s", self._me.name, self.chart.state)

    def _note_state(self) -> None:
        self.gates.note_state(anyio.current_time())
        host = self._state.hosts_by_name.get(self._me.name)
        leaves = self._leaves or (host is not None and host.state == "leaving")
        for one in self.by_domain.values():
            one.set_leaving(leaves)
        self._follow_host(leaves)


def _domain_state(one: driver.Driver) -> str:
    return one.leadership.chart.state if one.leadership else ""


def _server_states(one: driver.Driver) -> dict[str, str]:
    if one.leadership is None:
        return {}
    return {
        name: gate.chart.state
        for name, gate in one.leadership.gates_by_server.items()
    }
