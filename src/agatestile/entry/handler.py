"""The way of a request from its caller to a server and back."""

from __future__ import annotations

import typing

from agatestile.balancing import split
from agatestile.catalog import configuration
from agatestile.entry import exchange
from agatestile.entry import picker as picker_module
from agatestile.entry import refusals
from agatestile.limits import budget
from agatestile.observability import events
from agatestile.results import codes
from agatestile.transport import client
from agatestile.transport import messages

if typing.TYPE_CHECKING:
    from agatestile.entry import fleet as fleet_module
    from agatestile.entry import header_port
    from agatestile.observability import counters

_CODES = codes.ResultCode


class Handler:
    """Answers the requests of callers.

    Parameters
    ----------
    fleet : fleet.Fleet
        Known servers and the configuration.
    picker : picker.Picker
        Chooses servers.
    assignments : AssignmentWaiter
        News of the owners of keys.
    pool : client.Pool
        Connections to servers.
    header_format : header_port.HeaderFormat
        Names and formats of headers.
    now : callable
        The runtime's clock, seconds.
    registry : counters.Registry
        Counts requests and attempts.
    """

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        picker: picker_module.Picker,
        assignments: exchange.AssignmentWaiter,
        pool: client.Pool,
        header_format: header_port.HeaderFormat,
        now: typing.Callable[[], float],
        registry: counters.Registry,
    ) -> None:
        self.registry = registry
        self.fleet = fleet
        self.picker = picker
        self.assignments = assignments
        self.pool = pool
        self.header_format = header_format
        self.now = now
        self.probes = client.Pool(now)
        self._budgets: dict[str, budget.RetryBudget] = {}
        self._splits: dict[tuple[str, ...], split.WeightedSplit] = {}

    async def handle(self, request: messages.Request) -> messages.Response:
        """Return the final answer to a request."""
        started = self.now()
        facts = self.header_format.read_request(request.headers)
        course = self._plan(request, facts, started)
        if isinstance(course, refusals.Verdict):
            time_left = facts.time_left or exchange.DEFAULT_TIME_LEFT
            return self.refuse(course, facts, None, started, time_left)
        self.budget(course.service).on_request(started)
        if course.key is not None:
            self.assignments.count(course.service, course.key)
        return await exchange.Exchange(self, course).run()

    def _plan(
        self,
        request: messages.Request,
        facts: header_port.CallerHeaders,
        started: float,
    ) -> exchange.Course | refusals.Verdict:
        current = self.fleet.configuration
        if current is None:
            return refusals.Verdict(
                _CODES.NO_CONFIGURATION,
                "no configuration is known yet",
                0.2,
            )
        host = request.header(b"host") or b""
        name = host.decode("latin-1").lower().partition(":")[0]
        path = request.target.decode("latin-1").partition("?")[0]
        route = current.find_route(name, path)
        if route is None:
            return refusals.Verdict(
                _CODES.NO_ROUTE,
                f"no route for {name}{path} in version {current.version}",
            )
        time_left = facts.time_left or exchange.DEFAULT_TIME_LEFT
        service = self._split(route)
        key = None
        known = current.services_by_name.get(service)
        if known is not None and known.is_partitioned:
            if facts.key is None:
                return refusals.Verdict(
                    _CODES.BAD_REQUEST, f"service {service} needs a key"
                )
            key = facts.key
        headers = [
            pair
            for pair in request.headers
            if pair[0] not in messages.HOP_BY_HOP_HEADERS
            and not self.header_format.is_replaced(pair[0])
        ]
        return exchange.Course(
            request,
            facts,
            route,
            service,
            key,
            started,
            started + min(time_left, route.timeout),
            headers,
        )

    def service(self, name: str) -> configuration.Service | None:
        current = self.fleet.configuration
        return None if current is None else current.services_by_name.get(name)

    def _split(self, route: configuration.Route) -> str:
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        name = (
            route.name,
            *(f"{one.service}={one.weight}" for one in targets),
        )
        known = self._splits.get(name)
        if known is None:
            known = split.WeightedSplit([one.weight for one in targets])
            self._splits[name] = known
        return targets[known.next()].service

    def budget(self, service: str) -> budget.RetryBudget:
        known = self._budgets.get(service)
        if known is None:
            bounds = self.fleet.bounds
            known = self._budgets[service] = budget.RetryBudget.for_host(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
        return known

    def refuse(
        self,
        verdict: refusals.Verdict,
        facts: header_port.CallerHeaders,
        course: exchange.Course | None,
        started: float,
        time_left: float,
    ) -> messages.Response:
        answer = refusals.answer(verdict, time_left, self.header_format)
        kind = "request_refused"
        if not codes.did_not_run(verdict.code):
            kind = "request_failed"
        self.log_request(
            kind, verdict.code, facts, course, started, verdict.reason
        )
        return answer

    def log_request(
        self,
        kind: str,
        code: codes.ResultCode,
        facts: header_port.CallerHeaders,
        course: exchange.Course | None,
        started: float,
        reason: str,
        **fields: object,
    ) -> None:
        if course is not None:
            fields["service"] = course.service
            fields["route"] = course.route.name
            if course.key is not None:
                fields["key"] = course.key
        elapsed = self.now() - started
        service = "" if course is None else course.service
        self.registry.count(
            "requests_total", service=service, result=code.name
        )
        self.registry.time("request_seconds", elapsed, service=service)
        events.emit(
            kind,
            request=facts.request_id.decode("latin-1"),
            code=int(code),
            result=code.name,
            ms=round(elapsed * 1000, 1),
            reason=reason,
            **fields,
        )
