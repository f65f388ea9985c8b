"""Bounds that all hosts keep together without talking per request."""

from __future__ import annotations

import collections

RATIO_SHARE = 0.95
"""Part of the retry ratio that is used; requests of other hosts may be
counted in another window."""

SLACK_SHARE = 0.7
"""Part of the retry slack that is divided among the hosts."""


class RetryBudget:
    """This host's share of a service's bound on repeats.

    Parameters
    ----------
    ratio : float
        Repeats for each request, of all hosts together.
    slack : float
        Repeats beside the ratio, of all hosts together.
    window : float
        Sliding time over which both are counted, seconds.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio * RATIO_SHARE
        self._slack = slack * SLACK_SHARE
        self._window = window
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def on_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        _drop_before(self._requests, now - self._window)

    def allows(self, now: float, hosts: int) -> bool:
        """Tell whether a repeat may be sent."""
        start = now - self._window
        _drop_before(self._requests, start)
        _drop_before(self._repeats, start)
        allowed = self._ratio * len(self._requests)
        allowed += self._slack / max(1, hosts)
        return len(self._repeats) + 1 <= allowed

    def spend(self, now: float) -> None:
        """Count a repeat."""
        self._repeats.append(now)


class WeightedSplit:
    """Distributes requests by weights as evenly as possible."""

    def __init__(self, weights: list[float]) -> None:
        self._weights = weights
        self._total = sum(weights)
        self._credits = [0.0] * len(weights)

    def next(self) -> int:
        """Return the place of the next request."""
        best = 0
        for place, weight in enumerate(self._weights):
            self._credits[place] += weight
            if self._credits[place] > self._credits[best]:
                best = place
        self._credits[best] -= self._total
        return best


def _drop_before(times: collections.deque[float], start: float) -> None:
    while times and times[0] < start:
        times.popleft()
