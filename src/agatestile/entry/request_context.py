"""Properties of one request, and the state that all requests share."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from agatestile.catalog import configuration
    from agatestile.catalog import tenants
    from agatestile.entry import fleet as fleet_module
    from agatestile.entry import header_port
    from agatestile.entry import picker as picker_module
    from agatestile.entry import refusals
    from agatestile.limits import budget as budget_module
    from agatestile.observability import counters
    from agatestile.results import codes
    from agatestile.transport import client
    from agatestile.transport import messages

DEFAULT_TIME_LEFT = 30.0
"""Time allowed for a request without a deadline, seconds."""

MAX_WAIT_RATIO = 1.2
"""Multiple of the latency objective within which a response has to be
expected for a request to be sent."""


class AssignmentWaiter(typing.Protocol):
    """Reports new assignments and counts requests by key."""

    async def wait_changed(self, timeout: float) -> bool:
        """Wait for a newer assignment; return whether one arrived."""

    def count(self, service: str, key: int) -> None:
        """Count a request for a key."""


class RequestContext(typing.NamedTuple):
    """Properties of a request that are fixed once its route is known.

    Attributes
    ----------
    request : messages.Request
        Request of the caller.
    caller_headers : header_port.CallerHeaders
        Parsed headers of the request.
    route : configuration.Route
        Route that matches the request.
    tenant : tenants.Tenant or None
        Tenant of the caller, None if the request needs none.
    service : str
        Service that the route selected.
    key : int or None
        Key, for services divided by key.
    priority : int
        Priority of the request; 0 is the highest.
    started : float
        Clock when the request arrived, seconds.
    deadline : float
        Clock when the response is due, or when the host stops, seconds.
    caller_deadline : float
        Clock when the response is due to the caller, seconds.
    forwarded_headers : messages.Headers
        Headers of the caller that are forwarded, and the one that names the
        tenant.
    """

    request: messages.Request
    caller_headers: header_port.CallerHeaders
    route: configuration.Route
    tenant: tenants.Tenant | None
    service: str
    key: int | None
    priority: int
    started: float
    deadline: float
    caller_deadline: float
    forwarded_headers: messages.Headers

    def acceptable_wait(self, now: float) -> float:
        """Return the longest acceptable time until a response, seconds.

        A response later than the objective is worth little, and a longer
        queue delays all later requests without raising the throughput.

        Parameters
        ----------
        now : float
            Clock of the event loop, seconds.
        """
        time_left = self.deadline - now
        objective = self.route.latency_objective
        if not objective:
            return min(time_left, DEFAULT_TIME_LEFT)
        return min(time_left, objective * MAX_WAIT_RATIO)


class SharedState(typing.Protocol):
    """State that all requests of a host share; `handler.Handler` is one."""

    now: typing.Callable[[], float]
    boot_time: typing.Callable[[], float]
    fleet: fleet_module.Fleet
    picker: picker_module.Picker
    assignments: AssignmentWaiter
    pool: client.Pool
    probe_pool: client.Pool
    header_format: header_port.HeaderFormat
    registry: counters.Registry

    def service(self, name: str) -> configuration.Service | None:
        """Return a configured service, None if it is unknown."""

    def budget(self, service: str) -> budget_module.RetryBudget:
        """Return the retry budget of a service."""

    def stop_refusal(
        self, route: configuration.Route, deadline: float
    ) -> refusals.RequestRefusal | None:
        """Return the refusal of a request that the stop may cut off, if so."""

    def identity_refusal(
        self, context: RequestContext
    ) -> refusals.RequestRefusal | None:
        """Return the refusal of a request whose API key has changed, if so."""

    def refuse(
        self,
        refusal: refusals.RequestRefusal,
        caller_headers: header_port.CallerHeaders,
        context: RequestContext | None,
        started: float,
        time_left: float,
        **fields: object,
    ) -> messages.Response:
        """Log a refusal and return its response."""

    def log_request(
        self,
        kind: str,
        code: codes.ResultCode,
        caller_headers: header_port.CallerHeaders,
        context: RequestContext | None,
        started: float,
        reason: str,
        **fields: object,
    ) -> None:
        """Count a finished request and write its line to the log."""
