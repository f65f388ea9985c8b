"""Connection to a server: sends requests and receives responses."""

from __future__ import annotations

import asyncio
import socket
import struct
import typing

import httptools

from agatestile.transport import body_sender
from agatestile.transport import buffered_bytes
from agatestile.transport import messages
from agatestile.transport import peer_liveness

DEFAULT_IDLE_TIMEOUT = 4.0
"""Seconds that a connection may stay idle if its server announces no
timeout."""

IDLE_TIMEOUT_MARGIN = 1.5
"""Seconds before the server's idle timeout at which a connection is no
longer reused, since a request could cross the server's close."""

MAX_HEAD_BYTES = 64 * 1024
"""Largest response head, bytes."""

MAX_HEADERS = 500
"""Largest number of headers in a response. A short one takes about 110 bytes
beside its own."""

MAX_FRAMING_RATIO = 0.5
"""Framing bytes per byte of a body that a response may have in addition to
`MAX_HEAD_BYTES`. Chunks of 10 bytes have as many."""

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Largest response body kept in memory, bytes, unless the caller names another
limit. It includes the bodies of late responses that precede the expected
one."""

PARSED_SLICE_BYTES = 64 * 1024
"""Received data that is parsed before the limits are checked, bytes."""

FIRST_READ_BYTES = 16 * 1024
"""Largest amount that is read before the size of a body is known, bytes."""

RESERVED_FROM_BYTES = 64 * 1024
"""Size from which the body of a response to a forwarded request waits for
room, bytes."""

ROOM_SECONDS = 2.0
"""Longest time that a body waits for room, seconds."""

_LINGER_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER value (on, 0 seconds) that makes a close reset the connection."""


