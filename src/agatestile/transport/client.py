"""HTTP client connections to backend servers, the store and other hosts."""

from __future__ import annotations

import asyncio
import math
import typing

from agatestile.transport import buffered_bytes
from agatestile.transport import client_connection
from agatestile.transport import messages

CONNECT_TIMEOUT = 0.5
"""Seconds; a connection within a region opens in a few milliseconds."""

Address = tuple[str, int]


class Pool:
    """Pool of idle connections, by peer.

    Parameters
    ----------
    now : callable
        Clock of the event loop, seconds.
    echo_header : bytes
        Header that responses echo, in lower case.
    buffered : buffered_bytes.BufferedBytes, optional
        Limit that the pool shares with others.
    """

    def __init__(
        self,
        now: typing.Callable[[], float],
        echo_header: bytes = b"",
        buffered: buffered_bytes.BufferedBytes | None = None,
    ) -> None:
        self._now = now
        self._echo_header = echo_header
        self._buffered = buffered or buffered_bytes.BufferedBytes()
        self._idle: dict[
            typing.Hashable, list[client_connection.Connection]
        ] = {}
        self.opened = 0

    def sibling(self) -> Pool:
        """Return a pool of other connections that shares this one's limit."""
        return Pool(self._now, buffered=self._buffered)

    def now(self) -> float:
        """Return the time on the clock of the pool, seconds."""
        return self._now()

    def acquire_idle(
        self,
        peer: typing.Hashable,
        max_idle: float,
        excluded: typing.Collection[client_connection.Connection] = (),
        opened_before: float = math.inf,
    ) -> client_connection.Connection | None:
        """Return the most recently used idle connection.

        Parameters
        ----------
        peer : hashable
            Key of the connections.
        max_idle : float
            Idle time from which a connection is not used, seconds.
        excluded : collection of client_connection.Connection, optional
            Connections that are not used.
        opened_before : float, optional
            Time up to which the connection was opened, seconds.

        Returns
        -------
        client_connection.Connection or None
            None if there is none.
        """
        idle = self._idle.get(peer, [])
        now = self._now()
        for index in reversed(range(len(idle))):
            connection = idle[index]
            if connection in excluded or connection.opened_at > opened_before:
                continue
            age = now - connection.idle_since
            if connection.is_usable and age < connection.idle_timeout:
                if age >= max_idle:
                    return None
                del idle[index]
                return connection
            del idle[index]
            connection.abort()
        return None

    async def open(
        self, address: Address, timeout: float = CONNECT_TIMEOUT
    ) -> client_connection.Connection | messages.Failure:
        """Open a new connection within `timeout` seconds."""
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(
                    lambda: client_connection.Connection(
                        self._echo_header, self._buffered, address
                    ),
                    *address,
                )
        except TimeoutError:
            return messages.Failure.not_sent(
                f"connect timed out after {timeout:g} s"
            )
        except OSError as error:
            return messages.Failure.not_sent(f"connect failed: {error}")
        connection.opened_at = self._now()
        return connection

    def release(
        self, peer: typing.Hashable, connection: client_connection.Connection
    ) -> None:
        """Return a connection to the pool, or abort it if it is unusable."""
        if not connection.is_usable:
            connection.abort()
            return
        connection.idle_since = self._now()
        self._idle.setdefault(peer, []).append(connection)

    def has_idle(
        self,
        peer: typing.Hashable,
        excluded: typing.Collection[client_connection.Connection] = (),
        max_idle: float = math.inf,
        opened_before: float = math.inf,
    ) -> bool:
        """Return whether `acquire_idle` finds a connection to a peer."""
        now = self._now()
        return any(
            connection.is_usable
            and now - connection.idle_since
            < min(max_idle, connection.idle_timeout)
            and connection.opened_at <= opened_before
            and connection not in excluded
            for connection in self._idle.get(peer, ())
        )

    def close_peer(self, peer: typing.Hashable) -> None:
        """Close the idle connections to a peer."""
        for connection in self._idle.pop(peer, ()):
            connection.abort()

    def close_expired(self) -> None:
        """Close idle connections whose idle timeout has passed."""
        now = self._now()
        for peer, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                age = now - connection.idle_since
                if connection.is_usable and age < connection.idle_timeout:
                    kept.append(connection)
                else:
                    connection.abort()
            if kept:
                self._idle[peer] = kept
            else:
                del self._idle[peer]

    async def call(
        self,
        address: Address,
        request: messages.Request,
        timeout: float,
        peer: typing.Hashable = None,
        *,
        connect_timeout: float = CONNECT_TIMEOUT,
        data_timeout: float | None = None,
        on_data: typing.Callable[[], None] | None = None,
        needs_new_connection: bool = False,
        opened_before: float | None = None,
        may_send: typing.Callable[[], bool] | None = None,
        max_body: int | None = None,
    ) -> messages.Response | messages.Failure:
        """Send a request that this program originates.

        Parameters
        ----------
        address : tuple of (str, int)
            Address to connect to if no connection is idle.
        request : messages.Request
            The request.
        timeout : float
            Longest wait for the response, seconds.
        peer : hashable, optional
            Key of the connections to use; the address by default.
        connect_timeout : float, optional
            Longest wait for a new connection, seconds.
        data_timeout : float, optional
            Timeout that replaces the other one with each part of the
            response that arrives, for large responses over slow links,
            seconds.
        on_data : callable, optional
            Called with each part of the response that arrives.
        needs_new_connection : bool, optional
            Whether the request is sent over a connection of its own, on
            which no copy of an earlier response can arrive.
        opened_before : float, optional
            Time up to which the connection was opened, seconds. No
            connection is opened for the request then.
        may_send : callable, optional
            Returns whether the request may still be sent once a connection
            has been opened for it.
        max_body : int, optional
            Largest body of the response, bytes; `MAX_BODY_BYTES` by default.

        Returns
        -------
        messages.Response or messages.Failure
            The response, or why there is none.
        """
        peer = address if peer is None else peer
        content = encode_request(request, address)
        try:
            async with asyncio.timeout(timeout) as scope:
                connection = None
                if not needs_new_connection:
                    connection = self.acquire_idle(
                        peer,
                        client_connection.DEFAULT_IDLE_TIMEOUT,
                        opened_before=(
                            math.inf
                            if opened_before is None
                            else opened_before
                        ),
                    )
                if connection is None and opened_before is not None:
                    return messages.Failure.not_sent(
                        "no connection is old enough"
                    )
                if connection is None:
                    opened = await self.open(address, connect_timeout)
                    if isinstance(opened, messages.Failure):
                        return opened
                    if may_send is not None and not may_send():
                        opened.abort()
                        return messages.Failure.not_sent("no longer wanted")
                    connection = opened
                connection.on_data = _data_observer(
                    scope, data_timeout, on_data
                )
                try:
                    result = await connection.exchange(
                        content, max_body=max_body
                    )
                finally:
                    connection.on_data = None
        except TimeoutError:
            return messages.Failure.unknown(
                f"no response within {timeout:g} s"
            )
        if needs_new_connection:
            connection.abort()
        else:
            self.release(peer, connection)
        if isinstance(result, messages.Response):
            # Parts of it are kept and used as keys.
            return result._replace(body=bytes(result.body))
        return result


def _data_observer(
    scope: asyncio.Timeout,
    data_timeout: float | None,
    on_data: typing.Callable[[], None] | None,
) -> typing.Callable[[], None]:
    def observe() -> None:
        if data_timeout is not None:
            now = asyncio.get_running_loop().time()
            scope.reschedule(now + data_timeout)
        if on_data is not None:
            on_data()

    return observe


def encode_request(request: messages.Request, address: Address) -> bytes:
    """Encode a request that this program originates."""
    headers = [
        (b"host", b"%b:%d" % (address[0].encode(), address[1])),
        (b"content-length", b"%d" % len(request.body)),
        *request.headers,
    ]
    start = b"%b %b HTTP/1.1" % (request.method, request.target)
    return messages.encode_head(start, headers) + request.body
