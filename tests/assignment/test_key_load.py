"""Counts of requests by key."""

from __future__ import annotations

from agatestile.assignment import key_load as heat_module


def test_hot_stretch_shows_within_a_second() -> None:
    """Pattern: hot key."""
    heat = heat_module.KeyHeat(0.0)
    for tick in range(10):
        heat.add({key: 1 for key in range(100, 104)})
        heat.advance(0.1 * (tick + 1))
    assert heat.rate(100, 103) > 0.4 * 40


def test_heat_fades() -> None:
    heat = heat_module.KeyHeat(0.0)
    heat.add({100: 100})
    heat.advance(0.1)
    before = heat.rate(100, 100)
    heat.advance(10.0)
    assert heat.rate(100, 100) < 0.05 * before


def test_split_point_divides_by_rate() -> None:
    heat = heat_module.KeyHeat(0.0)
    heat.add({key: 1 for key in range(0, 1000)})
    heat.advance(0.01)
    whole = heat.rate(0, 65535)
    last = heat.split_point(0, 65535, 0.5 * whole)
    assert 400 < last < 700
