"""Processing of one request: attempts until there is a final response."""

from __future__ import annotations

import asyncio
import typing

from agatestile.entry import load_probes
from agatestile.entry import picker as picker_module
from agatestile.entry import refusals
from agatestile.entry import verdicts
from agatestile.results import codes
from agatestile.transport import client_connection
from agatestile.transport import messages

if typing.TYPE_CHECKING:
    from agatestile.balancing import load as load_module
    from agatestile.catalog import directory
    from agatestile.entry import quota_check
    from agatestile.entry import request_context
    from agatestile.limits import budget

OWNER_WAIT_SHARE = 0.3
"""Share of its time left that a request waits until the owner of its key
is known."""

UNSAFE_IDLE_SECONDS = 2.5
"""Longest idle time of a connection that is reused for a request which must
not be repeated: the server may have closed one that was idle for longer."""

_CODES = codes.ResultCode
_KIND = messages.FailureKind
_VERDICT = verdicts.Verdict

_CODE_BY_VERDICT = {
    _VERDICT.FAILED: _CODES.OUTCOME_UNKNOWN,
    _VERDICT.UNCONFIRMED: _CODES.REJECTION_UNCONFIRMED,
    _VERDICT.BROKEN: _CODES.ANSWER_BROKEN,
}

_REASON_BY_VERDICT = {
    _VERDICT.FAILED: "",
    _VERDICT.UNCONFIRMED: " and does not say that the request did not run",
    _VERDICT.BROKEN: ", unsigned or contradicting itself",
}


