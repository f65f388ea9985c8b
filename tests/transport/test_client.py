"""HTTP client against servers that follow the protocol or violate it."""

from __future__ import annotations

import asyncio
import collections.abc
import struct
import typing

import pytest

from agatestile.transport import buffered_bytes
from agatestile.transport import client
from agatestile.transport import client_connection
from agatestile.transport import messages
from tests.transport import support

pytestmark = pytest.mark.anyio
OK = b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 2\r\n\r\nok"
Server = typing.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    collections.abc.Awaitable[None],
]


def _sends(*responses: bytes, closes: bool = False) -> Server:
    async def server(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for response in responses:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await writer.drain()
        if not closes:
            await reader.read()

    return server


async def _exchange(
    server: Server, count: int = 1
) -> list[messages.Response | messages.Failure]:
    async with support.serving(server) as address:
        pool = client.Pool(asyncio.get_running_loop().time, b"x-id")
        connection = await pool.open(address)
        assert isinstance(connection, client_connection.Connection)
        results = []
        for _ in range(count):
            async with asyncio.timeout(2.0):
                results.append(
                    await connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"1")
                )
            if len(results) < count:
                await asyncio.sleep(0.02)
        connection.abort()
        return results


async def test_complete_response_is_returned() -> None:
    (response,) = await _exchange(_sends(OK))
    assert isinstance(response, messages.Response)
    assert (response.status, response.body) == (200, b"ok")


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n2\r",
        b"no answer at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        b"",
    ],
)
async def test_broken_response_has_an_unknown_outcome(
    response: bytes,
) -> None:
    """Guards against a retry of a request that the server may have run."""

    async def server(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)

    (result,) = await _exchange(server)
    assert isinstance(result, messages.Failure)
    assert result.kind is messages.FailureKind.UNKNOWN


@pytest.mark.parametrize(
    "earlier",
    [
        [],
        [OK],
        # It has no length and no body, and its connection stays open.
        [b"HTTP/1.1 204 No Content\r\nx-id: 1\r\n\r\n"],
    ],
)
@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nx-id: 1\r\nx-upstream-signature: s\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-id: 1\r\n\r\n",
    ],
)
async def test_head_that_breaks_off_is_no_response(
    earlier: list[bytes], head: bytes
) -> None:
    """Guards against an empty body that looks complete (MIXED, ORDER).

    The server closes its connection in the middle of the head, wherever.
    """
    for size in range(len(head)):
        server = _sends(*earlier, head[:size], closes=True)
        *_, result = await _exchange(server, len(earlier) + 1)
        assert isinstance(result, messages.Failure), head[:size]
        assert result.kind is messages.FailureKind.UNKNOWN


async def test_body_without_length_ends_when_the_connection_closes() -> None:
    async def server(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\nall of it")

    (response,) = await _exchange(server)
    assert isinstance(response, messages.Response)
    assert response.body == b"all of it"


async def test_body_without_length_fails_on_a_reset() -> None:
    """Guards against a truncated body that is passed on as complete."""

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

    (result,) = await _exchange(server)
    assert isinstance(result, messages.Failure)


async def test_late_response_to_another_request_is_skipped() -> None:
    """Guards against a request that gets the response to an earlier one.

    A server that sends extra responses causes this.
    """
    late = OK.replace(b"x-id: 1", b"x-id: 0").replace(
        b"\r\n\r\nok", b"\r\n\r\nno"
    )
    (response,) = await _exchange(_sends(late + OK))
    assert isinstance(response, messages.Response)
    assert response.body == b"ok"


async def test_late_response_that_ends_with_the_connection_fails() -> None:
    """Guards against a request that waits for its deadline in vain.

    The late response to another request has no length, so that the connection
    closes after it.
    """
    late = b"HTTP/1.1 200 OK\r\nx-id: 0\r\n\r\nlate"
    (result,) = await _exchange(_sends(late, closes=True))
    assert isinstance(result, messages.Failure)
    assert result.kind is messages.FailureKind.UNKNOWN


async def test_data_after_a_response_closes_the_connection() -> None:
    """Guards against surplus data that is read as the next response."""
    results = await _exchange(_sends(OK + OK), count=2)
    assert isinstance(results[0], messages.Response)
    assert isinstance(results[1], messages.Failure)
    assert results[1].kind is messages.FailureKind.NOT_SENT


async def test_abandoned_request_resets_its_connection() -> None:
    """Guards against commands that arrive after a partition has healed.

    Without a reset the kernel keeps sending the data of an abandoned
    request.
    """
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

    async with support.serving(server) as address:
        pool = client.Pool(asyncio.get_running_loop().time)
        request = messages.Request(b"POST", b"/grant", [], b"{}")
        result = await pool.call(address, request, 0.1)
        assert isinstance(result, messages.Failure)
        assert await asyncio.wait_for(ended, 2.0) == "reset"


async def test_refused_connection_sends_nothing() -> None:
    """Guards against an unknown outcome of a request that was not sent."""
    async with support.serving(_sends()) as address:
        pass
    pool = client.Pool(asyncio.get_running_loop().time)
    request = messages.Request(b"GET", b"/", [], b"")
    result = await pool.call(address, request, 1.0)
    assert isinstance(result, messages.Failure)
    assert result.kind is messages.FailureKind.NOT_SENT


async def test_idle_connection_is_reused_only_within_its_timeout() -> None:
    """Guards against a request that crosses the server's close."""
    kept = OK.replace(b"x-id: 1", b"x-id: 1\r\nkeep-alive: timeout=5")
    times = [0.0]
    async with support.serving(_sends(kept, kept)) as address:
        pool = client.Pool(lambda: times[0], b"x-id")
        connection = await pool.open(address)
        assert isinstance(connection, client_connection.Connection)
        await connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"1")
        pool.release("server", connection)
        times[0] = 3.0
        assert pool.acquire_idle("server", 1.0) is None
        assert pool.acquire_idle("server", 10.0) is connection
        pool.release("server", connection)
        times[0] = 7.0
        assert pool.acquire_idle("server", 10.0) is None


