"""What callers that send without end cost a host."""

from __future__ import annotations

import asyncio
import contextlib
import tracemalloc
import typing

import pytest

from agatestile.catalog import configuration
from agatestile.transport import messages
from agatestile.transport import server

pytestmark = pytest.mark.anyio

BODY_LIMIT_BYTES = 256 * 1024
LIMITS = configuration.CallerLimits(16 * 1024, BODY_LIMIT_BYTES, 1.0, 0.5)

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
