"""Detects response timeouts and disconnects of requests in progress."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import anyio.abc

    from agatestile.gateway import calls

SWEEP_INTERVAL_SECONDS = 0.02
"""Interval of the checks. Most requests end before the first check, so they
need neither a timer nor a task of their own."""


class Watcher:
    """Closes unresponsive connections and cancels abandoned requests."""

    def __init__(self) -> None:
        self._calls: dict[int, calls.Call] = {}

    def add(self, call: calls.Call) -> None:
        """Start to watch a request."""
        self._calls[id(call)] = call

    def remove(self, call: calls.Call) -> None:
        """Stop watching a request."""
        call.is_done = True
        del self._calls[id(call)]

    def sweep(self, now: float, group: anyio.abc.TaskGroup) -> None:
        """Check all requests.

        Parameters
        ----------
        now : float
            Clock of the event loop, seconds.
        group : anyio.abc.TaskGroup
            Runs a task for each request that is still in progress.
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
    """Cancel a request when its caller closes the connection."""
    message = await call.receive()
    while message["type"] != "http.disconnect":
        message = await call.receive()
    if not call.is_done:
        call.is_disconnected = True
        call.scope.cancel()
