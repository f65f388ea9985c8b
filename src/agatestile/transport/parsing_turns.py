"""Turns in which connections parse what they have received."""

from __future__ import annotations

import typing

TURN_WORK = 4096
"""Work of a turn while no connection waits for one, units."""

SHORT_TURN_WORK = 1024
"""Work of a turn while others wait, units. An ordinary request fits in it."""

BYTES_PER_UNIT = 64
"""Bytes of a body that cost as much as one call of the parser."""

TURNS_PER_ROUND = 4
"""Turns in one iteration of the event loop."""


class Taker(typing.Protocol):
    """A connection with more to parse than fits in a turn."""

    def __hash__(self) -> int:
        """Return the hash of its identity."""

    def take_turn(self) -> None:
        """Parse up to `TurnQueue.allowed_work`, or read on."""


class TurnQueue:
    """Shares the time for parsing between connections.

    Bodies in very small chunks cost far more time than their bytes tell. A
    connection whose turn is over neither parses nor reads until the next
    one, so that other connections are served in between.

    Parameters
    ----------
    call_soon : callable
        Calls a function in the next iteration of the event loop.
    """

    def __init__(
        self,
        call_soon: typing.Callable[[typing.Callable[[], None]], object],
    ) -> None:
        self._call_soon = call_soon
        # A dictionary keeps the order and finds a connection that ends.
        self._waiting: dict[Taker, None] = {}
        self._is_scheduled = False

    @property
    def allowed_work(self) -> int:
        """Work of a turn that begins now, units."""
        return SHORT_TURN_WORK if self._waiting else TURN_WORK

    def __len__(self) -> int:
        """Return how many connections wait."""
        return len(self._waiting)

    def __contains__(self, taker: Taker) -> bool:
        """Return whether a connection waits."""
        return taker in self._waiting

    def add(self, taker: Taker) -> None:
        """Let a connection wait for a turn, behind those that wait."""
        self._waiting.setdefault(taker)
        self._schedule()

    def discard(self, taker: Taker) -> None:
        """Forget a connection that has ended."""
        self._waiting.pop(taker, None)

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._run_round)

    def _run_round(self) -> None:
        self._is_scheduled = False
        for taker in list(self._waiting)[:TURNS_PER_ROUND]:
            # A turn may end other connections.
            if taker in self._waiting:
                del self._waiting[taker]
                taker.take_turn()
        self._schedule()
