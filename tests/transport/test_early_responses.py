"""Responses that begin before their request is written, on both loops."""

from __future__ import annotations

import asyncio
import socket
import struct
import typing

import pytest
import uvloop

from agatestile.transport import client
from agatestile.transport import client_connection
from agatestile.transport import messages

UPLOAD = b"POST / HTTP/1.1\r\ncontent-length: 4194304\r\n\r\n" + bytes(4 << 20)
UNFRAMED = b"HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\nfirst part"
RESET = struct.pack("ii", 1, 0)
LOOPS: list[typing.Callable[[], asyncio.AbstractEventLoop]] = [
    asyncio.new_event_loop,
    uvloop.new_event_loop,
]

Script = typing.Callable[
    [socket.socket], typing.Coroutine[typing.Any, typing.Any, None]
]


async def _reset(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    connection.close()


async def _respond_and_reset(connection: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    await loop.sock_recv(connection, 100)
    await loop.sock_sendall(connection, UNFRAMED)
    await asyncio.sleep(0.01)
    await _reset(connection)


async def _half_close_and_reset(connection: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    await loop.sock_recv(connection, 100)
    await loop.sock_sendall(connection, UNFRAMED)
    connection.shutdown(socket.SHUT_WR)
    await asyncio.sleep(0.05)
    await _reset(connection)


async def _close_with_unread_data(connection: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    await loop.sock_recv(connection, 100)
    await loop.sock_sendall(connection, UNFRAMED)
    connection.close()


async def _reset_with_the_response(connection: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    await loop.sock_recv(connection, 100)
    connection.send(UNFRAMED)
    await _reset(connection)


async def _call(
    script: Script, content: bytes
) -> messages.Response | messages.Failure:
    """Send a request to a scripted server and return its outcome."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.setblocking(False)

        async def serve() -> None:
            connection, _ = await loop.sock_accept(listening)
            connection.setblocking(False)
            await script(connection)

        serving = asyncio.create_task(serve())
        pool = client.Pool(loop.time, b"x-id")
        connection = await pool.open(listening.getsockname())
        assert isinstance(connection, client_connection.Connection)
        async with asyncio.timeout(5.0):
            result = await connection.exchange(content, b"1")
        connection.abort()
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        return result


@pytest.mark.parametrize("new_loop", LOOPS)
@pytest.mark.parametrize(
    "script",
    [
        _respond_and_reset,
        _half_close_and_reset,
        _close_with_unread_data,
        _reset_with_the_response,
    ],
)
def test_response_that_is_reset_during_the_upload_is_incomplete(
    script: Script, new_loop: typing.Callable[[], asyncio.AbstractEventLoop]
) -> None:
    """Guards against a part of a response that passes for all of it.

    The response has no length, and its connection is reset while the request
    is being written.
    """
    with asyncio.Runner(loop_factory=new_loop) as runner:
        for _ in range(10):
            result = runner.run(_call(script, UPLOAD))
            assert isinstance(result, messages.Failure)
            assert result.kind is messages.FailureKind.UNKNOWN


@pytest.mark.parametrize("new_loop", LOOPS)
@pytest.mark.parametrize("status", [b"000", b"099", b"001"])
def test_response_with_an_invalid_status_fails_at_once(
    status: bytes, new_loop: typing.Callable[[], asyncio.AbstractEventLoop]
) -> None:
    """Guards against a caller that waits for an answer until its deadline.

    The server keeps the connection open after the invalid response.
    """

    async def respond(connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_recv(connection, 100)
        await loop.sock_sendall(
            connection,
            b"HTTP/1.1 %b x\r\nx-id: 1\r\ncontent-length: 2\r\n\r\nok"
            % status,
        )
        await asyncio.sleep(60.0)

    with asyncio.Runner(loop_factory=new_loop) as runner:
        result = runner.run(_call(respond, b"GET / HTTP/1.1\r\n\r\n"))
    assert isinstance(result, messages.Failure)
    assert result.kind is messages.FailureKind.UNKNOWN
