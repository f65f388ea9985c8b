"""Forwards requests to the gates on other hosts."""

from __future__ import annotations

import typing

import msgspec

from agatestile.gateway import clock
from agatestile.gateway import lanes
from agatestile.gateway import transfers
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.gateway import asgi
    from agatestile.gateway import calls
    from agatestile.gateway import wire

LANES_PER_GATE = 256
"""Connections to one other daemon. The gate's queues are the real bound;
this one keeps a daemon that stopped answering from using up sockets."""

MARGIN_SECONDS = 0.005
"""Taken off the time that a gate gets, so that its own refusal arrives
before the deadline of the entry (one-way latency is 1 ms)."""

SILENCE_SECONDS = 1.0
"""When a reused lane to a daemon counts as silent."""

_CODES = codes.ResultCode


class _Refused(msgspec.Struct):
    reason: str = ""


_DECODER = msgspec.json.Decoder(_Refused)


class Forwarder:
    """Lanes to the other daemons, by address."""

    def __init__(self) -> None:
        self._lanes_by_address: dict[str, lanes.Lanes] = {}

    async def handle(
        self, call: calls.Call, address: str, fresh_only: bool
    ) -> outcomes.Refusal | None:
        """Send the request to a gate once and pass its answer on."""
        pool = self._lanes_by_address.get(address)
        if pool is None:
            pool = lanes.Lanes(address, LANES_PER_GATE)
            self._lanes_by_address[address] = pool
        now = clock.now()
        lane = pool.take(now, fresh_only, call.may_repeat)
        if lane is None:
            return outcomes.Refusal(
                _CODES.QUEUE_FULL, f"no connection to gate {address} is free"
            )
        is_clean = False
        try:
            refusal, is_clean = await self._exchange(call, lane, address)
            return refusal
        finally:
            if is_clean:
                pool.give_back(lane, clock.now())
            else:
                pool.discard(lane)
                if call.went_silent:
                    pool.close_idle(clock.now())

    def sweep(self, now: float) -> None:
        """Close lanes that are not needed any more."""
        for pool in self._lanes_by_address.values():
            pool.close_idle(now - lanes.CLOSE_AFTER)
        self._lanes_by_address = {
            address: pool
            for address, pool in self._lanes_by_address.items()
            if pool.open
        }

    async def _exchange(
        self, call: calls.Call, lane: lanes.Lane, address: str
    ) -> tuple[outcomes.Refusal | None, bool]:
        now = clock.now()
        call.went_silent = False
        call.silent_at = 0.0
        if call.may_repeat and not lane.is_fresh:
            left = (call.deadline - now) / 2.0
            call.silent_at = now + min(SILENCE_SECONDS, left)
        response = await transfers.send(
            call, lane, _headers(call, address, now)
        )
        if isinstance(response, outcomes.Refusal):
            if response.code == _CODES.CONNECT_FAILED:
                # That code tells of the server; here the gate is missing.
                response = response._replace(code=_CODES.NO_GATE)
            return response, False
        code = _code_of(response)
        if code is None:
            return outcomes.Refusal(
                _CODES.ANSWER_BROKEN, f"{address} is not one of our daemons"
            ), False
        if not codes.did_not_run(code):
            refusal = await transfers.pass_on(call, response, None)
            return refusal, refusal is None
        call.run = call.run_before
        body = await transfers.read_small(response)
        return _refusal_of(code, body), body is not None


def _headers(call: calls.Call, address: str, now: float) -> asgi.Headers:
    request = call.request
    left = max(call.deadline - now - MARGIN_SECONDS, 0.001)
    headers = [
        (b"host", address.encode("ascii")),
        *request.headers,
        (b"x-agatestile-timeout-ms", b"%d" % max(int(left * 1000), 1)),
    ]
    if request.identifier:
        identifier = request.identifier.encode("ascii")
        headers.append((b"x-agatestile-request-id", identifier))
        headers.append((b"x-agatestile-attempt", b"%d" % request.attempt))
    if request.key_header:
        headers.append((b"x-agatestile-key", request.key_header))
    return headers


def _code_of(response: wire.Answer) -> codes.ResultCode | None:
    try:
        return codes.ResultCode(
            int(response.header(b"x-agatestile-code") or b"-1")
        )
    except ValueError:
        return None


def _refusal_of(
    code: codes.ResultCode, body: bytes | None
) -> outcomes.Refusal:
    reason = "refused by the gate"
    if body:
        try:
            reason = _DECODER.decode(body).reason
        except msgspec.DecodeError:
            pass
    return outcomes.Refusal(code, reason)
