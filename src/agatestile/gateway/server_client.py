"""Client of a backend server: sends requests and checks the responses."""

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
"""A reused connection is closed if no response to a repeatable request arrives
within this multiple of the 99% quantile of the latency, since established
connections can stop working while new ones work (section 1.2 of
docs/design.md)."""

_CODES = codes.ResultCode


class Attempt:
    """Outcome of one attempt to run a request.

    Attributes
    ----------
    latency : float or None
        Seconds from sending the request to the head of the response, None
        without a response.
    shed : bool
        Whether the server refused the request for lack of capacity.
    hold_until : float
        Clock of the event loop, in seconds, until which the server may
        still run the request; 0.0 if it certainly does not.
    """

    __slots__ = ("hold_until", "latency", "shed")

    def __init__(self) -> None:
        self.hold_until = 0.0
        self.latency: float | None = None
        self.shed = False


class ServerClient:
    """Sends requests to one server and checks its responses.

    Parameters
    ----------
    server : str
        Name of the server.
    server_admission : admission.Admission
        Latency quantiles and slow start of the server.

    Attributes
    ----------
    fence : bytes
        Fencing token that the server checks.
    incarnation : bytes
        Incarnation of the server that responded last, empty while
        unknown.
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
        """Send a request and forward the response to the caller.

        Returns
        -------
        Refusal or None, bool
            Refusal if the request failed, and whether the connection can be
            reused.
        """
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
                _CODES.ANSWER_BROKEN, "the response is for another request"
            ), False
        cause = response.header(b"x-refused")
        if cause is not None:
            refusal = _parse_refusal(call, attempt, response, cause)
            is_complete = await transfers.read_short_body(response) is not None
            # The caller's next attempt has the same identifier, so a late
            # copy of this response would be taken for its refusal.
            return refusal, is_complete and not call.request.identifier
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
            # The server may run the request until the deadline, because it
            # may not notice that this connection was closed.
            attempt.hold_until = call.deadline
            return refusal._replace(
                reason="no response on an established connection"
            )
        return refusal

    def _update_incarnation(self, response: client_protocol.Response) -> None:
        incarnation = response.header(b"x-incarnation")
        if incarnation is None or incarnation == self.incarnation:
            return
        if self.incarnation:
            self._admission.ramp.mark_cold(clock.now(), "the server restarted")
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
    """Return the refusal for a refusal of the server."""
    attempt.latency = None
    if response.status == 503 and cause == b"shed":
        attempt.shed = True
        call.run_state = call.run_state_before
        return outcomes.Refusal(
            _CODES.SERVER_SHED, "the server has no free slot"
        )
    text = cause.decode("latin-1")[:64]
    is_fenced = response.status == 409 and cause == b"fence"
    if is_fenced or response.header(b"x-started") == b"0":
        call.run_state = call.run_state_before
        return outcomes.Refusal(
            _CODES.SERVER_REFUSED, f"the server refused the request: {text}"
        )
    return outcomes.Refusal(
        _CODES.OUTCOME_UNKNOWN,
        f"the server gave up ({text}) without stating that it did not "
        "start the request",
    )
