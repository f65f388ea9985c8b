"""Counts of requests by key."""

from __future__ import annotations

from agatestile.assignment import key_load


def test_hot_stretch_shows_within_a_second() -> None:
    """Pattern: hot key."""
    load = key_load.KeyLoad(0.0)
    for tick in range(10):
        load.add({key: 1 for key in range(100, 104)})
        load.advance(0.1 * (tick + 1))
    assert load.rate(100, 103) > 0.4 * 40


def test_heat_fades() -> None:
    load = key_load.KeyLoad(0.0)
    load.add({100: 100})
    load.advance(0.1)
    before = load.rate(100, 100)
    load.advance(10.0)
    assert load.rate(100, 100) < 0.05 * before


def test_split_point_divides_by_rate() -> None:
    load = key_load.KeyLoad(0.0)
    load.add({key: 1 for key in range(0, 1000)})
    load.advance(0.01)
    whole = load.rate(0, 65535)
    last = load.split_point(0, 65535, 0.5 * whole)
    assert 400 < last < 700
