"""Pools of connections to backend servers and to other daemons."""

from __future__ import annotations

import typing

from agatestile.gateway import connection as gateway_connection

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.gateway import asgi
    from agatestile.gateway import client_protocol

SUSPECT_IDLE_SECONDS = 1.0
"""Idle time after which a connection is not used for a request that may not
be repeated, since the peer may be closing it (section 8.4 of
docs/design.md)."""

MAX_IDLE_SECONDS = 30.0
"""Idle time after which a connection is closed."""

_METHODS = {
    name: name.encode()
    for name in ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
}


class PooledConnection:
    """Connection of a pool, used for one request at a time.

    Attributes
    ----------
    is_fresh : bool
        Whether the current request is the first one on the connection.
    idle_since : float
        Clock of the event loop when the last request ended, seconds.
    """

    __slots__ = ("_connection", "idle_since", "is_fresh")

    def __init__(self, host: str, port: int) -> None:
        self._connection = gateway_connection.Connection(host, port)
        self.is_fresh = True
        self.idle_since = 0.0

    async def send(
        self,
        method: str,
        target: bytes,
        headers: asgi.Headers,
        content: bytes | collections.abc.AsyncIterable[bytes],
    ) -> client_protocol.Response:
        """Send a request and return the head of the response.

        Raises
        ------
        httpcore.ConnectError, httpcore.ConnectTimeout
            If no connection could be opened; nothing was sent.
        httpcore.NetworkError, httpcore.ProtocolError
            If the connection failed or the response is not valid HTTP.
        """
        return await self._connection.exchange(
            _METHODS[method], target, headers, content
        )

    def send_started_at(self, started: float) -> float:
        """Return when sending of the current request started, seconds.

        Parameters
        ----------
        started : float
            Clock of the event loop when the connection was acquired, which
            is returned if the connection was already open.
        """
        return max(started, self._connection.opened_at)

    def was_written(self) -> bool:
        """Return whether any of the current request may have been sent."""
        return self._connection.was_written

    def is_usable(self) -> bool:
        """Return whether another request can be sent.

        Input after the end of a response would be taken for the response to
        the next request, so a connection with unread input is not usable.
        """
        connection = self._connection
        return connection.is_available() and not connection.has_expired()

    def close(self) -> None:
        """Close the connection immediately."""
        self._connection.abort()


class ConnectionPool:
    """Connections to one address.

    Parameters
    ----------
    address : str
        IP address and port.
    limit : int
        Maximum number of open connections.

    Attributes
    ----------
    host_header : tuple of bytes
        Host header of requests to the address.
    """

    def __init__(self, address: str, limit: int) -> None:
        self._endpoint = gateway_connection.Endpoint.from_address(address)
        self.address = address
        self.host_header = (b"host", address.encode("ascii"))
        self.limit = limit
        self._idle: list[PooledConnection] = []
        self._in_use = 0

    @property
    def size(self) -> int:
        """Number of connections that are open or being opened."""
        return self._in_use + len(self._idle)

    def acquire(
        self, now: float, fresh_only: bool, may_repeat: bool
    ) -> PooledConnection | None:
        """Return a connection for one request.

        Parameters
        ----------
        now : float
            Clock of the event loop, seconds.
        fresh_only : bool
            Whether to open a new connection although idle ones exist, as
            another one has failed.
        may_repeat : bool
            Whether the request may be repeated. If not, a connection that
            was idle for long is not used, since the peer may be closing it.

        Returns
        -------
        PooledConnection or None
            None if all connections up to the limit are in use.
        """
        while self._idle and not fresh_only:
            connection = self._idle.pop()
            is_suspect = now - connection.idle_since > SUSPECT_IDLE_SECONDS
            if connection.is_usable() and (may_repeat or not is_suspect):
                connection.is_fresh = False
                self._in_use += 1
                return connection
            connection.close()
        if self._in_use >= self.limit:
            return None
        while self.size >= self.limit:
            self._idle.pop(0).close()
        self._in_use += 1
        return PooledConnection(*self._endpoint)

    def release(self, connection: PooledConnection, now: float) -> None:
        """Return a connection whose response was read to its end."""
        self._in_use -= 1
        if not connection.is_usable():
            connection.close()
            return
        connection.idle_since = now
        self._idle.append(connection)

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection that must not be reused."""
        self._in_use -= 1
        connection.close()

    def close_idle(self, before: float) -> None:
        """Close the connections that have been idle since before a time."""
        expired = [
            connection
            for connection in self._idle
            if connection.idle_since <= before
        ]
        if not expired:
            return
        self._idle = [
            connection
            for connection in self._idle
            if connection.idle_since > before
        ]
        for connection in expired:
            connection.close()
