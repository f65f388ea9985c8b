"""Client side of HTTP/1.1, parsed by httptools."""

from __future__ import annotations

import asyncio
import collections
import typing

import httpcore
import httptools

if typing.TYPE_CHECKING:
    from agatestile.gateway import asgi

MAX_HEAD_BYTES = 64 * 1024
"""Maximum size of the head of a response."""

READ_HIGH_WATER_BYTES = 32 * 1024
"""Unread part of a response above which reading is paused."""

WRITE_HIGH_WATER_BYTES = 16 * 1024
"""Unsent part of an upload above which the sender waits."""


class ResponseProtocol(asyncio.Protocol):
    """Receives the responses on a connection, one at a time.

    Attributes
    ----------
    status : int
        HTTP status of the current response, 0 before its head is complete.
    headers : list of (bytes, bytes)
        Headers of the current response, with names in lower case.
    is_complete : bool
        Whether the end of the current response was received.
    is_reusable : bool
        Whether the connection may be used for another request.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.status = 0
        self.headers: asgi.Headers = []
        self.is_complete = True
        self.is_reusable = True
        self._is_bodiless = False
        self._head_bytes = 0
        self._parts: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._is_read_paused = False
        self._is_write_paused = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._parser = httptools.HttpResponseParser(self)

    def begin(self, is_bodiless: bool) -> None:
        """Prepare for the response to a new request.

        Parameters
        ----------
        is_bodiless : bool
            Whether the response has no body regardless of its headers, as
            for HEAD.
        """
        if self._is_bodiless:
            # The parser still expects the body that the headers announced.
            self._parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers = []
        self.is_complete = False
        self._is_bodiless = is_bodiless
        self._head_bytes = 0

    async def wait_head(self) -> None:
        """Wait for the head of the response."""
        while not self.status or self.status < 200:
            await self._wait()

    async def wait_writable(self) -> None:
        """Wait until more can be written or the response is complete."""
        while self._is_write_paused and not self.is_complete:
            await self._wait()
        if self._error is not None:
            raise self._error

    async def read_part(self) -> bytes:
        """Return the next part of the body, empty at the end."""
        while not self._parts:
            if self.is_complete:
                return b""
            await self._wait()
        part = self._parts.popleft()
        self._buffered_bytes -= len(part)
        if (
            self._is_read_paused
            and self._buffered_bytes < READ_HIGH_WATER_BYTES
        ):
            self._is_read_paused = False
            if self.transport is not None:
                self.transport.resume_reading()
        return part

    def take_complete_body(self) -> bytes | None:
        """Return the body if all of it was received, else None."""
        if not self.is_complete:
            return None
        parts, self._parts = self._parts, collections.deque()
        self._buffered_bytes = 0
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and limit its write buffer."""
        # uvloop's transports are not derived from asyncio's.
        self.transport = typing.cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(WRITE_HIGH_WATER_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the current response if it is incomplete."""
        self.is_reusable = False
        if not self.is_complete and self._error is None:
            text = "the connection was closed before the end of the response"
            self._error = httpcore.ReadError(f"{exc or text}")
        self._wake_waiter()

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if self.is_complete:
            self._fail("received data without a request")
            return
        if not self.status:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"the response is not valid HTTP: {error!r}")
        except httptools.HttpParserUpgrade:
            self._fail("the response switches to another protocol")
        if not self.status and self._head_bytes > MAX_HEAD_BYTES:
            self._fail(f"the response has a head above {MAX_HEAD_BYTES} bytes")
        if (
            self._buffered_bytes > READ_HIGH_WATER_BYTES
            and not self._is_read_paused
        ):
            self._is_read_paused = True
            if self.transport is not None:
                self.transport.pause_reading()
        self._wake_waiter()

    def pause_writing(self) -> None:
        """Make the sender wait."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Let the sender continue."""
        self._is_write_paused = False
        self._wake_waiter()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers, which come here too, are dropped."""
        if not self.status:
            self.headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Store the status; interim responses (1xx) are dropped."""
        if self.is_complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self.headers = []
            return
        self.status = status
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        if self._is_bodiless:
            self.is_complete = True

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        if self.is_complete:
            self.is_reusable = False
            return
        self._parts.append(body)
        self._buffered_bytes += len(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if self.status >= 200:
            self.is_complete = True

    def on_message_begin(self) -> None:
        """Reject a response without a request."""
        if self.is_complete:
            self.is_reusable = False

    def _fail(self, reason: str) -> None:
        self.is_reusable = False
        if not self.is_complete and self._error is None:
            self._error = httpcore.RemoteProtocolError(reason)
        if self.transport is not None:
            self.transport.abort()

    async def _wait(self) -> None:
        if self._error is not None:
            raise self._error
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake_waiter(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


class BodyStream:
    """Body of a response, with the interface that httpcore expects."""

    def __init__(self, protocol: ResponseProtocol) -> None:
        self._protocol = protocol

    def take_complete_body(self) -> bytes | None:
        """Return the body if all of it was received, else None."""
        return self._protocol.take_complete_body()

    async def __aiter__(self) -> typing.AsyncIterator[bytes]:
        while part := await self._protocol.read_part():
            yield part

    async def aclose(self) -> None:
        """Do nothing; the pool decides whether to close the connection."""


class Response(typing.NamedTuple):
    """Head of a response, and its body to be read.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Headers, with names in lower case.
    body : BodyStream
        Body, of which nothing was read.
    """

    status: int
    headers: asgi.Headers
    body: BodyStream

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if it is missing."""
        for key, value in self.headers:
            if key == name:
                return value
        return None
