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
    from agatestile.gateway import client_protocol
    from agatestile.gateway import connection_pool

BUFFERED_RESPONSE_BYTES = 32 * 1024
"""Answers up to this size are read to their end before their head is
passed on, so that a broken one still gets a result code."""

_CODES = codes.ResultCode
_TRANSFER_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    bodies.BodyError,
)


async def send_request(
    call: calls.Call,
    connection: connection_pool.PooledConnection,
    headers: asgi.Headers,
) -> client_protocol.Response | outcomes.Refusal:
    """Send the request and return the head of the answer.

    Sets ``call.run`` to what is known of the execution. After a refusal or
    an exception the lane must be discarded.
    """
    request = call.request
    framing_header = call.body.framing_header(request.method)
    if framing_header is not None:
        headers.append(framing_header)
    call.connection = connection
    call.run_state_before = call.run_state
    try:
        response = await connection.send(
            request.method, request.target, headers, call.body.content()
        )
    except _TRANSFER_ERRORS as error:
        return _refuse_failed_send(error, call, connection)
    finally:
        call.connection = None
        if connection.was_written():
            call.run_state = responses.UNKNOWN
    return response


async def forward_response(
    call: calls.Call,
    response: client_protocol.Response,
    added_headers: asgi.Headers | None,
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
    headers, removed = responses.split_response_headers(
        response.headers, added_headers is None
    )
    if added_headers is not None:
        headers += added_headers
    length = _content_length(headers)
    if b"transfer-encoding" in removed:
        headers = [pair for pair in headers if pair[0] != b"content-length"]
        length = None
    elif length is None and not _is_bodiless(call, response.status):
        # Such a body ends where the connection ends, so that a part of it
        # looks like the whole.
        return _refuse_broken("the answer does not tell where it ends")
    if response.status < 200:
        return _refuse_broken(f"unexpected status {response.status}")
    try:
        if _is_bodiless(call, response.status) or (
            length is not None and length <= BUFFERED_RESPONSE_BYTES
        ):
            await _forward_buffered(call, response, headers)
        else:
            await _forward_streamed(call, response, headers)
    except _TRANSFER_ERRORS as error:
        return _refuse_broken(f"the answer broke off: {_describe(error)}")
    call.run_state = responses.RUN
    return None


async def read_short_body(response: client_protocol.Response) -> bytes | None:
    """Return the body of a refusal, None if it is long or broken."""
    parts: list[bytes] = []
    size = 0
    try:
        async for part in response.body:
            parts.append(part)
            size += len(part)
            if size > BUFFERED_RESPONSE_BYTES:
                return None
    except _TRANSFER_ERRORS:
        return None
    return b"".join(parts)


async def _forward_buffered(
    call: calls.Call, response: client_protocol.Response, headers: asgi.Headers
) -> None:
    body = response.body.take_complete_body()
    if body is None:
        body = b"".join([part async for part in response.body])
    if len(body) <= deduplication.ANSWER_LIMIT_BYTES:
        call.answer = deduplication.Answer(
            response.status, tuple(headers), body
        )
    await send_complete(call, response.status, headers, body)


async def send_complete(
    call: calls.Call, status: int, headers: asgi.Headers, body: bytes
) -> None:
    """Pass a complete answer on."""
    call.responded = True
    await call.send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await call.send({"type": "http.response.body", "body": body})


async def _forward_streamed(
    call: calls.Call, response: client_protocol.Response, headers: asgi.Headers
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


def _refuse_failed_send(
    error: Exception,
    call: calls.Call,
    connection: connection_pool.PooledConnection,
) -> outcomes.Refusal:
    if connection.was_written():
        return outcomes.Refusal(
            _CODES.OUTCOME_UNKNOWN,
            f"failed after it was sent: {_describe(error)}",
        )
    if isinstance(error, bodies.BodyError):
        return error.refusal
    return outcomes.Refusal(
        _CODES.CONNECT_FAILED, f"not sent: {_describe(error)}"
    )


def _content_length(headers: asgi.Headers) -> int | None:
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None


def _is_bodiless(call: calls.Call, status: int) -> bool:
    return call.request.method == "HEAD" or status in (204, 304)


def _refuse_broken(reason: str) -> outcomes.Refusal:
    return outcomes.Refusal(_CODES.ANSWER_BROKEN, reason)


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
