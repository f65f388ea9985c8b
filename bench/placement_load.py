"""Seeded load with Zipf-distributed keys, of which the hottest change."""

from __future__ import annotations

import bisect
import itertools
import random
import typing

from agatestile.state import ranges

HOT_KEYS = 55


class Shape(typing.NamedTuple):
    """Size and distribution of the load.

    Attributes
    ----------
    keys : int
        Number of keys.
    zipf : float
        Exponent of the Zipf distribution of keys.
    rate : float
        Requests a second for all keys.
    epoch : float
        Seconds after which the hottest 55 keys are replaced by others.
    """

    keys: int = 20_000
    zipf: float = 0.9
    rate: float = 2000.0
    epoch: float = 120.0


class HotLoad:
    """Load by position, as requests a second.

    Parameters
    ----------
    shape : Shape
        Size and distribution of the load.
    seed : int
        Seed of the positions of keys and of the choice of hot keys.
    """

    def __init__(self, shape: Shape, seed: int) -> None:
        self._generator = random.Random(seed)
        self._shape = shape
        self._positions = sorted(
            self._generator.sample(range(ranges.END), shape.keys)
        )
        weights = [1.0 / r**shape.zipf for r in range(1, shape.keys + 1)]
        scale = shape.rate / sum(weights)
        self._loads_by_rank = [weight * scale for weight in weights]
        self._key_by_rank = list(range(shape.keys))
        self._generator.shuffle(self._key_by_rank)
        self._epoch = 0
        self._accumulate_loads()

    def advance(self, now: float) -> None:
        """Replace the hottest keys at the end of each epoch."""
        while now >= (self._epoch + 1) * self._shape.epoch:
            self._epoch += 1
            others = range(HOT_KEYS, self._shape.keys)
            chosen = self._generator.sample(others, HOT_KEYS)
            keys = self._key_by_rank
            for rank, other in enumerate(chosen):
                keys[rank], keys[other] = keys[other], keys[rank]
            self._accumulate_loads()

    def of_range(self, start: int, end: int) -> float:
        """Return the load of the positions from start until before end."""
        low = bisect.bisect_left(self._positions, start)
        high = bisect.bisect_left(self._positions, end)
        return self._cumulative_loads[high] - self._cumulative_loads[low]

    def hottest(self, count: int) -> list[tuple[int, float]]:
        """Return the positions and loads of the hottest keys."""
        return [
            (self._positions[key], load)
            for key, load in zip(
                self._key_by_rank[:count], self._loads_by_rank
            )
        ]

    def _accumulate_loads(self) -> None:
        loads = [0.0] * self._shape.keys
        for key, load in zip(self._key_by_rank, self._loads_by_rank):
            loads[key] = load
        self._cumulative_loads = [0.0, *itertools.accumulate(loads)]
