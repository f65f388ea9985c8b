"""Answers of servers that keep to the protocol, and of others."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import struct
import typing

import pytest

from agatestile.transport import client
from agatestile.transport import messages

pytestmark = pytest.mark.anyio
OK = b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 2\r\n\r\nok"
Server = typing.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    collections.abc.Awaitable[None],
]


@contextlib.asynccontextmanager
async def _serving(server: Server) -> typing.AsyncIterator[client.Address]:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await server(reader, writer)
        writer.close()

    listening = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with listening:
        yield listening.sockets[0].getsockname()


def _sends(*answers: bytes) -> Server:
    async def server(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for answer in answers:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
        await reader.read()

    return server


async def _ask(
    server: Server, count: int = 1
) -> list[messages.Response | messages.Failure]:
    async with _serving(server) as address:
        pool = client.Pool(asyncio.get_running_loop().time, b"x-id")
        connection = await pool.open(address)
        assert isinstance(connection, client.Connection)
        results = []
        for _ in range(count):
            async with asyncio.timeout(2.0):
                results.append(
                    await connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"1")
                )
            await asyncio.sleep(0.02)
        connection.abort()
        return results


async def test_whole_answer_is_returned() -> None:
    (answer,) = await _ask(_sends(OK))
    assert isinstance(answer, messages.Response)
    assert (answer.status, answer.body) == (200, b"ok")


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n2\r",
        b"no answer at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        b"",
    ],
)
async def test_broken_answer_is_a_failure_of_unknown_outcome(
    answer: bytes,
) -> None:
    async def server(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)

    (result,) = await _ask(server)
    assert isinstance(result, messages.Failure)
    assert result.kind is messages.FailureKind.UNKNOWN


async def test_body_without_length_ends_with_its_connection() -> None:
    async def server(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\nall of it")

    (answer,) = await _ask(server)
    assert isinstance(answer, messages.Response)
    assert answer.body == b"all of it"


async def test_body_without_length_that_is_reset_is_not_complete() -> None:
    async def server(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\nall of it")
        await writer.drain()
        await asyncio.sleep(0.05)
        raw = writer.get_extra_info("socket")
        raw.setsockopt(1, 13, struct.pack("ii", 1, 0))
        writer.transport.abort()

    (result,) = await _ask(server)
    assert isinstance(result, messages.Failure)


async def test_late_answer_to_another_request_is_skipped() -> None:
    """Pattern: extra answers."""
    late = OK.replace(b"x-id: 1", b"x-id: 0").replace(
        b"\r\n\r\nok", b"\r\n\r\nno"
    )
    (answer,) = await _ask(_sends(late + OK))
    assert isinstance(answer, messages.Response)
    assert answer.body == b"ok"


async def test_bytes_after_an_answer_end_the_connection() -> None:
    results = await _ask(_sends(OK + OK), count=2)
    assert isinstance(results[0], messages.Response)
    assert isinstance(results[1], messages.Failure)
    assert results[1].kind is messages.FailureKind.NOT_SENT


async def test_abandoned_request_resets_its_connection() -> None:
    """Guards against orders that arrive when a partition has healed."""
    ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    async def server(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        try:
            await reader.read()
        except ConnectionResetError:
            ended.set_result("reset")
            return
        ended.set_result("closed")

    async with _serving(server) as address:
        pool = client.Pool(asyncio.get_running_loop().time)
        request = messages.Request(b"POST", b"/grant", [], b"{}")
        result = await pool.call(address, request, 0.1)
        assert isinstance(result, messages.Failure)
        assert await asyncio.wait_for(ended, 2.0) == "reset"


async def test_refused_connection_sends_nothing() -> None:
    async with _serving(_sends()) as address:
        pass
    pool = client.Pool(asyncio.get_running_loop().time)
    request = messages.Request(b"GET", b"/", [], b"")
    result = await pool.call(address, request, 1.0)
    assert isinstance(result, messages.Failure)
    assert result.kind is messages.FailureKind.NOT_SENT


async def test_idle_connections_are_used_within_the_servers_time() -> None:
    kept = OK.replace(b"x-id: 1", b"x-id: 1\r\nkeep-alive: timeout=5")
    times = [0.0]
    async with _serving(_sends(kept, kept)) as address:
        pool = client.Pool(lambda: times[0], b"x-id")
        connection = await pool.open(address)
        assert isinstance(connection, client.Connection)
        await connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"1")
        pool.release("server", connection)
        times[0] = 3.0
        assert pool.acquire_idle("server", 1.0) is None
        assert pool.acquire_idle("server", 10.0) is connection
        pool.release("server", connection)
        times[0] = 7.0
        assert pool.acquire_idle("server", 10.0) is None


@pytest.mark.parametrize("pauses", [(0.1,) * 8, (0.1, 3.0)])
async def test_large_answer_over_a_slow_link_is_read_to_its_end(
    pauses: tuple[float, ...],
) -> None:
    """Guards against a timeout that gives up an answer on its way.

    A pause beyond the timeout still ends the call.
    """

    async def server(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"
        writer.write(head % len(pauses))
        for pause in pauses:
            await asyncio.sleep(pause)
            writer.write(b"x")
            await writer.drain()
        await reader.read()

    async with _serving(server) as address:
        pool = client.Pool(asyncio.get_running_loop().time)
        request = messages.Request(b"GET", b"/", [], b"")
        answer = await pool.call(
            address, request, 0.5, restart_timeout_on_data=True
        )
    if max(pauses) < 0.5:
        assert isinstance(answer, messages.Response)
        assert answer.body == b"x" * len(pauses)
    else:
        assert isinstance(answer, messages.Failure)
