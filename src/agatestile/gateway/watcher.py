"""Watches requests in progress for silent lanes and callers that left."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import anyio.abc

    from agatestile.gateway import calls

SWEEP_INTERVAL_SECONDS = 0.02
"""How often requests are looked at. Most of them end before the first look
and need no timer and no task of their own."""


class Watcher:
    """Requests in progress."""

    def __init__(self) -> None:
        self._calls: dict[int, calls.Call] = {}

    def add(self, call: calls.Call) -> None:
        """Watch a request."""
        self._calls[id(call)] = call

    def remove(self, call: calls.Call) -> None:
        """Watch a request no longer."""
        call.is_done = True
        del self._calls[id(call)]

    def sweep(self, now: float, group: anyio.abc.TaskGroup) -> None:
        """Look at all requests.

        Parameters
        ----------
        now : float
            Runtime's clock, seconds.
        group : anyio.abc.TaskGroup
            Runs a task for each request that takes long.
        """
        for call in self._calls.values():
            connection = call.connection
            if connection is not None and 0.0 < call.response_deadline <= now:
                call.response_timed_out = True
                call.response_deadline = 0.0
                connection.close()
            if call.body.is_read and not call.is_watched:
                call.is_watched = True
                group.start_soon(_cancel_on_disconnect, call)


async def _cancel_on_disconnect(call: calls.Call) -> None:
    """Cancel a request whose caller closes its connection."""
    message = await call.receive()
    while message["type"] != "http.disconnect":
        message = await call.receive()
    if not call.is_done:
        call.is_disconnected = True
        call.scope.cancel()
