"""Slow start of a cold server."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from agatestile.limits import ramp


def test_rate_doubles_each_second_until_full_capacity() -> None:
    """Guards against a server that stays limited after it warmed up."""
    slow_start = ramp.Ramp("p1")
    slow_start.mark_cold(0.0, "test")
    rates = []
    for second in range(1, 10):
        rates.append(slow_start.rate)
        slow_start.on_answer(float(second), 400.0)
        if not slow_start.is_cold:
            break
    assert rates == [2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0, 256.0]
    assert slow_start.slots(3) == 3


def test_time_without_answers_does_not_warm_a_server() -> None:
    """Guards against full load on a server that was idle while cold."""
    slow_start = ramp.Ramp("p1")
    slow_start.mark_cold(0.0, "test")
    slow_start.on_answer(60.0, 400.0)
    assert (slow_start.rate, slow_start.slots(3)) == (4.0, 1)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.001, 1.5),
            strategies.sampled_from(["send", "answer", "shed", "cold"]),
        ),
        max_size=60,
    )
)
def test_cold_server_is_never_sent_above_the_rate(
    steps: list[tuple[float, str]],
) -> None:
    """Guards against an order of events that exceeds the rate."""
    slow_start = ramp.Ramp("p1")
    now, last, rate = 0.0, -10.0, ramp.INITIAL_RATE
    slow_start.mark_cold(now, "test")
    for seconds, event in steps:
        now += seconds
        if event == "send" and slow_start.is_cold and slow_start.allows(now):
            assert now - last >= 1.0 / rate - 1e-9
            rate, last = slow_start.rate, now
            slow_start.on_sent(now)
        elif event == "answer":
            slow_start.on_answer(now, 100.0)
        elif event == "shed":
            slow_start.on_shed(now)
            assert slow_start.is_cold
        elif event == "cold":
            slow_start.mark_cold(now, "test")
        assert slow_start.rate <= ramp.MAX_RATE
        assert slow_start.slots(3) == (1 if slow_start.is_cold else 3)
