"""Decaying quantiles and jumps of latency."""

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
    values: list[float], share: float
) -> None:
    made = latency.DecayingQuantiles()
    for value in values:
        made.observe(value, 0.0)
    index = max(int(-(-share * len(values) // 1)) - 1, 0)
    below = sorted(values)[max(index - 1, 0)]
    above = sorted(values)[min(index + 1, len(values) - 1)]
    found = made.quantile(share, 0.0)
    assert below * 0.999 <= found <= above * latency.BUCKET_GROWTH * 1.001


def test_old_observations_lose_their_weight() -> None:
    made = latency.DecayingQuantiles(half_life=10.0)
    for _ in range(100):
        made.observe(1.0, 0.0)
    for _ in range(100):
        made.observe(0.01, 100.0)
    assert made.quantile(0.9, 100.0) == pytest.approx(0.01, rel=0.2)


def test_weights_stay_finite_over_a_long_time() -> None:
    made = latency.DecayingQuantiles(half_life=1.0)
    for second in range(0, 5000, 7):
        made.observe(0.02, float(second))
    made.observe(0.02, 1e9)
    assert made.quantile(0.5, 1e9) == pytest.approx(0.02, rel=0.2)


def _usual() -> latency.DecayingQuantiles:
    usual = latency.DecayingQuantiles()
    for _ in range(100):
        usual.observe(0.005, 0.0)
    return usual


def test_lasting_slowness_is_a_jump() -> None:
    detector, usual = latency.JumpDetector(), _usual()
    found = [
        detector.is_jump(0.2, usual, 1.0 + number / 10) for number in range(8)
    ]
    assert found.index(True) == 4


def test_one_pause_of_this_process_is_no_jump() -> None:
    # All requests under way are late together, then none is.
    detector, usual = latency.JumpDetector(), _usual()
    assert not any(detector.is_jump(0.2, usual, 1.0) for _ in range(64))
    assert not detector.is_jump(0.005, usual, 1.1)
    assert not detector.is_jump(0.2, usual, 1.4)
