"""ASGI applications for requests of callers and of other daemons."""

from __future__ import annotations

import logging
import typing

import anyio
import anyio.abc

from agatestile.gateway import bodies
from agatestile.gateway import calls
from agatestile.gateway import clock
from agatestile.gateway import decisions
from agatestile.gateway import entry
from agatestile.gateway import forwarding
from agatestile.gateway import options as gateway_options
from agatestile.gateway import parsing
from agatestile.gateway import responses
from agatestile.gateway import watcher
from agatestile.limits import budget
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.gateway import asgi
    from agatestile.gateway import ports
    from agatestile.observability import invariants

    Handler = collections.abc.Callable[
        [calls.Call],
        collections.abc.Awaitable[outcomes.Refusal | None],
    ]

LOG = logging.getLogger(__name__)

MAX_REQUESTS_IN_PROGRESS = 4096
"""Limit on concurrent requests; requests beyond it are refused before their
body is read. At 256 KiB each, bodies take 1 GiB of memory at most."""

DEFAULT_TIMEOUT_SECONDS = 10.0
"""Timeout of a request to a service whose row sets none."""

DEFAULT_BODY_LIMIT_BYTES = 1024 * 1024
"""Maximum body size for a service whose row sets none."""

_CODES = codes.ResultCode


class Application:
    """Serves requests of callers and requests that other daemons forward.

    ``serve_callers`` and ``serve_forwarded`` are the ASGI applications for
    the callers' address and the forward address. ``run`` must run while
    requests are served.

    Parameters
    ----------
    host : str
        Name of this host.
    state : ports.State
        The replicated state.
    router : ports.Router
        Looks up the owner and the gate of a key.
    permits : ports.Permits
        Leases under which this host may send to servers.
    checks : invariants.Invariants
        Counts violated invariants.
    options : options.Options or None
        Limits on requests from the settings, None for the defaults.

    Attributes
    ----------
    gates : entry.Gates
        Gates of the servers that this host sends to.
    """

    def __init__(
        self,
        host: str,
        state: ports.State,
        router: ports.Router,
        permits: ports.Permits,
        checks: invariants.Invariants,
        options: gateway_options.Options | None = None,
    ) -> None:
        self._state = state
        self._checks = checks
        self._options = options or gateway_options.Options()
        self._retries = budget.RetryBudget()
        self.gates = entry.Gates(state, permits, self._retries, checks)
        self._forwarder = forwarding.Forwarder()
        self._entry = entry.Entry(
            host, router, self.gates, self._forwarder, self._retries
        )
        self._watcher = watcher.Watcher()
        self._requests_in_progress = 0
        self._is_closing = False
        self._drained = anyio.Event()

    @property
    def requests_in_progress(self) -> int:
        """Number of requests in progress."""
        return self._requests_in_progress

    async def serve_callers(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve the request of a caller: find its gate and forward it."""
        if scope["type"] == "http":
            await self._serve(
                scope, receive, send, self._entry.handle, "entry"
            )

    async def serve_forwarded(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve a request that another daemon forwarded to this gate."""
        if scope["type"] == "http":
            await self._serve(
                scope, receive, send, self._entry.handle_as_gate, "gate"
            )

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run periodic work until cancelled.

        Closes connections whose response timed out, detects callers that
        disconnected and closes idle connections.
        """
        async with anyio.create_task_group() as group:
            task_status.started()
            while True:
                await anyio.sleep(watcher.SWEEP_INTERVAL_SECONDS)
                now = clock.now()
                self._watcher.sweep(now, group)
                self._forwarder.sweep(now)
                self.gates.sweep(now)

    def begin_shutdown(self) -> None:
        """Refuse new requests; requests in progress continue."""
        self._is_closing = True

    async def wait_until_drained(self) -> None:
        """Wait until no request is in progress."""
        while self._requests_in_progress:
            self._drained = anyio.Event()
            await self._drained.wait()

    async def _serve(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
        handler: Handler,
        role: str,
    ) -> None:
        started = clock.now()
        self._retries.on_request(started)
        self._requests_in_progress += 1
        try:
            request = self._accept(scope)
            if isinstance(request, outcomes.Refusal):
                decisions.log(role, None, request, started)
                if _has_body(scope):
                    await responses.send_early_error((receive, send), request)
                else:
                    await responses.send_error(send, request)
                return
            call = self._create_call(request, (receive, send))
            scope["agatestile.call"] = call
            await self._run_call(call, handler, role)
        finally:
            self._requests_in_progress -= 1
            if not self._requests_in_progress:
                self._drained.set()

    def _accept(self, scope: asgi.Scope) -> parsing.Request | outcomes.Refusal:
        refusal: outcomes.Refusal | None = scope.get("agatestile.refusal")
        if refusal is not None:
            return refusal
        if self._is_closing:
            return outcomes.Refusal(
                _CODES.SHUTTING_DOWN, "this host is shutting down"
            )
        if self._requests_in_progress > MAX_REQUESTS_IN_PROGRESS:
            return outcomes.Refusal(
                _CODES.QUEUE_FULL,
                f"{MAX_REQUESTS_IN_PROGRESS} requests are already in progress",
            )
        request = parsing.parse(scope)
        if isinstance(request, outcomes.Refusal):
            return request
        if request.service in self._state.table.services_by_name:
            return request
        if self._state.offset < 0:
            return outcomes.Refusal(
                _CODES.NOT_READY, "the state has not been read yet"
            )
        return outcomes.Refusal(
            _CODES.UNKNOWN_SERVICE,
            f"the table has no service {request.service[:64]!r}",
        )

    async def _run_call(
        self, call: calls.Call, handler: Handler, role: str
    ) -> None:
        self._watcher.add(call)
        refusal: outcomes.Refusal | None = None
        is_disconnected = False
        try:
            with call.scope:
                refusal = await _handle(call, handler)
        except bodies.CallerDisconnected:
            is_disconnected = True
        finally:
            self._watcher.remove(call)
        if call.scope.cancelled_caught:
            is_disconnected = call.is_disconnected
            refusal = call.cancellation_refusal()
        if is_disconnected:
            refusal = _refuse_disconnected(call)
        if refusal is not None:
            refusal = call.correct_refusal(refusal)
        decisions.log(role, call, refusal, call.started)
        if refusal is None or call.responded or is_disconnected:
            return
        if call.body.is_read:
            await responses.send_error(call.send, refusal, call.server)
        else:
            channels = call.receive, call.send
            await responses.send_early_error(channels, refusal, call.server)

    def _create_call(
        self,
        request: parsing.Request,
        channels: tuple[asgi.Receive, asgi.Send],
    ) -> calls.Call:
        service = self._state.table.services_by_name[request.service]
        timeout = service.timeout_ms / 1000.0 or DEFAULT_TIMEOUT_SECONDS
        if request.timeout is not None and request.timeout < timeout:
            timeout = request.timeout
        now = clock.now()
        body = bodies.Body(
            channels[0],
            request.content_length,
            service.body_limit or DEFAULT_BODY_LIMIT_BYTES,
            self._options,
        )
        scope = anyio.CancelScope(deadline=now + timeout)
        return calls.Call(
            request, service, body, channels, (now, now + timeout), scope
        )


async def _handle(
    call: calls.Call, handler: Handler
) -> outcomes.Refusal | None:
    refusal = call.body.check_length()
    if refusal is not None:
        return refusal
    try:
        if not call.body.is_read:
            await call.body.prefetch()
        return await handler(call)
    except bodies.BodyError as error:
        return error.refusal
    except bodies.CallerDisconnected:
        raise
    except Exception:
        LOG.exception("route: unexpected error while handling a request")
        return outcomes.Refusal(
            _CODES.OUTCOME_UNKNOWN, "internal error in this daemon"
        )


def _refuse_disconnected(call: calls.Call) -> outcomes.Refusal:
    code = (
        _CODES.DEADLINE_PASSED
        if call.run_state == responses.NOT_RUN
        else _CODES.OUTCOME_UNKNOWN
    )
    return outcomes.Refusal(code, "the caller closed its connection")


def _has_body(scope: asgi.Scope) -> bool:
    return any(
        name in (b"content-length", b"transfer-encoding")
        for name, _ in scope["headers"]
    )
