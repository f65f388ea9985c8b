"""Space-saving sketch of the most frequent keys in bounded memory."""

from __future__ import annotations

import heapq
import typing


class Estimate(typing.NamedTuple):
    """Estimated count of one item.

    Attributes
    ----------
    item : int
        Item counted, such as the position of a key.
    weight : float
        Estimated count, never below the true count.
    error : float
        Largest amount by which the estimate may exceed the true count.
    """

    item: int
    weight: float
    error: float


class SpaceSaving:
    """Counts the most frequent items with a fixed number of counters.

    An item that occurs more than total / capacity times always has a
    counter. Source: Metwally, Agrawal and El Abbadi, "Efficient
    computation of frequent and top-k elements in data streams", 2005.

    Parameters
    ----------
    capacity : int
        Number of counters.

    Attributes
    ----------
    total : float
        Sum of all counts added, after decay.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._counts: dict[int, float] = {}
        self._errors: dict[int, float] = {}
        # Counts only grow between decays, so a heap entry is a lower bound
        # of its count. It is updated when it reaches the top.
        self._heap: list[tuple[float, int]] = []
        self.total = 0.0

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, item: int, count: float = 1.0) -> None:
        """Count an item."""
        self.total += count
        known = self._counts.get(item)
        if known is not None:
            self._counts[item] = known + count
            return
        error = 0.0
        if len(self._counts) >= self._capacity:
            error = self._evict()
        self._counts[item] = error + count
        self._errors[item] = error
        heapq.heappush(self._heap, (error + count, item))

    def decay(self, factor: float) -> None:
        """Multiply all counts by a factor, so that old ones weigh less."""
        self.total *= factor
        for counts in (self._counts, self._errors):
            for item in counts:
                counts[item] *= factor
        self._heap = [(count, item) for item, count in self._counts.items()]
        heapq.heapify(self._heap)

    def top(self, limit: int) -> list[Estimate]:
        """Return the items with the highest counts, in descending order."""
        items = heapq.nlargest(
            limit, self._counts, key=lambda item: (self._counts[item], item)
        )
        return [
            Estimate(item, self._counts[item], self._errors[item])
            for item in items
        ]

    def _evict(self) -> float:
        """Drop the item with the lowest count and return that count."""
        while True:
            lower, item = self._heap[0]
            count = self._counts[item]
            if count == lower:
                break
            heapq.heapreplace(self._heap, (count, item))
        heapq.heappop(self._heap)
        del self._counts[item], self._errors[item]
        return count
