"""Tests of the weighted distribution of requests."""

from __future__ import annotations

import collections

from agatestile.balancing import split


def test_split_follows_weights_exactly() -> None:
    weighted_split = split.WeightedSplit([90.0, 10.0])
    counts = collections.Counter(weighted_split.next() for _ in range(100))
    assert counts == {0: 90, 1: 10}
