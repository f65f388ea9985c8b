"""Distribution of requests by weights."""

from __future__ import annotations


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