class Connection(asyncio.BufferedProtocol):
    """A client connection that carries one request at a time.

    Where the caller passes an echo value, responses are matched to requests
    by the echoed header, since the response to an earlier request may arrive
    late.

    Parameters
    ----------
    echo_header : bytes
        Header that responses echo, in lower case.
    buffered : buffered_bytes.BufferedBytes, optional
        Limit that the connection shares with others.
    peer : hashable, optional
        Peer whose connections are counted together in the shared limit.
    """

    def __init__(
        self,
        echo_header: bytes,
        buffered: buffered_bytes.BufferedBytes | None = None,
        peer: typing.Hashable = None,
    ) -> None:
        self.peer = peer
        self._echo_header = echo_header
        self._buffered = buffered or buffered_bytes.BufferedBytes()
        self._transport: asyncio.Transport | None = None
        self._sender: body_sender.BodySender | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._expected_echo: bytes | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._result: messages.Response | messages.Failure | None = None
        self._headers: messages.Headers = []
        self._body = bytearray()
        self._body_size = 0
        self._max_body = MAX_BODY_BYTES
        self._received_size = 0
        self._has_head = False
        self._first_data_at: float | None = None
        self._ends_at_close = False
        self._is_head_request = False
        self._room_timer: asyncio.TimerHandle | None = None
        self.is_usable = True
        self.on_data: typing.Callable[[], None] | None = None
        self.opened_at = 0.0
        self.idle_since = 0.0
        self.idle_timeout = DEFAULT_IDLE_TIMEOUT

    @property
    def has_received_data(self) -> bool:
        """Whether any byte of the current response has arrived."""
        return self._first_data_at is not None

    async def exchange(
        self,
        content: bytes,
        echo: bytes | None = None,
        is_head: bool = False,
        max_body: int | None = None,
        body: bytes | bytearray = b"",
    ) -> messages.Response | messages.Failure:
        """Send a request and return its response.

        Cancellation closes the connection, which ends the request on a
        server that detects the close.

        Parameters
        ----------
        content : bytes
            Encoded request, up to its body.
        echo : bytes, optional
            Value of the echoed header that identifies the response.
        is_head : bool, optional
            Whether the response has no body, whatever its head says.
        max_body : int, optional
            Largest body of the response, bytes; `MAX_BODY_BYTES` by default.
        body : bytes or bytearray, optional
            Body of the request, which must not change until the response.
        """
        if not self.is_usable or self._transport is None:
            return messages.Failure.not_sent(
                "the connection was closed while idle"
            )
        self._expected_echo = echo
        self._is_head_request = is_head
        self._result = None
        self._has_head = False
        self._ends_at_close = False
        self._body_size = 0
        self._max_body = MAX_BODY_BYTES if max_body is None else max_body
        self._received_size = 0
        self._first_data_at = None
        self._sender = body_sender.BodySender(
            self._transport, content, body, self._on_peer_gone
        )
        self._sender.send()
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._waiter = None
            sender, self._sender = self._sender, None
            sender.stop()
            self._discard_body()
        # The connection may stay idle for long, and the response be large.
        result, self._result = self._result, None
        if result is None:
            return messages.Failure.unknown(
                "the connection closed before a response"
            )
        if isinstance(result, messages.Response):
            if sender.has_unsent:
                # The server responded early and may still be reading the body.
                self.is_usable = False
        return result

    def abort(self) -> None:
        """Reset the connection, discarding unsent data."""
        self.is_usable = False
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        raw = transport.get_extra_info("socket")
        if raw is not None:
            # Otherwise the kernel keeps sending buffered data, and an
            # abandoned command arrives once a network partition heals.
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options."""
        # uvloop's transports are not derived from asyncio's.
        self._transport = typing.cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        if raw is not None:
            peer_liveness.limit_unacknowledged(raw)

    def _on_peer_gone(self) -> None:
        self.fail("the peer acknowledges nothing")

    def pause_writing(self) -> None:
        """Stop to send the body until the server has read more."""
        if self._sender is not None:
            self._sender.pause()

    def resume_writing(self) -> None:
        """Continue to send the body."""
        if self._sender is not None:
            self._sender.resume()

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete or fail the current response."""
        self.is_usable = False
        if exc is None and self._has_head and self._ends_at_close:
            self._complete()
        if self._waiter is not None and self._result is None:
            self.fail(f"connection lost: {exc or 'closed by the server'}")
        # They refer to each other, and would wait for the garbage collector.
        del self._parser

    def eof_received(self) -> bool:
        """Return False so that the transport closes itself."""
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        buffer = self._buffered.receive_buffer
        return buffer if self._has_head else buffer[:FIRST_READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received data."""
        if self._waiter is None or self._result is not None:
            # Data after a complete response belongs to no request.
            self.abort()
            return
        if self._first_data_at is None:
            self._first_data_at = _loop_time()
        if self.on_data is not None:
            self.on_data()
        view = self._buffered.receive_buffer[:nbytes]
        for start in range(0, len(view), PARSED_SLICE_BYTES):
            if self._result is not None:
                # The rest belongs to no request.
                self.is_usable = False
                break
            self._parse(view[start : start + PARSED_SLICE_BYTES])
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._room_timer is not None:
            transport.pause_reading()
        elif len(view) >= PARSED_SLICE_BYTES:
            # The event loop otherwise reads on as long as there is data.
            transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._resume_reading)

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def on_room(self) -> None:
        """Receive a body that has waited for room."""
        self._stop_room_timer()
        self._resume_reading()

    def _stop_room_timer(self) -> None:
        if self._room_timer is not None:
            self._room_timer.cancel()
            self._room_timer = None

    def _reserve(self, size: int) -> None:
        """Let a large body wait while others fill the shared limit.

        Without it, bodies that arrive at the same time would fail although
        their requests have run.
        """
        if self._expected_echo is None or size < RESERVED_FROM_BYTES:
            return
        if not self._buffered.reserve(self, size):
            self._room_timer = asyncio.get_running_loop().call_later(
                ROOM_SECONDS, self.on_room
            )

    def _parse(self, data: memoryview) -> None:
        self._received_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail(f"malformed HTTP response: {error!r}")
        except httptools.HttpParserUpgrade:
            self.fail("the response upgrades the protocol")
        framing_size = self._received_size - self._body_size
        allowed = MAX_HEAD_BYTES + self._body_size * MAX_FRAMING_RATIO
        if framing_size > allowed:
            self.fail(
                f"response has {framing_size} bytes of framing for"
                f" {self._body_size} bytes of a body"
            )

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        if self._result is not None:
            self.is_usable = False
            return
        self._headers = []
        self._discard_body()
        self._has_head = False
        self._ends_at_close = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped."""
        if self._result is not None or self._has_head:
            return
        if len(self._headers) == MAX_HEADERS:
            self.fail(f"response has more than {MAX_HEADERS} headers")
            raise ValueError("the response failed")
        self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Evaluate the status and the headers that frame the body."""
        if self._result is not None:
            return
        status = self._parser.get_status_code()
        if status < 100:
            self.fail(f"response has the invalid status {status:03}")
            raise ValueError("the response failed")
        if status < 200:
            return
        self._has_head = True
        find = messages.find_header
        if not self._parser.should_keep_alive():
            self.is_usable = False
        length = find(self._headers, b"content-length")
        is_chunked = find(self._headers, b"transfer-encoding") is not None
        self._ends_at_close = length is None and not is_chunked
        keep_alive = find(self._headers, b"keep-alive")
        if keep_alive is not None:
            self._set_idle_timeout(keep_alive)
        if self._is_head_request:
            self.is_usable = False
            self._complete()
        elif length is not None and status not in (204, 304):
            if int(length) > self._max_body:
                self.fail(
                    f"response body of {int(length)} bytes exceeds"
                    f" {self._max_body} bytes"
                )
            else:
                self._reserve(int(length))

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        if self._result is not None:
            self.is_usable = False
            return
        self._body_size += len(body)
        if self._body_size > self._max_body:
            self.fail(f"response body exceeds {self._max_body} bytes")
        else:
            self._body += body
            self._buffered.add(self, len(body))
        if self._result is not None:
            # Ends the parsing of what has been received.
            raise ValueError("the response failed")

    def on_message_complete(self) -> None:
        """Complete the response."""
        if self._has_head:
            self._complete()

    def _complete(self) -> None:
        if self._result is not None:
            return
        expected = self._expected_echo
        if expected is not None:
            echo = messages.find_header(self._headers, self._echo_header)
            if echo != expected:
                # A late response to an earlier request; the expected one may
                # follow.
                self._has_head = False
                self.is_usable = False
                if echo is None:
                    self.fail(
                        f"the response lacks the header {self._echo_header!r}"
                    )
                return
        self._result = messages.Response(
            self._parser.get_status_code(),
            self._headers,
            messages.fixed_body(self._body),
            _loop_time() - (self._first_data_at or _loop_time()),
        )
        self._discard_body()
        self._notify_waiter()

    def fail(self, reason: str) -> None:
        """End the current response, unless it is complete, and close."""
        if self._result is None:
            self._result = messages.Failure.unknown(reason)
        self._discard_body()
        self.abort()
        self._notify_waiter()

    def _discard_body(self) -> None:
        self._body = bytearray()
        self._stop_room_timer()
        self._buffered.discard(self)

    def _notify_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _set_idle_timeout(self, value: bytes) -> None:
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.idle_timeout = int(number) - IDLE_TIMEOUT_MARGIN


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
