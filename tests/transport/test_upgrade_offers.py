"""Requests that offer another protocol."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import pytest

from agatestile.catalog import configuration
from agatestile.transport import messages
from agatestile.transport import server

pytestmark = pytest.mark.anyio

LIMITS = configuration.CallerLimits(1000, 100_000, 1.0, 1.0)
OFFERS = {
    "h2c": (
        b"connection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\n"
        b"http2-settings: AAMAAABkAARAAAAAAAIAAAAA\r\n"
    ),
    "websocket": b"connection: keep-alive, upgrade\r\nupgrade: websocket\r\n",
}
BODY = b"deposit=250.00;receipt=71" * 1000
REQUESTS = {
    "length": b"content-length: %d\r\n\r\n%b" % (len(BODY), BODY),
    "chunked": (
        b"transfer-encoding: chunked\r\n\r\n"
        b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
    ),
}
NEXT = b"GET /b HTTP/1.1\r\nhost: x\r\n\r\n"


@contextlib.asynccontextmanager
async def _connected() -> typing.AsyncIterator[
    tuple[asyncio.StreamReader, asyncio.StreamWriter]
]:
    async def echo(request: messages.Request) -> messages.Response:
        body = request.method + request.target + request.body
        return messages.Response(200, [], body)

    listener = server.Listener(echo, lambda: LIMITS)
    await listener.start("127.0.0.1", 0)
    assert listener._server is not None
    port = listener._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    yield reader, writer
    writer.transport.abort()
    listener.stop()


async def _read(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    async with asyncio.timeout(2.0):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split()[0])
        return head.split(b" ")[1], await reader.readexactly(length)


@pytest.mark.parametrize("offer", OFFERS)
@pytest.mark.parametrize("framing", REQUESTS)
@pytest.mark.parametrize("piece", [7, 100, 1 << 20])
async def test_offer_is_served_with_its_body(
    offer: str, framing: str, piece: int
) -> None:
    """Guards against an offer that loses the body, the answer or the rest.

    The next request on the connection is already in the same data.
    """
    data = b"POST /a HTTP/1.1\r\nhost: x\r\n" + OFFERS[offer]
    data += REQUESTS[framing] + NEXT
    async with _connected() as (reader, writer):
        for start in range(0, len(data), piece):
            writer.write(data[start : start + piece])
            if piece > 50 or start < 400:
                await asyncio.sleep(0)
        assert await _read(reader) == (b"200", b"POST/a" + BODY)
        assert await _read(reader) == (b"200", b"GET/b")


@pytest.mark.parametrize("offer", OFFERS)
async def test_offer_without_a_body_is_served(offer: str) -> None:
    """Guards against an ordinary read that gets no answer."""
    data = b"GET /a HTTP/1.1\r\nhost: x\r\n" + OFFERS[offer] + b"\r\n"
    async with _connected() as (reader, writer):
        writer.write(data + NEXT)
        assert await _read(reader) == (b"200", b"GET/a")
        assert await _read(reader) == (b"200", b"GET/b")


async def test_close_beside_an_offer_closes_the_connection() -> None:
    """Guards against a connection kept open against the caller's wish."""
    data = (
        b"POST /a HTTP/1.1\r\nhost: x\r\nconnection: close, upgrade\r\n"
        b"upgrade: h2c\r\ncontent-length: 2\r\n\r\nok"
    )
    async with _connected() as (reader, writer):
        writer.write(data)
        assert await _read(reader) == (b"200", b"POST/aok")
        async with asyncio.timeout(0.5):
            assert await reader.read() == b""


async def test_tunnel_is_refused() -> None:
    """Guards against a tunnel's data that is taken for requests."""
    async with _connected() as (reader, writer):
        writer.write(b"CONNECT x:1 HTTP/1.1\r\nhost: x:1\r\n\r\n" + NEXT)
        assert (await _read(reader))[0] == b"400"
        async with asyncio.timeout(1.0):
            assert await reader.read() == b""
