"""Tests of range maps."""

from __future__ import annotations

import random

import pytest

from agatestile.assignment import ranges

A = ranges.Owner("a", 1, 5)
B = ranges.Owner("b", 1, 6)


def test_new_map_has_no_owners() -> None:
    """Guards against a new map that omits keys."""
    assert ranges.RangeMap().ranges == [
        ranges.KeyRange(0, 65535, ranges.UNOWNED)
    ]


@pytest.mark.parametrize("seed", range(20))
def test_replace_agrees_with_a_list_of_keys(seed: int) -> None:
    """Guards against keys that are lost or have two owners at a bound."""
    generator = random.Random(seed)
    expected = [ranges.UNOWNED] * ranges.KEY_COUNT
    key_map = ranges.RangeMap()
    for _ in range(20):
        first = generator.randrange(ranges.KEY_COUNT)
        last = min(ranges.KEY_COUNT - 1, first + generator.randrange(9000))
        owner = generator.choice((A, B))
        key_map = key_map.replace([ranges.KeyRange(first, last, owner)])
        expected[first : last + 1] = [owner] * (last + 1 - first)
    for key in range(0, ranges.KEY_COUNT, 97):
        assert key_map.find(key).owner == expected[key]
    bounds = [
        (key_range.first, key_range.last) for key_range in key_map.ranges
    ]
    assert bounds[0][0] == 0 and bounds[-1][1] == ranges.KEY_COUNT - 1
    assert all(a[1] + 1 == b[0] for a, b in zip(bounds, bounds[1:]))


def test_adjacent_ranges_with_one_owner_are_merged() -> None:
    """Guards against maps that grow with each move."""
    key_map = ranges.RangeMap().replace(
        [ranges.KeyRange(0, 9, A), ranges.KeyRange(10, 65535, A)]
    )
    assert len(key_map.ranges) == 1
