"""HTTP server connections of callers."""

from __future__ import annotations

import asyncio
import typing

import httptools

from agatestile.observability import events
from agatestile.transport import messages

if typing.TYPE_CHECKING:
    from agatestile.catalog import configuration

LINGER_SECONDS = 0.5
"""How long a rejected connection is still read before it is closed."""

MAX_PENDING_REQUESTS = 16
"""Number of requests of a connection that wait behind the current one. No more
are read from the connection meanwhile."""

STALLED_CHECKS = 2
"""Checks within the idle timeout of what a caller has not read. A suspended
host makes the first one before it has written more."""

PARSED_SLICE_BYTES = 16 * 1024
"""Received data that is parsed before the pending requests are counted,
bytes."""

_STATUSES_WITHOUT_BODY = frozenset((204, 304))

Handler = typing.Callable[
    [messages.Request], typing.Awaitable[messages.Response]
]


class Listener:
    """A listening socket and its connections.

    Parameters
    ----------
    handler : callable
        Returns the response to a request. It is cancelled when the caller
        disconnects.
    limits : callable
        Returns the limits on callers that currently apply.
    """

    def __init__(
        self,
        handler: Handler,
        limits: typing.Callable[[], configuration.CallerLimits],
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[ServerConnection] = set()
        self.is_draining = False
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            host,
            port,
            backlog=1024,
            reuse_address=True,
        )

    def start_draining(self) -> None:
        """Close each connection after its next response."""
        self.is_draining = True

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request in progress."""
        return sum(1 for connection in self.connections if connection.is_busy)


class ServerConnection(asyncio.Protocol):
    """A connection from a caller."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._pending: list[tuple[messages.Request, bool]] = []
        self._unparsed = memoryview(b"")
        self._is_reading = True
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._write_timer: asyncio.TimerHandle | None = None
        self._is_rejected = False
        self._is_in_message = False
        self._reset_request()

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: messages.Headers = []
        self._body = bytearray()
        self._head_bytes = 0

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or handled."""
        return self._task is not None or self._is_in_message

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and wait for a request."""
        # uvloop's transports are not derived from asyncio's.
        self._transport = typing.cast(asyncio.Transport, transport)
        self._listener.connections.add(self)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request, since its response cannot be delivered."""
        self._listener.connections.discard(self)
        self._stop_timer()
        self._stop_write_timer()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Treat the end of the input as a disconnect of the caller."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if self._unparsed:
            data = bytes(self._unparsed) + data
        self._unparsed = memoryview(data)
        self._parse_received()

    def pause_writing(self) -> None:
        """Handle no further request until the caller reads.

        The connection ends if the caller reads nothing for the idle timeout.
        """
        self._can_write.clear()
        if self._transport is not None:
            size = self._transport.get_write_buffer_size()
            self._start_write_timer(size, STALLED_CHECKS)

    def resume_writing(self) -> None:
        """Continue with the pending requests."""
        self._can_write.set()
        self._stop_write_timer()

    def _parse_received(self) -> None:
        """Parse while few requests are pending, and else stop reading."""
        while (
            self._unparsed
            and not self._is_rejected
            and len(self._pending) <= MAX_PENDING_REQUESTS
        ):
            data = self._unparsed[:PARSED_SLICE_BYTES]
            self._unparsed = self._unparsed[PARSED_SLICE_BYTES:]
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserCallbackError:
                self._unparsed = memoryview(b"")
            except (httptools.HttpParserError, httptools.HttpParserUpgrade):
                self._reject(400)
        if self._is_rejected:
            self._unparsed = memoryview(b"")
        self._set_reading(not self._unparsed)

    def _set_reading(self, is_reading: bool) -> None:
        transport = self._transport
        if transport is None or self._is_reading == is_reading:
            return
        if transport.is_closing():
            return
        self._is_reading = is_reading
        if is_reading:
            transport.resume_reading()
        else:
            transport.pause_reading()

    def on_message_begin(self) -> None:
        """Reset the state for a new request and start its header timeout."""
        self._reset_request()
        self._is_in_message = True
        self._stop_timer()
        self._timer = self._loop.call_later(
            self._listener.limits().header_timeout, self._on_head_timeout
        )

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers.append((name.lower(), value.strip()))
        # 4 bytes for the colon, the space and the line end.
        self._count_head_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Stop the header timeout."""
        self._stop_timer()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._body += body
        if len(self._body) > self._listener.limits().body_bytes:
            self._reject(413)
            raise ValueError("request body exceeds the limit")

    def on_message_complete(self) -> None:
        """Queue the request behind those that arrived before it."""
        self._is_in_message = False
        request = messages.Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            bytes(self._body),
        )
        self._reset_request()
        self._pending.append((request, self._parser.should_keep_alive()))
        if self._task is None:
            self._task = self._loop.create_task(self._handle_pending())

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if not self.is_busy and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection immediately."""
        if self._transport is not None:
            self._transport.abort()

    async def _handle_pending(self) -> None:
        try:
            while self._pending:
                await self._can_write.wait()
                request, keep_alive = self._pending.pop(0)
                if not self._is_reading:
                    self._parse_received()
                try:
                    response = await self._listener.handler(request)
                except Exception as error:
                    # A failed request must not affect other connections, and
                    # its caller learns immediately that there is no response.
                    events.emit("error", part="request", reason=repr(error))
                    self.abort()
                    return
                self._write(request, response, keep_alive)
        finally:
            self._task = None
        if not self._is_in_message:
            self._start_idle_timer()

    def _write(
        self,
        request: messages.Request,
        response: messages.Response,
        keep_alive: bool,
    ) -> None:
        transport = self._transport
        if transport is None or transport.is_closing() or self._is_rejected:
            return
        keep_alive = keep_alive and not self._listener.is_draining
        headers = list(response.headers)
        if (
            response.status not in _STATUSES_WITHOUT_BODY
            and request.method != b"HEAD"
        ):
            headers.append((b"content-length", b"%d" % len(response.body)))
        if not keep_alive:
            headers.append((b"connection", b"close"))
        transport.write(_encode_head(response.status, headers) + response.body)
        if not keep_alive:
            transport.close()

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._listener.limits().header_bytes:
            self._reject(431)
            raise ValueError("request head exceeds the limit")

    def _on_head_timeout(self) -> None:
        self._timer = None
        self._reject(408)

    def _reject(self, status: int) -> None:
        self._stop_timer()
        transport = self._transport
        if transport is None or self._is_rejected:
            return
        self._is_rejected = True
        self._is_in_message = False
        if self._task is not None:
            transport.close()
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        transport.write(_encode_head(status, headers))
        # An immediate close would reset the connection while the caller is
        # still sending, and the reset would discard the response.
        self._timer = self._loop.call_later(LINGER_SECONDS, transport.close)

    def _start_idle_timer(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._stop_timer()
        self._timer = self._loop.call_later(
            self._listener.limits().idle_timeout, self.close_if_idle
        )

    def _start_write_timer(self, unread: int, checks: int) -> None:
        self._stop_write_timer()
        self._write_timer = self._loop.call_later(
            self._listener.limits().idle_timeout / STALLED_CHECKS,
            self._check_unread,
            unread,
            checks,
        )

    def _check_unread(self, unread: int, checks: int) -> None:
        self._write_timer = None
        transport = self._transport
        if transport is None:
            return
        size = transport.get_write_buffer_size()
        if size != unread:
            self._start_write_timer(size, STALLED_CHECKS)
        elif checks > 1:
            self._start_write_timer(size, checks - 1)
        else:
            events.emit("caller_stalled", unread_bytes=size)
            self.abort()

    def _stop_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _encode_head(status: int, headers: messages.Headers) -> bytes:
    reason = messages.REASON_PHRASES_BY_STATUS.get(status, b"Status")
    return messages.encode_head(b"HTTP/1.1 %d %b" % (status, reason), headers)
