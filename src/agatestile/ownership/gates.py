"""Gates: which servers this host may send requests to, and until when."""

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

REFUSE_AFTER = 2.0
"""Seconds after which a gate refuses requests for a server or domain that it
saw leave. The bound is 3 s, so 1 s remains for reading the log."""


class _HeldGate(typing.NamedTuple):
    """A gate that the last accepted heartbeat reply granted."""

    fence: str
    stamp: float
    domain: str
    running: int
    warm_incarnation: str


class _DomainView:
    """Term, routes and steps that the leaders of a domain reported."""

    def __init__(self) -> None:
        self.known_term = terms.NO_TERM
        self.route_term = terms.NO_TERM
        self.route_sequence = -1
        self.warm_incarnations: dict[str, str] = {}
        self.steps = succession.Steps()


class GateTable:
    """The gates that this host holds, by server.

    Parameters
    ----------
    state : cluster.ClusterState
        This host's copy of the state.
    timing : terms.Timing
        Durations of leases.
    checks : invariants.Invariants
        Counts violations of invariants.
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
        self._held_by_server: dict[str, _HeldGate] = {}
        self._fence_by_server: dict[str, str] = {}
        self._view_by_domain: dict[str, _DomainView] = {}
        self._released = permits.ReleasedRanges(state)
        self._running_by_position: dict[tuple[str, int], int] = {}
        self._leaving_since: dict[tuple[str, str], float] = {}

    def view(self, domain: str) -> _DomainView:
        """Return the view of a domain, created empty on first use."""
        return self._view_by_domain.setdefault(domain, _DomainView())

    def held(self, domain: str, now: float) -> dict[str, str]:
        """Return the fences of the gates held in a domain, by server."""
        return {
            server: held_gate.fence
            for server, held_gate in self._held_by_server.items()
            if held_gate.domain == domain and now < self._lease_end(held_gate)
        }

    def granted_warm_incarnation(self, server: str) -> str:
        """Return the warm incarnation in a gate's grant, empty for none."""
        held_gate = self._held_by_server.get(server)
        return held_gate.warm_incarnation if held_gate is not None else ""

    def note_term(self, domain: str, term: records.Term) -> bool:
        """Record a leader's term; return False if a higher one is known."""
        view = self.view(domain)
        if term < view.known_term:
            return False
        view.known_term = term
        return True

    def apply_reply(
        self, domain: str, reply: ttypes.HeartbeatReply
    ) -> ttypes.RouteView | None:
        """Apply a reply to this host's heartbeat.

        A reply of a host that does not lead, or whose term is lower than
        the highest known one, changes nothing.

        Returns
        -------
        ttypes.RouteView or None
            The domain's route view if the reply contains one.
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
        self._replace_grants(domain, grants, reply.stamp)
        return reply.view

    def _replace_grants(
        self, domain: str, grants: dict[str, ttypes.GateGrant], stamp: float
    ) -> None:
        for server, held_gate in list(self._held_by_server.items()):
            if held_gate.domain == domain and server not in grants:
                del self._held_by_server[server]
        for server, grant in grants.items():
            if self._fence_by_server.get(server) != grant.fence:
                self._release_open_intents(server)
                self._fence_by_server[server] = grant.fence
            self._held_by_server[server] = _HeldGate(
                grant.fence,
                stamp,
                domain,
                grant.running or 0,
                grant.warm_incarnation or "",
            )

    def _release_open_intents(self, server: str) -> None:
        """Release the ranges that an earlier gate may have released.

        A new gate cannot know whether the earlier one released a range
        with an open Intent, and the Assign may already be in the log.
        """
        row = self._state.table.servers_by_name.get(server)
        if row is not None:
            self._released.add_open_intents(row.service)

    def permit(
        self, server: str, position: int, now: float
    ) -> permits.Permit | outcomes.Refusal:
        """Return a permit to send a request for a position to a server.

        Call it immediately before the request is sent: the process may
        have been paused since an earlier call.
        """
        held_gate = self._held_by_server.get(server)
        row = self._state.table.servers_by_name.get(server)
        if held_gate is None or row is None:
            return permits.refuse(codes.ResultCode.NOT_GATE, server)
        expires = self._lease_end(held_gate)
        if now >= expires:
            return permits.refuse(codes.ResultCode.LEASE_LAPSED, server)
        if self._is_out_of_service(row, now):
            return permits.refuse(codes.ResultCode.DOMAIN_OUT, server)
        if self.owner_of(row.service, position) != server:
            return permits.refuse(codes.ResultCode.NO_OWNER, server)
        if self._released.covers(row.service, position):
            return permits.refuse(codes.ResultCode.RANGE_MOVING, server)
        if not 0 <= now - held_gate.stamp < self._timing.serve_lease:
            detail = f"{server} at {position}, stamp {held_gate.stamp}"
            self._checks.check("gate-permits-in-lease", False, detail)
            return permits.refuse(codes.ResultCode.LEASE_LAPSED, server)
        return permits.Permit(
            server,
            held_gate.fence,
            expires,
            row.service,
            position,
            held_gate.running,
            held_gate.warm_incarnation,
        )

    def enter(
        self, server: str, position: int, now: float
    ) -> permits.Permit | outcomes.Refusal:
        """Return a permit and count the request as running.

        The range of the position is not reported as released until `leave`
        is called for the permit.
        """
        permit = self.permit(server, position, now)
        if isinstance(permit, permits.Permit):
            key = (permit.service, position)
            self._running_by_position[key] = (
                self._running_by_position.get(key, 0) + 1
            )
        return permit

    def leave(self, permit: permits.Permit) -> None:
        """Stop counting a request that `enter` permitted."""
        key = (permit.service, permit.position)
        self._running_by_position[key] -= 1
        if not self._running_by_position[key]:
            del self._running_by_position[key]

    def check(
        self, permit: permits.Permit, now: float
    ) -> permits.Permit | outcomes.Refusal:
        """Check the permit of a counted request before it is sent.

        Requests that `enter` permitted before the release of their range
        began still run.
        """
        held_gate = self._held_by_server.get(permit.server)
        if held_gate is None or held_gate.fence != permit.fence:
            return permits.refuse(codes.ResultCode.NOT_GATE, permit.server)
        expires = self._lease_end(held_gate)
        if now >= expires:
            return permits.refuse(codes.ResultCode.LEASE_LAPSED, permit.server)
        return permit._replace(expires=expires)

    def owner_of(self, service: str, position: int) -> str:
        """Return the server that owns a position, or an empty string."""
        range_map = self._state.ranges_by_service.get(service)
        if range_map is None:
            return ""
        current = range_map.find(position)
        domain = self._state.table.domain_of(current.server)
        view = self._view_by_domain.get(domain)
        if view is None:
            return current.server
        return view.steps.owner_of(self._state, service, current, position)

    def released(self) -> list[permits.Reference]:
        """Return the released ranges in which no request is running."""
        return [
            reference
            for reference in self._released
            if not any(
                service == reference.service
                and reference.start <= position < reference.end
                for service, position in self._running_by_position
            )
        ]

    def update_leaving(self, now: float) -> None:
        """Record since when servers and domains have been leaving."""
        leaving = {
            ("server", row.server)
            for row in self._state.table.servers_by_name.values()
            if row.state == "leaving"
        } | {
            ("domain", name)
            for name, domain in self._state.domains_by_name.items()
            if domain.state == "out"
        }
        self._leaving_since = {
            key: self._leaving_since.get(key, now) for key in leaving
        }

    def _lease_end(self, held_gate: _HeldGate) -> float:
        return held_gate.stamp + self._timing.serve_lease

    def _is_out_of_service(self, row: records.TableRow, now: float) -> bool:
        if not self._leaving_since:
            return False
        return any(
            now >= self._leaving_since.get(key, now + 1) + REFUSE_AFTER
            for key in (("server", row.server), ("domain", row.domain))
        )
