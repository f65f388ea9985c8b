"""Metrics that tests can inspect."""

from __future__ import annotations

import collections

import anyio


class Recorder:
    """Stores the values of metrics in memory."""

    def __init__(self) -> None:
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.timings: list[tuple[str, str]] = []

    def count(self, name: str, amount: int = 1, suffix: str = "") -> None:
        self.counts[name, suffix] += amount

    def gauge(self, name: str, value: float, suffix: str = "") -> None:
        raise NotImplementedError

    def timing(self, name: str, seconds: float, suffix: str = "") -> None:
        self.timings.append((name, suffix))

    async def run(self) -> None:
        await anyio.sleep_forever()
