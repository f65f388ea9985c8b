"""Scripted servers on the loopback interface."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import typing

from agatestile.transport import client
from agatestile.transport import server_connection

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


class RecordingTransport:
    """Transport that stores the data written before it is closed."""

    def __init__(self) -> None:
        self.written = b""
        self.is_closed = False
        self.is_reading = True

    def pause_reading(self) -> None:
        self.is_reading = False

    def resume_reading(self) -> None:
        self.is_reading = True

    def write(self, data: bytes) -> None:
        assert not self.is_closed
        self.written += data

    def close(self) -> None:
        self.is_closed = True

    abort = close

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.is_closed


def receive(
    connection: server_connection.ServerConnection, data: bytes
) -> None:
    """Hand data to a connection as an event loop does."""
    while data:
        buffer = connection.get_buffer(-1)
        part, data = data[: len(buffer)], data[len(buffer) :]
        buffer[: len(part)] = part
        connection.buffer_updated(len(part))
