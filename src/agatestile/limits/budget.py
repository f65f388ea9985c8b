"""Bound on retries as a share of recent requests."""

from __future__ import annotations

SHARE = 0.1
WINDOW_SECONDS = 10
FLOOR = 3
"""Retries always allowed in a window: with a few requests a second, a
share of 10% would forbid the first retry."""


class RetryBudget:
    """Counts requests and retries in a sliding window of whole seconds."""

    def __init__(self) -> None:
        self._requests = [0] * WINDOW_SECONDS
        self._retries = [0] * WINDOW_SECONDS
        self._second = 0

    def on_request(self, now: float) -> None:
        """Count a request that arrived."""
        second = int(now)
        if second != self._second:
            self._advance(second)
        self._requests[second % WINDOW_SECONDS] += 1

    def spend(self, now: float) -> bool:
        """Count a retry if the budget allows it.

        Returns
        -------
        bool
            False if the budget is spent; the retry must not be made then.
        """
        second = int(now)
        if second != self._second:
            self._advance(second)
        allowed = max(SHARE * sum(self._requests), FLOOR)
        if sum(self._retries) + 1 > allowed:
            return False
        self._retries[second % WINDOW_SECONDS] += 1
        return True

    def _advance(self, second: int) -> None:
        first = max(self._second + 1, second - WINDOW_SECONDS + 1)
        for passed in range(first, second + 1):
            self._requests[passed % WINDOW_SECONDS] = 0
            self._retries[passed % WINDOW_SECONDS] = 0
        self._second = second
