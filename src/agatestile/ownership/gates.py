"""Servers to which this host may send, and until when."""

from __future__ import annotations

import typing

from agatestile.ownership import permits
from agatestile.ownership import succession
from agatestile.ownership import terms
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.state import records

if typing.TYPE_CHECKING:
    from agatestile.observability import invariants
    from agatestile.state import cluster

STOP_AFTER = 2.0
"""Gates refuse work for a server that leaves this many seconds after they
saw the change, which leaves 1 s of the 3 s bound for reading the log."""


class _Holding(typing.NamedTuple):
    fence: str
    stamp: float
    domain: str
    running: int
    warm_incarnation: str


class _View:
    """What this host knows of one domain from its leaders."""

    def __init__(self) -> None:
        self.known_term = terms.NO_TERM
        self.route_term = terms.NO_TERM
        self.route_sequence = -1
        self.warm_incarnations: dict[str, str] = {}
        self.steps = succession.Steps()


class GateTable:
    """Gates that this host holds.

    Parameters
    ----------
    state : cluster.ClusterState
        The host's copy of the state.
    timing : terms.Timing
        Lengths of leases.
    checks : invariants.Invariants
        Counts broken invariants.
    """

    def __init__(
        self,
        state: cluster.ClusterState,
        timing: terms.Timing,
        checks: invariants.Invariants,
    ) -> None:
        self._state = state
        self._timing = timing
        self._checks = checks
        self._holdings: dict[str, _Holding] = {}
        self._fences: dict[str, str] = {}
        self._views: dict[str, _View] = {}
        self._released = permits.ReleasedRanges(state)
        self._running: dict[tuple[str, int], int] = {}
        self._left_since: dict[tuple[str, str], float] = {}

    def view(self, domain: str) -> _View:
        """Return what is known of a domain."""
        return self._views.setdefault(domain, _View())

    def held(self, domain: str, now: float) -> dict[str, str]:
        """Return the fences of the gates held in a domain, by server."""
        return {
            server: holding.fence
            for server, holding in self._holdings.items()
            if holding.domain == domain and now < self._end_of(holding)
        }

    def granted_warm_incarnation(self, server: str) -> str:
        """Return the incarnation that the grant of a gate calls warm."""
        holding = self._holdings.get(server)
        return holding.warm_incarnation if holding is not None else ""

    def note_term(self, domain: str, term: records.Term) -> bool:
        """Take a term that was heard of; False if a higher one is known."""
        view = self.view(domain)
        if term < view.known_term:
            return False
        view.known_term = term
        return True

    def apply_reply(
        self, domain: str, reply: ttypes.HeartbeatReply
    ) -> ttypes.RouteView | None:
        """Take the answer of a domain's leader.

        Returns
        -------
        ttypes.RouteView or None
            The domain's view if it changed.
        """
        term = terms.from_thrift(reply.term)
        if not reply.leads or not self.note_term(domain, term):
            return None
        view = self.view(domain)
        if reply.view is not None:
            view.route_term = terms.from_thrift(reply.view.term)
            view.route_sequence = reply.view.sequence
            view.warm_incarnations = {
                gate.server: gate.warm_incarnation or ""
                for gate in reply.view.gates or ()
            }
            view.steps.replace(
                succession.Step.from_thrift(step)
                for step in reply.view.steps or ()
            )
        if view.route_term != term:
            return None
        for reference in reply.release or ():
            self._released.add(permits.Reference.from_thrift(reference))
        grants = {grant.server: grant for grant in reply.grants or ()}
        self._take_grants(domain, grants, reply.stamp)
        return reply.view

    def _take_grants(
        self, domain: str, grants: dict[str, ttypes.GateGrant], stamp: float
    ) -> None:
        for server, holding in list(self._holdings.items()):
            if holding.domain == domain and server not in grants:
                del self._holdings[server]
        for server, grant in grants.items():
            if self._fences.get(server) != grant.fence:
                self._take_over(server)
                self._fences[server] = grant.fence
            self._holdings[server] = _Holding(
                grant.fence,
                stamp,
                domain,
                grant.running or 0,
                grant.warm_incarnation or "",
            )

    def _take_over(self, server: str) -> None:
        """Release ranges that an earlier gate of the server may have.

        A new gate cannot know whether the earlier one released a range
        with an open Intent, and the Assign may already be in the log.
        """
        row = self._state.table.servers_by_name.get(server)
        if row is not None:
            self._released.add_open_intents(row.service)

    def permit(
        self, server: str, position: int, now: float
    ) -> permits.Permit | outcomes.Refusal:
        """Return leave to send a request for a position to a server.

        To be asked immediately before the request is sent, since the
        process may have been paused after an earlier answer.
        """
        holding = self._holdings.get(server)
        row = self._state.table.servers_by_name.get(server)
        if holding is None or row is None:
            return permits.refuse(codes.ResultCode.NOT_GATE, server)
        expires = self._end_of(holding)
        if now >= expires:
            return permits.refuse(codes.ResultCode.LEASE_LAPSED, server)
        if self._is_stopped(row, now):
            return permits.refuse(codes.ResultCode.DOMAIN_OUT, server)
        if self.owner_of(row.service, position) != server:
            return permits.refuse(codes.ResultCode.NO_OWNER, server)
        if self._released.covers(row.service, position):
            return permits.refuse(codes.ResultCode.RANGE_MOVING, server)
        if not 0 <= now - holding.stamp < self._timing.serve_lease:
            detail = f"{server} at {position}, stamp {holding.stamp}"
            self._checks.check("gate-permits-in-lease", False, detail)
            return permits.refuse(codes.ResultCode.LEASE_LAPSED, server)
        return permits.Permit(
            server,
            holding.fence,
            expires,
            row.service,
            position,
            holding.running,
            holding.warm_incarnation,
        )

    def enter(
        self, server: str, position: int, now: float
    ) -> permits.Permit | outcomes.Refusal:
        """Return a permit and count the request until it leaves.

        The range of the position is not reported as released before then.
        """
        permit = self.permit(server, position, now)
        if isinstance(permit, permits.Permit):
            key = (permit.service, position)
            self._running[key] = self._running.get(key, 0) + 1
        return permit

    def leave(self, permit: permits.Permit) -> None:
        """Count the end of a request that entered."""
        key = (permit.service, permit.position)
        self._running[key] -= 1
        if not self._running[key]:
            del self._running[key]

    def check(
        self, permit: permits.Permit, now: float
    ) -> permits.Permit | outcomes.Refusal:
        """Check a request that entered, immediately before it is sent.

        A range that is being released still serves the requests that
        entered before.
        """
        holding = self._holdings.get(permit.server)
        if holding is None or holding.fence != permit.fence:
            return permits.refuse(codes.ResultCode.NOT_GATE, permit.server)
        expires = self._end_of(holding)
        if now >= expires:
            return permits.refuse(codes.ResultCode.LEASE_LAPSED, permit.server)
        return permit._replace(expires=expires)

    def owner_of(self, service: str, position: int) -> str:
        """Return the server that owns a position, empty for none."""
        range_map = self._state.ranges_by_service.get(service)
        if range_map is None:
            return ""
        current = range_map.find(position)
        domain = self._state.table.domain_of(current.server)
        view = self._views.get(domain)
        if view is None:
            return current.server
        return view.steps.owner_of(self._state, service, current, position)

    def released(self) -> list[permits.Reference]:
        """Return the released ranges in which no request runs any more."""
        return [
            reference
            for reference in self._released
            if not any(
                service == reference.service
                and reference.start <= position < reference.end
                for service, position in self._running
            )
        ]

    def note_state(self, now: float) -> None:
        """Note since when servers and domains are leaving."""
        leaving = {
            ("server", row.server)
            for row in self._state.table.servers_by_name.values()
            if row.state == "leaving"
        } | {
            ("domain", name)
            for name, domain in self._state.domains_by_name.items()
            if domain.state == "out"
        }
        self._left_since = {
            key: self._left_since.get(key, now) for key in leaving
        }

    def _end_of(self, holding: _Holding) -> float:
        return holding.stamp + self._timing.serve_lease

    def _is_stopped(self, row: records.TableRow, now: float) -> bool:
        if not self._left_since:
            return False
        return any(
            now >= self._left_since.get(key, now + 1) + STOP_AFTER
            for key in (("server", row.server), ("domain", row.domain))
        )
