"""Balancing of loads between the servers of a failure domain."""

from __future__ import annotations

import logging
import typing

from agatestile.ownership import load_reports
from agatestile.ownership import merging
from agatestile.ownership import reassignment
from agatestile.placement import planner
from agatestile.results import codes
from agatestile.state import records

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.ownership import handover
    from agatestile.ownership import leadership
    from agatestile.rpc.generated.agatestile_rpc import ttypes

LOG = logging.getLogger(__name__)

ROUND_INTERVAL = 10.0
"""Seconds between two comparisons of the loads (section 9 of
docs/design.md)."""

SETTLE_TIME = 10.0
"""Seconds for which a service's ranges and gates must be unchanged before its
loads are compared: reports lag by up to 5 s, and the windows of the gates
need another 5 s to show a new range."""


class Rebalancer:
    """Proposes moves of ranges to balance the loads of a domain.

    A new leader does not know the moves of the earlier one. It proposes
    none until those moves no longer count against the budget and none of
    their ranges could return too early.

    Parameters
    ----------
    leader : leadership.Leadership
        The leadership whose domain is balanced.
    range_moves : handover.Handover
        Receives the proposed moves.
    now : float
        Start of the leadership, seconds.
    limits : planner.Limits, optional
        Limits on when and how much to move.
    """

    def __init__(
        self,
        leader: leadership.Leadership,
        range_moves: handover.Handover,
        now: float,
        limits: planner.Limits | None = None,
    ) -> None:
        self.reports = load_reports.LoadReports(leader)
        self._leader = leader
        self._range_moves = range_moves
        self._limits = limits or planner.Limits()
        self._budget = planner.MoveBudget(self._limits)
        self._planners: dict[str, planner.Planner] = {}
        self._merger = merging.Merger(leader.state)
        self._last_layouts: dict[str, tuple[typing.Any, ...]] = {}
        self._changed_at: dict[str, float] = {}
        wait = max(self._limits.window, self._limits.return_after)
        self._next_round = (
            now + wait - (self._limits.rounds - 1) * ROUND_INTERVAL
        )

    def record_loads(self, heartbeat: ttypes.Heartbeat, now: float) -> None:
        """Store the loads of a heartbeat that the leader accepted."""
        self.reports.record_loads(heartbeat, now)

    def tick(self, now: float) -> None:
        """Detect changes, and compare the loads when a round is due.

        Call it at each heartbeat interval, so that no change between two
        rounds is missed.
        """
        services = self._servers_by_service()
        for service, servers in services.items():
            self._detect_changes(service, servers, now)
        if now < self._next_round:
            return
        self._next_round = now + ROUND_INTERVAL
        self.reports.discard_old(now)
        if not self._may_propose(now):
            return
        for service, servers in services.items():
            if now >= self._changed_at[service] + SETTLE_TIME:
                self._run_round(service, servers, now)

    def _may_propose(self, now: float) -> bool:
        state = self._leader.state
        return (
            self._leader.may_act(now)
            and self._range_moves.is_registered()
            and not self._range_moves.has_proposals
            and state.domain(self._leader.domain).state == "in"
        )

    def _servers_by_service(self) -> dict[str, dict[str, int]]:
        """Return, by service, the weights of servers that can take ranges."""
        weights_by_service: dict[str, dict[str, int]] = {}
        for name, gate in sorted(self._leader.gates_by_server.items()):
            weights = weights_by_service.setdefault(gate.row.service, {})
            if gate.is_granted and gate.row.state == "active":
                weights[name] = gate.row.weight
        return weights_by_service

    def _detect_changes(
        self, service: str, servers: dict[str, int], now: float
    ) -> None:
        """Record when gates or ranges of a service change."""
        leader = self._leader
        layout = (
            tuple(
                (name, leader.gates_by_server[name].fence) for name in servers
            ),
            any(step.service == service for step in leader.steps),
            self._has_intent(service),
        )
        is_unsettled = any(layout[1:])
        if is_unsettled or layout != self._last_layouts.get(service):
            self._last_layouts[service] = layout
            self._changed_at[service] = now

    def _has_intent(self, service: str) -> bool:
        return any(
            change.service == service
            for intent in self._leader.state.intents.by_offset.values()
            if intent.domain == self._leader.domain
            for change in intent.changes
        )

    def _run_round(
        self, service: str, servers: dict[str, int], now: float
    ) -> None:
        plan = self._planners.get(service)
        if plan is None:
            plan = self._planners[service] = planner.Planner(
                service, self._limits, self._budget
            )
        owned = self.reports.owned(service, servers)
        hot_keys = self.reports.hot_keys(service)
        moves = plan.plan(now, servers, owned, hot_keys)
        if moves:
            changes = [self._change(move) for move in moves]
            self._log_moves(moves, servers, owned)
        else:
            changes = self._merger.plan(service, servers, owned, hot_keys)
            self._log_merges(changes)
        if changes:
            self._changed_at[service] = now
            self._range_moves.propose(changes)

    def _change(self, move: planner.Move) -> records.RangeChange:
        state = self._leader.state
        bases = tuple(
            current.version
            for current in state.ranges_by_service[move.service].overlapping(
                move.start, move.end
            )
        )
        row = state.table.servers_by_name[move.target]
        chooser = reassignment.OwnerChooser(state, move.service)
        return records.RangeChange(
            move.service,
            move.start,
            move.end,
            bases,
            move.target,
            chooser.successors(row),
        )

    def _log_moves(
        self,
        moves: collections.abc.Iterable[planner.Move],
        servers: collections.abc.Mapping[str, int],
        owned: collections.abc.Iterable[planner.OwnedRange],
    ) -> None:
        loads = dict.fromkeys(servers, 0.0)
        for current in owned:
            loads[current.server] += current.load
        mean = sum(loads.values()) / sum(servers.values())
        hottest = max(loads, key=lambda name: loads[name] / servers[name])
        for number, move in enumerate(moves, 1):
            LOG.info(
                "lead: %s %s [%d, %d) is to move from %s to %s: move %d "
                "since %s had %.2f times the mean of %.1f requests/s, "
                "result %d",
                self._leader.domain,
                move.service,
                move.start,
                move.end,
                move.source,
                move.target,
                number,
                hottest,
                loads[hottest] / servers[hottest] / mean,
                mean,
                codes.ResultCode.ANSWERED,
            )

    def _log_merges(
        self, changes: collections.abc.Iterable[records.RangeChange]
    ) -> None:
        for change in changes:
            LOG.info(
                "lead: %s %s [%d, %d) of %s is to be merged: %d ranges have "
                "little load, result %d",
                self._leader.domain,
                change.service,
                change.start,
                change.end,
                change.server,
                len(change.bases),
                codes.ResultCode.ANSWERED,
            )
