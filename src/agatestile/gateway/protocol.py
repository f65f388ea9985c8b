"""HTTP protocol of the listeners: uvicorn's, with limits on heads."""

from __future__ import annotations

import socket
import typing

import httptools
from uvicorn.protocols.http import httptools_impl

from agatestile.gateway import responses
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    import asyncio

    from agatestile.gateway import asgi
    from agatestile.gateway import options as gateway_options

RECEIVE_BUFFER_BYTES = 32 * 1024
"""Size of the socket's receive buffer, which the kernel doubles. It limits
how much a single read returns, which uvicorn keeps although it pauses reading
above 64 KiB: 192 KiB at most, as the previous part of the body may still be in
use."""

WRITE_HIGH_WATER_BYTES = 32 * 1024
"""Unsent part of a response above which the sender waits."""

LINGER_SECONDS = 1.0
"""Time for which a refused connection is kept open for reading."""

_CODES = codes.ResultCode


class Protocol(httptools_impl.HttpToolsProtocol):
    """Connection of a caller or of another daemon.

    uvicorn limits neither the size of the head of a request nor the time
    that it takes to arrive.
    """

    options: gateway_options.Options

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self._head_bytes = 0
        self._in_body = False
        self._is_in_head = False
        self._is_refused = False
        self._refusal: outcomes.Refusal | None = None
        self._pending_refusal: outcomes.Refusal | None = None
        self._head_timer: asyncio.TimerHandle | None = None
        self._running: httptools_impl.RequestResponseCycle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Limit the buffers of the connection and the wait for a head."""
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        transport.set_write_buffer_limits(WRITE_HIGH_WATER_BYTES)
        # A load balancer may open connections before it needs them, so one
        # without any input is kept as long as one between two requests.
        self._start_head_timer(self.timeout_keep_alive)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer and end the request in progress.

        uvicorn ends the one that arrived last.
        """
        self._stop_head_timer()
        running = self._running
        if running is not None and not running.response_complete:
            running.disconnected = True
            running.message_event.set()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received data and count the bytes of heads."""
        if self._is_refused:
            return
        if not self._in_body:
            self._head_bytes += len(data)
        super().data_received(data)
        if self._in_body or self._is_refused or not self._head_bytes:
            return
        if self._head_bytes > self.options.header_limit:
            self._refuse_head()
        elif not self._is_in_head:
            self._is_in_head = True
            self._stop_head_timer()
            self._start_head_timer(self.options.head_timeout)

    def on_headers_complete(self) -> None:
        """Check the exact size of the head before the request starts."""
        self._stop_head_timer()
        self._is_in_head = False
        if self._head_bytes > self.options.header_limit:
            size = len(self.url) + sum(
                len(name) + len(value) + 4 for name, value in self.headers
            )
            if size > self.options.header_limit:
                self._refusal = _too_large(self.options.header_limit)
                raise httptools.HttpParserCallbackError(
                    "the head is too large"
                )
        self._in_body = True
        self._head_bytes = 0
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Prepare for the next head."""
        self._in_body = False
        super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse invalid input and close the connection.

        Requests before the invalid one may run, so that a refusal sent at
        once would be taken for the answer to one of them.
        """
        self._stop_head_timer()
        self._is_refused = True
        refusal = self._refusal or outcomes.Refusal(
            _CODES.BAD_REQUEST, "the request is not valid HTTP"
        )
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            self._respond(refusal)
        elif self._in_body:
            self._refuse_body(cycle, refusal)
        else:
            self._pending_refusal = refusal

    def _start_asgi_task(
        self, cycle: httptools_impl.RequestResponseCycle, app: typing.Any
    ) -> None:
        self._running = cycle
        super()._start_asgi_task(cycle, app)

    def on_response_complete(self) -> None:
        """Send a refusal that had to wait for the responses before it."""
        super().on_response_complete()
        refusal = self._pending_refusal
        if refusal is None or self.transport.is_closing():
            return
        if self.cycle is not None and self.cycle.response_complete:
            self._pending_refusal = None
            self._respond(refusal)

    def _refuse_body(
        self,
        cycle: httptools_impl.RequestResponseCycle,
        refusal: outcomes.Refusal,
    ) -> None:
        """Let the application end a request whose body is invalid.

        Only the application knows whether it has sent a part of the request.
        """
        cycle.keep_alive = False
        scope = typing.cast("asgi.Scope", cycle.scope)
        call = scope.get("agatestile.call")
        if call is None:
            scope["agatestile.refusal"] = refusal
        else:
            call.refuse_input(refusal)

    def _refuse_head(self) -> None:
        self._refusal = _too_large(self.options.header_limit)
        self.send_400_response("")

    def _respond(self, refusal: outcomes.Refusal) -> None:
        status, headers, body = responses.error_parts(refusal)
        headers.append((b"connection", b"close"))
        lines = [b"%s: %s\r\n" % pair for pair in headers]
        self.transport.write(
            b"".join(
                [httptools_impl.STATUS_LINE[status], *lines, b"\r\n", body]
            )
        )
        # Closing immediately would reset the connection while the caller is
        # still sending, and the reset would discard the response.
        self.transport.write_eof()
        self._head_timer = self.loop.call_later(
            LINGER_SECONDS, self.transport.close
        )

    def _start_head_timer(self, seconds: float) -> None:
        self._head_timer = self.loop.call_later(seconds, self._on_head_timeout)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        if self.transport.is_closing() or self._in_body:
            return
        if not self._head_bytes:
            self.transport.close()
            return
        self._refusal = outcomes.Refusal(
            _CODES.SLOW_SENDER,
            f"the head was not complete in {self.options.head_timeout:g} s",
        )
        self.send_400_response("")


def with_options(options: gateway_options.Options) -> type[Protocol]:
    """Return a subclass of the protocol with these options.

    uvicorn creates the instances itself, so the options are an attribute of
    the class.
    """
    return type("BoundProtocol", (Protocol,), {"options": options})


def _too_large(limit: int) -> outcomes.Refusal:
    return outcomes.Refusal(
        _CODES.HEADERS_TOO_LARGE,
        f"the head of the request is larger than {limit} bytes",
    )
