"""Whether this host's own link or processor delays its orders."""

from __future__ import annotations

import collections
import statistics
import typing

WINDOW_SECONDS = 1.0
"""Time within which orders are compared; all grants are renewed in it."""

MIN_RESULTS = 8
"""Number of results below which nothing is concluded."""

SLOW_SECONDS = 0.25
"""Median time of the answered orders above which the delay is this host's:
lost servers don't slow the others down."""

TIMEOUT_SECONDS = 0.45
"""Time from which an order without an answer counts as timed out; a refused
connection fails sooner."""


class _Result(typing.NamedTuple):
    at: float
    seconds: float
    is_answered: bool


class LinkHealth:
    """Compares the orders to all servers.

    If those that answer are late, or hardly any answers, a timeout says
    nothing about its server.
    """

    def __init__(self) -> None:
        self._results: collections.deque[_Result] = collections.deque()

    def on_result(self, now: float, seconds: float, is_answered: bool) -> None:
        """Record an order that ended.

        Parameters
        ----------
        now : float
            Clock, seconds.
        seconds : float
            Time that the order took, seconds.
        is_answered : bool
            Whether the server answered it.
        """
        if is_answered or seconds >= TIMEOUT_SECONDS:
            self._results.append(_Result(now, seconds, is_answered))
        while self._results and self._results[0].at < now - WINDOW_SECONDS:
            self._results.popleft()

    def is_slow(self, now: float) -> bool:
        """Return whether this host delays its orders itself."""
        recent = [
            one for one in self._results if one.at >= now - WINDOW_SECONDS
        ]
        if len(recent) < MIN_RESULTS:
            return False
        answered = [one.seconds for one in recent if one.is_answered]
        if len(answered) < MIN_RESULTS // 2:
            return True
        return statistics.median(answered) > SLOW_SECONDS
