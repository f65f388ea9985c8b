"""Arbitrary input from callers, which must not affect other requests."""

from __future__ import annotations

import asyncio
import typing

import hypothesis
from hypothesis import strategies

from agatestile.catalog import configuration
from agatestile.transport import messages
from agatestile.transport import server
from agatestile.transport import server_connection
from tests.transport import support

LIMITS = configuration.CallerLimits(400, 200, 5.0, 5.0)
TOKENS = strategies.sampled_from(
    [
        b"GET /a HTTP/1.1\r\n",
        b"POST /b?c=d HTTP/1.1\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"host: x\r\n",
        b"content-length: 3\r\n",
        b"content-length: 4\r\n",
        b"transfer-encoding: chunked\r\n",
        b"connection: close\r\n",
        b"upgrade: websocket\r\n",
        b"\r\n",
        b"abc",
        b"3\r\nabc\r\n0\r\n\r\n",
        b"x" * 500,
    ]
)
INPUTS = strategies.lists(
    strategies.one_of(TOKENS, strategies.binary(max_size=20)), max_size=12
).map(b"".join)


async def _feed(
    parts: list[bytes],
) -> tuple[list[messages.Request], support.RecordingTransport]:
    """Feed data to a connection; return its requests and its transport."""
    handled: list[messages.Request] = []

    async def handle(request: messages.Request) -> messages.Response:
        handled.append(request)
        return messages.Response(200, [], b"")

    connection = server_connection.ServerConnection(
        server.Listener(handle, lambda: LIMITS)
    )
    transport: typing.Any = support.RecordingTransport()
    connection.connection_made(transport)
    for part in parts:
        if transport.is_closed:
            break
        support.receive(connection, part)
        for _ in range(3):
            await asyncio.sleep(0)
    connection.connection_lost(None)
    return handled, transport


@hypothesis.settings(deadline=None)
@hypothesis.given(INPUTS)
def test_any_input_gets_only_valid_responses(
    content: bytes,
) -> None:
    """Guards against input that leaves a request without a response.

    A connection responds to each request it accepts, or closes, and
    accepts no body above the limit.
    """
    handled, transport = asyncio.run(_feed([content]))
    assert transport.written.count(b"HTTP/1.1 ") >= len(handled) or (
        transport.is_closed
    )
    if transport.written:
        assert transport.written.startswith(b"HTTP/1.1 ")
    for request in handled:
        assert len(request.body) <= LIMITS.body_bytes


@hypothesis.settings(deadline=None)
@hypothesis.given(INPUTS, strategies.integers(1, 40))
def test_requests_do_not_depend_on_data_boundaries(
    content: bytes, size: int
) -> None:
    """Guards against request smuggling, one request hidden in another."""
    parts = [
        content[start : start + size] for start in range(0, len(content), size)
    ]
    whole, _ = asyncio.run(_feed([content]))
    split, _ = asyncio.run(_feed(parts))
    shorter, longer = sorted((whole, split), key=len)
    assert longer[: len(shorter)] == shorter
