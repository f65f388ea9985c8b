"""Decaying quantiles and detection of latency jumps."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from agatestile.limits import latency


@hypothesis.given(
    strategies.lists(strategies.floats(1e-4, 60.0), min_size=1, max_size=50),
    strategies.floats(0.01, 1.0),
)
def test_quantile_is_within_one_bucket_of_the_exact_one(
    values: list[float], fraction: float
) -> None:
    """Guards against an error of quantiles above the width of a bucket."""
    quantiles = latency.DecayingQuantiles()
    for value in values:
        quantiles.observe(value, 0.0)
    index = max(int(-(-fraction * len(values) // 1)) - 1, 0)
    below = sorted(values)[max(index - 1, 0)]
    above = sorted(values)[min(index + 1, len(values) - 1)]
    found = quantiles.quantile(fraction, 0.0)
    assert below * 0.999 <= found <= above * latency.BUCKET_GROWTH * 1.001


def test_old_observations_lose_their_weight() -> None:
    """Guards against quantiles that lag behind a change of latency."""
    quantiles = latency.DecayingQuantiles(half_life=10.0)
    for _ in range(100):
        quantiles.observe(1.0, 0.0)
    for _ in range(100):
        quantiles.observe(0.01, 100.0)
    assert quantiles.quantile(0.9, 100.0) == pytest.approx(0.01, rel=0.2)


def test_weights_stay_finite_over_a_long_time() -> None:
    """Guards against an overflow, as each new weight is higher."""
    quantiles = latency.DecayingQuantiles(half_life=1.0)
    for second in range(0, 5000, 7):
        quantiles.observe(0.02, float(second))
    quantiles.observe(0.02, 1e9)
    assert quantiles.quantile(0.5, 1e9) == pytest.approx(0.02, rel=0.2)


def _baseline() -> latency.DecayingQuantiles:
    baseline = latency.DecayingQuantiles()
    for _ in range(100):
        baseline.observe(0.005, 0.0)
    return baseline


def test_lasting_slowdown_is_a_jump() -> None:
    """Guards against full load on a server that became slow."""
    detector, baseline = latency.JumpDetector(), _baseline()
    found = [
        detector.is_jump(0.2, baseline, 1.0 + number / 10)
        for number in range(8)
    ]
    assert found.index(True) == 4


def test_one_pause_of_this_process_is_no_jump() -> None:
    """Guards against a pause of the router that makes servers cold.

    All requests under way are late together, and none after them.
    """
    detector, baseline = latency.JumpDetector(), _baseline()
    assert not any(detector.is_jump(0.2, baseline, 1.0) for _ in range(64))
    assert not detector.is_jump(0.005, baseline, 1.1)
    assert not detector.is_jump(0.2, baseline, 1.4)
