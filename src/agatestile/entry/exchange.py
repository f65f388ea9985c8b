"""One request: attempts at servers until there is a final answer."""

from __future__ import annotations

import asyncio
import typing

from agatestile.catalog import configuration
from agatestile.entry import picker as picker_module
from agatestile.entry import refusals
from agatestile.results import codes
from agatestile.transport import client
from agatestile.transport import messages

if typing.TYPE_CHECKING:
    from agatestile.balancing import load as load_module
    from agatestile.catalog import directory
    from agatestile.entry import handler as handler_module
    from agatestile.entry import header_port

DEFAULT_TIME_LEFT = 30.0
"""Time for a request without a deadline, seconds."""

MOVING_WAIT_SHARE = 0.3
"""Part of its time that a request waits for a key that changes hands."""

UNSAFE_IDLE_SECONDS = 2.5
"""Longest idle time of a connection that carries a request which must not
be repeated: a server may have dropped an older one."""

PROBE_SECONDS = 0.03
"""Longest wait for the answer to a load probe, which takes 6 ms."""

PATIENCE = 1.2
"""Multiple of the latency objective within which an answer must be expected
when a request is sent."""

_CODES = codes.ResultCode
_KIND = messages.FailureKind


class AssignmentWaiter(typing.Protocol):
    """Waits for news of the owners of keys."""

    async def wait_changed(self, timeout: float) -> bool:
        """Wait for a newer assignment; return whether it came."""

    def count(self, service: str, key: int) -> None:
        """Count a request for a key."""


class Attempt(typing.NamedTuple):
    """Result of sending a request to a server.

    Attributes
    ----------
    answer : messages.Response or None
        What the server answered.
    facts : header_port.ServerHeaders or None
        What its headers say.
    failure : messages.Failure or None
        Why there is no answer.
    """

    answer: messages.Response | None
    facts: header_port.ServerHeaders | None
    failure: messages.Failure | None


class Course(typing.NamedTuple):
    """What is fixed for a request once its route is known."""

    request: messages.Request
    facts: header_port.CallerHeaders
    route: configuration.Route
    service: str
    key: int | None
    started: float
    deadline: float
    headers: messages.Headers


