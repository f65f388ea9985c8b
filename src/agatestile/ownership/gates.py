"""Servers to which this host may send, and until when."""

from __future__ import annotations

import typing

from agatestile.ownership import succession
from agatestile.ownership import terms
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.state import ranges
from agatestile.state import records

if typing.TYPE_CHECKING:
    from agatestile.observability import invariants
    from agatestile.state import cluster

STOP_AFTER = 2.0
"""Gates refuse work for a server that leaves this many seconds after they
saw the change, which leaves 1 s of the 3 s bound for reading the log."""


class Permit(typing.NamedTuple):
    """Leave to send one request to a server.

    Attributes
    ----------
    server : str
        The server.
    fence : str
        Fencing token for the request.
    expires : float
        End of the gate's lease on the runtime's clock, seconds.
    service : str
        Service of the server.
    position : int
        Position of the request's key.
    """

    server: str
    fence: str
    expires: float
    service: str
    position: int


class Reference(typing.NamedTuple):
    """A range that a gate has to release, or has released."""

    service: str
    start: int
    end: int
    version: int

    @classmethod
    def from_thrift(cls, reference: ttypes.RangeReference) -> Reference:
        """Return the reference in a message."""
        return cls(
            reference.service_name,
            reference.start,
            reference.end,
            reference.version,
        )

    def to_thrift(self) -> ttypes.RangeReference:
        """Return the form used in messages."""
        return ttypes.RangeReference(*self)


class _Holding(typing.NamedTuple):
    fence: str
    stamp: float
    domain: str


class _View:
    """What this host knows of one domain from its leaders."""

    def __init__(self) -> None:
        self.known_term = terms.NO_TERM
        self.route_term = terms.NO_TERM
        self.route_sequence = -1
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
        self._released: set[Reference] = set()
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
            view.steps.replace(
                succession.Step.from_thrift(step)
                for step in reply.view.steps or ()
            )
        if view.route_term != term:
            return None
        for reference in reply.release or ():
            self._released.add(Reference.from_thrift(reference))
        grants = {grant.server: grant.fence for grant in reply.grants or ()}
        self._take_grants(domain, grants, reply.stamp)
        return reply.view

    def _take_grants(
        self, domain: str, grants: dict[str, str], stamp: float
    ) -> None:
        for server, holding in list(self._holdings.items()):
            if holding.domain == domain and server not in grants:
                del self._holdings[server]
        for server, fence in grants.items():
            if self._fences.get(server) != fence:
                self._release_open_intents(server)
                self._fences[server] = fence
            self._holdings[server] = _Holding(fence, stamp, domain)

    def _release_open_intents(self, server: str) -> None:
        """Release ranges that an earlier gate of the server may have.

        A new gate cannot know whether the earlier one released a range
        with an open Intent, and the Assign may already be in the log.
        """
        row = self._state.table.servers_by_name.get(server)
        if row is None:
            return
        for current in self._state.ranges_by_service[row.service]:
            if current.intent != ranges.NO_INTENT:
                self._released.add(
                    Reference(
                        row.service,
                        current.start,
                        current.end,
                        current.version,
                    )
                )

    def permit(
        self, server: str, position: int, now: float
    ) -> Permit | outcomes.Refusal:
        """Return leave to send a request for a position to a server.

        To be asked immediately before the request is sent, since the
        process may have been paused after an earlier answer.
        """
        holding = self._holdings.get(server)
        row = self._state.table.servers_by_name.get(server)
        if holding is None or row is None:
            return _refuse(codes.ResultCode.NOT_GATE, server)
        expires = self._end_of(holding)
        if now >= expires:
            return _refuse(codes.ResultCode.LEASE_LAPSED, server)
        if self._is_stopped(row, now):
            return _refuse(codes.ResultCode.DOMAIN_OUT, server)
        if self.owner_of(row.service, position) != server:
            return _refuse(codes.ResultCode.NO_OWNER, server)
        if self._is_released(row.service, position):
            return _refuse(codes.ResultCode.RANGE_MOVING, server)
        if not self._checks.check(
            "gate-permits-in-lease",
            0 <= now - holding.stamp < self._timing.serve_lease,
            f"{server} at {position}, stamp {holding.stamp}, now {now}",
        ):
            return _refuse(codes.ResultCode.LEASE_LAPSED, server)
        return Permit(server, holding.fence, expires, row.service, position)

    def enter(
        self, server: str, position: int, now: float
    ) -> Permit | outcomes.Refusal:
        """Return a permit and count the request until it leaves.

        The range of the position is not reported as released before then.
        """
        permit = self.permit(server, position, now)
        if isinstance(permit, Permit):
            key = (permit.service, position)
            self._running[key] = self._running.get(key, 0) + 1
        return permit

    def leave(self, permit: Permit) -> None:
        """Count the end of a request that entered."""
        key = (permit.service, permit.position)
        self._running[key] -= 1
        if not self._running[key]:
            del self._running[key]

    def check(self, permit: Permit, now: float) -> Permit | outcomes.Refusal:
        """Check a request that entered, immediately before it is sent.

        A range that is being released still serves the requests that
        entered before.
        """
        holding = self._holdings.get(permit.server)
        if holding is None or holding.fence != permit.fence:
            return _refuse(codes.ResultCode.NOT_GATE, permit.server)
        expires = self._end_of(holding)
        if now >= expires:
            return _refuse(codes.ResultCode.LEASE_LAPSED, permit.server)
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

    def released(self) -> list[Reference]:
        """Return the released ranges in which no request runs any more."""
        self._forget_moved()
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
        return any(
            now >= self._left_since.get(key, now + 1) + STOP_AFTER
            for key in (("server", row.server), ("domain", row.domain))
        )

    def _is_released(self, service: str, position: int) -> bool:
        if not self._released:
            return False
        version = self._state.ranges_by_service[service].find(position).version
        return any(
            reference.service == service
            and reference.start <= position < reference.end
            and reference.version >= version
            for reference in self._released
        )

    def _forget_moved(self) -> None:
        for reference in list(self._released):
            range_map = self._state.ranges_by_service.get(reference.service)
            if range_map is None or all(
                current.version > reference.version
                for current in range_map.overlapping(
                    reference.start, reference.end
                )
            ):
                self._released.discard(reference)


def _refuse(code: codes.ResultCode, server: str) -> outcomes.Refusal:
    reasons = {
        codes.ResultCode.NOT_GATE: "this host is not the gate",
        codes.ResultCode.LEASE_LAPSED: "the gate's lease has ended",
        codes.ResultCode.DOMAIN_OUT: "the server or its domain leaves",
        codes.ResultCode.NO_OWNER: "the server does not own the position",
        codes.ResultCode.RANGE_MOVING: "the range is being moved",
    }
    return outcomes.Refusal(code, f"{server}: {reasons[code]}")
