"""Forwarding of requests to gates on other hosts."""

from __future__ import annotations

import typing

import msgspec

from agatestile.gateway import clock
from agatestile.gateway import connection_pool
from agatestile.gateway import transfers
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.gateway import asgi
    from agatestile.gateway import calls
    from agatestile.gateway import client_protocol

MAX_CONNECTIONS_PER_GATE = 256
"""Limit on connections to another daemon. The queues of its gates are the
effective limit; this one keeps a daemon that stopped responding from using
up the sockets."""

DEADLINE_MARGIN_SECONDS = 0.005
"""Subtracted from the timeout of a forwarded request, so that a refusal of
the gate arrives before the deadline of the entry host (the one-way latency
is 1 ms)."""

RESPONSE_TIMEOUT_SECONDS = 1.0
"""Longest wait for the response to a repeatable request on a reused connection
to a daemon."""

_CODES = codes.ResultCode


class _RefusalBody(msgspec.Struct):
    reason: str = ""


_REFUSAL_DECODER = msgspec.json.Decoder(_RefusalBody)


class Forwarder:
    """Sends requests to gates on other hosts, over pooled connections."""

    def __init__(self) -> None:
        self._pools_by_address: dict[str, connection_pool.ConnectionPool] = {}

    async def handle(
        self, call: calls.Call, address: str, fresh_only: bool
    ) -> outcomes.Refusal | None:
        """Send a request to a gate once and pass on its response."""
        pool = self._pools_by_address.get(address)
        if pool is None:
            pool = connection_pool.ConnectionPool(
                address, MAX_CONNECTIONS_PER_GATE
            )
            self._pools_by_address[address] = pool
        now = clock.now()
        connection = pool.acquire(now, fresh_only, call.may_repeat)
        if connection is None:
            return outcomes.Refusal(
                _CODES.QUEUE_FULL,
                f"all connections to gate {address} are in use",
            )
        is_reusable = False
        try:
            refusal, is_reusable = await self._send_once(
                call, connection, address
            )
            return refusal
        finally:
            if is_reusable:
                pool.release(connection, clock.now())
            else:
                pool.discard(connection)
                if call.response_timed_out:
                    pool.close_idle(clock.now())

    def sweep(self, now: float) -> None:
        """Close idle connections and drop empty pools."""
        for pool in self._pools_by_address.values():
            pool.close_idle(now - connection_pool.MAX_IDLE_SECONDS)
        self._pools_by_address = {
            address: pool
            for address, pool in self._pools_by_address.items()
            if pool.size
        }

    async def _send_once(
        self,
        call: calls.Call,
        connection: connection_pool.PooledConnection,
        address: str,
    ) -> tuple[outcomes.Refusal | None, bool]:
        now = clock.now()
        call.response_timed_out = False
        call.response_deadline = 0.0
        if call.may_repeat and not connection.is_fresh:
            remaining = (call.deadline - now) / 2.0
            call.response_deadline = now + min(
                RESPONSE_TIMEOUT_SECONDS, remaining
            )
        response = await transfers.send_request(
            call, connection, _headers(call, address, now)
        )
        if isinstance(response, outcomes.Refusal):
            if response.code == _CODES.CONNECT_FAILED:
                # CONNECT_FAILED refers to the server; here it is the gate
                # that cannot be reached.
                response = response._replace(code=_CODES.NO_GATE)
            return response, False
        code = _parse_code(response)
        if code is None:
            return outcomes.Refusal(
                _CODES.ANSWER_BROKEN,
                f"the response of {address} has no valid result code",
            ), False
        if not codes.did_not_run(code):
            refusal = await transfers.forward_response(call, response, None)
            return refusal, refusal is None
        call.run_state = call.run_state_before
        body = await transfers.read_short_body(response)
        return _parse_refusal(code, body), body is not None


def _headers(call: calls.Call, address: str, now: float) -> asgi.Headers:
    request = call.request
    remaining = max(call.deadline - now - DEADLINE_MARGIN_SECONDS, 0.001)
    headers = [
        (b"host", address.encode("ascii")),
        *request.headers,
        (b"x-agatestile-timeout-ms", b"%d" % max(int(remaining * 1000), 1)),
    ]
    if request.identifier:
        identifier = request.identifier.encode("ascii")
        headers.append((b"x-agatestile-request-id", identifier))
        headers.append((b"x-agatestile-attempt", b"%d" % request.attempt))
    if request.key_header:
        headers.append((b"x-agatestile-key", request.key_header))
    return headers


def _parse_code(response: client_protocol.Response) -> codes.ResultCode | None:
    try:
        return codes.ResultCode(
            int(response.header(b"x-agatestile-code") or b"-1")
        )
    except ValueError:
        return None


def _parse_refusal(
    code: codes.ResultCode, body: bytes | None
) -> outcomes.Refusal:
    reason = "refused by the gate"
    if body:
        try:
            reason = _REFUSAL_DECODER.decode(body).reason
        except msgspec.DecodeError:
            pass
    return outcomes.Refusal(code, reason)
