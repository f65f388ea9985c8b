"""Until when servers may hold keys, and how long this host may decide."""

from __future__ import annotations

import math
import typing

from agatestile.assignment import ranges

HOLD_SECONDS = 3.5
"""Time for which a grant lets a server hold keys. A server that falls
silent keeps its keys unavailable for this long."""

RENEW_SECONDS = 0.9
"""Interval of renewals; a new leader has the rest of a hold to
take over."""

CLOCK_ERROR = 0.02
"""Share by which a server's clock may run slow, from its published
bounds."""

ARRIVAL_SLACK_SECONDS = 0.3
"""Longest time between the end of a call at the sender and its arrival,
as an abandoned call is reset and not sent again."""

ORDER_SECONDS = 0.6
"""Longest wait for the answer to a grant."""

LEADER_LEASE_SECONDS = 8.0
"""How long the leader may renew without a confirmation from
the store. A successor waits for it before it reassigns the keys of a server
that does not answer, so it bounds both."""

Life = tuple[str, int]


class Predecessor(typing.NamedTuple):
    """The leader before this host.

    Attributes
    ----------
    holds : list of (str, int, float) or None
        Identifier and incarnation of servers, and for how much longer each
        may hold keys, seconds; None if it did not tell.
    renews_for : float
        For how much longer it may renew grants, seconds.
    """

    holds: list[tuple[str, int, float]] | None
    renews_for: float


NO_PREDECESSOR = Predecessor([], 0.0)


class Holds:
    """Latest time at which each life of a server may hold keys.

    Every server in a map taken over from another leader counts
    as renewed until that holder's tenure has ended.
    """

    def __init__(self) -> None:
        self._until_by_life: dict[Life, float] = {}
        self._default = -math.inf

    def take_over(self, now: float, predecessor: Predecessor) -> None:
        """Start after another leader.

        Parameters
        ----------
        now : float
            Clock after the leadership was taken and the predecessor asked,
            seconds.
        predecessor : Predecessor
            What is known of the other holder.
        """
        self._until_by_life.clear()
        self._default = -math.inf
        if predecessor.holds is None:
            self._default = (
                now
                + predecessor.renews_for
                + ARRIVAL_SLACK_SECONDS
                + _longest_hold()
            )
            return
        for server_id, incarnation, left in predecessor.holds:
            self._until_by_life[server_id, incarnation] = now + left

    def left(
        self, lives: set[Life], busy: set[Life], now: float
    ) -> list[tuple[str, int, float]]:
        """Return how much longer lives may hold keys, for a successor.

        Parameters
        ----------
        lives : set of (str, int)
            Lives that the maps name.
        busy : set of (str, int)
            Lives to which an order is under way.
        now : float
            Clock, seconds.
        """
        result = []
        for life in lives:
            until = self.until(life)
            if life in busy:
                call = ORDER_SECONDS + ARRIVAL_SLACK_SECONDS
                until = max(until, now + call + _longest_hold())
            if until > now:
                result.append((*life, until - now))
        return result

    def on_grant_end(self, life: Life, now: float) -> None:
        """Note that a grant may have arrived until now."""
        until = now + ARRIVAL_SLACK_SECONDS + _longest_hold()
        self._until_by_life[life] = max(self.until(life), until)

    def until(self, life: Life) -> float:
        """Return the time from which a life surely holds nothing."""
        return max(self._until_by_life.get(life, -math.inf), self._default)

    def unknown_left(self, now: float) -> float:
        """Return how long unknown lives may hold keys, seconds."""
        return max(0.0, self._default - now)

    def forget(self, lives: set[Life]) -> None:
        """Drop lives that no map names."""
        for life in list(self._until_by_life):
            if life not in lives:
                del self._until_by_life[life]


class LeaderLease:
    """Right of this host to decide, confirmed by the store.

    Times are of a clock that goes on while the machine is suspended.
    """

    def __init__(self) -> None:
        self._confirmed = -math.inf

    def confirm(self, sent: float) -> None:
        """Note a confirmation that was asked for at a time."""
        self._confirmed = max(self._confirmed, sent)

    def end(self) -> None:
        """Give up the right."""
        self._confirmed = -math.inf

    def is_valid(self, now: float) -> bool:
        """Tell whether grants may be renewed."""
        return now < self._confirmed + LEADER_LEASE_SECONDS


class Fences:
    """Fencing tokens that rise over all epochs."""

    EPOCH_SHIFT = 24

    def __init__(self, epoch: int) -> None:
        self._next = (epoch << self.EPOCH_SHIFT) + 1

    def next(self) -> int:
        """Return a token above all earlier ones."""
        fence = self._next
        self._next += 1
        return fence


def life_of(owner: ranges.Owner) -> Life:
    """Return the life of a server that an owner names."""
    return owner.server_id, owner.incarnation


def _longest_hold() -> float:
    return HOLD_SECONDS * (1.0 + CLOCK_ERROR)
