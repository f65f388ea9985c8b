"""Tests of the simulation that compares placement methods."""

from __future__ import annotations

import pytest

from bench import placement
from bench import placement_load
from bench import placement_methods

SHAPE = placement_load.Shape(keys=2000, rate=1000.0)
METHODS_BY_NAME = {item.name: item for item in placement_methods.METHODS}


def _run(name: str, seed: int = 3) -> placement.Outcome:
    servers = placement.make_servers("equal")
    method = METHODS_BY_NAME[name]
    return placement.Simulation(method, servers, SHAPE, seed).run(200)


def test_total_load_stays_when_hot_keys_change() -> None:
    """Guards against methods that are compared under different loads."""
    load = placement_load.HotLoad(SHAPE, 5)
    before = load.hottest(3)
    load.advance(SHAPE.epoch)
    assert not {key for key, _ in before} & {key for key, _ in load.hottest(3)}
    total = load.of_range(0, placement_load.ranges.END)
    assert total == pytest.approx(SHAPE.rate)
    position, rate = load.hottest(1)[0]
    assert load.of_range(position, position + 1) == pytest.approx(rate)


def test_planner_lowers_the_peak_within_its_move_budget() -> None:
    """Guards against figures of a planner whose moves have no effect."""
    without_planner, planned = (
        _run("bounded rendezvous"),
        _run("bounded, planner"),
    )
    assert without_planner.moves == 0
    assert 0 < planned.moves <= 4 * placement.DOMAINS * 1.5
    assert planned.peak < without_planner.peak
    assert _run("bounded, planner") == planned


def test_entropy_is_highest_for_equal_loads() -> None:
    """Guards against an entropy that favours unequal loads."""
    equal = placement_methods.entropy([2.0, 2.0, 2.0])
    unequal = placement_methods.entropy([4.0, 1.0, 1.0])
    assert equal == pytest.approx(1.0)
    assert unequal < equal
