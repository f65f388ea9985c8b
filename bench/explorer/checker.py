"""Judges from what servers took and held whether keys had one owner.

It knows nothing of leaders, leases or the store.
"""

from __future__ import annotations

import itertools
import typing

LONGEST_OVERLAP_SECONDS = 0.5
"""Time for which two servers may hold the same keys, from the rules."""


class Holding(typing.NamedTuple):
    """Keys that a server held from `start` to `end`, seconds."""

    server: str
    first: int
    last: int
    fence: int
    start: float
    end: float


class Taking(typing.NamedTuple):
    """A grant as a server took it.

    Attributes
    ----------
    at : float
        When the server took it, seconds.
    server : str
        The server.
    first, last : int
        The keys.
    fence : int
        The fencing token.
    sent_at : float
        When a host sent it, seconds.
    life : int
        Life of the server; a later one counts as another server.
    """

    at: float
    server: str
    first: int
    last: int
    fence: int
    sent_at: float
    life: int = 1

    @property
    def taker(self) -> tuple[str, int]:
        """The server and its life."""
        return self.server, self.life


class Overlap(typing.NamedTuple):
    """A key that two servers held at the same time."""

    seconds: float
    start: float
    servers: tuple[str, str]
    key: int
    fences: tuple[int, int]

    def __str__(self) -> str:
        return (
            f"{self.start:.3f} {self.servers[0]} and {self.servers[1]} hold"
            f" key {self.key} by {self.fences[0]} and {self.fences[1]}"
            f" for {self.seconds:.3f} s"
        )


class LowerToken(typing.NamedTuple):
    """A key taken with a token that another server had surpassed.

    Attributes
    ----------
    taking : Taking
        The grant.
    earlier : Taking
        The grant with a higher token, taken earlier by another server.
    """

    taking: Taking
    earlier: Taking

    @property
    def is_late(self) -> bool:
        """Whether the grant was sent before the other one was taken."""
        return self.taking.sent_at <= self.earlier.at

    def __str__(self) -> str:
        return (
            f"{self.taking.at:.3f} {self.taking.server} takes"
            f" {self.taking.first}-{self.taking.last} by"
            f" {self.taking.fence}, sent at {self.taking.sent_at:.3f}, after"
            f" {self.earlier.server} by {self.earlier.fence} at"
            f" {self.earlier.at:.3f}"
        )


class _Piece(typing.NamedTuple):
    start: float
    end: float
    fences: tuple[int, int]


def find_overlaps(holdings: list[Holding]) -> list[Overlap]:
    """Return the longest overlap of each pair of servers and key.

    Only the first keys of shared ranges are looked at: all keys up to the
    next one were held by the same servers.
    """
    by_start = sorted(holdings, key=lambda one: one.start)
    shared = [
        (one, other) if one.server < other.server else (other, one)
        for index, one in enumerate(by_start)
        for other in itertools.takewhile(
            lambda later: later.start < one.end, by_start[index + 1 :]
        )
        if one.server != other.server
        and one.first <= other.last
        and other.first <= one.last
    ]
    overlaps = []
    points = {
        (one.server, other.server, max(one.first, other.first))
        for one, other in shared
    }
    for left, right, key in sorted(points):
        pieces = sorted(
            _Piece(
                max(one.start, other.start),
                min(one.end, other.end),
                (one.fence, other.fence),
            )
            for one, other in shared
            if (one.server, other.server) == (left, right)
            and max(one.first, other.first) <= key <= min(one.last, other.last)
        )
        overlaps += [
            Overlap(
                round(one.end - one.start, 3),
                round(one.start, 3),
                (left, right),
                key,
                one.fences,
            )
            for one in _joined(pieces)
        ]
    return sorted(overlaps, reverse=True)


def _joined(pieces: list[_Piece]) -> list[_Piece]:
    """Join pieces that touch, as renewals and splits part holdings."""
    joined: list[_Piece] = []
    for piece in pieces:
        if joined and piece.start <= joined[-1].end + 1e-6:
            end = max(joined[-1].end, piece.end)
            joined[-1] = joined[-1]._replace(end=end)
        else:
            joined.append(piece)
    return joined


def find_lower_tokens(takings: list[Taking]) -> list[LowerToken]:
    """Return grants that another server or life took with such a token."""
    found = []
    for index, taking in enumerate(takings):
        earlier = [
            one
            for one in takings[:index]
            if one.first <= taking.last and taking.first <= one.last
        ]
        is_repeated = any(
            (one.taker, one.fence) == (taking.taker, taking.fence)
            for one in earlier
        )
        higher = [
            one
            for one in earlier
            if one.taker != taking.taker and one.fence >= taking.fence
        ]
        if higher and not is_repeated:
            found.append(LowerToken(taking, max(higher)))
    return found
