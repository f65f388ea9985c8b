"""Bodies that are sent as the server reads them."""

from __future__ import annotations

import asyncio

import pytest

from agatestile.transport import body_sender
from agatestile.transport import client
from agatestile.transport import client_connection
from agatestile.transport import messages
from tests.transport import support

pytestmark = pytest.mark.anyio

BODY = bytearray(b"0123456789abcdef" * 1024 * 512)
OK = b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 2\r\n\r\nok"


async def _exchange(
    server: support.Serve,
) -> tuple[messages.Response | messages.Failure, client_connection.Connection]:
    async with support.serving(server) as address:
        pool = client.Pool(asyncio.get_running_loop().time, b"x-id")
        connection = await pool.open(address)
        assert isinstance(connection, client_connection.Connection)
        async with asyncio.timeout(5.0):
            result = await connection.exchange(b"head\n", b"1", body=BODY)
        connection.abort()
        return result, connection


@pytest.mark.parametrize("pause", [0.0, 0.002])
async def test_large_body_arrives_whole(pause: float) -> None:
    """Guards against slices that are lost or repeated at a slow server."""
    received = bytearray()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while len(received) < len(BODY) + 5:
            received.extend(await reader.read(100_000))
            await asyncio.sleep(pause)
        writer.write(OK)
        await writer.drain()
        await reader.read()

    result, connection = await _exchange(serve)
    assert isinstance(result, messages.Response)
    assert received == b"head\n" + BODY
    assert connection._sender is None


async def test_early_response_ends_the_use_of_its_connection() -> None:
    """Guards against a next request in the middle of an unsent body."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\n")
        writer.write(OK)
        await writer.drain()
        await asyncio.sleep(1.0)

    result, connection = await _exchange(serve)
    assert isinstance(result, messages.Response)
    assert not connection.is_usable


async def test_transport_gets_only_what_the_server_reads() -> None:
    """Guards against a second copy of the body in the buffer to the server."""
    largest = 0

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.3)
        writer.write(OK)
        await writer.drain()
        await asyncio.sleep(0.2)

    async with support.serving(serve) as address:
        pool = client.Pool(asyncio.get_running_loop().time, b"x-id")
        connection = await pool.open(address)
        assert isinstance(connection, client_connection.Connection)
        task = asyncio.create_task(
            connection.exchange(b"head\n", b"1", body=BODY)
        )
        while not task.done():
            await asyncio.sleep(0.02)
            if connection._transport is not None:
                size = connection._transport.get_write_buffer_size()
                largest = max(largest, size)
        connection.abort()
    assert largest < 2 * body_sender.SLICE_BYTES
