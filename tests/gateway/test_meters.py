"""Tests the measured load of a gate."""

from __future__ import annotations

import random

import pytest

from agatestile.gateway import meters
from agatestile.state import ranges

MIDDLE = ranges.END // 2


def build_range_map() -> ranges.RangeMap:
    range_map = ranges.RangeMap(0)
    range_map.replace(
        [
            ranges.Range(0, MIDDLE, "p1", (), 1, ranges.NO_INTENT),
            ranges.Range(MIDDLE, ranges.END, "p1", (), 1, ranges.NO_INTENT),
        ]
    )
    return range_map


def send_requests(
    meter: meters.Meter, start: float, seconds: float, rate: int = 100
) -> float:
    """Send a third of the requests to position 7 and the rest above it."""
    generator = random.Random(3)
    now = start
    while now < start + seconds:
        for index in range(rate // 4):
            key = 7 if index % 3 == 0 else generator.randrange(8, ranges.END)
            meter.record(key)
        now += 0.25
        meter.update(now)
    return now


def test_rates_of_gate_ranges_and_hot_keys_are_measured() -> None:
    """Guards against wrong loads, on which placement would base moves."""
    range_map = build_range_map()
    meter = meters.Meter("p1", lambda: range_map, 0.0)
    now = send_requests(meter, 0.0, 20.0)
    assert meter.rate(now) == pytest.approx(100.0, rel=0.05)
    loads = meter.loads(now)
    assert [load.start for load in loads] == [0, MIDDLE]
    assert loads[0].rate == pytest.approx(36 + 64 / 2, rel=0.15)
    assert loads[1].rate == pytest.approx(64 / 2, rel=0.15)
    hot = meter.hot_keys(now)
    assert [position for position, _ in hot] == [7]
    assert hot[0][1] == pytest.approx(36.0, rel=0.1)
    send_requests(meter, now, 5.0, 0)
    assert meter.rate(now + 5.0) < 40.0


def test_split_range_is_reported_by_its_new_parts_only() -> None:
    """Guards against load of ranges that were split or moved away."""
    range_map = build_range_map()
    meter = meters.Meter("p1", lambda: range_map, 0.0)
    now = send_requests(meter, 0.0, 20.0)
    range_map.replace([ranges.Range(7, 8, "p1", (), 2, ranges.NO_INTENT)])
    now = send_requests(meter, now, 5.0)
    rate_by_start = {load.start: load.rate for load in meter.loads(now)}
    assert set(rate_by_start) == {7, 8, MIDDLE}
    assert rate_by_start[7] == pytest.approx(36.0, rel=0.15)
    range_map.replace([ranges.Range(7, 8, "p2", (), 3, ranges.NO_INTENT)])
    assert 7 not in {load.start for load in meter.loads(now)}
    assert meter.hot_keys(now) == []


def test_memory_and_report_size_are_bounded() -> None:
    """Guards against memory and reports that grow with the ranges."""
    range_map = ranges.RangeMap(0)
    width = ranges.END // 4096
    range_map.replace(
        [
            ranges.Range(index * width, (index + 1) * width, "p1", (), 1, -1)
            for index in range(4096)
        ]
    )
    meter = meters.Meter("p1", lambda: range_map, 0.0)
    now = send_requests(meter, 0.0, 5.0, 40_000)
    assert len(meter._counters_by_range) <= meters.MAX_COUNTED_RANGES
    assert len(meter.loads(now)) <= meters.MAX_REPORTED_RANGES
    assert len(meter.hot_keys(now)) <= meters.MAX_REPORTED_HOT_KEYS
