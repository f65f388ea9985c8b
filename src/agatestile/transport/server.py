"""Listening sockets for callers, other hosts and checks."""

from __future__ import annotations

import asyncio
import typing

from agatestile.transport import caller_guard
from agatestile.transport import connection_choice
from agatestile.transport import messages
from agatestile.transport import server_connection

if typing.TYPE_CHECKING:
    from agatestile.catalog import configuration

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
    guard : caller_guard.CallerGuard, optional
        Limits that all callers share.

    Attributes
    ----------
    connections : dict
        Open connections, the one that was used last at the end.
    """

    def __init__(
        self,
        handler: Handler,
        limits: typing.Callable[[], configuration.CallerLimits],
        guard: caller_guard.CallerGuard | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.guard = guard or caller_guard.CallerGuard()
        self.connections: dict[server_connection.ServerConnection, None] = {}
        self.receive_buffer = memoryview(
            bytearray(server_connection.RECEIVE_BUFFER_BYTES)
        )
        self.is_draining = False
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: server_connection.ServerConnection(self),
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

    def on_used(self, connection: server_connection.ServerConnection) -> None:
        """Record that a connection was opened or used."""
        self.connections.pop(connection, None)
        self.connections[connection] = None

    def limit_connections(self) -> None:
        """End the connection whose end costs its caller least, if too many."""
        if len(self.connections) > self.guard.connection_limit:
            connection_choice.choose(self.connections).end_for_connections()

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request in progress."""
        return sum(1 for connection in self.connections if connection.is_busy)
