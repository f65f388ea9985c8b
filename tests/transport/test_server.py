"""HTTP server connections and their limits."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import pytest

from agatestile.catalog import configuration
from agatestile.transport import messages
from agatestile.transport import server

pytestmark = pytest.mark.anyio
GET = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"
LIMITS = configuration.CallerLimits(200, 100, 0.1, 0.3)


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
    yield listener, reader, writer
    writer.close()
    listener.stop()


async def _echo(request: messages.Request) -> messages.Response:
    return messages.Response(200, [], request.target + request.body)


async def _read(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    async with asyncio.timeout(2.0):
        head = await reader.readuntil(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        return head, await reader.readexactly(length)


async def test_requests_share_a_connection() -> None:
    async with _listening(_echo) as (_, reader, writer):
        for _ in range(2):
            writer.write(GET)
            head, body = await _read(reader)
            assert head.startswith(b"HTTP/1.1 200") and body == b"/a"


async def test_chunked_body_is_reassembled() -> None:
    async with _listening(_echo) as (_, reader, writer):
        writer.write(
            b"POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
            b"2\r\nxy\r\n1\r\nz\r\n0\r\n\r\n"
        )
        _, body = await _read(reader)
        assert body == b"/axyz"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /a HTTP/1.1\r\nx: " + b"y" * 300 + b"\r\n\r\n", b"431"),
        (
            b"POST /a HTTP/1.1\r\ncontent-length: 200\r\n\r\n" + b"y" * 200,
            b"413",
        ),
        (b"GET /a HTTP/1.1\r\nx: y", b"408"),
    ],
)
async def test_request_beyond_a_limit_is_rejected(
    data: bytes, status: bytes
) -> None:
    """Guards against callers that occupy memory or connections."""
    async with _listening(_echo) as (_, reader, writer):
        writer.write(data)
        head, _ = await _read(reader)
        assert head.split(b" ")[1] == status
        assert b"connection: close" in head


async def test_handler_is_cancelled_when_its_caller_disconnects() -> None:
    """Guards against work on requests whose response nobody receives."""
    ended = asyncio.Event()
    started = asyncio.Event()

    async def handler(request: messages.Request) -> messages.Response:
        started.set()
        try:
            await asyncio.sleep(10.0)
        finally:
            ended.set()
        raise AssertionError("not cancelled")

    async with _listening(handler) as (_, _reader, writer):
        writer.write(GET)
        await started.wait()
        writer.close()
        async with asyncio.timeout(1.0):
            await ended.wait()


@pytest.mark.parametrize("count", [1, 3])
async def test_draining_listener_responds_and_then_closes(count: int) -> None:
    """Guards against a request that is cut off by a shutdown.

    All that have arrived are answered: one that waits behind another would
    otherwise be handled although its response can no longer be sent.
    """
    async with _listening(_echo) as (listener, reader, writer):
        listener.start_draining()
        writer.write(count * GET)
        for left in reversed(range(count)):
            head, _ = await _read(reader)
            assert (b"connection: close" in head) == (not left)
        assert await reader.read() == b""


async def test_idle_connection_closes_after_the_idle_timeout() -> None:
    """Guards against idle connections that are never closed."""
    async with _listening(_echo) as (_, reader, writer):
        writer.write(GET)
        await _read(reader)
        start = asyncio.get_running_loop().time()
        async with asyncio.timeout(2.0):
            assert await reader.read() == b""
        assert asyncio.get_running_loop().time() - start > 0.25


async def test_handler_error_closes_its_connection_immediately() -> None:
    """Guards against a caller that waits for a response until its timeout."""

    async def handler(request: messages.Request) -> messages.Response:
        raise KeyError("handler error")

    async with _listening(handler) as (listener, reader, writer):
        writer.write(GET)
        async with asyncio.timeout(1.0):
            with contextlib.suppress(ConnectionResetError):
                assert await reader.read() == b""
        assert listener.busy_connections == 0
