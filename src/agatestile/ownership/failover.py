"""Replacement of lost owners by successors."""

from __future__ import annotations

import logging
import typing

from agatestile.ownership import succession
from agatestile.results import codes

if typing.TYPE_CHECKING:
    from agatestile.ownership import gate_records
    from agatestile.ownership import leadership

LOG = logging.getLogger(__name__)


class Failover:
    """Steps ranges to successors and prunes steps that the log shows.

    Parameters
    ----------
    leader : leadership.Leadership
        The leadership whose gates and steps are used.
    """

    def __init__(self, leader: leadership.Leadership) -> None:
        self._leader = leader
        self._stepped_inputs: tuple[typing.Any, ...] = ()
        self._pruned_inputs: tuple[typing.Any, ...] = ()

    def decide(self, now: float) -> None:
        """Step the ranges of lost servers and prune confirmed steps."""
        self._step_lost_servers(now)
        self._prune_steps()

    def _step_lost_servers(self, now: float) -> None:
        lost = [
            gate
            for gate in self._leader.gates_by_server.values()
            if gate.is_lost
        ]
        if not lost or self._leader.chart.state != "in":
            return
        live = frozenset(
            name
            for name, gate in self._leader.gates_by_server.items()
            if gate.lease.is_fresh(now) and gate.row.state == "active"
        )
        names = tuple(gate.row.server for gate in lost)
        settled_flags = tuple(
            self._leader.is_service_settled(gate.row.service) for gate in lost
        )
        inputs = (
            self._leader.state.offset,
            names,
            live,
            settled_flags,
            self._leader.steps.sequence,
        )
        if inputs == self._stepped_inputs or not self._leader.is_caught_up():
            return
        for gate, settled in zip(lost, settled_flags, strict=True):
            if settled:
                self._step_server(gate, live, now)
        self._stepped_inputs = (*inputs[:-1], self._leader.steps.sequence)

    def _step_server(
        self, gate: gate_records.GateRecord, live: frozenset[str], now: float
    ) -> None:
        name = gate.row.server
        planned = succession.plan_steps(
            self._leader.state, self._leader.steps, name, live
        )
        for step in planned:
            if not self._leader.checks.check(
                "owner-after-lapse",
                gate.lease.is_lapsed(now),
                f"{step} while {name} may still serve",
            ):
                return
            self._leader.steps.merge(step)
            LOG.info(
                "lead: %s %s [%d, %d) steps from %s to %s: owner is lost, "
                "result %d",
                self._leader.domain,
                step.service,
                step.start,
                step.end,
                name,
                step.server,
                codes.ResultCode.ANSWERED,
            )

    def _prune_steps(self) -> None:
        """Remove the steps that all hosts with gates read from the log."""
        holders = {
            gate.host for gate in self._leader.gates_by_server.values()
        } - {""}
        reached = min(
            [
                self._leader.hosts[name].offset
                for name in holders
                if name in self._leader.hosts
            ]
            + [self._leader.state.offset]
        )
        inputs = (reached, self._leader.steps.sequence)
        if inputs == self._pruned_inputs:
            return
        for step in list(self._leader.steps):
            range_map = self._leader.state.ranges_by_service.get(step.service)
            if range_map is None or all(
                step.version < current.version <= reached
                and current.version != current.intent
                for current in range_map.overlapping(step.start, step.end)
            ):
                self._leader.steps.remove(step)
        self._pruned_inputs = (reached, self._leader.steps.sequence)
