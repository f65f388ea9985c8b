"""Which connection ends when a listener has too many."""

from __future__ import annotations

import enum
import typing


class Activity(enum.IntEnum):
    """What a connection is used for, by what its end costs the caller."""

    IDLE = 0
    """No request is in progress: the caller connects again."""

    RECEIVING = 1
    """A request is being received: it is refused, and has not run."""

    ANSWERING = 2
    """A request is handled, or its caller still reads the response: it may
    have run, and its response would be lost."""


class Connection(typing.Protocol):
    """A connection of a caller."""

    @property
    def activity(self) -> Activity:
        """What the connection is used for."""


C = typing.TypeVar("C", bound=Connection)


def choose(connections: typing.Iterable[C]) -> C:
    """Return the connection that ends.

    A new one ends only if requests are handled on all others. It is not idle
    yet: its caller connects to send a request.

    Parameters
    ----------
    connections : iterable
        Open connections, the one that was used last at the end.
    """
    *others, newest = connections
    # The first one of the lowest activity is the longest unused one.
    chosen = min(others, key=lambda one: one.activity, default=newest)
    return newest if chosen.activity is Activity.ANSWERING else chosen
