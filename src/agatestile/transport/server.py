"""Connections of callers."""

from __future__ import annotations

import asyncio
import typing

import httptools

from agatestile.observability import events
from agatestile.transport import messages

if typing.TYPE_CHECKING:
    from agatestile.catalog import configuration

LINGER_SECONDS = 0.5
"""How long a refused connection is read from before it is closed."""

_BODILESS = frozenset((204, 304))

Handler = typing.Callable[
    [messages.Request], typing.Awaitable[messages.Response]
]


class Listener:
    """A listening socket with its connections.

    Parameters
    ----------
    handler : callable
        Answers a request. It is cancelled when its caller leaves.
    limits : callable
        Returns the present bounds on callers.
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
        """Ask callers to leave: each answer ends its connection."""
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
        return sum(1 for one in self.connections if one.is_busy)


class ServerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._waiting: list[tuple[messages.Request, bool]] = []
        self._is_refused = False
        self._is_in_message = False
        self._start()

    def _start(self) -> None:
        self._target = b""
        self._headers: messages.Headers = []
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or answered."""
        return self._task is not None or self._is_in_message

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for a request."""
        # uvloop's transports are not derived from asyncio's.
        self._transport = typing.cast(asyncio.Transport, transport)
        self._listener.connections.add(self)
        self._wait_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the request, as nobody waits for its answer."""
        self._listener.connections.discard(self)
        self._stop_timer()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Treat the end of the caller's input as its leaving."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse input."""
        if self._is_refused:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(400)

    def on_message_begin(self) -> None:
        """Start a request and bound the time of its head."""
        self._start()
        self._is_in_message = True
        self._stop_timer()
        self._timer = self._loop.call_later(
            self._listener.limits().header_timeout, self._on_head_timeout
        )

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), value.strip()))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Stop the timer of the head."""
        self._stop_timer()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._listener.limits().body_bytes:
            self._refuse(413)
            raise ValueError("body too large")

    def on_message_complete(self) -> None:
        """Handle the request, after those before it."""
        self._is_in_message = False
        request = messages.Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
        )
        self._start()
        self._waiting.append((request, self._parser.should_keep_alive()))
        if self._task is None:
            self._task = self._loop.create_task(self._answer_all())

    def close_if_idle(self) -> None:
        """Close without a request in progress."""
        if not self.is_busy and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    async def _answer_all(self) -> None:
        try:
            while self._waiting:
                request, keep = self._waiting.pop(0)
                try:
                    answer = await self._listener.handler(request)
                except Exception as error:
                    # One request must not take the others with it, and its
                    # caller learns at once that there is no answer.
                    events.emit("error", part="request", reason=repr(error))
                    self.abort()
                    return
                self._write(request, answer, keep)
        finally:
            self._task = None
        if not self._is_in_message:
            self._wait_idle()

    def _write(
        self, request: messages.Request, answer: messages.Response, keep: bool
    ) -> None:
        transport = self._transport
        if transport is None or transport.is_closing() or self._is_refused:
            return
        keep = keep and not self._listener.is_draining
        headers = list(answer.headers)
        if answer.status not in _BODILESS and request.method != b"HEAD":
            headers.append((b"content-length", b"%d" % len(answer.body)))
        if not keep:
            headers.append((b"connection", b"close"))
        transport.write(_encode(answer.status, headers) + answer.body)
        if not keep:
            transport.close()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._listener.limits().header_bytes:
            self._refuse(431)
            raise ValueError("head too large")

    def _on_head_timeout(self) -> None:
        self._timer = None
        self._refuse(408)

    def _refuse(self, status: int) -> None:
        self._stop_timer()
        transport = self._transport
        if transport is None or self._is_refused:
            return
        self._is_refused = True
        self._is_in_message = False
        if self._task is not None:
            transport.close()
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        transport.write(_encode(status, headers))
        # Closing at once resets the connection while the caller still
        # sends, and the reset discards the answer.
        self._timer = self._loop.call_later(LINGER_SECONDS, transport.close)

    def _wait_idle(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._stop_timer()
        self._timer = self._loop.call_later(
            self._listener.limits().idle_timeout, self.close_if_idle
        )

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _encode(status: int, headers: messages.Headers) -> bytes:
    reason = messages.REASONS_BY_STATUS.get(status, b"Status")
    return messages.encode_head(b"HTTP/1.1 %d %b" % (status, reason), headers)
