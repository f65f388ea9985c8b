"""One request and its answer on a lane to a backend server."""

from __future__ import annotations

import itertools
import typing

from agatestile.gateway import clock
from agatestile.gateway import responses
from agatestile.gateway import transfers
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.gateway import asgi
    from agatestile.gateway import calls
    from agatestile.gateway import client_protocol
    from agatestile.gateway import connection_pool
    from agatestile.limits import admission

MIN_RESPONSE_TIMEOUT_SECONDS = 0.25
RESPONSE_TIMEOUT_FACTOR = 8.0
"""A reused lane without an answer counts as silent after this many times
the 99% quantile, since established connections can stop working while new
ones do (section 1.2 of the design)."""

_CODES = codes.ResultCode


class Attempt:
    """What one use of a slot showed.

    Attributes
    ----------
    latency : float or None
        Seconds from sending to the head of the answer, None without one.
    shed : bool
        Whether the server refused for want of capacity.
    hold_until : float
        Until when the server may still run the request.
    """

    __slots__ = ("hold_until", "latency", "shed")

    def __init__(self) -> None:
        self.hold_until = 0.0
        self.latency: float | None = None
        self.shed = False


class ServerClient:
    """Sends requests to one server and judges its answers.

    Parameters
    ----------
    server : str
        Name of the server.
    slots : admission.Admission
        Latencies and cold start of the server.

    Attributes
    ----------
    fence : bytes
        Fencing token that the server checks.
    incarnation : bytes
        Incarnation that last answered, empty while unknown.
    """

    def __init__(
        self, server: str, server_admission: admission.Admission
    ) -> None:
        self._admission = server_admission
        self._result_headers = responses.result_headers(
            0, responses.RUN, server
        )
        self.incarnation = b""
        self._sequence = itertools.count(1)
        self.fence = b""

    async def run(
        self,
        call: calls.Call,
        attempt: Attempt,
        connection: connection_pool.PooledConnection,
        host: tuple[bytes, bytes],
    ) -> tuple[outcomes.Refusal | None, bool]:
        """Return the refusal, if any, and whether the lane can be reused."""
        identifier = self._request_identifier(call)
        sent = clock.now()
        call.response_timed_out = False
        call.response_deadline = self._response_deadline(
            call, connection, sent
        )
        response = await transfers.send_request(
            call, connection, self._headers(call, identifier, sent, host)
        )
        if isinstance(response, outcomes.Refusal):
            return self._on_send_failure(call, attempt, response, sent), False
        attempt.latency = clock.now() - connection.send_started_at(sent)
        response_identifier = response.header(b"x-request-id")
        if (
            response_identifier is not None
            and response_identifier != identifier
        ):
            return outcomes.Refusal(
                _CODES.ANSWER_BROKEN, "the answer is for another request"
            ), False
        cause = response.header(b"x-refused")
        if cause is not None:
            refusal = _parse_refusal(call, attempt, response, cause)
            is_reusable = await transfers.read_short_body(response) is not None
            return refusal, is_reusable
        self._update_incarnation(response)
        failure = await transfers.forward_response(
            call, response, self._result_headers
        )
        return failure, failure is None

    def _on_send_failure(
        self,
        call: calls.Call,
        attempt: Attempt,
        refusal: outcomes.Refusal,
        now: float,
    ) -> outcomes.Refusal:
        if refusal.code == _CODES.CONNECT_FAILED:
            self._admission.ramp.mark_cold(now, "no connection")
        if call.response_timed_out:
            # The server may run the request until its deadline, because
            # the end of a silent connection may not reach it either.
            attempt.hold_until = call.deadline
            return refusal._replace(
                reason="no answer on an established connection"
            )
        return refusal

    def _update_incarnation(self, response: client_protocol.Response) -> None:
        incarnation = response.header(b"x-incarnation")
        if incarnation is None or incarnation == self.incarnation:
            return
        if self.incarnation:
            self._admission.ramp.mark_cold(clock.now(), "it started again")
        self.incarnation = incarnation

    def _request_identifier(self, call: calls.Call) -> bytes:
        if call.request.identifier:
            return call.request.identifier.encode("ascii")
        return b"%s-%d" % (self.fence, next(self._sequence))

    def _headers(
        self,
        call: calls.Call,
        identifier: bytes,
        now: float,
        host: tuple[bytes, bytes],
    ) -> asgi.Headers:
        remaining_ms = max(int((call.deadline - now) * 1000), 1)
        return [
            host,
            *call.request.headers,
            (b"x-fence", self.fence),
            (b"x-deadline-ms", b"%d" % remaining_ms),
            (b"x-request-id", identifier),
        ]

    def _response_deadline(
        self,
        call: calls.Call,
        connection: connection_pool.PooledConnection,
        now: float,
    ) -> float:
        if connection.is_fresh or not call.may_repeat:
            return 0.0
        latency = self._admission.quantiles.quantile(0.99, now)
        wait = max(
            MIN_RESPONSE_TIMEOUT_SECONDS, RESPONSE_TIMEOUT_FACTOR * latency
        )
        return now + min(wait, (call.deadline - now) / 2.0)


def _parse_refusal(
    call: calls.Call,
    attempt: Attempt,
    response: client_protocol.Response,
    cause: bytes,
) -> outcomes.Refusal:
    """Return what a refusal of the server means."""
    attempt.latency = None
    if response.status == 503 and cause == b"shed":
        attempt.shed = True
        call.run_state = call.run_state_before
        return outcomes.Refusal(
            _CODES.SERVER_SHED, "the server was out of slots"
        )
    text = cause.decode("latin-1")[:64]
    is_fenced = response.status == 409 and cause == b"fence"
    if is_fenced or response.header(b"x-started") == b"0":
        call.run_state = call.run_state_before
        return outcomes.Refusal(
            _CODES.SERVER_REFUSED, f"the server refused it: {text}"
        )
    return outcomes.Refusal(
        _CODES.OUTCOME_UNKNOWN,
        f"the server gave up ({text}) without telling that it did not "
        "start the request",
    )
