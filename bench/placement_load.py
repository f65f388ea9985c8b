"""Seeded load for comparing placements: Zipf keys, hot keys that change."""

from __future__ import annotations

import bisect
import itertools
import random
import typing

from agatestile.state import ranges

HOT_KEYS = 55


class Shape(typing.NamedTuple):
    """Size of the load.

    Attributes
    ----------
    keys : int
        Number of keys.
    zipf : float
        Exponent of their popularity.
    rate : float
        Requests a second in total.
    epoch : float
        Seconds until the hottest 55 keys are replaced by others.
    """

    keys: int = 20_000
    zipf: float = 0.9
    rate: float = 2000.0
    epoch: float = 120.0


class HotLoad:
    """Requests a second for any range of positions.

    Parameters
    ----------
    shape : Shape
        Size of the load.
    seed : int
        Decides the positions and which keys are hot when.
    """

    def __init__(self, shape: Shape, seed: int) -> None:
        self._draw = random.Random(seed)
        self._shape = shape
        self._positions = sorted(
            self._draw.sample(range(ranges.END), shape.keys)
        )
        weights = [1.0 / r**shape.zipf for r in range(1, shape.keys + 1)]
        scale = shape.rate / sum(weights)
        self._loads_by_rank = [weight * scale for weight in weights]
        self._key_by_rank = list(range(shape.keys))
        self._draw.shuffle(self._key_by_rank)
        self._epoch = 0
        self._sum_up()

    def advance(self, now: float) -> None:
        """Replace the hottest keys when their time is over."""
        while now >= (self._epoch + 1) * self._shape.epoch:
            self._epoch += 1
            others = range(HOT_KEYS, self._shape.keys)
            chosen = self._draw.sample(others, HOT_KEYS)
            keys = self._key_by_rank
            for rank, other in enumerate(chosen):
                keys[rank], keys[other] = keys[other], keys[rank]
            self._sum_up()

    def of_range(self, start: int, end: int) -> float:
        """Return the load of the positions from start to before end."""
        low = bisect.bisect_left(self._positions, start)
        high = bisect.bisect_left(self._positions, end)
        return self._sums[high] - self._sums[low]

    def hottest(self, count: int) -> list[tuple[int, float]]:
        """Return positions and loads of the hottest keys."""
        return [
            (self._positions[key], load)
            for key, load in zip(
                self._key_by_rank[:count], self._loads_by_rank
            )
        ]

    def _sum_up(self) -> None:
        loads = [0.0] * self._shape.keys
        for key, load in zip(self._key_by_rank, self._loads_by_rank):
            loads[key] = load
        self._sums = [0.0, *itertools.accumulate(loads)]
