"""Distribution of requests by weights."""

from __future__ import annotations

import collections

from agatestile.balancing import split


def test_split_follows_weights_exactly() -> None:
    made = split.WeightedSplit([90.0, 10.0])
    counts = collections.Counter(made.next() for _ in range(100))
    assert counts == {0: 90, 1: 10}
