"""Checks which keys the stand-ins of backend servers hold at a time."""

from __future__ import annotations

import asyncio
import typing

if typing.TYPE_CHECKING:
    from standins import platform_server

OVERLAP_SECONDS = 0.5
"""Longest time for which two servers may hold the same key."""

LATE_GRANT_SECONDS = 1.0
"""Time after which a release must have undone a grant that was late.

A server that is paused takes it with the release; connecting again takes up
to 0.8 s.
"""

SAMPLE_SECONDS = 0.02
"""Interval between samples of what the servers hold."""


class Taken(typing.NamedTuple):
    """Keys that an incarnation of a server took.

    Attributes
    ----------
    server_id : str
        Identifier of the server.
    life : int
        Number of its start under this identifier.
    first, last : int
        First and last key.
    fence : int
        Fencing token of the grant.
    """

    server_id: str
    life: int
    first: int
    last: int
    fence: int


class KeyHolds:
    """Checks fencing tokens, and keys that two servers hold.

    Parameters
    ----------
    servers : list of platform_server.PlatformServer
        All servers of the run; the list may grow.

    Attributes
    ----------
    violations : list of str
        Descriptions of the violated invariants.
    """

    def __init__(self, servers: list[platform_server.PlatformServer]) -> None:
        self._servers = servers
        self._taken: dict[Taken, None] = {}
        self._overlaps_since: dict[tuple[str, str], float] = {}
        self._reported: set[tuple[str, str]] = set()
        self.violations: list[str] = []

    def on_taken(self, new: Taken) -> None:
        """Check that a token is above those of other incarnations."""
        if new in self._taken:
            return
        for one in self._taken:
            if one[:2] == new[:2] or one.fence < new.fence:
                continue
            if one.first <= new.last and new.first <= one.last:
                self.violations.append(f"{new} after {one}")
        self._taken[new] = None

    async def watch(self) -> None:
        """Sample what the servers hold until cancelled."""
        while True:
            self._sample(asyncio.get_running_loop().time())
            await asyncio.sleep(SAMPLE_SECONDS)

    def _sample(self, now: float) -> None:
        held = sorted(
            (lease.first, lease.last, server.id, server.life, lease.fence)
            for server in self._servers
            if server.is_up
            for lease in server.current_leases()
            if _counts(lease, now)
        )
        overlaps: set[tuple[str, str]] = set()
        widest = held[0] if held else None
        for one in held[1:]:
            assert widest is not None
            if one[0] <= widest[1] and one[2] != widest[2]:
                pair = (_describe(widest), _describe(one))
                overlaps.add(pair)
                since = self._overlaps_since.setdefault(pair, now)
                if now - since > OVERLAP_SECONDS:
                    self._report(pair, now - since)
            if one[1] > widest[1]:
                widest = one
        for pair in set(self._overlaps_since) - overlaps:
            del self._overlaps_since[pair]

    def _report(self, pair: tuple[str, str], seconds: float) -> None:
        if pair not in self._reported:
            self._reported.add(pair)
            self.violations.append(
                f"{pair[0]} and {pair[1]} for {seconds:.2f} s"
            )


def _counts(lease: platform_server.KeyLease, now: float) -> bool:
    if lease.counted_until > now:
        return True
    is_undone = now <= lease.taken_at + LATE_GRANT_SECONDS
    return not lease.is_excused and not is_undone and lease.until > now


def _describe(held: tuple[int, int, str, int, int]) -> str:
    first, last, server_id, life, fence = held
    return f"{server_id} (life {life}) holds {first}-{last} by fence {fence}"
