"""Small HTTP client for load: no retries, failures told apart by kind."""

from __future__ import annotations

import asyncio
import typing

import httptools

if typing.TYPE_CHECKING:
    from collections.abc import Mapping


class Response(typing.NamedTuple):
    """A complete response; names of headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class Failure(typing.NamedTuple):
    """A request without a complete response.

    Attributes
    ----------
    kind : str
        "connect" (nothing was sent), "broken" (the connection ended after
        the request was sent) or "timeout".
    """

    kind: str


class _Connection(asyncio.Protocol):
    def __init__(self) -> None:
        self.is_closed = False
        self.is_reusable = True
        self.pending: asyncio.Future[Response | Failure] | None = None
        self._transport: asyncio.Transport | None = None
        self._reset_parser()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body_parts: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        self.is_closed = True
        self._finish(Failure("broken"))

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()
            self._finish(Failure("broken"))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body_parts.append(body)

    def on_message_complete(self) -> None:
        self.is_reusable = self._parser.should_keep_alive()
        self._finish(
            Response(
                self._parser.get_status_code(),
                self._headers,
                b"".join(self._body_parts),
            )
        )

    def _finish(self, result: Response | Failure) -> None:
        if self.pending is not None and not self.pending.done():
            self.pending.set_result(result)

    def send(self, request: bytes) -> asyncio.Future[Response | Failure]:
        assert self._transport is not None
        self._reset_parser()
        self.pending = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return self.pending

    def close(self) -> None:
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()


class Client:
    """Sends requests over keep-alive connections, pooled by address.

    Parameters
    ----------
    connect_timeout : float
        Timeout for opening a connection, seconds.
    """

    def __init__(self, connect_timeout: float = 1.0) -> None:
        self._connect_timeout = connect_timeout
        self._idle_by_address: dict[str, list[_Connection]] = {}

    async def request(
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout: float = 5.0,
    ) -> Response | Failure:
        """Send a request; the timeout, seconds, starts when it is sent."""
        connection = await self._acquire_connection(address)
        if connection is None:
            return Failure("connect")
        lines = [f"{method} {path} HTTP/1.1", f"host: {address}"]
        for name, value in (headers or {}).items():
            lines.append(f"{name}: {value}")
        if body or method in ("POST", "PUT", "PATCH"):
            lines.append(f"content-length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        pending = connection.send(head + body)
        try:
            async with asyncio.timeout(timeout):
                result = await pending
        except TimeoutError:
            connection.close()
            return Failure("timeout")
        if isinstance(result, Failure) or not connection.is_reusable:
            connection.close()
        else:
            self._idle_by_address[address].append(connection)
        return result

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()

    async def _acquire_connection(self, address: str) -> _Connection | None:
        idle = self._idle_by_address.setdefault(address, [])
        while idle:
            connection = idle.pop()
            if not connection.is_closed:
                return connection
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout):
                _, connection = await loop.create_connection(
                    _Connection, host, int(port)
                )
        except (OSError, TimeoutError):
            return None
        return connection
