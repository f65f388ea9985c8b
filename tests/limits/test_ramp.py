"""Cold start of a server."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from agatestile.limits import ramp


def test_rate_doubles_each_second_until_full_capacity() -> None:
    made = ramp.Ramp("p1")
    made.mark_cold(0.0, "test")
    rates = []
    for second in range(1, 10):
        rates.append(made.rate)
        made.on_answer(float(second), 400.0)
        if not made.is_cold:
            break
    assert rates == [2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0, 256.0]
    assert made.slots(3) == 3


def test_time_without_answers_does_not_warm_a_server() -> None:
    # An idle server would otherwise get its full load at once.
    made = ramp.Ramp("p1")
    made.mark_cold(0.0, "test")
    made.on_answer(60.0, 400.0)
    assert (made.rate, made.slots(3)) == (4.0, 1)


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
    made = ramp.Ramp("p1")
    now, last, rate = 0.0, -10.0, ramp.INITIAL_RATE
    made.mark_cold(now, "test")
    for seconds, what in steps:
        now += seconds
        if what == "send" and made.is_cold and made.allows(now):
            assert now - last >= 1.0 / rate - 1e-9
            rate, last = made.rate, now
            made.on_sent(now)
        elif what == "answer":
            made.on_answer(now, 100.0)
        elif what == "shed":
            made.on_shed(now)
            assert made.is_cold
        elif what == "cold":
            made.mark_cold(now, "test")
        assert made.rate <= ramp.MAX_RATE
        assert made.slots(3) == (1 if made.is_cold else 3)
