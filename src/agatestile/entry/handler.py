"""Entry point for the requests of callers."""

from __future__ import annotations

import math
import typing

from agatestile.balancing import split
from agatestile.catalog import configuration
from agatestile.entry import authentication
from agatestile.entry import exchange
from agatestile.entry import freshness
from agatestile.entry import picker as picker_module
from agatestile.entry import quota_check
from agatestile.entry import refusals
from agatestile.entry import request_context
from agatestile.entry import stopping
from agatestile.limits import budget
from agatestile.observability import events
from agatestile.results import codes
from agatestile.transport import client
from agatestile.transport import messages

if typing.TYPE_CHECKING:
    from agatestile.catalog import tenants
    from agatestile.entry import fleet as fleet_module
    from agatestile.entry import header_port
    from agatestile.observability import counters

SHUTDOWN_RETRY_AFTER = 0.2
"""Retry-after time of a host that stops, seconds: another host can take the
request, but while many hosts stop the caller may reach this one again."""

_CODES = codes.ResultCode


class Handler:
    """Responds to the requests of callers.

    Parameters
    ----------
    fleet : fleet.Fleet
        Known servers and the configuration.
    picker : picker.Picker
        Selects servers.
    assignments : AssignmentWaiter
        Reports new assignments and counts requests by key.
    pool : client.Pool
        Connections to servers.
    header_format : header_port.HeaderFormat
        Names and formats of headers.
    now : callable
        Clock of the event loop, seconds.
    registry : counters.Registry
        Counts requests and attempts.
    configuration_confirmed_at : callable
        Returns the latest time at which the configuration in force was
        certainly the newest one, seconds.
    boot_time : callable, optional
        Clock that includes the time of a suspension, seconds; `now` by
        default. The window of the retry budget is in time that passes for
        all hosts.
    quotas : quota_check.QuotaCheck, optional
        Quotas of tenants on this host.

    Attributes
    ----------
    stop_schedule : stopping.StopSchedule
        When the host stops; `stopping.NOT_STOPPING` unless it shuts down.
    """

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        picker: picker_module.Picker,
        assignments: request_context.AssignmentWaiter,
        pool: client.Pool,
        header_format: header_port.HeaderFormat,
        now: typing.Callable[[], float],
        registry: counters.Registry,
        configuration_confirmed_at: typing.Callable[[], float] = lambda: (
            math.inf
        ),
        boot_time: typing.Callable[[], float] | None = None,
        quotas: quota_check.QuotaCheck | None = None,
    ) -> None:
        self._quotas = quotas
        self.boot_time = boot_time or now
        self.registry = registry
        self._configuration_confirmed_at = configuration_confirmed_at
        self.fleet = fleet
        self.picker = picker
        self.assignments = assignments
        self.pool = pool
        self.header_format = header_format
        self.now = now
        self.stop_schedule = stopping.NOT_STOPPING
        self.probe_pool = pool.sibling()
        self._budgets: dict[str, budget.RetryBudget] = {}
        self._splits_by_targets: dict[
            tuple[str, ...], split.WeightedSplit
        ] = {}

    async def handle(self, request: messages.Request) -> messages.Response:
        """Return the final response to a request."""
        started = self.now()
        caller_headers = self.header_format.read_request(request.headers)
        route = self._find_route(request, started)
        if isinstance(route, refusals.RequestRefusal):
            return self._refuse_early(route, caller_headers, started)
        tenant = self._identify(route, caller_headers)
        if isinstance(tenant, refusals.RequestRefusal):
            return self._refuse_early(tenant, caller_headers, started)
        context = self._create_context(
            request, caller_headers, route, tenant, started
        )
        if isinstance(context, refusals.RequestRefusal):
            return self._refuse_early(context, caller_headers, started, tenant)
        ticket = None
        if self._quotas is not None:
            ticket = await self._quotas.admit(
                context.tenant,
                self.fleet.host_count,
                route.latency_objective,
            )
        if isinstance(ticket, refusals.RequestRefusal):
            return self.refuse(
                ticket,
                caller_headers,
                context,
                started,
                _time_left(caller_headers),
            )
        self.budget(context.service).on_request(self.boot_time())
        self.fleet.count_demand(context.service)
        if context.key is not None:
            self.assignments.count(context.service, context.key)
        return await exchange.Exchange(self, context, ticket).run()

    def _find_route(
        self, request: messages.Request, started: float
    ) -> configuration.Route | refusals.RequestRefusal:
        current = self.fleet.configuration
        if current is None:
            return refusals.RequestRefusal(
                _CODES.NO_CONFIGURATION,
                "no configuration has been read yet",
                freshness.RETRY_AFTER,
            )
        host = request.header(b"host") or b""
        name = host.decode("latin-1").lower().partition(":")[0]
        path = request.target.decode("latin-1").partition("?")[0]
        route = current.find_route(name, path)
        if route is None:
            return self._refusal_without_route(
                f"{name}{path}", current.version, started
            )
        if route.invalid_reason:
            return refusals.invalid_entry(
                f"route {route.name}", route.invalid_reason
            )
        return route

    def _identify(
        self,
        route: configuration.Route,
        caller_headers: header_port.CallerHeaders,
    ) -> tenants.Tenant | None | refusals.RequestRefusal:
        return authentication.identify(
            self._tenants(),
            route,
            caller_headers.api_keys,
            self.now() - self._configuration_confirmed_at(),
            self.fleet.bounds,
        )

    def _tenants(self) -> tenants.Tenants | None:
        current = self.fleet.configuration
        return None if current is None else current.tenants

    def identity_refusal(
        self, context: request_context.RequestContext
    ) -> refusals.RequestRefusal | None:
        """Return the refusal of a request whose API key has changed, if so.

        A request may wait, or be sent again, while its key is revoked or
        given to another tenant. It has to be identified again then, so it is
        refused with 503 also if its key no longer exists.

        Parameters
        ----------
        context : request_context.RequestContext
            Properties of the request.
        """
        found = self._identify(context.route, context.caller_headers)
        if isinstance(found, refusals.RequestRefusal):
            if found.code != _CODES.UNAUTHENTICATED:
                return found
        elif found is None or (
            context.tenant is not None and found.name == context.tenant.name
        ):
            return None
        return refusals.RequestRefusal(
            _CODES.CONFIGURATION_OUTDATED,
            "the tenant of the API key changed while the request waited",
            freshness.RETRY_AFTER,
        )

    def _create_context(
        self,
        request: messages.Request,
        caller_headers: header_port.CallerHeaders,
        route: configuration.Route,
        tenant: tenants.Tenant | None,
        started: float,
    ) -> request_context.RequestContext | refusals.RequestRefusal:
        deadline = started + min(_time_left(caller_headers), route.timeout)
        stop_refusal = self.stop_refusal(route, deadline)
        if stop_refusal is not None:
            return stop_refusal
        service = self._select_service(route)
        current = self.fleet.configuration
        if current is not None and service in current.invalid_services:
            return refusals.invalid_entry(f"service {service}", "see the log")
        key = None
        known = self.service(service)
        if known is not None and known.is_partitioned:
            if caller_headers.key is None:
                return refusals.RequestRefusal(
                    _CODES.BAD_REQUEST, f"service {service} requires a key"
                )
            key = caller_headers.key
        return request_context.RequestContext(
            request,
            caller_headers,
            route,
            tenant,
            service,
            key,
            authentication.effective_priority(route, tenant),
            started,
            min(deadline, self.stop_schedule.ends_at),
            deadline,
            self._forwarded_headers(request.headers, tenant),
        )

    def _forwarded_headers(
        self, headers: messages.Headers, tenant: tenants.Tenant | None
    ) -> messages.Headers:
        """Return the headers for a server, without an API key.

        Without tenants, the headers for identities mean nothing here and
        belong to the caller and the server.
        """
        forwarded = [
            pair
            for pair in headers
            if pair[0] not in messages.HOP_BY_HOP_HEADERS
            and not self.header_format.is_replaced(pair[0])
        ]
        if self._tenants() is None:
            return forwarded
        forwarded = [
            pair
            for pair in forwarded
            if not self.header_format.is_identity(pair[0])
        ]
        if tenant is not None:
            forwarded += self.header_format.tenant_headers(tenant.name)
        return forwarded

    def stop_refusal(
        self, route: configuration.Route, deadline: float
    ) -> refusals.RequestRefusal | None:
        """Return the refusal of a request that the stop may cut off, if so.

        Parameters
        ----------
        route : configuration.Route
            Route of the request.
        deadline : float
            Clock when the response is due to the caller, seconds.
        """
        now = self.now()
        schedule = self.stop_schedule
        if schedule.admits(now, deadline, route.latency_objective):
            return None
        return refusals.RequestRefusal(
            _CODES.SHUTTING_DOWN,
            f"the host stops in {schedule.ends_at - now:.1f} s and the request"
            f" may take {deadline - now:.1f} s",
            SHUTDOWN_RETRY_AFTER,
        )

    def _refusal_without_route(
        self, target: str, version: int, now: float
    ) -> refusals.RequestRefusal:
        """Return why no route matches.

        A host that may have missed a configuration can't tell whether the
        route exists.
        """
        reason = f"no route matches {target} in configuration {version}"
        age = now - self._configuration_confirmed_at()
        if not freshness.is_outdated(age, self.fleet.bounds):
            return refusals.RequestRefusal(_CODES.NO_ROUTE, reason)
        return refusals.RequestRefusal(
            _CODES.CONFIGURATION_OUTDATED,
            f"{reason}, which was confirmed {age:.1f} s ago",
            freshness.RETRY_AFTER,
        )

    def service(self, name: str) -> configuration.Service | None:
        """Return a configured service, None if it is unknown."""
        current = self.fleet.configuration
        return None if current is None else current.services_by_name.get(name)

    def _select_service(self, route: configuration.Route) -> str:
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        name = (
            route.name,
            *(f"{one.service}={one.weight}" for one in targets),
        )
        known = self._splits_by_targets.get(name)
        if known is None:
            known = split.WeightedSplit([one.weight for one in targets])
            self._splits_by_targets[name] = known
        return targets[known.next()].service

    def budget(self, service: str) -> budget.RetryBudget:
        """Return the retry budget of a service."""
        known = self._budgets.get(service)
        if known is None:
            bounds = self.fleet.bounds
            known = self._budgets[service] = budget.RetryBudget.for_host(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
        return known

    def _refuse_early(
        self,
        refusal: refusals.RequestRefusal,
        caller_headers: header_port.CallerHeaders,
        started: float,
        tenant: tenants.Tenant | None = None,
    ) -> messages.Response:
        """Refuse a request that has no context."""
        fields = {} if tenant is None else {"tenant": tenant.name}
        return self.refuse(
            refusal,
            caller_headers,
            None,
            started,
            _time_left(caller_headers),
            **fields,
        )

    def refuse(
        self,
        refusal: refusals.RequestRefusal,
        caller_headers: header_port.CallerHeaders,
        context: request_context.RequestContext | None,
        started: float,
        time_left: float,
        **fields: object,
    ) -> messages.Response:
        """Log a refusal and return its response.

        Parameters
        ----------
        refusal : refusals.RequestRefusal
            Why the request ends.
        caller_headers : header_port.CallerHeaders
            Parsed headers of the request.
        context : request_context.RequestContext or None
            Properties of the request, None if it has no route.
        started : float
            Clock when the request arrived, seconds.
        time_left : float
            How long the caller still waits for a response, seconds.
        **fields : object
            Further fields of the line.
        """
        response = refusals.response(refusal, time_left, self.header_format)
        kind = "request_refused"
        if not codes.did_not_run(refusal.code):
            kind = "request_failed"
        self.log_request(
            kind,
            refusal.code,
            caller_headers,
            context,
            started,
            refusal.reason,
            **fields,
        )
        return response

    def log_request(
        self,
        kind: str,
        code: codes.ResultCode,
        caller_headers: header_port.CallerHeaders,
        context: request_context.RequestContext | None,
        started: float,
        reason: str,
        **fields: object,
    ) -> None:
        """Count a finished request and write its line to the log.

        Parameters
        ----------
        kind : str
            Event kind of the line.
        code : codes.ResultCode
            Result of the request.
        caller_headers : header_port.CallerHeaders
            Parsed headers of the request.
        context : request_context.RequestContext or None
            Properties of the request, None if it has no route.
        started : float
            Clock when the request arrived, seconds.
        reason : str
            One sentence, empty for a forwarded response.
        **fields : object
            Further fields of the line.
        """
        if context is not None:
            fields["service"] = context.service
            fields["route"] = context.route.name
            if context.key is not None:
                fields["key"] = context.key
            if context.tenant is not None:
                fields["tenant"] = context.tenant.name
        elapsed = self.now() - started
        service = "" if context is None else context.service
        self.registry.count(
            "requests_total", service=service, result=code.name
        )
        self.registry.time("request_seconds", elapsed, service=service)
        events.emit(
            kind,
            request=caller_headers.request_id.decode("latin-1"),
            code=int(code),
            result=code.name,
            ms=round(elapsed * 1000, 1),
            reason=reason,
            **fields,
        )


def _time_left(caller_headers: header_port.CallerHeaders) -> float:
    """Return how long the caller waits for a response, seconds."""
    if caller_headers.time_left is None:
        return request_context.DEFAULT_TIME_LEFT
    return caller_headers.time_left
