"""Request rates by key."""

from __future__ import annotations

import bisect
import itertools
import math

from agatestile.assignment import ranges

FAST_DECAY_SECONDS = 0.8
"""Decay time of the counts that follow a range that suddenly becomes hot."""

SLOW_DECAY_SECONDS = 8.0
"""Decay time of the counts that represent the usual distribution."""

FAST_WEIGHT = 0.65
"""Weight of the fast-decaying counts in the rate of a range."""

USUAL_VARIANCE = 1.0 / (2.0 * SLOW_DECAY_SECONDS)
"""Variance of a usual rate relative to its value, 1/s, for requests that
arrive independently of each other."""

RECENT_VARIANCE = 1.0 / (2.0 * FAST_DECAY_SECONDS)
"""The same for a recent rate."""

PRIOR_REQUESTS = 25.0
"""Requests, spread over all keys, that are assumed before any arrive."""


class KeyLoad:
    """Exponentially decaying request counts by key.

    Parameters
    ----------
    now : float
        Current time, seconds.
    """

    def __init__(self, now: float) -> None:
        self._fast: dict[int, float] = {}
        self._slow: dict[int, float] = {}
        self._now = now
        self._keys: list[int] = []
        self._sums: list[float] = [0.0]
        self._usual_sums: list[float] = [0.0]
        self._recent_sums: list[float] = [0.0]

    def add(self, counts: dict[int, int]) -> None:
        """Add request counts by key."""
        for key, count in counts.items():
            self._fast[key] = self._fast.get(key, 0.0) + count
            self._slow[key] = self._slow.get(key, 0.0) + count

    def advance(self, now: float) -> None:
        """Decay the counts up to the current time and update the rates."""
        elapsed = max(0.0, now - self._now)
        self._now = now
        _decay(self._fast, math.exp(-elapsed / FAST_DECAY_SECONDS))
        _decay(self._slow, math.exp(-elapsed / SLOW_DECAY_SECONDS))
        # Both terms estimate requests per second; their weighted mean reacts
        # within a second and still reflects the usual distribution.
        slow = (1.0 - FAST_WEIGHT) / SLOW_DECAY_SECONDS
        fast = FAST_WEIGHT / FAST_DECAY_SECONDS
        rates = {key: slow * count for key, count in self._slow.items()}
        for key, count in self._fast.items():
            rates[key] = rates.get(key, 0.0) + fast * count
        self._keys = sorted(rates)
        self._sums = [
            0.0,
            *itertools.accumulate(rates[key] for key in self._keys),
        ]
        self._usual_sums = self._sums_of(self._slow)
        self._recent_sums = self._sums_of(self._fast)

    def _sums_of(self, counts: dict[int, float]) -> list[float]:
        return [
            0.0,
            *itertools.accumulate(counts.get(key, 0.0) for key in self._keys),
        ]

    def rate(self, first: int, last: int) -> float:
        """Return the requests per second for a range, bounds inclusive."""
        low, high = self._bounds(first, last)
        return self._sums[high] - self._sums[low] + _prior_rate(first, last)

    def usual_rate(self, first: int, last: int) -> float:
        """Return the requests per second over a longer time."""
        low, high = self._bounds(first, last)
        count = self._usual_sums[high] - self._usual_sums[low]
        return count / SLOW_DECAY_SECONDS + _prior_rate(first, last)

    def recent_rate(self, first: int, last: int) -> float:
        """Return the requests per second within the last second."""
        low, high = self._bounds(first, last)
        count = self._recent_sums[high] - self._recent_sums[low]
        return count / FAST_DECAY_SECONDS

    def recent_rates(self, first: int, last: int) -> dict[int, float]:
        """Return the recent requests per second of the keys in a range."""
        low, high = self._bounds(first, last)
        return {
            key: self._fast[key] / FAST_DECAY_SECONDS
            for key in self._keys[low:high]
            if key in self._fast
        }

    def _bounds(self, first: int, last: int) -> tuple[int, int]:
        """Return the indices between which the keys of a range are."""
        return (
            bisect.bisect_left(self._keys, first),
            bisect.bisect_right(self._keys, last),
        )

    def split_point(self, first: int, last: int, wanted_rate: float) -> int:
        """Return the last key of the part from `first` that has a rate."""
        low, high = first, last
        while low < high:
            middle = (low + high) // 2
            if self.rate(first, middle) >= wanted_rate:
                high = middle
            else:
                low = middle + 1
        return low


def _prior_rate(first: int, last: int) -> float:
    width = last - first + 1
    return PRIOR_REQUESTS / SLOW_DECAY_SECONDS * width / ranges.KEY_COUNT


def _decay(counts: dict[int, float], factor: float) -> None:
    for key in list(counts):
        decayed = counts[key] * factor
        if decayed < 0.01:
            del counts[key]
        else:
            counts[key] = decayed
