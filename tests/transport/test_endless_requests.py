"""What callers that send without end or don't read cost a host."""

from __future__ import annotations

import asyncio
import contextlib
import tracemalloc
import typing

import pytest

from agatestile.catalog import configuration
from agatestile.transport import messages
from agatestile.transport import server
from agatestile.transport import server_connection

pytestmark = pytest.mark.anyio

BODY_LIMIT_BYTES = 256 * 1024
LIMITS = configuration.CallerLimits(16 * 1024, BODY_LIMIT_BYTES, 1.0, 0.5)
GET = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"

HARNESS_BYTES = 2 * 1024 * 1024
"""Allowed for the caller, which runs in the test's process."""

SEND_SECONDS = 2.0
"""Time for which a caller sends."""


@contextlib.asynccontextmanager
async def _listening(
    handler: server.Handler,
) -> typing.AsyncIterator[
    tuple[server.Listener, asyncio.StreamReader, asyncio.StreamWriter]
]:
    listener = server.Listener(handler, lambda: LIMITS)
    await listener.start("127.0.0.1", 0)
    assert listener._server is not None
    port = listener._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield listener, reader, writer
    finally:
        writer.transport.abort()
        listener.stop()
        await asyncio.sleep(0)


async def _send(
    writer: asyncio.StreamWriter, block: bytes, most: int = 1 << 40
) -> int:
    """Send a block again and again; return the peak of what is kept."""
    tracemalloc.start()
    try:
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(SEND_SECONDS):
                for _ in range(most // len(block)):
                    writer.write(block)
                    await writer.drain()
        # Socket buffers hold the last of it.
        await asyncio.sleep(0.5)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


async def _never_respond(request: messages.Request) -> messages.Response:
    await asyncio.sleep(60.0)
    return messages.Response(200, [], b"")


async def _respond_large(request: messages.Request) -> messages.Response:
    return messages.Response(200, [], bytes(100_000))


@pytest.mark.parametrize("size", [1, 2, 16])
async def test_body_in_small_chunks_costs_no_more_than_its_limit(
    size: int,
) -> None:
    """Guards against a host that keeps each chunk with its overhead."""
    chunk = b"%x\r\n%b\r\n" % (size, b"b" * size)
    async with _listening(_never_respond) as (_, _, writer):
        writer.write(
            b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        kept = await _send(
            writer, chunk * 4096, BODY_LIMIT_BYTES // size * len(chunk)
        )
    assert kept < 2 * BODY_LIMIT_BYTES + HARNESS_BYTES


async def test_requests_without_end_wait_with_their_caller() -> None:
    """Guards against a queue of one connection that grows without end."""
    async with _listening(_never_respond) as (_, _, writer):
        kept = await _send(writer, GET * 1024)
    assert kept < 2 * BODY_LIMIT_BYTES + HARNESS_BYTES


async def test_responses_that_are_not_read_wait_for_their_caller() -> None:
    """Guards against responses kept without end for one connection."""
    async with _listening(_respond_large) as (_, _, writer):
        kept = await _send(writer, GET * 16)
    assert kept < 2 * BODY_LIMIT_BYTES + HARNESS_BYTES


async def test_pipelined_requests_are_all_answered_in_order() -> None:
    """Guards against requests lost where reading stops and continues."""
    count = 4 * server_connection.MAX_PENDING_REQUESTS
    handled = 0

    async def respond(request: messages.Request) -> messages.Response:
        nonlocal handled
        handled += 1
        await asyncio.sleep(0)
        return messages.Response(200, [], request.target + request.body)

    requests = b"".join(
        b"POST /%d HTTP/1.1\r\nhost: x\r\ncontent-length: 2000\r\n\r\n"
        % number
        + b"b" * 2000
        for number in range(count)
    )
    async with _listening(respond) as (_, reader, writer):
        writer.write(requests)
        for number in range(count):
            async with asyncio.timeout(5.0):
                await reader.readuntil(b"\r\n\r\n")
                expected = b"/%d" % number + b"b" * 2000
                assert await reader.readexactly(len(expected)) == expected
    assert handled == count


async def test_response_that_is_not_read_ends_with_the_idle_timeout() -> None:
    """Guards against a response kept until its caller goes away."""

    async def respond(request: messages.Request) -> messages.Response:
        return messages.Response(200, [], bytes(32 * 1024 * 1024))

    async with _listening(respond) as (listener, reader, writer):
        # The reader's own limit stops it before it has read everything.
        writer.write(GET)
        await asyncio.sleep(4 * LIMITS.idle_timeout)
        assert not listener.connections


async def test_response_that_is_read_slowly_is_delivered_whole() -> None:
    """Guards against a slow caller that is taken for one that has stopped."""
    size = 16 * 1024 * 1024

    async def respond(request: messages.Request) -> messages.Response:
        return messages.Response(200, [], bytes(size))

    async with _listening(respond) as (_, reader, writer):
        writer.write(GET)
        await reader.readuntil(b"\r\n\r\n")
        for _ in range(16):
            await asyncio.sleep(LIMITS.idle_timeout / 4)
            async with asyncio.timeout(1.0):
                await reader.readexactly(size // 16)
