"""Notifications of hosts that the assignment has changed."""

from __future__ import annotations

import math
import typing

import anyio

ROUND_SECONDS = 0.05
"""Interval in which changes that may wait are told to hosts together: each
answer costs as much as a change, and there is one for each host."""


class Announcements:
    """Counts changes and wakes up those who wait for one.

    Parameters
    ----------
    now : callable
        Clock that keeps running while the machine is suspended, seconds.

    Attributes
    ----------
    version : int
        Number of changes so far.
    """

    def __init__(self, now: typing.Callable[[], float]) -> None:
        self._now = now
        self._changed = anyio.Event()
        self._round_ended = anyio.Event()
        self._round_ends_at = -math.inf
        self.version = 0

    async def wait_changed(self, version: int, timeout: float) -> None:
        """Wait until the assignment is newer than a version, or a timeout."""
        with anyio.move_on_after(timeout):
            while self.version == version:
                await self._changed.wait()
        left = self._round_ends_at - self._now()
        if left > 0 and self.version != version:
            with anyio.move_on_after(left):
                await self._round_ended.wait()

    def publish(self, may_wait: bool) -> None:
        """Notify hosts of a changed assignment.

        Parameters
        ----------
        may_wait : bool
            Whether hosts may learn it with the changes of the same round.
        """
        now = self._now()
        if not may_wait:
            self._round_ends_at = now
            self._round_ended.set()
            self._round_ended = anyio.Event()
        elif now >= self._round_ends_at:
            # The first change after a quiet round does not wait.
            is_first = now >= self._round_ends_at + ROUND_SECONDS
            self._round_ends_at = now if is_first else now + ROUND_SECONDS
        self.version += 1
        self._changed.set()
        self._changed = anyio.Event()
