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
    from agatestile.gateway import lanes
    from agatestile.gateway import wire
    from agatestile.limits import admission

SILENCE_LEAST = 0.25
SILENCE_FACTOR = 8.0
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


class Exchange:
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

    def __init__(self, server: str, slots: admission.Admission) -> None:
        self._admission = slots
        self._owner = responses.own_headers(0, responses.RUN, server)
        self.incarnation = b""
        self._numbers = itertools.count(1)
        self.fence = b""

    async def run(
        self,
        call: calls.Call,
        attempt: Attempt,
        lane: lanes.Lane,
        host: tuple[bytes, bytes],
    ) -> tuple[outcomes.Refusal | None, bool]:
        """Return the refusal, if any, and whether the lane can be reused."""
        identifier = self._identifier_of(call)
        sent = clock.now()
        call.went_silent = False
        call.silent_at = self._silent_at(call, lane, sent)
        response = await transfers.send(
            call, lane, self._headers(call, identifier, sent, host)
        )
        if isinstance(response, outcomes.Refusal):
            return self._failed(call, attempt, response, sent), False
        attempt.latency = clock.now() - lane.sent_at(sent)
        answered = response.header(b"x-request-id")
        if answered is not None and answered != identifier:
            return outcomes.Refusal(
                _CODES.ANSWER_BROKEN, "the answer is for another request"
            ), False
        refused = response.header(b"x-refused")
        if refused is not None:
            refusal = _refused(call, attempt, response, refused)
            is_clean = await transfers.read_small(response) is not None
            return refusal, is_clean
        self._note_incarnation(response)
        broken = await transfers.pass_on(call, response, self._owner)
        return broken, broken is None

    def _failed(
        self,
        call: calls.Call,
        attempt: Attempt,
        refusal: outcomes.Refusal,
        now: float,
    ) -> outcomes.Refusal:
        if refusal.code == _CODES.CONNECT_FAILED:
            self._admission.ramp.mark_cold(now, "no connection")
        if call.went_silent:
            # The server may run the request until its deadline, because
            # the end of a silent connection may not reach it either.
            attempt.hold_until = call.deadline
            return refusal._replace(
                reason="no answer on an established connection"
            )
        return refusal

    def _note_incarnation(self, response: wire.Answer) -> None:
        incarnation = response.header(b"x-incarnation")
        if incarnation is None or incarnation == self.incarnation:
            return
        if self.incarnation:
            self._admission.ramp.mark_cold(clock.now(), "it started again")
        self.incarnation = incarnation

    def _identifier_of(self, call: calls.Call) -> bytes:
        if call.request.identifier:
            return call.request.identifier.encode("ascii")
        return b"%s-%d" % (self.fence, next(self._numbers))

    def _headers(
        self,
        call: calls.Call,
        identifier: bytes,
        now: float,
        host: tuple[bytes, bytes],
    ) -> asgi.Headers:
        left = max(int((call.deadline - now) * 1000), 1)
        return [
            host,
            *call.request.headers,
            (b"x-fence", self.fence),
            (b"x-deadline-ms", b"%d" % left),
            (b"x-request-id", identifier),
        ]

    def _silent_at(
        self, call: calls.Call, lane: lanes.Lane, now: float
    ) -> float:
        if lane.is_fresh or not call.may_repeat:
            return 0.0
        usual = self._admission.quantiles.quantile(0.99, now)
        wait = max(SILENCE_LEAST, SILENCE_FACTOR * usual)
        return now + min(wait, (call.deadline - now) / 2.0)


def _refused(
    call: calls.Call, attempt: Attempt, response: wire.Answer, why: bytes
) -> outcomes.Refusal:
    """Return what a refusal of the server means."""
    attempt.latency = None
    if response.status == 503 and why == b"shed":
        attempt.shed = True
        call.run = call.run_before
        return outcomes.Refusal(
            _CODES.SERVER_SHED, "the server was out of slots"
        )
    text = why.decode("latin-1")[:64]
    is_fence = response.status == 409 and why == b"fence"
    if is_fence or response.header(b"x-started") == b"0":
        call.run = call.run_before
        return outcomes.Refusal(
            _CODES.SERVER_REFUSED, f"the server refused it: {text}"
        )
    return outcomes.Refusal(
        _CODES.OUTCOME_UNKNOWN,
        f"the server gave up ({text}) without telling that it did not "
        "start the request",
    )
