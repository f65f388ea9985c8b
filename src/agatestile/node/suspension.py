"""Corrects times of a clock that stops while the machine is suspended."""

from __future__ import annotations

import collections
import typing

MIN_SUSPENSION_SECONDS = 0.05
"""Smallest difference between the clocks that counts as a suspension: the
clocks are read one after the other."""

RETAINED_SUSPENSIONS = 8
"""Number of suspensions that are remembered for times before them."""


class SuspensionTracker:
    """Notices suspensions and corrects earlier times by their duration.

    Parameters
    ----------
    now : callable
        Clock that stops during a suspension, seconds.
    boot_time : callable or None
        Clock that includes the time of a suspension, seconds; None to notice
        none.
    """

    def __init__(
        self,
        now: typing.Callable[[], float],
        boot_time: typing.Callable[[], float] | None,
    ) -> None:
        self._now = now
        self._boot_time = boot_time
        self._difference: float | None = None
        self._suspensions: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=RETAINED_SUSPENSIONS)
        )

    def observe(self) -> float:
        """Return how long the machine was suspended since the last call.

        It is unknown when in this time the suspension was, so it is taken to
        have ended now. Times before may appear earlier than they were, never
        later.
        """
        if self._boot_time is None:
            return 0.0
        # A pause between the two reads makes the difference too small once,
        # which the next measurement makes up for.
        boot_time = self._boot_time()
        difference = boot_time - self._now()
        known, self._difference = self._difference, difference
        seconds = 0.0 if known is None else difference - known
        if seconds < MIN_SUSPENSION_SECONDS:
            return 0.0
        self._suspensions.append((self._now(), seconds))
        return seconds

    def corrected(self, time: float) -> float:
        """Return a time such that the difference to now is its age, seconds.

        Parameters
        ----------
        time : float
            Time on the clock that stops, seconds.
        """
        return time - sum(
            seconds
            for resumed_at, seconds in self._suspensions
            if time <= resumed_at
        )