class Exchange:
    """One request, from its first attempt to its answer.

    Parameters
    ----------
    handler : handler.Handler
        What all requests of the host share.
    course : Course
        What is fixed for this request.
    """

    def __init__(
        self, handler: handler_module.Handler, course: Course
    ) -> None:
        self._handler = handler
        self._course = course
        self._now = handler.now
        self._fleet = handler.fleet
        self._tried: set[str] = set()
        self._sent = 0
        self._may_have_run = False
        self._failed_answer: messages.Response | None = None
        self._last: refusals.Verdict | None = None

    async def run(self) -> messages.Response:
        """Send until there is an answer or nothing more may be done."""
        while True:
            await self._refresh()
            pick = await self._next_server()
            if isinstance(pick, refusals.Verdict):
                return self._give_up(pick)
            attempt = await self._send(pick)
            answer = self._judge(pick, attempt)
            if answer is not None:
                return answer
            if not self._may_repeat():
                return self._give_up(self._last)

    # Choice

    async def _next_server(self) -> picker_module.Pick | refusals.Verdict:
        course = self._course
        wait_until = self._now() + MOVING_WAIT_SHARE * (
            course.deadline - self._now()
        )
        while True:
            now = self._now()
            time_left = course.deadline - now
            if time_left <= 0:
                return refusals.Verdict(
                    _CODES.DEADLINE_PASSED, "no time is left"
                )
            pick = self._handler.picker.pick(
                course.service,
                course.key,
                now,
                min(time_left, self._patience()),
                self._tried,
                len(course.request.body),
            )
            if not isinstance(pick, picker_module.Moving):
                return pick
            if (
                now >= wait_until
                or not await self._handler.assignments.wait_changed(
                    wait_until - now
                )
            ):
                return refusals.Verdict(
                    _CODES.RANGE_MOVING,
                    pick.reason,
                    picker_module.OWNER_RETRY_AFTER,
                )

    async def _refresh(self) -> None:
        """Ask the servers that would be chosen for their present load."""
        course = self._course
        if course.key is not None:
            return
        now = self._now()
        entries = self._fleet.worth_asking(
            course.service, now, self._tried, len(course.request.body)
        )
        service = self._handler.service(course.service)
        if len(entries) < 2 or service is None or not service.health_path:
            return
        async with asyncio.TaskGroup() as tasks:
            for entry in entries:
                tasks.create_task(self._ask_load(entry, service.health_path))

    async def _ask_load(self, entry: directory.ServerEntry, path: str) -> None:
        request = messages.Request(b"GET", path.encode(), [], b"")
        self._handler.registry.count(
            "probes_total", service=self._course.service
        )
        answer = await self._handler.probes.call(
            entry.address,
            request,
            PROBE_SECONDS,
            (entry.id, entry.incarnation),
        )
        if isinstance(answer, messages.Response):
            facts = self._handler.header_format.read_response(answer)
            load = self._fleet.load_of(entry)
            load.on_report(self._now(), facts.report)

    def _patience(self) -> float:
        """Return how long a wait for a server may be, seconds.

        Beyond the objective an answer has lost most of its worth, and a
        longer queue delays all requests behind it without serving more.
        """
        objective = self._course.route.latency_objective
        return objective * PATIENCE if objective else DEFAULT_TIME_LEFT

    # Sending

    async def _send(self, pick: picker_module.Pick) -> Attempt:
        entry = pick.server.entry
        load = pick.load
        sent = self._now()
        wait = load.expected_wait(sent)
        course_end = self._course.deadline
        self._sent += 1
        self._handler.registry.count(
            "attempts_total",
            service=self._course.service,
            repeat=str(self._sent > 1).lower(),
        )
        if self._sent > 1:
            self._handler.budget(self._course.service).on_retry(sent)
        self._tried.add(entry.id)
        self._fleet.on_sent(entry, sent)
        load.on_sent(sent)
        try:
            result = await self._transfer(entry)
        finally:
            load.on_done()
        now = self._now()
        if isinstance(result, messages.Failure):
            if result.kind is _KIND.NOT_SENT:
                self._fleet.on_unreachable(entry, now)
            elif now >= course_end:
                load.on_unreachable(now)
            else:
                load.on_failure()
            return Attempt(None, None, result)
        facts = self._handler.header_format.read_response(result)
        self._learn(load, result, facts, now, now - sent, wait)
        return Attempt(result, facts, None)

    def _learn(
        self,
        load: load_module.ServerLoad,
        answer: messages.Response,
        facts: header_port.ServerHeaders,
        now: float,
        elapsed: float,
        wait: float,
    ) -> None:
        if facts.is_misdirected:
            return
        if facts.did_not_run or answer.status >= 500:
            load.on_report(now, facts.report)
            load.on_failure()
            return
        load.on_response(now, elapsed, wait, facts.report)

    async def _transfer(
        self, entry: directory.ServerEntry
    ) -> messages.Response | messages.Failure:
        """Send over an idle or a new connection until the deadline."""
        course = self._course
        pool = self._handler.pool
        peer = (entry.id, entry.incarnation)
        is_safe = course.route.kind is configuration.RouteKind.SAFE
        max_idle = (
            client.DEFAULT_IDLE_TIMEOUT * 10
            if is_safe
            else UNSAFE_IDLE_SECONDS
        )
        echo = course.facts.request_id or None
        try:
            async with asyncio.timeout_at(course.deadline):
                connection = pool.acquire_idle(peer, max_idle)
                if connection is None:
                    opened = await pool.open(entry.address)
                    if isinstance(opened, messages.Failure):
                        return opened
                    connection = opened
                result = await connection.exchange(
                    self._encode(entry),
                    echo,
                    course.request.method == b"HEAD",
                )
        except TimeoutError:
            return messages.Failure(_KIND.UNKNOWN, "no answer in time")
        pool.release(peer, connection)
        return result

    def _encode(self, entry: directory.ServerEntry) -> bytes:
        course = self._course
        request = course.request
        time_left = course.deadline - self._now()
        header_format = self._handler.header_format
        headers = course.headers + header_format.server_headers(
            entry.id, time_left
        )
        if request.body or request.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        start = b"%b %b HTTP/1.1" % (request.method, request.target)
        return messages.encode_head(start, headers) + request.body

    # Judgement

    def _judge(
        self, pick: picker_module.Pick, attempt: Attempt
    ) -> messages.Response | None:
        """Return the answer for the caller, None if there is none yet."""
        answer, facts = attempt.answer, attempt.facts
        server_id = pick.server.entry.id
        if answer is None or facts is None:
            self._on_failure(server_id, attempt.failure)
            return None
        if facts.did_not_run:
            self._last = refusals.Verdict(
                _CODES.SERVER_SHED,
                f"server {server_id} refused it with {answer.status}",
                0.5 * pick.load.expected_wait(self._now()),
            )
            return None
        self._may_have_run = True
        if 200 <= answer.status < 300 and not facts.has_signature:
            self._last = refusals.Verdict(
                _CODES.ANSWER_BROKEN, f"server {server_id} did not sign"
            )
            return None
        if answer.status >= 500 and self._may_repeat():
            self._failed_answer = answer
            self._last = refusals.Verdict(
                _CODES.OUTCOME_UNKNOWN,
                f"server {server_id} answered {answer.status}",
            )
            return None
        return self._pass_on(answer, server_id, pick.load)

    def _on_failure(
        self, server_id: str, failure: messages.Failure | None
    ) -> None:
        reason = "" if failure is None else failure.reason
        if failure is not None and failure.kind is _KIND.NOT_SENT:
            self._last = refusals.Verdict(
                _CODES.CONNECT_FAILED,
                f"server {server_id}: {reason}",
                picker_module.OWNER_RETRY_AFTER,
            )
            return
        self._may_have_run = True
        code = _CODES.OUTCOME_UNKNOWN
        if self._now() >= self._course.deadline:
            code = _CODES.ANSWER_TIMEOUT
        self._last = refusals.Verdict(code, f"server {server_id}: {reason}")

    def _may_repeat(self) -> bool:
        course = self._course
        now = self._now()
        if now >= course.deadline:
            return False
        is_safe = course.route.kind is configuration.RouteKind.SAFE
        if self._may_have_run and not is_safe:
            return False
        if self._sent >= course.route.max_attempts:
            return False
        budget = self._handler.budget(course.service)
        return budget.allows(now, self._fleet.host_count)

    def _pass_on(
        self,
        answer: messages.Response,
        server_id: str,
        load: load_module.ServerLoad | None,
    ) -> messages.Response:
        headers = [
            pair
            for pair in answer.headers
            if pair[0] not in messages.HOP_BY_HOP_HEADERS
        ]
        course = self._course
        fields: dict[str, object] = {}
        if load is not None:
            now = self._now()
            fields["in_flight"] = load.in_flight
            fields["occupancy"] = round(load.occupancy(now), 1)
            fields["service_ms"] = round(load.service_time * 1000, 1)
        self._handler.log_request(
            "request_answered",
            _CODES.ANSWERED,
            course.facts,
            course,
            course.started,
            "",
            server=server_id,
            status=answer.status,
            attempts=self._sent,
            assignment=self._handler.picker.assignment_version,
            **fields,
        )
        return messages.Response(answer.status, headers, answer.body)

    def _give_up(self, verdict: refusals.Verdict | None) -> messages.Response:
        course = self._course
        if self._failed_answer is not None:
            return self._pass_on(self._failed_answer, "", None)
        if verdict is None:
            verdict = refusals.Verdict(_CODES.NO_SERVER, "nothing was tried")
        if self._may_have_run and codes.did_not_run(verdict.code):
            verdict = refusals.Verdict(
                _CODES.OUTCOME_UNKNOWN,
                f"may have run before: {verdict.reason}",
            )
        return self._handler.refuse(
            verdict,
            course.facts,
            course,
            course.started,
            course.deadline - self._now(),
        )