class Exchange:
    """Processes one request, from its first attempt to its response.

    Parameters
    ----------
    handler : request_context.SharedState
        State that all requests of the host share.
    context : request_context.RequestContext
        Properties of this request.
    ticket : quota_check.Ticket, optional
        Token of its tenant, None without a quota.
    """

    def __init__(
        self,
        handler: request_context.SharedState,
        context: request_context.RequestContext,
        ticket: quota_check.Ticket | None = None,
    ) -> None:
        self._ticket = ticket
        self._handler = handler
        self._context = context
        self._now = handler.now
        self._fleet = handler.fleet
        self._tried_ids: set[str] = set()
        self._used_connections: list[client_connection.Connection] = []
        self._attempt_count = 0
        self._may_have_run = False
        self._has_reserved_retry = False
        self._last_rejected_by: directory.Instance | None = None
        self._failed_response: messages.Response | None = None
        self._last_refusal: refusals.RequestRefusal | None = None
        self._last_server_id = ""
        self._last_status: int | None = None

    async def run(self) -> messages.Response:
        """Send attempts until there is a final response."""
        try:
            return await self._run()
        finally:
            if self._has_reserved_retry:
                self._budget().release()
            if self._ticket is not None:
                self._ticket.finish()

    async def _run(self) -> messages.Response:
        handler, context = self._handler, self._context
        while True:
            await load_probes.refresh(handler, context, self._tried_ids)
            pick = await self._next_server()
            if isinstance(pick, refusals.RequestRefusal):
                return self._refuse(pick)
            if self._needs_same_connection(pick):
                return self._refuse(self._last_refusal)
            quota_refusal = self._check_quota()
            if quota_refusal is not None:
                return self._refuse(quota_refusal)
            result = await self._send(pick)
            response = self._evaluate(pick, result)
            if response is not None:
                return response
            if not self._may_retry() or not self._reserve_retry():
                return self._refuse(self._last_refusal)

    def _check_quota(self) -> refusals.RequestRefusal | None:
        """Return a refusal if the request has waited and has no token now."""
        if self._ticket is None or self._may_have_run:
            return None
        return self._ticket.check()

    def _needs_same_connection(self, pick: picker_module.Pick) -> bool:
        """Return whether only the connection of the last attempt is left.

        A full server, which rejected it, resets new connections, and
        nothing tells then whether it got the request.
        """
        return (
            self._last_rejected_by == pick.server.instance
            and not self._handler.pool.has_idle(
                pick.server.instance, self._used_connections
            )
        )

    # Server selection

    async def _next_server(
        self,
    ) -> picker_module.Pick | refusals.RequestRefusal:
        context = self._context
        wait_until = self._now() + OWNER_WAIT_SHARE * (
            context.deadline - self._now()
        )
        while True:
            now = self._now()
            time_left = context.deadline - now
            if time_left <= 0:
                return refusals.RequestRefusal(
                    _CODES.DEADLINE_PASSED, "the deadline has passed"
                )
            stop_refusal = self._handler.stop_refusal(
                context.route, context.caller_deadline
            )
            if stop_refusal is not None and not self._may_have_run:
                return stop_refusal
            identity_refusal = self._handler.identity_refusal(context)
            if identity_refusal is not None:
                return identity_refusal
            pick = self._handler.picker.pick(
                context.service,
                context.key,
                now,
                context.acceptable_wait(now),
                self._tried_ids,
                len(context.request.body),
            )
            if not isinstance(pick, picker_module.OwnerPending):
                return pick
            if (
                now >= wait_until
                or not await self._handler.assignments.wait_changed(
                    wait_until - now
                )
            ):
                return refusals.RequestRefusal(
                    _CODES.RANGE_MOVING,
                    pick.reason,
                    picker_module.OWNER_RETRY_AFTER,
                )

    # Sending

    async def _send(
        self, pick: picker_module.Pick
    ) -> verdicts.JudgedResponse | messages.Failure:
        entry = pick.server.entry
        load = pick.load
        sent = self._now()
        wait = load.expected_wait(sent)
        deadline = self._context.deadline
        self._attempt_count += 1
        self._handler.registry.count(
            "attempts_total",
            service=self._context.service,
            repeat=str(self._attempt_count > 1).lower(),
        )
        if self._attempt_count > 1:
            self._budget().on_retry(self._handler.boot_time())
            self._has_reserved_retry = False
        self._tried_ids.add(entry.id)
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
            elif now >= deadline:
                load.on_unreachable(now)
            else:
                load.on_failure()
            return result
        return self._judge(pick, result, sent, wait)

    def _judge(
        self,
        pick: picker_module.Pick,
        response: messages.Response,
        sent: float,
        wait: float,
    ) -> verdicts.JudgedResponse:
        """Judge a response, and record what it says of its server."""
        entry, load, now = pick.server.entry, pick.load, self._now()
        self._count_bytes(entry, "received", len(response.body))
        server_headers = self._handler.header_format.read_response(response)
        verdict = verdicts.judge(
            response.status,
            server_headers,
            self._context.route.kind.is_idempotent,
        )
        if not server_headers.is_misdirected:
            self._fleet.on_server_headers(entry, server_headers, now)
            if verdict is _VERDICT.ANSWERED:
                load.on_response(now, now - sent, wait, server_headers.report)
            else:
                load.on_report(now, server_headers.report)
                load.on_failure()
        return verdicts.JudgedResponse(response, server_headers, verdict)

    async def _transfer(
        self, entry: directory.ServerEntry
    ) -> messages.Response | messages.Failure:
        """Send over an idle or a new connection, until the deadline.

        An idle connection may still carry a late copy of an earlier
        response. The request identifier tells it from the expected one,
        unless the request has none or was sent over this connection before.
        """
        context = self._context
        pool = self._handler.pool
        peer = (entry.id, entry.incarnation)
        is_safe = context.route.kind.is_idempotent
        max_idle = (
            client_connection.DEFAULT_IDLE_TIMEOUT * 10
            if is_safe
            else UNSAFE_IDLE_SECONDS
        )
        expected_echo = context.caller_headers.request_id or None
        try:
            async with asyncio.timeout_at(context.deadline):
                connection = None
                if expected_echo is not None:
                    connection = pool.acquire_idle(
                        peer, max_idle, self._used_connections
                    )
                if connection is None:
                    opened = await pool.open(entry.address)
                    if isinstance(opened, messages.Failure):
                        return opened
                    connection = opened
                self._used_connections.append(connection)
                head = self._encode_head(entry)
                body = context.request.body
                self._count_bytes(entry, "sent", len(head) + len(body))
                result = await connection.exchange(
                    head,
                    expected_echo,
                    context.request.method == b"HEAD",
                    body=body,
                )
        except TimeoutError:
            return messages.Failure(
                _KIND.UNKNOWN, "no response before the deadline"
            )
        if expected_echo is None:
            connection.abort()
        else:
            pool.release(peer, connection)
        return result

    def _count_bytes(
        self, entry: directory.ServerEntry, direction: str, size: int
    ) -> None:
        self._handler.registry.count(
            "server_bytes_total",
            size,
            service=self._context.service,
            domain=entry.failure_domain,
            direction=direction,
        )

    def _encode_head(self, entry: directory.ServerEntry) -> bytes:
        context = self._context
        time_left = context.deadline - self._now()
        added = self._handler.header_format.server_headers(entry.id, time_left)
        return messages.encode_request_head(
            context.request, context.forwarded_headers + added
        )

    # Evaluation of responses

    def _evaluate(
        self,
        pick: picker_module.Pick,
        result: verdicts.JudgedResponse | messages.Failure,
    ) -> messages.Response | None:
        """Return the response for the caller, None if there is none yet."""
        server_id = pick.server.entry.id
        self._last_server_id, self._last_status = server_id, None
        if isinstance(result, messages.Failure):
            self._on_failure(server_id, result)
            return None
        response, server_headers, verdict = result
        self._last_status = response.status
        if verdict is _VERDICT.REJECTED:
            self._last_rejected_by = pick.server.instance
            self._last_refusal = refusals.RequestRefusal(
                _CODES.SERVER_SHED,
                f"server {server_id} rejected the request with status"
                f" {response.status}",
                max(
                    0.5 * pick.load.expected_wait(self._now()),
                    server_headers.pause or 0.0,
                ),
            )
            return None
        self._may_have_run = True
        if verdict is _VERDICT.ANSWERED or (
            verdict is _VERDICT.FAILED and not self._may_retry()
        ):
            return self._forward(response, server_id, pick.load)
        if verdict is _VERDICT.FAILED:
            self._failed_response = response
        self._last_refusal = refusals.RequestRefusal(
            _CODE_BY_VERDICT[verdict],
            f"server {server_id} responded with status {response.status}"
            f"{_REASON_BY_VERDICT[verdict]}",
        )
        return None

    def _on_failure(self, server_id: str, failure: messages.Failure) -> None:
        reason = f"server {server_id}: {failure.reason}"
        if failure.kind is _KIND.NOT_SENT:
            self._last_refusal = refusals.RequestRefusal(
                _CODES.CONNECT_FAILED,
                reason,
                picker_module.OWNER_RETRY_AFTER,
            )
            return
        self._may_have_run = True
        code = _CODES.OUTCOME_UNKNOWN
        if self._now() >= self._context.deadline:
            code = _CODES.ANSWER_TIMEOUT
        self._last_refusal = refusals.RequestRefusal(code, reason)

    def _may_retry(self) -> bool:
        context = self._context
        now = self._now()
        if now >= context.deadline:
            return False
        is_safe = context.route.kind.is_idempotent
        if self._may_have_run and not is_safe:
            return False
        if self._attempt_count >= context.route.max_attempts:
            return False
        return self._budget().allows(
            self._handler.boot_time(), self._fleet.host_count
        )

    def _reserve_retry(self) -> bool:
        """Reserve a retry, as it may wait before it is sent."""
        self._has_reserved_retry = self._budget().reserve(
            self._handler.boot_time(), self._fleet.host_count
        )
        return self._has_reserved_retry

    def _budget(self) -> budget.RetryBudget:
        return self._handler.budget(self._context.service)

    def _forward(
        self,
        response: messages.Response,
        server_id: str,
        load: load_module.ServerLoad | None,
    ) -> messages.Response:
        headers = [
            pair
            for pair in response.headers
            if pair[0] not in messages.HOP_BY_HOP_HEADERS
        ]
        context = self._context
        fields: dict[str, object] = {}
        if load is not None:
            now = self._now()
            fields["in_flight"] = load.in_flight
            fields["occupancy"] = round(load.occupancy(now), 1)
            fields["service_ms"] = round(load.service_time * 1000, 1)
        self._handler.log_request(
            "request_answered",
            _CODES.ANSWERED,
            context.caller_headers,
            context,
            context.started,
            "",
            server=server_id,
            status=response.status,
            attempts=self._attempt_count,
            assignment=self._handler.picker.assignment_version,
            **fields,
        )
        return messages.Response(response.status, headers, response.body)

    def _refuse(
        self, refusal: refusals.RequestRefusal | None
    ) -> messages.Response:
        context = self._context
        if self._failed_response is not None:
            return self._forward(self._failed_response, "", None)
        if refusal is None:
            refusal = refusals.RequestRefusal(
                _CODES.NO_SERVER, "no server was tried"
            )
        if self._may_have_run and codes.did_not_run(refusal.code):
            refusal = refusals.RequestRefusal(
                _CODES.OUTCOME_UNKNOWN,
                f"an earlier attempt may have run: {refusal.reason}",
            )
        if self._ticket is not None and codes.did_not_run(refusal.code):
            self._ticket.give_back()
        return self._handler.refuse(
            refusal,
            context.caller_headers,
            context,
            context.started,
            context.deadline - self._now(),
            attempts=self._attempt_count,
            server=self._last_server_id,
            server_status=self._last_status,
        )
