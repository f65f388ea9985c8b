"""Connection of a caller: receives requests and sends responses."""

from __future__ import annotations

import asyncio
import math
import typing

import httptools

from agatestile.observability import events
from agatestile.transport import connection_choice
from agatestile.transport import framing_counter
from agatestile.transport import messages
from agatestile.transport import parsing_turns
from agatestile.transport import unread_responses
from agatestile.transport import upgrade_offers

if typing.TYPE_CHECKING:
    from agatestile.transport import caller_guard
    from agatestile.transport import server

LINGER_SECONDS = 0.5
"""How long a rejected connection is still read before it is closed."""

MAX_PENDING_REQUESTS = 16
"""Number of requests of a connection that wait behind the current one. No more
are read from the connection meanwhile."""

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Largest amount that is read from a connection at once, bytes."""

PARSED_SLICE_BYTES = 8 * 1024
"""Received data that is parsed before the limits are checked, bytes."""

JOINED_BODY_BYTES = 64 * 1024
"""Largest body that is written together with its head, bytes."""

REQUEST_MEMORY_BYTES = 16 * 1024
"""What a request takes beside its head and its body: its connection, its task
and the connection to a server."""

HEADER_MEMORY_BYTES = 130
"""What a short header takes beside its own bytes."""

WRITE_BUFFER_BYTES = 16 * 1024
"""Unread bytes from which a connection's responses count as unread. What is
below is kept for each connection."""

BUSY_CHECK_SECONDS = 0.5
"""Interval of the checks whether the requests before a body have ended."""

TURN_CHECK_SECONDS = 0.25
"""Interval of the checks whether a connection has had its turn to parse."""

TIMER_SLACK_SECONDS = 0.005
"""Time by which a timer may be early."""


class ServerConnection(asyncio.BufferedProtocol):
    """A connection from a caller.

    All connections of a listener share a buffer: what is read is parsed
    immediately, and only what has to wait is copied.
    """

    def __init__(self, listener: server.Listener) -> None:
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._pending: list[tuple[messages.Request, bool, int]] = []
        self._waiting_size = 0
        self._framing = framing_counter.FramingCounter()
        self._progress = 0
        self._has_body_progress = False
        self._max_body_bytes = 0
        self._unparsed = b""
        self._work = 0
        self._is_reading = True
        self._can_write = asyncio.Event()
        self._can_write.set()
        self.unread = unread_responses.UnreadResponses()
        self._is_rejected = False
        self._is_in_message = False
        self._is_replaying_head = False
        self._reset_request()

    @property
    def _guard(self) -> caller_guard.CallerGuard:
        return self._listener.guard

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: messages.Headers = []
        self._body = bytearray()
        self._head_bytes = 0
        self._has_head = False
        self._began_at = 0.0
        self._progress_at = 0.0
        self._time_left: float | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or handled."""
        return self._task is not None or self._is_in_message

    @property
    def activity(self) -> connection_choice.Activity:
        """What the connection is used for."""
        if self._task is not None or self.unread.unread_bytes:
            return connection_choice.Activity.ANSWERING
        if self._is_in_message:
            return connection_choice.Activity.RECEIVING
        return connection_choice.Activity.IDLE

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and wait for a request."""
        # uvloop's transports are not derived from asyncio's.
        self._transport = typing.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.unread.on_connected(self._transport)
        self._listener.on_used(self)
        self._start_idle_timer()
        self._listener.limit_connections()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request, since its response cannot be delivered."""
        self._listener.connections.pop(self, None)
        # A handler that still returns must not count anything again.
        self._release()
        self._guard.discard(self)
        self._stop_timer()
        self.unread.stop()
        # They refer to each other, and would wait for the garbage collector.
        del self._parser
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Treat the end of the input as a disconnect of the caller."""
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return self._listener.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received data."""
        self._listener.on_used(self)
        if nbytes < RECEIVE_BUFFER_BYTES:
            # The event loop turns to other connections by itself.
            self._work = 0
        data = self._listener.receive_buffer[:nbytes]
        if self._unparsed:
            data = memoryview(self._unparsed + bytes(data))
        self._parse(data)

    def take_turn(self) -> None:
        """Parse what waits, or read on."""
        self._work = 0
        if self._is_rejected or self._unparsed:
            self._parse(memoryview(self._unparsed))
        else:
            self._set_reading(True)

    def pause_writing(self) -> None:
        """Handle no further request until the caller reads.

        The connection ends if the caller reads nothing for the idle timeout.
        """
        self._can_write.clear()
        if self._transport is not None:
            self.unread.on_paused(
                lambda: self._listener.limits().idle_timeout, self._on_stalled
            )
            self._guard.on_unread(self, self._loop.time())

    def resume_writing(self) -> None:
        """Continue with the pending requests."""
        self._can_write.set()
        if not self._is_rejected:
            self._listener.on_used(self)
        self._guard.responses.discard(self)
        self.unread.on_resumed()

    def _parse(self, data: memoryview) -> None:
        """Parse while the turn lasts and few requests are pending."""
        turns = self._guard.turns
        allowed_work = turns.allowed_work
        while (
            data
            and not self._is_rejected
            and len(self._pending) <= MAX_PENDING_REQUESTS
            and self._work < allowed_work
        ):
            size = self._parse_slice(data[:PARSED_SLICE_BYTES])
            self._work += size // parsing_turns.BYTES_PER_UNIT
            data = data[size:]
            self._unparsed = b""
            self._count_memory()
        self._unparsed = b"" if self._is_rejected else bytes(data)
        is_turn_over = self._work >= allowed_work and not self._is_rejected
        if is_turn_over:
            turns.add(self)
        self._set_reading(not self._unparsed and not is_turn_over)
        if self._unparsed:
            self._count_memory()
        if self._has_head and self._timer is None:
            self._check_body_progress()

    def _parse_slice(self, data: memoryview) -> int:
        """Parse some data; return how much of it was consumed, bytes."""
        size = len(data)
        self._has_body_progress = False
        self._max_body_bytes = self._listener.limits().body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            # The callback has refused the request.
            pass
        except httptools.HttpParserUpgrade as upgrade:
            size = upgrade.args[0]
            self._continue_without_upgrade()
        except httptools.HttpParserError:
            self._reject(400, "malformed")
        if self._has_body_progress:
            self._framing.on_progress()
            self._progress_at = self._loop.time()
        self._check_framing(size)
        return size

    def _continue_without_upgrade(self) -> None:
        """Receive the body of a request that offers another protocol."""
        method = self._parser.get_method()
        if method == b"CONNECT":
            self._reject(400, "malformed")
            return
        head = upgrade_offers.head_without_offer(
            self._parser.get_http_version(), method, self._headers
        )
        self._is_replaying_head = True
        self._parser = httptools.HttpRequestParser(self)
        try:
            self._parser.feed_data(head)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(400, "malformed")

    def _check_framing(self, size: int) -> None:
        framing = self._framing
        framing.add(size)
        limit = self._listener.limits().header_bytes
        if framing.exceeds(limit, self._is_in_message):
            if self._is_in_message:
                self._reject(431, "head_size")
            else:
                self._reject(400, "empty_lines")

    def _count_memory(self) -> None:
        """Record what the requests of the connection take."""
        if self._is_rejected:
            return
        size = self._waiting_size + len(self._unparsed) + self._request_size()
        progress, self._progress = self._progress, 0
        self._guard.on_request_memory(
            self, size, progress, self._loop.time(), self._is_in_message
        )

    def _request_size(self) -> int:
        """Return what the request that is received takes, bytes."""
        if not self._is_in_message:
            return 0
        return (
            REQUEST_MEMORY_BYTES
            + self._head_bytes
            + len(self._headers) * HEADER_MEMORY_BYTES
            + self._framing.size
            + len(self._body)
        )

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
        if self._is_replaying_head:
            return
        self._reset_request()
        self._framing.on_progress()
        self._is_in_message = True
        self._began_at = self._loop.time()
        self._stop_timer()
        self._timer = self._loop.call_later(
            self._listener.limits().header_timeout, self._on_head_timeout
        )

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if self._is_replaying_head:
            return
        self._target += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        if self._is_replaying_head:
            return
        self._work += 1
        self._headers.append((name.lower(), value.strip()))
        # 4 bytes for the colon, the space and the line end.
        self._count_head_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Stop the header timeout."""
        if self._is_replaying_head:
            self._is_replaying_head = False
            return
        self._framing.on_progress()
        self._has_head = True
        self._progress_at = self._loop.time()
        self._stop_timer()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._work += 1
        self._has_body_progress = True
        self._progress += len(body)
        self._body += body
        if len(self._body) > self._max_body_bytes:
            self._reject(413, "body_size")
            raise ValueError("request body exceeds the limit")

    def on_message_complete(self) -> None:
        """Queue the request behind those that arrived before it."""
        if self._parser.should_upgrade():
            # The parser stops here and leaves the body.
            return
        # It can still be refused with a promise.
        self._count_memory()
        if self._is_rejected:
            return
        size = self._request_size()
        self._framing.on_progress()
        self._is_in_message = False
        request = messages.Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            messages.fixed_body(self._body),
        )
        self._reset_request()
        self._stop_timer()
        self._waiting_size += size
        self._pending.append((request, self._parser.should_keep_alive(), size))
        if self._task is None:
            self._task = self._loop.create_task(self._handle_pending())

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if not self.is_busy and self._transport is not None:
            self._transport.close()

    def refuse(self, status: int, cause: str) -> None:
        """Refuse the request that is received, or close the connection."""
        if self._is_in_message:
            self._reject(status, cause)
        else:
            self.abort_for(cause)

    def end_for_connections(self) -> None:
        """End the connection, as there are too many.

        A caller that reads gets a refusal if it may be sending a request.
        """
        transport = self._transport
        if transport is None:
            return
        is_answering = self.activity is connection_choice.Activity.ANSWERING
        if is_answering or self._is_rejected:
            self.abort_for("connections")
            return
        self._reject(503, "connections")
        transport.close()

    def abort_for(self, cause: str) -> None:
        """Close the connection immediately, with a line in the log."""
        self._guard.on_ended("closed", cause)
        self._release()
        self.abort()

    def _release(self) -> None:
        """Release the memory of requests that are not handled."""
        self._is_rejected = True
        self._is_in_message = False
        self._reset_request()
        self._pending.clear()
        self._unparsed = b""
        self._guard.requests.discard(self)
        self._guard.turns.discard(self)

    def abort(self) -> None:
        """Close the connection immediately."""
        if self._transport is not None:
            self._transport.abort()

    async def _handle_pending(self) -> None:
        try:
            while self._pending:
                await self._can_write.wait()
                if not self._pending:
                    return
                request, keep_alive, size = self._pending.pop(0)
                self._continue_parsing()
                try:
                    response = await self._listener.handler(request)
                except Exception as error:
                    # A failed request must not affect other connections, and
                    # its caller learns immediately that there is no response.
                    events.emit("error", part="request", reason=repr(error))
                    self.abort()
                    return
                self._write(request, response, keep_alive)
                # They may be large, and the next request may have to wait.
                del request, response
                self._waiting_size -= size
                self._count_memory()
        finally:
            self._task = None
        if not self._is_in_message:
            self._start_idle_timer()

    def _continue_parsing(self) -> None:
        """Parse what waits until fewer requests are pending."""
        if self._unparsed and self not in self._guard.turns:
            self._work = 0
            self._parse(memoryview(self._unparsed))

    def _write(
        self,
        request: messages.Request,
        response: messages.Response,
        keep_alive: bool,
    ) -> None:
        transport = self._transport
        if transport is None or transport.is_closing() or self._is_rejected:
            return
        if self._listener.is_draining and not self._pending:
            keep_alive = False
        head = messages.encode_response_head(
            request.method, response, keep_alive
        )
        self._listener.on_used(self)
        self.unread.on_write(len(head) + len(response.body))
        if len(response.body) <= JOINED_BODY_BYTES:
            transport.write(head + response.body)
        else:
            transport.write(head)
            transport.write(response.body)
        if not keep_alive:
            transport.close()

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._listener.limits().header_bytes:
            self._reject(431, "head_size")
            raise ValueError("request head exceeds the limit")

    def _on_head_timeout(self) -> None:
        self._timer = None
        if self in self._guard.turns:
            # The head may have arrived.
            self._timer = self._loop.call_later(
                TURN_CHECK_SECONDS, self._on_head_timeout
            )
            return
        self._reject(408, "head_timeout")

    def _check_body_progress(self) -> None:
        """Reject a body that stalls or is later than its caller waits.

        It waits for the requests before it, since it closes the connection.
        """
        self._timer = None
        if self in self._guard.turns:
            self._progress_at = self._loop.time()
        if self._task is not None:
            self._timer = self._loop.call_later(
                BUSY_CHECK_SECONDS, self._check_body_progress
            )
            return
        ends = self._progress_at + self._listener.limits().idle_timeout
        cause = "body_stalled"
        deadline = self._deadline()
        if deadline < ends:
            ends, cause = deadline, "deadline"
        left = ends - self._loop.time()
        if left <= TIMER_SLACK_SECONDS:
            self._reject(408, cause)
            return
        self._timer = self._loop.call_later(left, self._check_body_progress)

    def _deadline(self) -> float:
        """Return until when the caller waits, seconds."""
        if self._time_left is None:
            time_left = self._guard.time_left(self._headers)
            self._time_left = math.inf if time_left is None else time_left
        return self._began_at + self._time_left

    def _reject(self, status: int, cause: str) -> None:
        """Refuse the request that is received and close the connection.

        It has not run. Requests before it on the same connection may have, so
        that the connection then closes without a response.
        """
        self._stop_timer()
        transport = self._transport
        if transport is None or self._is_rejected:
            return
        time_left = None
        if self._has_head:
            time_left = self._guard.time_left(self._headers)
        self._release()
        if self._task is not None:
            self._guard.on_ended("closed", cause)
            transport.close()
            return
        self._guard.on_ended("refused", cause, status=status)
        headers = self._guard.refusal_headers(status, time_left)
        refusal = messages.Response(status, headers, b"")
        transport.write(messages.encode_response_head(b"", refusal, False))
        self._set_reading(True)
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

    def _on_stalled(self, unread: int) -> None:
        events.emit("caller_stalled", unread_bytes=unread)
        self._guard.on_ended("closed", "response_stalled")
        self.abort()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
