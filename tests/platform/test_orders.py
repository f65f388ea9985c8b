"""Orders to servers that do not follow the protocol."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import pytest

from agatestile.assignment import ports
from agatestile.assignment import ranges
from agatestile.platform import orders
from agatestile.transport import client
from tests.transport import support

pytestmark = pytest.mark.anyio
KEY_RANGE = ranges.KeyRange(0, 9, ranges.Owner("a", 1, 2))
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
HANDOVER = b"HTTP/1.1 200 OK\r\nx-handover: h1\r\ncontent-length: 0\r\n\r\n"


@contextlib.asynccontextmanager
async def _sending_to(
    serve: support.Serve,
) -> typing.AsyncIterator[tuple[orders.PlatformOrders, ports.Recipient]]:
    async with support.serving(serve) as address:
        now = asyncio.get_running_loop().time
        sender = orders.PlatformOrders(client.Pool(now))
        yield sender, ports.Recipient("a", 1, address)


async def test_late_copy_of_a_response_is_not_taken_for_a_release() -> None:
    """Guards against keys that two servers hold.

    The server answers a grant twice and is still at work on the keys, so it
    has not answered the release that follows.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"}")
        if b"/grant" in head:
            writer.write(OK)
            await reader.readuntil(b"}")
            writer.write(OK)
        await reader.read()

    async with _sending_to(serve) as (sender, recipient):
        assert not await sender.connect(recipient)
        granted = await sender.grant(
            recipient, KEY_RANGE, 3.5, None, 1.0, sender.now()
        )
        released = await sender.release(recipient, KEY_RANGE, 0.2)
    assert granted.reply is ports.Reply.DONE
    assert released.reply is ports.Reply.SILENT


async def test_copy_of_a_handover_is_not_taken_for_a_release() -> None:
    """Guards against a second copy of the response to an earlier release."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        first = await reader.readuntil(b"}")
        if b'"to":9' in first:
            writer.write(HANDOVER)
            await reader.readuntil(b"}")
            writer.write(HANDOVER)
        await reader.read()

    async with _sending_to(serve) as (sender, recipient):
        first = await sender.release(recipient, KEY_RANGE, 1.0)
        other = KEY_RANGE._replace(first=10, last=19)
        second = await sender.release(recipient, other, 0.2)
    assert (first.reply, first.handover) == (ports.Reply.DONE, "h1")
    assert second.reply is ports.Reply.SILENT


async def test_release_of_keys_that_are_not_held_is_confirmed() -> None:
    """Guards against keys that wait for a lease that was given up before.

    The response to the first release was lost; the server has no handover
    for the second one.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            await reader.readuntil(b"}")
            writer.write(OK)

    async with _sending_to(serve) as (sender, recipient):
        released = await sender.release(recipient, KEY_RANGE, 1.0)
    assert released.reply is ports.Reply.DONE


async def test_grant_is_not_sent_over_a_connection_opened_later() -> None:
    """Guards against a repeated grant that reaches a later incarnation."""
    received = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        received.append(await reader.readuntil(b"}"))
        writer.write(OK)
        await reader.read()

    async with _sending_to(serve) as (sender, recipient):
        before = sender.now()
        assert not await sender.connect(recipient)
        assert not sender.is_connected(recipient, before)
        early = await sender.grant(
            recipient, KEY_RANGE, 3.5, None, 1.0, before
        )
        assert (early.reply, received) == (ports.Reply.UNSENT, [])
        later = await sender.grant(
            recipient, KEY_RANGE, 3.5, None, 1.0, sender.now()
        )
    assert later.reply is ports.Reply.DONE


async def test_older_connection_to_a_server_is_kept() -> None:
    """Guards against connections that are never older than a report."""
    closed = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.read()
        finally:
            closed.set()

    async with _sending_to(serve) as (sender, recipient):
        assert not await sender.connect(recipient)
        first = sender.now()
        assert not await sender.connect(recipient)
        await asyncio.wait_for(closed.wait(), 1.0)
        assert sender.is_connected(recipient, first)
