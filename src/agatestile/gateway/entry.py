"""Routes requests to the gate on this host or on another host."""

from __future__ import annotations

import typing

import anyio

from agatestile.gateway import clock
from agatestile.gateway import servers
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.gateway import calls
    from agatestile.gateway import forwarding
    from agatestile.gateway import ports
    from agatestile.limits import budget
    from agatestile.observability import invariants
    from agatestile.routing import router as routing
    from agatestile.state import records

    RecorderFactory = collections.abc.Callable[
        [str], collections.abc.Callable[[int], None]
    ]

LEAVING_GRACE_SECONDS = 1.5
"""Time for which a gate still accepts requests for a server that is leaving
or whose failure domain is out, while its ranges move. The record of the
change reaches a host within 0.5 s, so the bound of 3 s is kept (section 1.1
of docs/design.md)."""

REROUTE_TIMEOUT_SECONDS = 0.5
REROUTE_POLL_SECONDS = 0.02
"""Time to wait for a changed route after a refusal, and the interval of the
checks."""

_CODES = codes.ResultCode
_REROUTABLE_CODES = frozenset(
    (
        _CODES.NO_GATE,
        _CODES.NOT_GATE,
        _CODES.LEASE_LAPSED,
        _CODES.RANGE_MOVING,
        _CODES.SHUTTING_DOWN,
    )
)
"""Codes of refusals after which another host may be the gate."""


class Gates:
    """Gates of the servers that this host sends to.

    Parameters
    ----------
    state : ports.State
        The replicated state.
    permits : ports.Permits
        Leases under which this host may send to servers.
    retries : budget.RetryBudget
        Retry budget of this daemon.
    checks : invariants.Invariants
        Counts violated invariants.

    Attributes
    ----------
    by_server : dict of str to servers.ServerGate
        Gates by name of their server.
    request_recorder : callable or None
        Returns, for a server, what is called with the position of each
        request to it.
    """

    def __init__(
        self,
        state: ports.State,
        permits: ports.Permits,
        retries: budget.RetryBudget,
        checks: invariants.Invariants,
    ) -> None:
        self._state = state
        self._permits = permits
        self._retries = retries
        self._checks = checks
        self.by_server: dict[str, servers.ServerGate] = {}
        self.request_recorder: RecorderFactory | None = None
        self._leaving_since: dict[str, float] = {}
        self._offset = -1

    async def handle(
        self, call: calls.Call, route: routing.Route
    ) -> outcomes.Refusal | None:
        """Send a request to its server as the gate of that server."""
        now = clock.now()
        refusal = self._refuse_leaving(route, now)
        if refusal is not None:
            return refusal
        gate = self._get_gate(route.server, call.service)
        if gate is None:
            return outcomes.Refusal(
                _CODES.NO_OWNER, f"server {route.server} is not in the table"
            )
        return await gate.handle(call, now)

    def sweep(self, now: float) -> None:
        """Update the leaving servers and close idle connections."""
        if self._state.offset != self._offset:
            self._offset = self._state.offset
            self._update_leaving(now)
        for gate in self.by_server.values():
            gate.sweep(now)

    def _get_gate(
        self, server: str, service: records.TableRow | None
    ) -> servers.ServerGate | None:
        table = self._state.table
        row = table.servers_by_name.get(server)
        if row is None:
            return None
        if service is None or service.service != row.service:
            service = table.services_by_name[row.service]
        gate = self.by_server.get(server)
        if gate is None:
            gate = servers.ServerGate(
                row, service, self._permits, self._retries, self._checks
            )
            if self.request_recorder is not None:
                gate.on_request = self.request_recorder(server)
            self.by_server[server] = gate
        gate.update_rows(row, service)
        return gate

    def _update_leaving(self, now: float) -> None:
        domains = self._state.domains_by_name
        leaving = {
            row.server
            for row in self._state.table.servers_by_name.values()
            if row.state == "leaving"
            or (row.domain in domains and domains[row.domain].state == "out")
        }
        self._leaving_since = {
            server: self._leaving_since.get(server, now) for server in leaving
        }

    def _refuse_leaving(
        self, route: routing.Route, now: float
    ) -> outcomes.Refusal | None:
        if not self._leaving_since:
            return None
        since = self._leaving_since.get(route.server)
        if since is None or now - since < LEAVING_GRACE_SECONDS:
            return None
        return outcomes.Refusal(
            _CODES.DOMAIN_OUT,
            f"server {route.server} is leaving or its failure domain is out",
        )


