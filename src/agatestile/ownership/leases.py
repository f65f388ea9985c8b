"""Leases that servers gave to a candidate or leader."""

from __future__ import annotations

import math
import typing

from agatestile.ownership import grants
from agatestile.ownership import terms

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.state import cluster
    from agatestile.state import records


class Exchange(typing.NamedTuple):
    """What a leader keeps about a grant until its reply arrives.

    Attributes
    ----------
    sent_at : float
        When the grant was sent, on the leader's clock, seconds.
    stamp_from : float
        When the grant whose reply returned the echoed stamp was sent,
        seconds.
    term : records.Term
        The term that the grant carries.
    incarnation : str
        Incarnation of the server that created the echoed stamp.
    """

    sent_at: float
    stamp_from: float
    term: records.Term
    incarnation: str


class ServerLease:
    """The leases of one server, as its leader knows them.

    Attributes
    ----------
    reply : grants.GrantReply or None
        The last reply.
    replied_at : float
        When the last reply arrived, seconds.
    asked_at : float
        When the grant that the last reply answers was sent, seconds.
    held_until : float
        Until when the leader may rely on this server's vote, seconds.
    accepted : records.Term
        Highest of this leader's terms that the server accepted.
    lapse_at : float
        When the serve lease has certainly expired, seconds.
    """

    def __init__(self, timing: terms.Timing) -> None:
        self._timing = timing
        self._stamp: float | None = None
        self.asked_at = -math.inf
        self._stamp_at = -math.inf
        self.reply: grants.GrantReply | None = None
        self.replied_at = -math.inf
        self.held_until = -math.inf
        self.accepted = terms.NO_TERM
        self.lapse_at = -math.inf

    def ask(
        self, domain: str, term: records.Term, now: float
    ) -> tuple[grants.GrantRequest, Exchange]:
        """Return a grant without a stamp, which gives no lease.

        The reply contains the stamp that the next grant echoes.
        """
        request = grants.GrantRequest(
            domain, term, self._timing.leader_lease * 1000
        )
        return request, Exchange(now, -math.inf, term, "")

    def prepare(
        self,
        domain: str,
        term: records.Term,
        now: float,
        fence: str | None = None,
        gate: str | None = None,
    ) -> tuple[grants.GrantRequest, Exchange]:
        """Return the next grant and the data to keep until its reply."""
        if self._stamp is None or self.reply is None:
            return self.ask(domain, term, now)
        if fence:
            lapse = self._stamp_at + self._timing.serve_wait
            self.lapse_at = max(self.lapse_at, lapse)
        request = grants.GrantRequest(
            domain,
            term,
            self._timing.leader_lease * 1000,
            self._stamp,
            fence,
            gate,
            self._timing.serve_lease * 1000 if fence else 0,
        )
        return request, Exchange(
            now, self.asked_at, term, self.reply.incarnation
        )

    def receive(
        self, exchange: Exchange, reply: grants.GrantReply, now: float
    ) -> None:
        """Apply the reply to a grant.

        The lease is counted from when the exchange that returned the
        stamp was sent, which is before the server created the stamp.
        """
        if self.reply and reply.incarnation != self.reply.incarnation:
            self.held_until = -math.inf
            self.accepted = terms.NO_TERM
        if reply.accepted and reply.incarnation == exchange.incarnation:
            self.held_until = max(
                self.held_until,
                exchange.stamp_from + self._timing.leader_hold,
            )
            self.accepted = max(self.accepted, exchange.term)
        self.reply, self.replied_at = reply, now
        self._stamp, self.asked_at = reply.stamp, exchange.sent_at
        self._stamp_at = now

    def is_fresh(self, now: float) -> bool:
        """Return whether the server replied within `Timing.silence`."""
        return now - self.replied_at < self._timing.silence

    def is_lapsed(self, now: float) -> bool:
        """Return whether the server's serve lease has certainly expired."""
        return now >= self.lapse_at


class Votes:
    """Leases of a domain's servers, as a candidate or leader sees them.

    Attributes
    ----------
    term : records.Term
        Term that the grants carry.
    by_server : dict of str to ServerLease
        All servers of the domain, and its witness if it has one.
    highest_epoch : int
        Highest epoch seen in any term of the domain.
    """

    def __init__(
        self, domain: str, instance: str, timing: terms.Timing
    ) -> None:
        self.domain = domain
        self.instance = instance
        self.timing = timing
        self.term = terms.NO_TERM
        self.by_server: dict[str, ServerLease] = {}
        self.highest_epoch = 0
        self._voters: frozenset[str] = frozenset()

    def set_servers(
        self, rows: collections.abc.Iterable[records.TableRow]
    ) -> None:
        """Replace the domain's servers and its witness."""
        rows = tuple(rows)
        self._voters = frozenset(row.server for row in rows if row.fenced)
        names = {row.server for row in rows}
        for name in names - set(self.by_server):
            self.by_server[name] = ServerLease(self.timing)
        for name in set(self.by_server) - names:
            del self.by_server[name]

    @property
    def majority(self) -> int:
        """Number of voters that form a majority."""
        return len(self._voters) // 2 + 1

    def held_until(self) -> float:
        """Return until when the leases of a majority hold, seconds."""
        ends = sorted(
            (self.by_server[name].held_until for name in self._voters),
            reverse=True,
        )
        if len(ends) < self.majority:
            return -math.inf
        return ends[self.majority - 1]

    def is_held(self, now: float) -> bool:
        """Return whether the leases of a majority hold now."""
        return now < self.held_until()

    def is_confirmed(self, now: float) -> bool:
        """Return whether a majority accepted the current term."""
        count = sum(
            self.by_server[name].accepted >= self.term
            and now < self.by_server[name].held_until
            for name in self._voters
        )
        return count >= self.majority

    def raise_epoch(self, offset: int) -> None:
        """Use the offset of this leader's Lead record as the epoch."""
        self.term = self.term._replace(epoch=offset)
        self.highest_epoch = max(self.highest_epoch, offset)

    def note_reply(self, reply: grants.GrantReply) -> None:
        """Record the epoch of the term that a server reports."""
        if reply.term is not None:
            self.highest_epoch = max(self.highest_epoch, reply.term.epoch)

    def answers(self, since: float) -> list[grants.GrantReply]:
        """Return the voters' replies that arrived at or after a time."""
        leases = (self.by_server[name] for name in self._voters)
        return [
            lease.reply
            for lease in leases
            if lease.reply is not None and lease.replied_at >= since
        ]


class LogVotes(Votes):
    """Lease of a domain in which no server checks fences.

    The leader that the log shows as registered holds it while its last
    read of the log is younger than `Timing.log_lease`.

    Parameters
    ----------
    state : cluster.ClusterState
        This host's copy of the state.
    last_read : callable
        Returns when the last successful read of the log began, seconds.
    """

    def __init__(
        self,
        domain: str,
        instance: str,
        timing: terms.Timing,
        state: cluster.ClusterState,
        last_read: collections.abc.Callable[[], float],
    ) -> None:
        super().__init__(domain, instance, timing)
        self._state = state
        self._last_read = last_read
        self.first_term = terms.NO_TERM

    def held_until(self) -> float:
        """Return until when the lease holds, seconds."""
        registered = self._state.domain(self.domain).term
        if (
            registered is None
            or registered.instance != self.instance
            or registered < self.first_term
        ):
            return -math.inf
        return self._last_read() + self.timing.log_lease

    def is_confirmed(self, now: float) -> bool:
        """Return whether the next leader will certainly know the term."""
        return self.is_held(now)
