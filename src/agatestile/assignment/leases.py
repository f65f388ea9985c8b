"""Leases on keys and on the leadership, and fencing tokens."""

from __future__ import annotations

import math
import typing

from agatestile.assignment import ranges

KEY_LEASE_SECONDS = 3.5
"""Duration of a grant. The keys of a server that stops answering stay
unavailable for this long."""

RENEWAL_INTERVAL_SECONDS = 0.9
"""Interval of renewals; a new leader has the rest of a key lease to take
over."""

MAX_CLOCK_ERROR = 0.02
"""Fraction by which the clock of a server may run slow, from the published
bounds of the servers."""

ARRIVAL_SLACK_SECONDS = 0.3
"""Longest time between the end of a call at the sender and its arrival at the
server; an abandoned call is reset and not sent again. A server that was paused
may take it later, which a release undoes."""

SLOW_ARRIVAL_SLACK_SECONDS = 2.5
"""The same while this host's own link is full: bytes that were sent wait in
its queue."""

GRANT_TIMEOUT_SECONDS = 0.6
"""Timeout of a grant."""

LEADER_LEASE_SECONDS = 8.0
"""Time for which the leader may renew grants without a confirmation from the
store. A successor waits as long before it reassigns the keys of a server that
does not answer, so this bounds both."""

SURE_LEADERSHIP_SECONDS = 0.8
"""Time after a confirmation by the store in which this host certainly leads,
as a successor waits until it is over. Only then may it send a fencing token
for the first time, which unlike a repeated grant can reach a server that
restarted and forgot what it had released, or a release, which is never
refused."""

SURE_LEADERSHIP_MARGIN_SECONDS = 0.2
"""Longest time between the check of the leadership and the sending of an
order, in which a process whose processor time is used up stands still."""

Instance = tuple[str, int]
"""Identifier and incarnation of a server."""


class Predecessor(typing.NamedTuple):
    """The leader before this host.

    Attributes
    ----------
    remaining_leases : list of (str, int, float) or None
        Identifier and incarnation of servers, and for how much longer each
        may hold keys, seconds; None if unknown.
    renewal_seconds : float
        For how much longer the predecessor may renew grants, seconds.
    is_settled : bool
        Whether no leader before it may renew grants any longer either.
    """

    remaining_leases: list[tuple[str, int, float]] | None
    renewal_seconds: float
    is_settled: bool


NO_PREDECESSOR = Predecessor([], 0.0, True)


class KeyLeases:
    """Latest time until which each server may hold keys.

    Grants name the identifier of a server only. One that was meant for an
    earlier incarnation may have been taken by a later one, so the leases of
    all incarnations are one.

    Every server in a map that was taken over from another leader is assumed
    to be renewed until the lease of that leader has expired.
    """

    def __init__(self) -> None:
        self._until_by_server: dict[str, float] = {}
        self._delayed_until_by_server: dict[str, float] = {}
        self._unlisted_until = -math.inf

    def take_over(self, now: float, predecessor: Predecessor) -> None:
        """Initialise the leases after a change of leader.

        Parameters
        ----------
        now : float
            Clock after the leadership was taken and the predecessor was
            asked, seconds.
        predecessor : Predecessor
            What is known of the previous leader.
        """
        self._until_by_server.clear()
        self._delayed_until_by_server.clear()
        self._unlisted_until = -math.inf
        if predecessor.remaining_leases is None:
            self._unlisted_until = renewed_until(
                now, predecessor.renewal_seconds
            )
            return
        for server_id, _, left in predecessor.remaining_leases:
            self._extend(server_id, now + left)

    def remaining(
        self,
        instances: set[Instance],
        busy: set[str],
        now: float,
        arrival_slack: float = ARRIVAL_SLACK_SECONDS,
    ) -> list[tuple[str, int, float]]:
        """Return for how much longer instances may hold keys, seconds.

        A leader passes the result on to its successor.

        Parameters
        ----------
        instances : set of (str, int)
            Instances in the range maps.
        busy : set of str
            Servers to which an order is in progress.
        now : float
            Current time, seconds.
        arrival_slack : float
            Longest time from the end of such an order to its arrival, seconds.
        """
        result = []
        for instance in instances:
            until = self.until(instance[0])
            if instance[0] in busy:
                call = GRANT_TIMEOUT_SECONDS + arrival_slack
                until = max(until, now + call + _longest_key_lease())
            if until > now:
                result.append((*instance, until - now))
        return result

    def record_grant(self, server_id: str, ended_at: float) -> None:
        """Extend the lease for a grant whose call has ended.

        Parameters
        ----------
        server_id : str
            Server to which it was sent.
        ended_at : float
            Clock at the end of the call, seconds.
        """
        until = ended_at + ARRIVAL_SLACK_SECONDS + _longest_key_lease()
        self._extend(server_id, until)

    def record_delayed_grant(self, server_id: str, ended_at: float) -> None:
        """Extend the lease for a grant that may wait in this host's queue.

        Parameters
        ----------
        server_id : str
            Server to which it was sent.
        ended_at : float
            Clock at the end of the call, seconds.
        """
        until = ended_at + SLOW_ARRIVAL_SLACK_SECONDS + _longest_key_lease()
        self._delayed_until_by_server[server_id] = until
        self._extend(server_id, until)

    def assume_held(self, server_id: str, until: float) -> None:
        """Assume that a server may hold keys until a time, seconds."""
        self._extend(server_id, until)

    def until(self, server_id: str) -> float:
        """Return the time from which a server certainly holds no keys."""
        return max(self.granted_until(server_id), self._unlisted_until)

    def granted_until(self, server_id: str) -> float:
        """Return until when the known grants of a server may last, seconds."""
        return self._until_by_server.get(server_id, -math.inf)

    def delayed_until(self, server_id: str) -> float:
        """Return until when grants that were delayed may last, seconds."""
        return self._delayed_until_by_server.get(server_id, -math.inf)

    def unlisted_remaining(self, now: float) -> float:
        """Return for how long unlisted instances may hold keys, seconds."""
        return max(0.0, self._unlisted_until - now)

    def retain(self, server_ids: set[str]) -> None:
        """Drop all servers but those given."""
        for until_by_server in (
            self._until_by_server,
            self._delayed_until_by_server,
        ):
            for server_id in until_by_server.keys() - server_ids:
                del until_by_server[server_id]

    def _extend(self, server_id: str, until: float) -> None:
        known = self.granted_until(server_id)
        self._until_by_server[server_id] = max(known, until)