class Entry:
    """Finds the gate of each request and forwards the request to it.

    Parameters
    ----------
    host : str
        Name of this host.
    router : ports.Router
        Looks up the owner and the gate of a key.
    gates : Gates
        Gates on this host.
    forwarder : forwarding.Forwarder
        Sends requests to gates on other hosts.
    retries : budget.RetryBudget
        Retry budget of this daemon.
    """

    def __init__(
        self,
        host: str,
        router: ports.Router,
        gates: Gates,
        forwarder: forwarding.Forwarder,
        retries: budget.RetryBudget,
    ) -> None:
        self._host = host
        self._router = router
        self._gates = gates
        self._forwarder = forwarder
        self._retries = retries

    async def handle(self, call: calls.Call) -> outcomes.Refusal | None:
        """Forward a caller's request to its gate, with at most one retry."""
        route = self._route(call)
        if isinstance(route, outcomes.Refusal):
            return route
        refusal = await self._dispatch(call, route, fresh_only=False)
        if refusal is None or not self._may_retry(call, refusal, route):
            return refusal
        if not self._retries.spend(clock.now()):
            return refusal._replace(
                reason=f"{refusal.reason}; the retry budget is spent"
            )
        new_route = await self._wait_for_route(call, route)
        if isinstance(new_route, outcomes.Refusal):
            return refusal
        return await self._dispatch(call, new_route, fresh_only=True)

    async def handle_as_gate(
        self, call: calls.Call
    ) -> outcomes.Refusal | None:
        """Handle a request that another host forwarded to this gate."""
        route = self._route(call)
        if isinstance(route, outcomes.Refusal):
            if route.code != _CODES.NO_GATE:
                return route
            return outcomes.Refusal(_CODES.NOT_GATE, route.reason)
        return await self._gates.handle(call, route)

    def _route(self, call: calls.Call) -> routing.Route | outcomes.Refusal:
        route = self._router.route(call.request.service, call.request.key)
        if not isinstance(route, outcomes.Refusal):
            call.position = route.position
            call.server = route.server
            call.gate = route.gate.host
        return route

    async def _dispatch(
        self, call: calls.Call, route: routing.Route, fresh_only: bool
    ) -> outcomes.Refusal | None:
        if route.gate.host == self._host:
            return await self._gates.handle(call, route)
        return await self._forwarder.handle(
            call, route.gate.forward_address, fresh_only
        )

    def _may_retry(
        self, call: calls.Call, refusal: outcomes.Refusal, route: routing.Route
    ) -> bool:
        if call.responded or not call.body.is_replayable:
            return False
        if codes.did_not_run(refusal.code):
            return refusal.code in _REROUTABLE_CODES
        # A gate on this host has already retried the request itself.
        return call.may_repeat and route.gate.host != self._host

    async def _wait_for_route(
        self, call: calls.Call, previous: routing.Route
    ) -> routing.Route | outcomes.Refusal:
        """Wait for a changed route, for half of the remaining time."""
        now = clock.now()
        give_up_at = now + min(
            REROUTE_TIMEOUT_SECONDS, (call.deadline - now) / 2.0
        )
        while True:
            route = self._route(call)
            is_changed = isinstance(route, outcomes.Refusal) or (
                (route.gate, route.fence) != (previous.gate, previous.fence)
            )
            if is_changed and not isinstance(route, outcomes.Refusal):
                return route
            if clock.now() >= give_up_at:
                return route
            await anyio.sleep(REROUTE_POLL_SECONDS)
