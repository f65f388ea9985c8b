"""Arbitrary input from callers, which must not affect other requests."""

from __future__ import annotations

import asyncio
import typing

import hypothesis
from hypothesis import strategies

from agatestile.catalog import configuration
from agatestile.transport import messages
from agatestile.transport import server

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


class _Transport:
    """Transport that stores the data written before it is closed."""

    def __init__(self) -> None:
        self.written = b""
        self.is_closed = False

    def write(self, data: bytes) -> None:
        assert not self.is_closed
        self.written += data

    def close(self) -> None:
        self.is_closed = True

    abort = close

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.is_closed


async def _feed(
    parts: list[bytes],
) -> tuple[list[messages.Request], _Transport]:
    """Feed data to a connection; return its requests and its transport."""
    handled: list[messages.Request] = []

    async def handle(request: messages.Request) -> messages.Response:
        handled.append(request)
        return messages.Response(200, [], b"")

    connection = server.ServerConnection(
        server.Listener(handle, lambda: LIMITS)
    )
    transport: typing.Any = _Transport()
    connection.connection_made(transport)
    for part in parts:
        if transport.is_closed:
            break
        connection.data_received(part)
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
