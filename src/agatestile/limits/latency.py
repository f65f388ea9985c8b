"""Quantiles of recent latencies and detection of latency jumps."""

from __future__ import annotations

import math

LOWEST_SECONDS = 1e-4
"""Upper bound of the first bucket, seconds."""

BUCKET_GROWTH = 1.2
"""Ratio of the bounds of adjacent buckets; limits the error to 20%."""

BUCKET_COUNT = 80
"""Number of buckets; they cover latencies up to
LOWEST_SECONDS * BUCKET_GROWTH**79, about 180 s."""

_LOG_BUCKET_GROWTH = math.log(BUCKET_GROWTH)
_RESCALE_WEIGHT = 2.0**40
"""Weight of a new observation above which all weights are scaled down, so
that they stay finite."""

_CACHE_SECONDS = 0.1


class DecayingQuantiles:
    """Histogram of latencies with exponentially decaying weights.

    Instead of reducing the weights of all buckets, each new observation
    gets a higher weight than the ones before, so that the cost of adding it
    does not depend on the number of buckets.

    Parameters
    ----------
    half_life : float
        Time in which the weight of an observation halves, seconds.
    """

    def __init__(self, half_life: float = 10.0) -> None:
        self._half_life = half_life
        self.clear()

    def clear(self) -> None:
        """Remove all observations."""
        self._weights = [0.0] * BUCKET_COUNT
        self._total = 0.0
        self._reference_time = -math.inf
        self._cached: dict[float, tuple[float, float]] = {}
        self.count = 0

    def observe(self, seconds: float, now: float) -> None:
        """Add an observation.

        Parameters
        ----------
        seconds : float
            Latency, seconds.
        now : float
            Clock of the event loop, seconds.
        """
        if self._reference_time == -math.inf:
            self._reference_time = now
        weight = 2.0 ** min(
            (now - self._reference_time) / self._half_life, 1000.0
        )
        if weight > _RESCALE_WEIGHT:
            self._weights = [value / weight for value in self._weights]
            self._total /= weight
            self._reference_time, weight = now, 1.0
        self._weights[_bucket_of(seconds)] += weight
        self._total += weight
        self.count += 1

    def quantile(self, fraction: float, now: float) -> float:
        """Return a quantile in seconds, 0.0 without observations.

        The value is cached and may be up to 0.1 s old.
        """
        cached = self._cached.get(fraction)
        if cached is not None and 0 <= now - cached[0] < _CACHE_SECONDS:
            return cached[1]
        value = self._compute_quantile(fraction)
        self._cached[fraction] = (now, value)
        return value

    def _compute_quantile(self, fraction: float) -> float:
        if self._total <= 0.0:
            return 0.0
        remaining = fraction * self._total
        for index, weight in enumerate(self._weights):
            remaining -= weight
            if remaining <= 0.0 and weight > 0.0:
                return LOWEST_SECONDS * BUCKET_GROWTH**index
        return LOWEST_SECONDS * BUCKET_GROWTH ** (BUCKET_COUNT - 1)


def _bucket_of(seconds: float) -> int:
    if seconds <= LOWEST_SECONDS:
        return 0
    index = math.ceil(math.log(seconds / LOWEST_SECONDS) / _LOG_BUCKET_GROWTH)
    return min(index, BUCKET_COUNT - 1)


class JumpDetector:
    """Detects that a server became much slower than it was.

    A single slow answer is common, so a jump takes several in a row. A
    pause of this process delays all answers that are under way, so the slow
    answers must also be spread over a minimum time.

    Parameters
    ----------
    factor : float
        Factor by which a slow answer exceeds the usual 95% quantile.
    min_excess : float
        Time by which a slow answer exceeds that quantile, seconds, so that
        the jitter of fast servers does not count.
    run_length : int
        Number of consecutive slow answers that make a jump.
    min_span : float
        Shortest time between the first and the last of them, seconds.
    """

    MIN_OBSERVATIONS = 50
    """Observations needed before an answer can count as slow."""

    def __init__(
        self,
        factor: float = 4.0,
        min_excess: float = 0.05,
        run_length: int = 5,
        min_span: float = 0.25,
    ) -> None:
        self._factor = factor
        self._min_excess = min_excess
        self._run_length = run_length
        self._min_span = min_span
        self._slow_count = 0
        self._first_slow = 0.0

    def is_jump(
        self, seconds: float, baseline: DecayingQuantiles, now: float
    ) -> bool:
        """Return whether an answer completes a jump in latency.

        Parameters
        ----------
        seconds : float
            Latency of the answer, seconds.
        baseline : DecayingQuantiles
            Latencies before the answer.
        now : float
            Clock of the event loop, seconds.
        """
        if baseline.count < self.MIN_OBSERVATIONS:
            return False
        if seconds < self._min_excess:
            self._slow_count = 0
            return False
        p95 = baseline.quantile(0.95, now)
        if seconds < max(p95 * self._factor, p95 + self._min_excess):
            self._slow_count = 0
            return False
        if not self._slow_count:
            self._first_slow = now
        self._slow_count += 1
        if (
            self._slow_count < self._run_length
            or now - self._first_slow < self._min_span
        ):
            return False
        self._slow_count = 0
        return True
