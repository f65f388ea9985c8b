"""Retry budget: limits retries to a fraction of recent requests."""

from __future__ import annotations

import bisect
import collections
import math

DEFAULT_RATIO = 0.1
"""Retries per request, for a host that shares its budget with no other."""

DEFAULT_WINDOW_SECONDS = 10.0

DEFAULT_FLOOR = 3
"""Retries that are always allowed in a window: at a few requests per
second, a ratio of 10% would forbid the first retry."""

USED_RATIO_FRACTION = 0.95
"""Fraction of the ratio of all hosts that is used, as the requests of other
hosts may be counted in another window."""

BUCKETS_PER_WINDOW = 20
"""Number of intervals of a window in which requests are counted."""

PARTS = 4
"""Number of parts of a window in which a host that shares a budget keeps it
as well."""

USED_SLACK_FRACTION = 0.7
"""Fraction of the slack of all hosts that is divided among them."""


class RetryBudget:
    """Counts requests and retries in a sliding window.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Retries allowed beyond the ratio, of all hosts together.
    window : float
        Length of the sliding window, seconds.
    floor : int
        Retries that are always allowed within a window.
    is_shared : bool
        Whether other hosts share the budget, so that it is kept in parts of
        the window as well.

    Attributes
    ----------
    reserved_count : int
        Retries that were allowed and have not been sent yet.
    """

    def __init__(
        self,
        ratio: float = DEFAULT_RATIO,
        slack: float = 0.0,
        window: float = DEFAULT_WINDOW_SECONDS,
        floor: int = DEFAULT_FLOOR,
        is_shared: bool = False,
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._floor = floor
        self._is_shared = is_shared
        self._bucket_seconds = window / BUCKETS_PER_WINDOW
        self._requests_by_bucket: collections.Counter[int] = (
            collections.Counter()
        )
        self._retries: collections.deque[float] = collections.deque()
        self.reserved_count = 0

    @classmethod
    def for_host(
        cls, ratio: float, slack: float, window: float
    ) -> RetryBudget:
        """Return the share of one host in a budget of all hosts."""
        return cls(
            ratio * USED_RATIO_FRACTION,
            slack * USED_SLACK_FRACTION,
            window,
            0,
            is_shared=True,
        )

    def on_request(self, now: float) -> None:
        """Record a request of a caller."""
        bucket = self._bucket(now)
        if bucket not in self._requests_by_bucket:
            oldest = bucket - 2 * BUCKETS_PER_WINDOW
            for old in [
                one for one in self._requests_by_bucket if one < oldest
            ]:
                del self._requests_by_bucket[old]
        self._requests_by_bucket[bucket] += 1

    def allows(self, now: float, hosts: int = 1) -> bool:
        """Return whether a retry may be sent.

        Parameters
        ----------
        now : float
            Clock, seconds.
        hosts : int
            Number of hosts that share the slack.
        """
        _drop_before(self._retries, now - self._window)
        slack = self._slack / max(1, hosts)
        allowed = self._ratio * self._counted_requests(now) + slack
        count = len(self._retries) + self.reserved_count
        if count + 1 > max(allowed, self._floor):
            return False
        return not self._is_shared or self._allows_part(now, slack / PARTS)

    def _allows_part(self, now: float, slack: float) -> bool:
        """Return whether the last part of the window allows a retry alone.

        Callers may move from one host to another, which must not both use
        the requests that they made at the first.
        """
        last = self._bucket(now)
        requests = self._count(last - BUCKETS_PER_WINDOW // PARTS, last)
        start = now - self._window / PARTS
        recent = len(self._retries) - bisect.bisect_left(self._retries, start)
        count = recent + self.reserved_count
        return count + 1 <= self._ratio * requests + slack

    def _counted_requests(self, now: float) -> int:
        """Return the requests that allow retries now.

        The retries of a window are allowed by the requests in that window, in
        the one before it, or in the one half a window before it. A retry now
        belongs to windows that start at any time within the last one, so the
        start with the fewest requests counts.
        """
        last = self._bucket(now)
        # Starts before the last half window include all requests of the
        # last window.
        return min(
            max(
                self._count(first - BUCKETS_PER_WINDOW, first),
                self._count(first - BUCKETS_PER_WINDOW // 2, last),
            )
            for first in range(last - BUCKETS_PER_WINDOW // 2 + 1, last + 1)
        )

    def _count(self, first: int, last: int) -> int:
        """Return the requests after the bucket `first` up to `last`."""
        counts = self._requests_by_bucket
        return sum(counts[bucket] for bucket in range(first + 1, last + 1))

    def _bucket(self, now: float) -> int:
        return math.floor(now / self._bucket_seconds)

    def reserve(self, now: float, hosts: int = 1) -> bool:
        """Reserve a retry that may be sent later; return whether it may.

        A reservation ends with `on_retry` or `release`.
        """
        if not self.allows(now, hosts):
            return False
        self.reserved_count += 1
        return True

    def release(self) -> None:
        """Return a reservation whose retry is not sent."""
        self.reserved_count -= 1

    def on_retry(self, now: float) -> None:
        """Record a reserved retry that is sent."""
        self.reserved_count -= 1
        self._retries.append(now)

    def spend(self, now: float) -> bool:
        """Record a retry if the budget allows it.

        Returns
        -------
        bool
            False if the budget is spent and the retry must not be sent.
        """
        if not self.reserve(now):
            return False
        self.on_retry(now)
        return True


def _drop_before(times: collections.deque[float], start: float) -> None:
    while times and times[0] <= start:
        times.popleft()
