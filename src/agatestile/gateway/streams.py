"""Network streams of lanes."""

from __future__ import annotations

import select
import typing

import anyio
import anyio.abc
import httpcore

if typing.TYPE_CHECKING:
    import collections.abc

GATHER_BYTES = 16 * 1024
"""Writes are gathered up to this size and sent before the next read. A
small request then takes one system call instead of one for the head and
one for the body."""


class LaneStream(httpcore.AsyncNetworkStream):
    """Byte stream of one connection.

    Timeouts are not set here: every request runs in a cancel scope with
    its deadline.

    Attributes
    ----------
    opened : float
        Runtime's clock when the stream was opened.
    bytes_written : int
        Bytes that were handed to the operating system, or may have been.
    """

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        self._gathered: list[bytes] = []
        self._gathered_bytes = 0
        self._socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        self.opened = anyio.current_time()
        self.bytes_written = 0

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Return the next bytes, empty at the end of the stream."""
        if self._gathered:
            await self._flush()
        try:
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes, or gather them until the next read."""
        if not buffer:
            return
        self._gathered.append(buffer)
        self._gathered_bytes += len(buffer)
        if self._gathered_bytes > GATHER_BYTES:
            await self._flush()

    async def aclose(self) -> None:
        """Close the connection without waiting for the peer."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> typing.Any:
        """Return what httpcore asks for."""
        if info == "is_readable":
            return is_readable(self._socket)
        if info == "socket":
            return self._socket
        return None

    async def _flush(self) -> None:
        data = b"".join(self._gathered)
        self._gathered.clear()
        self._gathered_bytes = 0
        self.bytes_written += len(data)
        try:
            await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.WriteError(str(error)) from error


class Backend(httpcore.AsyncNetworkBackend):
    """Opens the one stream of a lane.

    Attributes
    ----------
    stream : LaneStream or None
        The stream once it is open.
    """

    def __init__(self) -> None:
        self.stream: LaneStream | None = None

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: (
            collections.abc.Iterable[httpcore.SOCKET_OPTION] | None
        ) = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open the stream."""
        try:
            with anyio.fail_after(timeout):
                stream = await anyio.connect_tcp(host, port)
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(
                f"no connection to {host}:{port} in {timeout} s"
            ) from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        self.stream = LaneStream(stream)
        return self.stream


def is_readable(raw: typing.Any) -> bool:
    """Tell whether a socket has input or was closed by its peer."""
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))
