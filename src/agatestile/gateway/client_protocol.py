"""HTTP/1.1 of one connection to a server, parsed by httptools."""

from __future__ import annotations

import asyncio
import collections
import typing

import httpcore
import httptools

if typing.TYPE_CHECKING:
    from agatestile.gateway import asgi

MAX_HEAD_BYTES = 64 * 1024
"""Largest head of an answer, bytes."""

READ_HIGH_WATER_BYTES = 32 * 1024
"""Bytes of an answer above which reading pauses."""

WRITE_HIGH_WATER_BYTES = 16 * 1024
"""Bytes of an upload above which its sender has to wait."""


class ResponseProtocol(asyncio.Protocol):
    """Receives the answers of one connection, one at a time.

    Attributes
    ----------
    status : int
        Status of the present answer, 0 before its head is complete.
    headers : list of (bytes, bytes)
        Its headers, names in lower case.
    is_complete : bool
        Whether its end was received.
    is_reusable : bool
        Whether another request may follow.
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
        """Expect the answer to a new request.

        Parameters
        ----------
        is_bodiless : bool
            Whether the answer has no body whatever its headers say, as
            for HEAD.
        """
        if self._is_bodiless:
            # The parser still expects the body that the head announced.
            self._parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers = []
        self.is_complete = False
        self._is_bodiless = is_bodiless
        self._head_bytes = 0

    async def wait_head(self) -> None:
        """Wait for the head of the answer."""
        while not self.status or self.status < 200:
            await self._wait()

    async def wait_writable(self) -> None:
        """Wait until the peer takes more, or until it has answered."""
        while self._is_write_paused and not self.is_complete:
            await self._wait()
        if self._error is not None:
            raise self._error

    async def read_part(self) -> bytes:
        """Return the next part of the body, empty at its end."""
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
        """Return the whole body if all of it is here."""
        if not self.is_complete:
            return None
        parts, self._parts = self._parts, collections.deque()
        self._buffered_bytes = 0
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # uvloop's transports are not derived from asyncio's.
        self.transport = typing.cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(WRITE_HIGH_WATER_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the present answer."""
        self.is_reusable = False
        if not self.is_complete and self._error is None:
            text = "the connection was closed before the end of the answer"
            self._error = httpcore.ReadError(f"{exc or text}")
        self._wake_waiter()

    def data_received(self, data: bytes) -> None:
        """Parse input."""
        if self.is_complete:
            self._fail("input without a request")
            return
        if not self.status:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"not a valid answer: {error!r}")
        except httptools.HttpParserUpgrade:
            self._fail("the answer changes the protocol")
        if not self.status and self._head_bytes > MAX_HEAD_BYTES:
            self._fail("the head of the answer is too large")
        if (
            self._buffered_bytes > READ_HIGH_WATER_BYTES
            and not self._is_read_paused
        ):
            self._is_read_paused = True
            if self.transport is not None:
                self.transport.pause_reading()
        self._wake_waiter()

    def pause_writing(self) -> None:
        """Make senders wait."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Let senders go on."""
        self._is_write_paused = False
        self._wake_waiter()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; also called for trailers, which are dropped."""
        if not self.status:
            self.headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Take the status."""
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
        """Take a part of the body."""
        if self.is_complete:
            self.is_reusable = False
            return
        self._parts.append(body)
        self._buffered_bytes += len(body)

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        if self.status >= 200:
            self.is_complete = True

    def on_message_begin(self) -> None:
        """Notice an answer that nobody asked for."""
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
    """Body of an answer, as httpcore expects it."""

    def __init__(self, protocol: ResponseProtocol) -> None:
        self._protocol = protocol

    def take_complete_body(self) -> bytes | None:
        """Return the whole body if all of it is here."""
        return self._protocol.take_complete_body()

    async def __aiter__(self) -> typing.AsyncIterator[bytes]:
        while part := await self._protocol.read_part():
            yield part

    async def aclose(self) -> None:
        """Do nothing: the lane decides about its connection."""


class Response(typing.NamedTuple):
    """Head of an answer, and its body to be read.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Headers, names in lower case.
    body : BodyStream
        The body.
    """

    status: int
    headers: asgi.Headers
    body: BodyStream

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None without it."""
        for key, value in self.headers:
            if key == name:
                return value
        return None
