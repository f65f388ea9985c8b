"""Sends requests over connections and forwards the responses."""

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
"""Responses up to this size are read completely before their head is sent to
the caller, so that a broken one still gets a result code."""

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
    """Send a request and return the head of the response.

    Updates ``call.run_state``. After a refusal or an exception the
    connection must be discarded.
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
    """Forward a response to the caller.

    Parameters
    ----------
    call : calls.Call
        The request.
    response : client_protocol.Response
        The response, of which only the head was read.
    added_headers : list of (bytes, bytes) or None
        Result headers to add; None for a response of another daemon, which
        already has them.

    Returns
    -------
    Refusal or None
        ``ANSWER_BROKEN`` if the response is incomplete or its end cannot be
        verified. If ``call.responded`` is true then, the connection of the
        caller must be closed without completing the response.
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
        # The body ends when the connection is closed, so an incomplete body
        # cannot be told from a complete one.
        return _refuse_broken(
            "the response has neither content-length nor transfer-encoding"
        )
    if response.status < 200:
        return _refuse_broken(
            f"the response has the unexpected status {response.status}"
        )
    try:
        if _is_bodiless(call, response.status) or (
            length is not None and length <= BUFFERED_RESPONSE_BYTES
        ):
            await _forward_buffered(call, response, headers)
        else:
            await _forward_streamed(call, response, headers)
    except _TRANSFER_ERRORS as error:
        return _refuse_broken(
            f"the response is incomplete: {_describe(error)}"
        )
    call.run_state = responses.RUN
    return None


async def read_short_body(response: client_protocol.Response) -> bytes | None:
    """Return the body of a refusal, None if it is long or incomplete."""
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
    """Send a complete response to the caller."""
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
            f"the request failed after it was sent: {_describe(error)}",
        )
    if isinstance(error, bodies.BodyError):
        return error.refusal
    return outcomes.Refusal(
        _CODES.CONNECT_FAILED, f"the request was not sent: {_describe(error)}"
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
