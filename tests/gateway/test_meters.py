"""Load figures of one gate."""

from __future__ import annotations

import random

import pytest

from agatestile.gateway import meters
from agatestile.state import ranges

MIDDLE = ranges.END // 2


def halves() -> ranges.RangeMap:
    made = ranges.RangeMap(0)
    made.replace(
        [
            ranges.Range(0, MIDDLE, "p1", (), 1, ranges.NO_INTENT),
            ranges.Range(MIDDLE, ranges.END, "p1", (), 1, ranges.NO_INTENT),
        ]
    )
    return made


def feed(
    meter: meters.Meter, start: float, seconds: float, rate: int = 100
) -> float:
    """Send a third of all requests to position 7, and the rest above."""
    chance = random.Random(3)
    now = start
    while now < start + seconds:
        for index in range(rate // 4):
            key = 7 if index % 3 == 0 else chance.randrange(8, ranges.END)
            meter.record(key)
        now += 0.25
        meter.update(now)
    return now


def test_rates_of_gate_ranges_and_hot_keys() -> None:
    """Guards against figures that placement would act on wrongly."""
    known = halves()
    meter = meters.Meter("p1", lambda: known, 0.0)
    now = feed(meter, 0.0, 20.0)
    assert meter.rate(now) == pytest.approx(100.0, rel=0.05)
    loads = meter.loads(now)
    assert [load.start for load in loads] == [0, MIDDLE]
    assert loads[0].rate == pytest.approx(36 + 64 / 2, rel=0.15)
    assert loads[1].rate == pytest.approx(64 / 2, rel=0.15)
    hot = meter.hot_keys(now)
    assert [position for position, _ in hot] == [7]
    assert hot[0][1] == pytest.approx(36.0, rel=0.1)
    feed(meter, now, 5.0, 0)
    assert meter.rate(now + 5.0) < 40.0


def test_split_range_is_reported_by_its_new_pieces_only() -> None:
    """Guards against load that is counted for ranges that are gone."""
    known = halves()
    meter = meters.Meter("p1", lambda: known, 0.0)
    now = feed(meter, 0.0, 20.0)
    known.replace([ranges.Range(7, 8, "p1", (), 2, ranges.NO_INTENT)])
    now = feed(meter, now, 5.0)
    rate_by_start = {load.start: load.rate for load in meter.loads(now)}
    assert set(rate_by_start) == {7, 8, MIDDLE}
    assert rate_by_start[7] == pytest.approx(36.0, rel=0.15)
    known.replace([ranges.Range(7, 8, "p2", (), 3, ranges.NO_INTENT)])
    assert 7 not in {load.start for load in meter.loads(now)}
    assert meter.hot_keys(now) == []


def test_memory_and_message_stay_bounded() -> None:
    """Guards against reports that grow with the number of keys."""
    known = ranges.RangeMap(0)
    width = ranges.END // 4096
    known.replace(
        [
            ranges.Range(index * width, (index + 1) * width, "p1", (), 1, -1)
            for index in range(4096)
        ]
    )
    meter = meters.Meter("p1", lambda: known, 0.0)
    now = feed(meter, 0.0, 5.0, 40_000)
    assert len(meter._counters_by_range) <= meters.MAX_COUNTED_RANGES
    assert len(meter.loads(now)) <= meters.MAX_REPORTED_RANGES
    assert len(meter.hot_keys(now)) <= meters.MAX_REPORTED_HOT_KEYS
