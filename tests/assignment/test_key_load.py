"""Tests of request rates by key."""

from __future__ import annotations

from agatestile.assignment import key_load


def test_hot_range_is_detected_within_a_second() -> None:
    """Guards against a hot key range that is noticed too late."""
    load = key_load.KeyLoad(0.0)
    for tick in range(10):
        load.add({key: 1 for key in range(100, 104)})
        load.advance(0.1 * (tick + 1))
    assert load.rate(100, 103) > 0.4 * 40


def test_load_decays() -> None:
    """Guards against moves because of a load that has passed."""
    load = key_load.KeyLoad(0.0)
    load.add({100: 100})
    load.advance(0.1)
    before = load.rate(100, 100)
    load.advance(10.0)
    assert load.rate(100, 100) < 0.05 * before


def test_split_point_divides_by_rate() -> None:
    """Guards against splits by the number of keys instead of their load."""
    load = key_load.KeyLoad(0.0)
    load.add({key: 1 for key in range(0, 1000)})
    load.advance(0.01)
    whole = load.rate(0, 65535)
    last = load.split_point(0, 65535, 0.5 * whole)
    assert 400 < last < 700
