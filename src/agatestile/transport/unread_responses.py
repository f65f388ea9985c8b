"""Responses of a connection that its caller does not read."""

from __future__ import annotations

import asyncio
import typing

STALLED_CHECKS = 2
"""Checks within the idle timeout of what a caller has not read. A suspended
host makes the first one before it has written more."""


class UnreadResponses:
    """Watches how a caller reads its responses."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._response_size = 0
        self._last_unread = 0

    def on_connected(self, transport: asyncio.Transport) -> None:
        """Watch a transport."""
        self._transport = transport

    @property
    def unread_bytes(self) -> int:
        """Bytes of responses that the caller has not read."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def memory(self) -> int:
        """What a response takes until it is read, bytes.

        The transport keeps the whole body until it has sent the last byte.
        """
        return max(self.unread_bytes, self._response_size)

    def take_progress(self) -> int:
        """Return how much the caller has read since the last call, bytes."""
        unread = self.unread_bytes
        read, self._last_unread = self._last_unread - unread, unread
        return max(0, read)

    def on_write(self, size: int) -> None:
        """Record the size of the response that is written, bytes."""
        self._response_size = size

    def on_paused(
        self,
        idle_timeout: typing.Callable[[], float],
        on_stalled: typing.Callable[[int], None],
    ) -> None:
        """Begin to check whether the caller reads.

        Parameters
        ----------
        idle_timeout : callable
            Returns the longest time in which a caller reads nothing, seconds.
        on_stalled : callable
            Called with the unread bytes once it has read nothing for so long.
        """
        self._last_unread = self.unread_bytes
        # Kept by the timer only, as the callbacks refer to the connection.
        self._start(
            self._last_unread, STALLED_CHECKS, idle_timeout, on_stalled
        )

    def on_resumed(self) -> None:
        """End the checks, as the caller has read enough."""
        self._response_size = 0
        self.stop()

    def stop(self) -> None:
        """End the checks."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start(
        self,
        unread: int,
        checks: int,
        idle_timeout: typing.Callable[[], float],
        on_stalled: typing.Callable[[int], None],
    ) -> None:
        self.stop()
        self._timer = asyncio.get_running_loop().call_later(
            idle_timeout() / STALLED_CHECKS,
            self._check,
            unread,
            checks,
            idle_timeout,
            on_stalled,
        )

    def _check(
        self,
        unread: int,
        checks: int,
        idle_timeout: typing.Callable[[], float],
        on_stalled: typing.Callable[[int], None],
    ) -> None:
        self._timer = None
        size = self.unread_bytes
        if size == unread and checks == 1:
            on_stalled(size)
            return
        left = checks - 1 if size == unread else STALLED_CHECKS
        self._start(size, left, idle_timeout, on_stalled)
