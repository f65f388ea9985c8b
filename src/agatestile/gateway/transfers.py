"""Sends a request over a lane and passes the answer on."""

from __future__ import annotations

import typing

import httpcore

from agatestile.gateway import bodies
from agatestile.gateway import responses
from agatestile.limits import deduplication
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.gateway import asgi
    from agatestile.gateway import calls
    from agatestile.gateway import lanes
    from agatestile.gateway import wire

WHOLE_BYTES = 32 * 1024
"""Answers up to this size are read to their end before their head is
passed on, so that a broken one still gets a result code."""

_CODES = codes.ResultCode
_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    bodies.BodyError,
)


async def send(
    call: calls.Call, lane: lanes.Lane, headers: asgi.Headers
) -> wire.Answer | outcomes.Refusal:
    """Send the request and return the head of the answer.

    Sets ``call.run`` to what is known of the execution. After a refusal or
    an exception the lane must be discarded.
    """
    request = call.request
    framing = call.body.framing(request.method)
    if framing is not None:
        headers.append(framing)
    call.lane = lane
    call.run_before = call.run
    try:
        response = await lane.send(
            request.method, request.target, headers, call.body.content()
        )
    except _ERRORS as error:
        return _refusal_of(error, call, lane)
    finally:
        call.lane = None
        if lane.was_written():
            call.run = responses.UNKNOWN
    return response


async def pass_on(
    call: calls.Call,
    response: wire.Answer,
    own: asgi.Headers | None,
) -> outcomes.Refusal | None:
    """Pass an answer on to the caller.

    Parameters
    ----------
    call : calls.Call
        The request.
    response : wire.Answer
        The answer, of which only the head was read.
    own : list of (bytes, bytes) or None
        Headers to add; None for an answer of another daemon, which has
        them.

    Returns
    -------
    Refusal or None
        ``ANSWER_BROKEN`` if the answer has no verifiable end or broke off.
        If ``call.responded`` is true then, the caller's connection must be
        broken.
    """
    headers, removed = responses.passed_headers(response.headers, own is None)
    if own is not None:
        headers += own
    length = _length_of(headers)
    if b"transfer-encoding" in removed:
        headers = [pair for pair in headers if pair[0] != b"content-length"]
        length = None
    elif length is None and not _is_bodiless(call, response.status):
        # Such a body ends where the connection ends, so that a part of it
        # looks like the whole.
        return _broken("the answer does not tell where it ends")
    if response.status < 200:
        return _broken(f"unexpected status {response.status}")
    try:
        if _is_bodiless(call, response.status) or (
            length is not None and length <= WHOLE_BYTES
        ):
            await _pass_whole(call, response, headers)
        else:
            await _pass_stream(call, response, headers)
    except _ERRORS as error:
        return _broken(f"the answer broke off: {_text(error)}")
    call.run = responses.RUN
    return None


async def read_small(response: wire.Answer) -> bytes | None:
    """Return the body of a refusal, None if it is long or broken."""
    parts: list[bytes] = []
    size = 0
    try:
        async for part in response.body:
            parts.append(part)
            size += len(part)
            if size > WHOLE_BYTES:
                return None
    except _ERRORS:
        return None
    return b"".join(parts)


async def _pass_whole(
    call: calls.Call, response: wire.Answer, headers: asgi.Headers
) -> None:
    body = response.body.take_whole()
    if body is None:
        body = b"".join([part async for part in response.body])
    if len(body) <= deduplication.ANSWER_LIMIT_BYTES:
        call.answer = deduplication.Answer(
            response.status, tuple(headers), body
        )
    await send_whole(call, response.status, headers, body)


async def send_whole(
    call: calls.Call, status: int, headers: asgi.Headers, body: bytes
) -> None:
    """Pass a complete answer on."""
    call.responded = True
    await call.send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await call.send({"type": "http.response.body", "body": body})


async def _pass_stream(
    call: calls.Call, response: wire.Answer, headers: asgi.Headers
) -> None:
    call.responded = True
    await call.send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    async for part in response.body:
        await call.send(
            {"type": "http.response.body", "body": part, "more_body": True}
        )
    await call.send({"type": "http.response.body", "body": b""})


def _refusal_of(
    error: Exception, call: calls.Call, lane: lanes.Lane
) -> outcomes.Refusal:
    if lane.was_written():
        return outcomes.Refusal(
            _CODES.OUTCOME_UNKNOWN,
            f"failed after it was sent: {_text(error)}",
        )
    if isinstance(error, bodies.BodyError):
        return error.refusal
    return outcomes.Refusal(_CODES.CONNECT_FAILED, f"not sent: {_text(error)}")


def _length_of(headers: asgi.Headers) -> int | None:
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None


def _is_bodiless(call: calls.Call, status: int) -> bool:
    return call.request.method == "HEAD" or status in (204, 304)


def _broken(reason: str) -> outcomes.Refusal:
    return outcomes.Refusal(_CODES.ANSWER_BROKEN, reason)


def _text(error: Exception) -> str:
    return str(error) or type(error).__name__
