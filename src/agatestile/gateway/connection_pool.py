"""Connections to backend servers and to other daemons."""

from __future__ import annotations

import typing

from agatestile.gateway import connection as gateway_connection

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.gateway import asgi
    from agatestile.gateway import client_protocol

SUSPECT_IDLE_SECONDS = 1.0
"""Idle seconds after which a lane is not used for a request that may not
be repeated (section 8.4 of the design)."""

MAX_IDLE_SECONDS = 30.0
"""Idle seconds after which a lane is closed."""

_METHODS = {
    name: name.encode()
    for name in ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
}


class PooledConnection:
    """One connection, used for one request at a time.

    Attributes
    ----------
    is_fresh : bool
        Whether no request was sent on it before the present one.
    idle_since : float
        Runtime's clock when its last request ended.
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
        """Send a request and return the head of its answer.

        Raises
        ------
        httpcore.ConnectError, httpcore.ConnectTimeout
            If there is no connection; nothing was sent.
        httpcore.NetworkError, httpcore.ProtocolError
            If the connection failed or the answer is not HTTP.
        """
        return await self._connection.exchange(
            _METHODS[method], target, headers, content
        )

    def send_started_at(self, started: float) -> float:
        """Return when the present request began to be sent, seconds.

        Parameters
        ----------
        started : float
            Runtime's clock when the lane was taken, which is the answer
            for a lane that was open already.
        """
        return max(started, self._connection.opened_at)

    def was_written(self) -> bool:
        """Tell whether a part of the present request may have been sent."""
        return self._connection.was_written

    def is_usable(self) -> bool:
        """Tell whether the lane can take another request.

        Input after the end of an answer would be taken for the answer to
        the next request, so a lane with unread input is not usable.
        """
        connection = self._connection
        return connection.is_available() and not connection.has_expired()

    def close(self) -> None:
        """Close the connection at once."""
        self._connection.abort()


class ConnectionPool:
    """The lanes to one address.

    Parameters
    ----------
    address : str
        IP address and port.
    limit : int
        Most lanes open at the same time.
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
        """Number of lanes that are open or being opened."""
        return self._in_use + len(self._idle)

    def acquire(
        self, now: float, fresh_only: bool, may_repeat: bool
    ) -> PooledConnection | None:
        """Return a lane for one request.

        Parameters
        ----------
        now : float
            Runtime's clock, seconds.
        fresh_only : bool
            Whether to open a connection although idle ones exist, after
            another one failed.
        may_repeat : bool
            Whether the request may be repeated. Others do not use a lane
            that was idle for long, which the peer may be closing.

        Returns
        -------
        Lane or None
            None at the limit.
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
        """Keep a lane whose answer was read to its end."""
        self._in_use -= 1
        if not connection.is_usable():
            connection.close()
            return
        connection.idle_since = now
        self._idle.append(connection)

    def discard(self, connection: PooledConnection) -> None:
        """Close a lane after anything else, so that it is never reused."""
        self._in_use -= 1
        connection.close()

    def close_idle(self, before: float) -> None:
        """Close the lanes that are idle since before a time."""
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
