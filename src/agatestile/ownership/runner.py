"""Runs the drivers of one host for all failure domains."""

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
    """Runs a host's heartbeats, elections, leaderships and gates.

    Parameters
    ----------
    local_host : driver.LocalHost
        This host.
    domains : iterable of str
        All failure domains.
    state : cluster.ClusterState
        This host's copy of the state, which the log's follower updates.
    dependencies : ports.Ports
        Interfaces to servers, peers, the log and the daemon.
    timing : terms.Timing, optional
        Durations of leases.
    checks : invariants.Invariants, optional
        Counts violations of invariants.

    Attributes
    ----------
    gates : gates.GateTable
        Gates that this host holds.
    checks : invariants.Invariants
        Counts violations of invariants.
    by_domain : dict of str to driver.Driver
        Drivers, by failure domain.
    chart : interpreter.StatechartRun
        State of the host.
    """

    def __init__(
        self,
        local_host: driver.LocalHost,
        domains: collections.abc.Iterable[str],
        state: cluster.ClusterState,
        dependencies: ports.Ports,
        timing: terms.Timing | None = None,
        checks: invariants.Invariants | None = None,
    ) -> None:
        self.checks = checks or invariants.Invariants()
        self._local_host = local_host
        self._state = state
        self._is_leaving = False
        self.chart = interpreter.StatechartRun("host")
        self._timing = timing or terms.Timing()
        self.gates = gates.GateTable(state, self._timing, self.checks)
        self.by_domain = {
            domain: driver.Driver(
                domain,
                local_host,
                state,
                self.gates,
                dependencies,
                self._timing,
                self.checks,
            )
            for domain in domains
        }

    async def run(self) -> None:
        """Run all drivers until cancelled."""
        async with anyio.create_task_group() as tasks:
            for domain_driver in self.by_domain.values():
                tasks.start_soon(domain_driver.run)
            while True:
                self._update_leaving()
                await anyio.sleep(self._timing.heartbeat_interval)

    def leave(self) -> None:
        """Give up gates and leaderships before the process ends."""
        self._is_leaving = True
        self._update_leaving()

    def on_heartbeat(
        self, heartbeat: ttypes.Heartbeat
    ) -> ttypes.HeartbeatReply:
        """Return the reply to a host's heartbeat, as leader or not."""
        domain_driver = self.by_domain.get(heartbeat.domain)
        if domain_driver is None:
            return leadership.refuse_heartbeat(heartbeat, "")
        return domain_driver.on_heartbeat(heartbeat)

    def on_announce(self, domain: str, term: ttypes.Term, host: str) -> None:
        """Send a heartbeat at once to a host that announces that it leads."""
        domain_driver = self.by_domain.get(domain)
        if domain_driver is None or host == self._local_host.name:
            return
        if self.gates.note_term(domain, terms.from_thrift(term)):
            domain_driver.wake(host)

    def propose(
        self,
        domain: str,
        changes: collections.abc.Iterable[records.RangeChange],
    ) -> bool:
        """Propose moves of a domain's ranges.

        Returns
        -------
        bool
            False if this host does not lead the domain.
        """
        range_moves = self.by_domain[domain].handover
        if range_moves is None:
            return False
        range_moves.propose(changes)
        return True

    def status(self) -> dict[str, typing.Any]:
        """Return leaders, gates and violations of invariants, for JSON."""
        now = anyio.current_time()
        return {
            "host": self._local_host.name,
            "instance": self._local_host.instance,
            "state": self.chart.state,
            "leaving": self.chart.state != "active",
            "domains": {
                domain: {
                    "leader": domain_driver.leader,
                    "lease": domain_driver.chart.state,
                    "state": _domain_state(domain_driver),
                    "servers": _server_states(domain_driver),
                    "leads": domain_driver.leadership is not None
                    and domain_driver.leadership.may_act(now),
                    "term": list(self.gates.view(domain).known_term),
                    "gates": self.gates.held(domain, now),
                    "steps": len(list(self.gates.view(domain).steps)),
                }
                for domain, domain_driver in self.by_domain.items()
            },
            "violations": dict(self.checks.violations_by_name),
        }

    def _update_chart(self, is_leaving: bool) -> None:
        now = anyio.current_time()
        state = self.chart.state
        holds = any(self.gates.held(name, now) for name in self.by_domain)
        event = ""
        if is_leaving == (state == "active"):
            event = "leave" if is_leaving else "return"
        elif state != "active" and holds == (state == "forwarding"):
            event = "gate named" if holds else "gates given up"
        if not event:
            return
        self.checks.check(
            "chart-host",
            self.chart.send(event),
            f"{self._local_host.name}: {event} in state {state}",
        )
        LOG.info(
            "gate: host %s is %s", self._local_host.name, self.chart.state
        )

    def _update_leaving(self) -> None:
        self.gates.update_leaving(anyio.current_time())
        host = self._state.hosts_by_name.get(self._local_host.name)
        is_leaving = self._is_leaving or (
            host is not None and host.state == "leaving"
        )
        for domain_driver in self.by_domain.values():
            domain_driver.set_leaving(is_leaving)
        self._update_chart(is_leaving)


def _domain_state(domain_driver: driver.Driver) -> str:
    return (
        domain_driver.leadership.chart.state
        if domain_driver.leadership
        else ""
    )


def _server_states(domain_driver: driver.Driver) -> dict[str, str]:
    if domain_driver.leadership is None:
        return {}
    return {
        name: gate.chart.state
        for name, gate in domain_driver.leadership.gates_by_server.items()
    }
