"""State of one request on its way through a daemon."""

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
    """One request and what became of it so far.

    Attributes
    ----------
    request : parsing.Request
        Head of the request.
    service : records.TableRow
        The service's row.
    body : bodies.Body
        Body of the request.
    send : asgi.Send
        The caller.
    scope : anyio.CancelScope
        Ends at the deadline or when the caller leaves.
    started, deadline : float
        Runtime's clock, seconds.
    may_repeat : bool
        Whether the request may run more than once.
    run : str
        What is known of the execution: "not-run", "unknown" or "run".
    run_before : str
        The same without the present attempt.
    responded : bool
        Whether the head of an answer was passed on.
    server, gate : str
        Owner of the key and its gate, empty while unknown.
    position : int
        Position of the key, -1 while unknown.
    receive : asgi.Receive
        The caller's side that tells when it leaves.
    permit : ports.Permit or None
        Leave of this host's gate to send the request, once it has it.
    lane : lanes.Lane or None
        Lane that waits for the head of an answer.
    silent_at : float
        When that lane counts as silent, 0.0 if it never does.
    went_silent : bool
        Whether the lane was closed for its silence.
    is_watched : bool
        Whether the caller's connection is watched for its end.
    is_done : bool
        Whether the request ended.
    has_left : bool
        Whether the caller closed its connection.
    answer : deduplication.Answer or None
        Small complete answer of the server.
    """

    __slots__ = (
        "answer",
        "body",
        "connection",
        "deadline",
        "gate",
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
        self.answer: deduplication.Answer | None = None

    def limit_deadline(self, deadline: float) -> None:
        """Move the deadline forward."""
        if deadline < self.deadline:
            self.deadline = deadline
            self.scope.deadline = deadline

    def may_have_run(self) -> bool:
        """Tell whether a part of the request may have been sent."""
        if self.run_state != responses.NOT_RUN:
            return True
        return self.connection is not None and self.connection.was_written()

    def timeout_refusal(self) -> outcomes.Refusal:
        """Return the refusal for a deadline that passed."""
        if self.run_state == responses.NOT_RUN:
            return outcomes.Refusal(
                _CODES.DEADLINE_PASSED, "the deadline passed before it ran"
            )
        return outcomes.Refusal(
            _CODES.OUTCOME_UNKNOWN, "no answer before the deadline"
        )

    def correct_refusal(self, refusal: outcomes.Refusal) -> outcomes.Refusal:
        """Return the refusal, or an unknown outcome if it may have run.

        An earlier attempt of a request that may be repeated can have run
        although the last attempt did not.
        """
        if self.run_state == responses.NOT_RUN or not codes.did_not_run(
            refusal.code
        ):
            return refusal
        return outcomes.Refusal(
            _CODES.OUTCOME_UNKNOWN,
            f"it may have run; then {refusal.code.name}: {refusal.reason}",
        )