@pytest.mark.parametrize("pauses", [(0.1,) * 8, (0.1, 3.0)])
async def test_large_response_over_a_slow_link_is_read_completely(
    pauses: tuple[float, ...],
) -> None:
    """Guards against a timeout that aborts a response still arriving.

    A pause longer than the timeout still ends the call.
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

    async with support.serving(server) as address:
        pool = client.Pool(asyncio.get_running_loop().time)
        request = messages.Request(b"GET", b"/", [], b"")
        response = await pool.call(address, request, 0.5, data_timeout=0.5)
    if max(pauses) < 0.5:
        assert isinstance(response, messages.Response)
        assert response.body == b"x" * len(pauses)
    else:
        assert isinstance(response, messages.Failure)


HEAD = b"HTTP/1.1 200 OK\r\nx-id: 1\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
LATE = b"HTTP/1.1 200 OK\r\nx-id: 0\r\ncontent-length: 1000\r\n\r\n"


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (b"HTTP/1.1 200 ", b"O" * 1000),
        (HEAD + b"x-long: ", b"v" * 1000),
        (HEAD, b"x-next: v\r\n" * 100),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
        (CHUNKED + b"1;", b"e" * 1000),
        (CHUNKED + b"0\r\n", b"x-trailer: v\r\n" * 70),
        (CHUNKED, b"3e8\r\n" + b"b" * 1000 + b"\r\n"),
        (HEAD + b"\r\n", b"b" * 1000),
        (HEAD + b"content-length: 999999999999\r\n\r\n", b"b" * 1000),
        (b"", LATE + b"b" * 1000),
        (b"", b"\0" * 1000),
    ],
    ids=[
        "reason",
        "header",
        "headers",
        "interim",
        "chunk extension",
        "trailers",
        "chunks",
        "body until close",
        "body with length",
        "late responses",
        "no response",
    ],
)
async def test_endless_response_is_given_up_within_a_limit(
    start: bytes, repeated: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against memory that grows until the request's deadline."""
    limit = 1024 * 1024
    monkeypatch.setattr(client_connection, "MAX_BODY_BYTES", limit)
    sent = 0

    async def server(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(start)
        while sent < 64 * limit:
            writer.write(repeated)
            sent += len(repeated)
            await writer.drain()

    (result,) = await _exchange(server)
    assert isinstance(result, messages.Failure)
    # Socket buffers hold a few megabytes beside the limit.
    assert sent < 16 * limit


async def test_endless_responses_share_a_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against memory that grows with the number of such servers."""
    monkeypatch.setattr(buffered_bytes, "MAX_BUFFERED_BYTES", 1024 * 1024)

    async def server(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"\r\n" + b"b" * 300_000)
        await writer.drain()
        await reader.read()

    async with support.serving(server) as address:
        pool = client.Pool(asyncio.get_running_loop().time, b"x-id")

        async def call() -> messages.Response | messages.Failure:
            request = messages.Request(b"GET", b"/", [], b"")
            return await pool.call(address, request, 0.5)

        results = await asyncio.gather(*(call() for _ in range(8)))
        reasons = [
            result.reason
            for result in results
            if isinstance(result, messages.Failure)
        ]
        assert any("in all" in reason for reason in reasons)
        assert pool._buffered.total == 0
