"""How often each key is asked for."""

from __future__ import annotations

import bisect
import itertools
import math

from agatestile.assignment import ranges

FAST_SECONDS = 0.8
"""Decay time of the counts that follow a sudden hot stretch."""

SLOW_SECONDS = 8.0
"""Decay time of the counts that keep the usual distribution."""

FAST_SHARE = 0.65
"""Weight of the fast counts in the rate of a range."""

PRIOR_REQUESTS = 25.0
"""Requests, spread over all keys, that are assumed before any came."""


class KeyHeat:
    """Decaying counts of requests by key.

    Parameters
    ----------
    now : float
        Clock, seconds.
    """

    def __init__(self, now: float) -> None:
        self._fast: dict[int, float] = {}
        self._slow: dict[int, float] = {}
        self._now = now
        self._keys: list[int] = []
        self._sums: list[float] = [0.0]

    def add(self, counts: dict[int, int]) -> None:
        """Count requests."""
        for key, count in counts.items():
            self._fast[key] = self._fast.get(key, 0.0) + count
            self._slow[key] = self._slow.get(key, 0.0) + count

    def advance(self, now: float) -> None:
        """Let older counts fade and sum up the load by key."""
        elapsed = max(0.0, now - self._now)
        self._now = now
        _fade(self._fast, math.exp(-elapsed / FAST_SECONDS))
        _fade(self._slow, math.exp(-elapsed / SLOW_SECONDS))
        # Both sums estimate requests a second; their mean reacts within a
        # second and doesn't forget the usual distribution.
        slow = (1.0 - FAST_SHARE) / SLOW_SECONDS
        fast = FAST_SHARE / FAST_SECONDS
        rates = {key: slow * count for key, count in self._slow.items()}
        for key, count in self._fast.items():
            rates[key] = rates.get(key, 0.0) + fast * count
        self._keys = sorted(rates)
        self._sums = [
            0.0,
            *itertools.accumulate(rates[key] for key in self._keys),
        ]

    def rate(self, first: int, last: int) -> float:
        """Return the requests a second for keys first to last."""
        low = bisect.bisect_left(self._keys, first)
        high = bisect.bisect_right(self._keys, last)
        width = last - first + 1
        prior = PRIOR_REQUESTS / SLOW_SECONDS * width / ranges.KEY_COUNT
        return self._sums[high] - self._sums[low] + prior

    def split_point(self, first: int, last: int, wanted: float) -> int:
        """Return the last key of the part from `first` with a given rate."""
        low, high = first, last
        while low < high:
            middle = (low + high) // 2
            if self.rate(first, middle) >= wanted:
                high = middle
            else:
                low = middle + 1
        return low


def _fade(counts: dict[int, float], factor: float) -> None:
    for key in list(counts):
        faded = counts[key] * factor
        if faded < 0.01:
            del counts[key]
        else:
            counts[key] = faded
