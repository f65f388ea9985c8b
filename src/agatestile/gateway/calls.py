"""State of a request while a daemon handles it."""

from __future__ import annotations

import typing

from agatestile.gateway import parsing
from agatestile.gateway import responses
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    import anyio

    from agatestile.gateway import asgi
    from agatestile.gateway import bodies
    from agatestile.gateway import connection_pool
    from agatestile.gateway import ports
    from agatestile.limits import deduplication
    from agatestile.state import records

_CODES = codes.ResultCode


class Call:
    """One request and its progress.

    Attributes
    ----------
    request : parsing.Request
        Head of the request.
    service : records.TableRow
        Row of the service in the services table.
    body : bodies.Body
        Body of the request.
    send : asgi.Send
        Sends the response to the caller.
    scope : anyio.CancelScope
        Cancelled at the deadline or when the caller disconnects.
    started, deadline : float
        Clock of the event loop, seconds.
    may_repeat : bool
        Whether the request may run more than once.
    run_state : str
        Whether the server ran the request, as far as is known: "not-run",
        "unknown" or "run".
    run_state_before : str
        Value of ``run_state`` before the current attempt.
    responded : bool
        Whether the head of a response was sent to the caller.
    server, gate : str
        Owner of the key and host of its gate, empty while unknown.
    position : int
        Position of the key, -1 while unknown.
    receive : asgi.Receive
        Receives the body and the disconnect message of the caller.
    permit : ports.Permit or None
        Permission to send to the server, None before this host has it.
    connection : connection_pool.PooledConnection or None
        Connection on which the head of a response is awaited.
    response_deadline : float
        Clock of the event loop, in seconds, at which that connection is
        closed for lack of a response; 0.0 for no limit.
    response_timed_out : bool
        Whether the connection was closed for lack of a response.
    is_watched : bool
        Whether a task waits for the caller to disconnect.
    is_done : bool
        Whether handling the request ended.
    is_disconnected : bool
        Whether the caller closed its connection.
    input_refusal : outcomes.Refusal or None
        Why the request was ended for what its caller sent, if it was.
    answer : deduplication.Answer or None
        Complete answer of the server if it is small enough to be kept.
    """

    __slots__ = (
        "answer",
        "body",
        "connection",
        "deadline",
        "gate",
        "input_refusal",
        "is_disconnected",
        "is_done",
        "is_watched",
        "may_repeat",
        "permit",
        "position",
        "receive",
        "request",
        "responded",
        "response_deadline",
        "response_timed_out",
        "run_state",
        "run_state_before",
        "scope",
        "send",
        "server",
        "service",
        "started",
    )

    def __init__(
        self,
        request: parsing.Request,
        service: records.TableRow,
        body: bodies.Body,
        channels: tuple[asgi.Receive, asgi.Send],
        times: tuple[float, float],
        scope: anyio.CancelScope,
    ) -> None:
        self.request = request
        self.service = service
        self.body = body
        self.receive, self.send = channels
        self.started, self.deadline = times
        self.scope = scope
        self.may_repeat = service.repeatable == "always" or (
            service.repeatable == "safe"
            and request.method in parsing.SAFE_METHODS
        )
        self.run_state = self.run_state_before = responses.NOT_RUN
        self.responded = False
        self.server = self.gate = ""
        self.position = -1
        self.permit: ports.Permit | None = None
        self.connection: connection_pool.PooledConnection | None = None
        self.response_deadline = 0.0
        self.response_timed_out = False
        self.is_watched = self.is_disconnected = self.is_done = False
        self.input_refusal: outcomes.Refusal | None = None
        self.answer: deduplication.Answer | None = None

    def limit_deadline(self, deadline: float) -> None:
        """Set the deadline if it is earlier than the current one."""
        if deadline < self.deadline:
            self.deadline = deadline
            self.scope.deadline = deadline

    def refuse_input(self, refusal: outcomes.Refusal) -> None:
        """End the request for what its caller sent, unless it is answered."""
        if not self.responded:
            self.input_refusal = refusal
            self.scope.cancel()

    def cancellation_refusal(self) -> outcomes.Refusal:
        """Return the refusal for a request that was cancelled."""
        return self.input_refusal or self._timeout_refusal()

    def _timeout_refusal(self) -> outcomes.Refusal:
        """Return the refusal for a request whose deadline has passed."""
        if self.run_state == responses.NOT_RUN:
            return outcomes.Refusal(
                _CODES.DEADLINE_PASSED,
                "the deadline passed before the request ran",
            )
        return outcomes.Refusal(
            _CODES.OUTCOME_UNKNOWN, "no response before the deadline"
        )

    def correct_refusal(self, refusal: outcomes.Refusal) -> outcomes.Refusal:
        """Replace "did not run" by an unknown outcome if it may have run.

        An earlier attempt of a repeatable request may have run although
        the last attempt did not.
        """
        if self.run_state == responses.NOT_RUN or not codes.did_not_run(
            refusal.code
        ):
            return refusal
        return outcomes.Refusal(
            _CODES.OUTCOME_UNKNOWN,
            "an earlier attempt may have run; the last one failed with "
            f"{refusal.code.name}: {refusal.reason}",
        )
