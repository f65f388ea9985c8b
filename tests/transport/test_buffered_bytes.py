"""Room for the bodies of responses that arrive at the same time."""

from __future__ import annotations

import asyncio
import typing

import pytest

from agatestile.transport import buffered_bytes
from agatestile.transport import client
from agatestile.transport import client_connection
from agatestile.transport import messages
from tests.transport import support

BODY_BYTES = 300_000


class _Receiver:
    peer: typing.Hashable = None

    def __init__(self) -> None:
        self.has_room = False

    def fail(self, reason: str) -> None:
        raise AssertionError(reason)

    def on_room(self) -> None:
        self.has_room = True


def test_bodies_wait_for_room_in_order() -> None:
    """Guards against a small body that passes large ones for ever."""
    buffered = buffered_bytes.BufferedBytes(1000)
    first, second, third, last = (_Receiver() for _ in range(4))
    assert buffered.reserve(first, 700)
    assert not buffered.reserve(second, 700)
    assert not buffered.reserve(third, 50)
    assert not buffered.reserve(last, 50)
    buffered.discard(last)
    buffered.discard(first)
    assert second.has_room and third.has_room and not last.has_room
    buffered.discard(second)
    buffered.discard(third)
    assert buffered.reserve(first, 750)


def test_body_above_the_limit_does_not_wait_for_ever() -> None:
    """Guards against a body for which there is never room."""
    buffered = buffered_bytes.BufferedBytes(1000)
    assert buffered.reserve(_Receiver(), 5000)


@pytest.mark.anyio
@pytest.mark.parametrize(
    "anyio_backend",
    [("asyncio", {"use_uvloop": uvloop}) for uvloop in (False, True)],
    ids=["asyncio", "uvloop"],
)
async def test_bodies_beyond_the_limit_arrive_one_after_the_other() -> None:
    """Guards against answers that fail although their requests have run."""
    buffered = buffered_bytes.BufferedBytes(4 * BODY_BYTES)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: %d\r\n\r\n"
            % BODY_BYTES
        )
        for _ in range(10):
            writer.write(b"b" * (BODY_BYTES // 10))
            await writer.drain()
            await asyncio.sleep(0.001)

    async def fetch() -> messages.Response | messages.Failure:
        connection = await pool.open(address)
        assert isinstance(connection, client_connection.Connection)
        return await connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"1")

    async with support.serving(serve) as address:
        pool = client.Pool(asyncio.get_running_loop().time, b"id", buffered)
        async with asyncio.timeout(20.0):
            results = await asyncio.gather(*(fetch() for _ in range(12)))
    for result in results:
        assert isinstance(result, messages.Response), result
        assert len(result.body) == BODY_BYTES
    assert buffered.total == 0
    assert buffered.reserve(_Receiver(), 3 * BODY_BYTES)
