"""Quantiles of observed latencies in which old observations decay."""

from __future__ import annotations

import math

LOWEST = 1e-4
"""Upper end of the first bucket, seconds."""

GROWTH = 1.2
"""Ratio of neighbouring buckets, which bounds the error to 20%."""

BUCKETS = 80
"""Covers up to LOWEST * GROWTH**79, about 180 s."""

_LOG_GROWTH = math.log(GROWTH)
_RESCALE_AT = 2.0**40
_CACHE_SECONDS = 0.1


class DecayingQuantiles:
    """Histogram of latencies whose weights halve every `half_life`.

    New observations get growing weights instead of old ones shrinking, so
    that an observation costs the same regardless of the buckets.

    Parameters
    ----------
    half_life : float
        Seconds until an observation counts half.
    """

    def __init__(self, half_life: float = 10.0) -> None:
        self._half_life = half_life
        self.clear()

    def clear(self) -> None:
        """Forget all observations."""
        self._weights = [0.0] * BUCKETS
        self._total = 0.0
        self._base = -math.inf
        self._cached: dict[float, tuple[float, float]] = {}
        self.count = 0

    def observe(self, seconds: float, now: float) -> None:
        """Add an observation.

        Parameters
        ----------
        seconds : float
            The latency.
        now : float
            Runtime's clock, seconds.
        """
        if self._base == -math.inf:
            self._base = now
        weight = 2.0 ** min((now - self._base) / self._half_life, 1000.0)
        if weight > _RESCALE_AT:
            self._weights = [value / weight for value in self._weights]
            self._total /= weight
            self._base, weight = now, 1.0
        self._weights[_bucket_of(seconds)] += weight
        self._total += weight
        self.count += 1

    def quantile(self, share: float, now: float) -> float:
        """Return a quantile in seconds, 0.0 without observations.

        The value may be up to 0.1 s old.
        """
        cached = self._cached.get(share)
        if cached is not None and 0 <= now - cached[0] < _CACHE_SECONDS:
            return cached[1]
        value = self._scan(share)
        self._cached[share] = (now, value)
        return value

    def _scan(self, share: float) -> float:
        if self._total <= 0.0:
            return 0.0
        rest = share * self._total
        for index, weight in enumerate(self._weights):
            rest -= weight
            if rest <= 0.0 and weight > 0.0:
                return LOWEST * GROWTH**index
        return LOWEST * GROWTH ** (BUCKETS - 1)


def _bucket_of(seconds: float) -> int:
    if seconds <= LOWEST:
        return 0
    index = math.ceil(math.log(seconds / LOWEST) / _LOG_GROWTH)
    return min(index, BUCKETS - 1)


class JumpDetector:
    """Notices that a server became much slower than it was.

    A single slow answer is common, so several in a row are needed. A pause
    of this process delays all answers that are under way, so they must
    also be spread over some time.

    Parameters
    ----------
    factor : float
        How many times the usual 95% quantile an answer must take.
    least : float
        Seconds by which it must exceed that quantile, so that the jitter of
        fast servers does not count.
    run : int
        Slow answers in a row that make a jump.
    span : float
        Seconds between the first and the last of them.
    """

    WARM_UP = 50

    def __init__(
        self,
        factor: float = 4.0,
        least: float = 0.05,
        run: int = 5,
        span: float = 0.25,
    ) -> None:
        self._factor = factor
        self._least = least
        self._run = run
        self._span = span
        self._slow = 0
        self._first = 0.0

    def is_jump(
        self, seconds: float, usual: DecayingQuantiles, now: float
    ) -> bool:
        """Tell whether this answer completes a jump in latency."""
        if usual.count < self.WARM_UP:
            return False
        if seconds < self._least:
            self._slow = 0
            return False
        high = usual.quantile(0.95, now)
        if seconds < max(high * self._factor, high + self._least):
            self._slow = 0
            return False
        if not self._slow:
            self._first = now
        self._slow += 1
        if self._slow < self._run or now - self._first < self._span:
            return False
        self._slow = 0
        return True
