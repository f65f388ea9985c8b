"""Weighted distribution of requests."""

from __future__ import annotations


class WeightedSplit:
    """Distributes requests by smooth weighted round robin.

    Parameters
    ----------
    weights : list of float
        Weight of each target.
    """

    def __init__(self, weights: list[float]) -> None:
        self._weights = weights
        self._total = sum(weights)
        self._credits = [0.0] * len(weights)

    def next(self) -> int:
        """Return the index of the target for the next request."""
        best = 0
        for index, weight in enumerate(self._weights):
            self._credits[index] += weight
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= self._total
        return best
