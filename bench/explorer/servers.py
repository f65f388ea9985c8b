"""Servers that take fenced grants and release keys."""

from __future__ import annotations

import math
import typing

import trio

from bench.explorer import checker


class Entry(typing.NamedTuple):
    """What a server says of itself in the store."""

    server: str
    life: int
    seq: int
    capacity: float
    expires_at: float


class Server:
    """A server; a restart forgets all and begins the next life.

    Parameters
    ----------
    name : str
        Identifier.
    clock_rate : float
        Seconds that pass while its clock counts one.
    """

    def __init__(self, name: str, clock_rate: float) -> None:
        self.name = name
        self.clock_rate = clock_rate
        self.life = 1
        self.is_up = True
        self.capacity = 10.0
        self.work_seconds = 0.0
        self.seq = 0
        self.paused_until = -math.inf
        self.blocked_until = -math.inf
        self.unregistered_until = -math.inf
        self.holdings: list[checker.Holding] = []
        self.ended: list[checker.Holding] = []
        self.takings: list[checker.Taking] = []
        self._seen_fences: list[tuple[int, int, int]] = []

    def is_running(self) -> bool:
        return self.is_up and trio.current_time() >= self.paused_until

    def accepts_connections(self) -> bool:
        return trio.current_time() >= self.blocked_until

    async def wait_running(self) -> None:
        """Wait until no pause is left, however many overlap."""
        while trio.current_time() < self.paused_until:
            await trio.sleep_until(self.paused_until)

    def take(
        self, first: int, last: int, fence: int, until: float, sent_at: float
    ) -> bool:
        """Take a grant; return False if a higher token was seen."""
        now = trio.current_time()
        if any(
            seen > fence and start <= last and first <= end
            for start, end, seen in self._seen_fences
        ):
            return False
        self._seen_fences.append((first, last, fence))
        self._drop(first, last)
        self.holdings.append(
            checker.Holding(self.name, first, last, fence, now, until)
        )
        self.takings.append(
            checker.Taking(
                now, self.name, first, last, fence, sent_at, self.life
            )
        )
        return True

    def release(self, first: int, last: int, fence: int) -> None:
        """Stop work on keys at once; never refused."""
        self._seen_fences.append((first, last, fence))
        self._drop(first, last)

    def stop(self) -> None:
        """End this life and forget all that it knew."""
        self._drop(0, 1 << 16)
        self._seen_fences = []
        self.life += 1
        self.seq = 0
        self.is_up = False
        self.paused_until = -math.inf
        self.blocked_until = -math.inf

    def all_holdings(self) -> list[checker.Holding]:
        return self.ended + self.holdings

    def _drop(self, first: int, last: int) -> None:
        now = trio.current_time()
        kept = []
        for one in self.holdings:
            if one.end <= now:
                self.ended.append(one)
                continue
            if one.last < first or last < one.first:
                kept.append(one)
                continue
            self.ended.append(one._replace(end=now))
            if one.first < first:
                kept.append(one._replace(last=first - 1, start=now))
            if last < one.last:
                kept.append(one._replace(first=last + 1, start=now))
        self.holdings = kept