class LeaderLease:
    """Lease of this host on the leadership, confirmed by the store.

    Times come from a clock that keeps running while the machine is
    suspended.

    Parameters
    ----------
    is_withheld : callable, optional
        Returns whether the store lacks what this host has stored, so that
        new tokens and releases may not be sent.
    """

    def __init__(
        self, is_withheld: typing.Callable[[], bool] = lambda: False
    ) -> None:
        self._confirmed_at = -math.inf
        self.is_withheld = is_withheld

    def confirm(self, sent: float) -> None:
        """Extend the lease by a confirmation that was requested at `sent`."""
        self._confirmed_at = max(self._confirmed_at, sent)

    def end(self) -> None:
        """Give up the lease."""
        self._confirmed_at = -math.inf

    def is_valid(self, now: float) -> bool:
        """Return whether grants may be sent."""
        return now < self._confirmed_at + LEADER_LEASE_SECONDS

    def is_sure(self, now: float) -> bool:
        """Return whether no other host can lead yet."""
        if self.is_withheld():
            return False
        return self.confirmation_age(now) < SURE_LEADERSHIP_SECONDS

    def confirmation_age(self, now: float) -> float:
        """Return the age of the last confirmation, seconds."""
        return now - self._confirmed_at


class FencingTokens:
    """Generator of fencing tokens that increase across epochs."""

    EPOCH_SHIFT = 24
    """Bits of a token that count within an epoch."""

    def __init__(self, epoch: int) -> None:
        self._next = (epoch << self.EPOCH_SHIFT) + 1

    @classmethod
    def epoch_of(cls, fence: int) -> int:
        """Return the epoch of the leader that issued a token."""
        return fence >> cls.EPOCH_SHIFT

    def next(self) -> int:
        """Return a token that is higher than all earlier ones."""
        fence = self._next
        self._next += 1
        return fence

    def renew_all(self, key_map: ranges.RangeMap) -> ranges.RangeMap:
        """Return a map with new fencing tokens for all owners.

        Which incarnations have taken the tokens of an earlier leader is not
        known to this one. The new tokens need not be stored, as a successor
        replaces them too.
        """
        return ranges.RangeMap(
            [
                self.renew(one) if one.owner != ranges.UNOWNED else one
                for one in key_map.ranges
            ]
        )

    def renew(self, key_range: ranges.KeyRange) -> ranges.KeyRange:
        """Return a range with a new fencing token for its owner."""
        owner = key_range.owner._replace(fence=self.next())
        return key_range._replace(owner=owner)


def instance_of(owner: ranges.Owner) -> Instance:
    """Return the server instance of an owner."""
    return owner.server_id, owner.incarnation


def renewed_until(now: float, renewal_seconds: float) -> float:
    """Return until when grants of another leader may last, seconds.

    Parameters
    ----------
    now : float
        Clock, seconds.
    renewal_seconds : float
        For how much longer that leader may renew them, seconds.
    """
    return now + renewal_seconds + ARRIVAL_SLACK_SECONDS + _longest_key_lease()


def _longest_key_lease() -> float:
    return KEY_LEASE_SECONDS * (1.0 + MAX_CLOCK_ERROR)
