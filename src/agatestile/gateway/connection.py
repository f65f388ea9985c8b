"""HTTP connection to a backend server or to another daemon."""

from __future__ import annotations

import asyncio
import collections.abc
import select
import socket
import typing

import anyio
import httpcore

from agatestile.gateway import client_protocol
from agatestile.gateway import clock

if typing.TYPE_CHECKING:
    from agatestile.gateway import asgi

RECEIVE_BUFFER_BYTES = 32 * 1024
"""Size of the socket's receive buffer, which the kernel doubles. It limits
how much a single read returns."""

UPLOAD_PIECE_BYTES = 16 * 1024
"""Maximum part of an upload that is written to the transport at once."""

CONNECT_TIMEOUT_SECONDS = 1.0
"""Opening a connection takes 1 ms (section 1.5 of docs/design.md)."""


class Connection(httpcore.AsyncHTTPConnection):
    """httpcore connection that parses responses with httptools.

    The HTTP/1.1 connection of httpcore parses with h11 in Python, takes two
    locks and awaits each part of a request. It took 500 us of CPU time per
    request, more than the budget of a forwarded request as a whole (1,800
    requests per second).

    Attributes
    ----------
    opened_at : float
        Clock of the event loop when the connection was opened, seconds.
    was_written : bool
        Whether a part of the current request may have been sent.
    """

    def __init__(self, host: str, port: int) -> None:
        super().__init__(httpcore.Origin(b"http", host.encode(), port))
        self._address = (host, port)
        self._protocol = client_protocol.ResponseProtocol()
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self.opened_at = 0.0
        self.was_written = False

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send a request of httpcore; see `exchange`."""
        stream = request.stream
        response = await self.exchange(
            request.method,
            request.url.target,
            request.headers,
            stream
            if isinstance(stream, collections.abc.AsyncIterable)
            else b"".join(stream),
        )
        return httpcore.Response(
            response.status, headers=response.headers, content=response.body
        )

    async def exchange(
        self,
        method: bytes,
        target: bytes,
        headers: asgi.Headers,
        content: bytes | collections.abc.AsyncIterable[bytes],
    ) -> client_protocol.Response:
        """Send a request and return the head of the response.

        If the response arrives before the whole body was sent, the rest of
        the body is not sent.

        Raises
        ------
        httpcore.ConnectError, httpcore.ConnectTimeout
            If no connection could be opened; nothing was sent.
        httpcore.NetworkError, httpcore.ProtocolError
            If the connection failed or the response is not valid HTTP.
        """
        self.was_written = False
        transport = self._transport or await self._open()
        protocol = self._protocol
        if not protocol.is_reusable or not protocol.is_complete:
            raise httpcore.ConnectError(
                "the connection is closed or still in use"
            )
        protocol.begin(method == b"HEAD")
        head = _encode_head(method, target, headers)
        if isinstance(content, bytes):
            self.was_written = True
            transport.write(head + content)
        else:
            length = _content_length(headers)
            await self._send_stream(transport, head, length, content)
        await protocol.wait_head()
        return client_protocol.Response(
            protocol.status,
            protocol.headers,
            client_protocol.BodyStream(protocol),
        )

    def is_available(self) -> bool:
        """Return whether another request may be sent."""
        return self._protocol.is_reusable and self._protocol.is_complete

    def has_expired(self) -> bool:
        """Return whether the peer closed the connection or sent input."""
        return self._transport is None or bool(self._poll.poll(0))

    def is_idle(self) -> bool:
        """Return whether no request is in progress."""
        return self._protocol.is_complete

    def is_closed(self) -> bool:
        """Return whether the connection can no longer be used."""
        return not self._protocol.is_reusable

    def abort(self) -> None:
        """Close immediately, which cancels the request at the server."""
        protocol = self._protocol
        protocol.is_reusable = False
        if protocol.transport is not None:
            protocol.transport.abort()

    async def aclose(self) -> None:
        """Close immediately."""
        self.abort()

    async def _open(self) -> asyncio.Transport:
        loop = asyncio.get_running_loop()
        host, port = self._address
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                transport, _ = await loop.create_connection(
                    lambda: self._protocol, host, port
                )
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(
                f"no connection to {host}:{port} "
                f"in {CONNECT_TIMEOUT_SECONDS:g} s"
            ) from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        sock = transport.get_extra_info("socket")
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._poll.register(sock.fileno(), select.POLLIN)
        self.opened_at = clock.now()
        self._transport = transport
        return transport

    async def _send_stream(
        self,
        transport: asyncio.Transport,
        head: bytes,
        length: int | None,
        content: collections.abc.AsyncIterable[bytes],
    ) -> None:
        protocol = self._protocol
        remaining = length
        pending = head
        async for part in content:
            for piece in _split(part):
                if remaining is None:
                    piece = b"%x\r\n%b\r\n" % (len(piece), piece)
                else:
                    remaining -= len(piece)
                    if remaining < 0:
                        raise httpcore.LocalProtocolError(
                            "the body is longer than its content-length"
                        )
                self.was_written = True
                transport.write(pending + piece)
                pending = b""
                await protocol.wait_writable()
                if protocol.status:
                    protocol.is_reusable = False
                    return
        if remaining:
            raise httpcore.LocalProtocolError(
                "the body is shorter than its content-length"
            )
        self.was_written = True
        transport.write(pending + (b"0\r\n\r\n" if remaining is None else b""))


def _encode_head(method: bytes, target: bytes, headers: asgi.Headers) -> bytes:
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines += [b"%b: %b" % pair for pair in headers]
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def _split(part: bytes) -> collections.abc.Iterator[bytes]:
    if len(part) <= UPLOAD_PIECE_BYTES:
        return iter((part,))
    return (
        part[start : start + UPLOAD_PIECE_BYTES]
        for start in range(0, len(part), UPLOAD_PIECE_BYTES)
    )


def _content_length(headers: asgi.Headers) -> int | None:
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None


class Endpoint(typing.NamedTuple):
    """Address of a server or of another daemon.

    Attributes
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    """

    host: str
    port: int

    @classmethod
    def from_address(cls, address: str) -> Endpoint:
        """Parse an address such as 10.0.0.1:80 or [::1]:80."""
        host, _, port = address.rpartition(":")
        return cls(host.strip("[]"), int(port))
