"""Scripted servers on the loopback interface."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import typing

from agatestile.transport import client

Serve = typing.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    collections.abc.Awaitable[None],
]


@contextlib.asynccontextmanager
async def serving(serve: Serve) -> typing.AsyncIterator[client.Address]:
    """Return the address of a server, whose connections end with the block."""
    tasks: set[asyncio.Task[None]] = set()

    async def serve_until_closed(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError
            ):
                await serve(reader, writer)
        finally:
            writer.close()

    def start(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        tasks.add(asyncio.create_task(serve_until_closed(reader, writer)))

    server = await asyncio.start_server(start, "127.0.0.1", 0)
    async with server:
        yield server.sockets[0].getsockname()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # Closed transports release their sockets in the next iteration.
        await asyncio.sleep(0)
