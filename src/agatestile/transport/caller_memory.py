"""Limit of the memory that all callers of a host take together."""

from __future__ import annotations

import math
import typing

DEFAULT_LIMIT_BYTES = 256 * 1024 * 1024
"""Limit where the memory of the machine is unknown, bytes: four of the largest
bodies."""

REQUEST_MEMORY_SHARE = 0.46
"""Share of the memory of a machine for requests that are received or handled.
Of 160 MB it leaves 69 MB for large ones, which is more than a body of 64 MiB
with its head, and the program itself takes 35 MB."""

RESPONSE_MEMORY_SHARE = 0.125
"""Share of the memory of a machine for responses that callers don't read. Of
160 MB it is 20 MB, more than the largest response of 16 MiB."""

RESERVED_SHARE = 1.0 / 16.0
"""Share of the limit that only small requests may use."""

HELD_MEMORY_SHARE = 0.585
"""Share of the memory of a machine for requests and unread responses
together."""

SMALL_BYTES = 64 * 1024
"""Size up to which a request is small, bytes."""

PROGRESS_HALF_LIFE_SECONDS = 0.25
"""Time after which a byte counts half as progress. A connection that stalls
after 8 MiB falls behind one with its first 64 KiB within 2 s."""

Caller = typing.TypeVar("Caller", bound=typing.Hashable)


class _Use:
    """What one caller takes, and how fast it proceeds."""

    def __init__(self, now: float) -> None:
        self.size = 0
        self.has_grown = True
        self.is_unfinished = True
        self._recent = 0.0
        self._counted_at = now

    def add_progress(self, amount: int, now: float) -> None:
        """Count bytes that a caller sent or read."""
        self._recent = self.progress(now) + amount
        self._counted_at = now

    def progress(self, now: float) -> float:
        """Return the recent bytes, halved with each half-life."""
        age = max(0.0, now - self._counted_at)
        return self._recent * math.exp2(-age / PROGRESS_HALF_LIFE_SECONDS)

    @property
    def is_large(self) -> bool:
        """Whether it may not use the reserve."""
        return self.size > SMALL_BYTES


class CallerMemory(typing.Generic[Caller]):
    """Sum of what callers take, and who ends if it exceeds its limit.

    Parameters
    ----------
    limit : int
        Limit of all callers together, bytes.
    reserve : int, optional
        Part of the limit that only small ones may use, bytes.
    ceiling : int, optional
        What they may take while others leave room, bytes; `limit` by default.

    Attributes
    ----------
    total : int
        What all callers take, bytes.
    reserve : int
        Part of the limit that only small ones may use, bytes.
    """

    def __init__(
        self, limit: int, reserve: int = 0, ceiling: int | None = None
    ) -> None:
        self.limit = limit
        self.total = 0
        self.reserve = reserve
        self._ceiling = limit if ceiling is None else ceiling
        self._allowed = limit
        self._large_total = 0
        self._use_by_caller: dict[Caller, _Use] = {}

    @classmethod
    def for_requests(cls, memory: int | None) -> CallerMemory[Caller]:
        """Create the limit of requests.

        Parameters
        ----------
        memory : int or None
            Memory of the machine, bytes; None if unknown.
        """
        limit = DEFAULT_LIMIT_BYTES
        if memory is not None:
            limit = int(memory * REQUEST_MEMORY_SHARE)
        return cls(limit, int(limit * RESERVED_SHARE))

    @classmethod
    def for_responses(cls, memory: int | None) -> CallerMemory[Caller]:
        """Create the limit of unread responses for a machine."""
        if memory is None:
            return cls(DEFAULT_LIMIT_BYTES)
        return cls(
            int(memory * RESPONSE_MEMORY_SHARE),
            ceiling=int(memory * HELD_MEMORY_SHARE),
        )

    def allow(self, limit: float) -> None:
        """Apply another limit for now, between the reserve and the ceiling.

        Parameters
        ----------
        limit : float
            What all callers may take together, bytes.
        """
        self._allowed = int(max(min(limit, self._ceiling), self.reserve))

    def callers(self) -> list[Caller]:
        """Return the callers that take memory."""
        return list(self._use_by_caller)

    def size(self, caller: Caller) -> int:
        """Return what a caller takes, bytes."""
        use = self._use_by_caller.get(caller)
        return 0 if use is None else use.size

    def update(
        self,
        caller: Caller,
        size: int,
        progress: int,
        now: float,
        is_unfinished: bool = True,
    ) -> None:
        """Record what a caller takes.

        Parameters
        ----------
        caller : hashable
            The caller.
        size : int
            What it takes, bytes.
        progress : int
            Bytes that it sent or read since the last call.
        now : float
            Clock, seconds.
        is_unfinished : bool, optional
            Whether more is expected from it. Others are not chosen.
        """
        if not size:
            self.discard(caller)
            return
        use = self._use_by_caller.get(caller)
        if use is None:
            use = self._use_by_caller[caller] = _Use(now)
        self._remove(use)
        use.has_grown = size > use.size
        use.size = size
        use.is_unfinished = is_unfinished
        use.add_progress(progress, now)
        self.total += size
        if use.is_large:
            self._large_total += size

    def discard(self, caller: Caller) -> None:
        """Count nothing for a caller any more."""
        use = self._use_by_caller.pop(caller, None)
        if use is not None:
            self._remove(use)

    def excess(self, caller: Caller, now: float) -> Caller | None:
        """Return who has to end, None if the limit is kept or nobody has to.

        It is the unfinished caller with the least progress, so that callers
        that stall end before those that send. Requests that are complete go
        on. If there are only such ones, it is the caller that has just taken
        more, if it has: the limit may also be lower than before.

        Parameters
        ----------
        caller : hashable
            Caller that was updated last.
        now : float
            Clock, seconds.
        """
        if self._large_total > self._allowed - self.reserve:
            only_large = True
        elif self.total > self._allowed:
            only_large = False
        else:
            return None
        candidates = [
            (use.progress(now), other)
            for other, use in self._use_by_caller.items()
            if use.is_unfinished and (use.is_large or not only_large)
        ]
        if candidates:
            return min(candidates, key=lambda one: one[0])[1]
        updated = self._use_by_caller.get(caller)
        if updated is None or not updated.has_grown:
            return None
        return caller if updated.is_large or not only_large else None

    def _remove(self, use: _Use) -> None:
        self.total -= use.size
        if use.is_large:
            self._large_total -= use.size
