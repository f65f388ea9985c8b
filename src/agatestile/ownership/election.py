"""Candidates, voters and campaigns for a failure domain's leadership."""

from __future__ import annotations

import math
import typing

import xxhash

from agatestile.ownership import grants
from agatestile.ownership import leases
from agatestile.ownership import terms
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import records

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.ownership import ports
    from agatestile.state import cluster
    from agatestile.state import table

VOTERS_NEEDING_WITNESS = 2
"""Number of fence-checking servers at which a domain needs a witness."""


def candidates(
    domain: str, hosts: collections.abc.Iterable[ports.Host]
) -> list[str]:
    """Return the hosts in the order in which they become candidates.

    The domain's own hosts come first, by name, then the others in
    rendezvous hashing order.
    """
    ordered = sorted(
        hosts,
        key=lambda host: (
            (0, 0, host.name)
            if host.domain == domain
            else (1, *_rank(domain, host.name))
        ),
    )
    return [host.name for host in ordered]


def voters(table: table.Table, domain: str) -> list[records.TableRow]:
    """Return a domain's servers and, if it needs one, its witness.

    With two fence-checking servers the loss of one leaves no majority, so
    a fence-checking server of another domain has a third vote.
    """
    rows = [
        row for row in table.servers_by_name.values() if row.domain == domain
    ]
    if sum(row.fenced for row in rows) != VOTERS_NEEDING_WITNESS:
        return rows
    witness = min(
        (
            row
            for row in table.servers_by_name.values()
            if row.fenced and row.domain != domain
        ),
        key=lambda row: _rank(domain, row.server),
        default=None,
    )
    return rows if witness is None else [*rows, witness]


def _rank(domain: str, name: str) -> tuple[int, str]:
    """Return a name's sort key in the rendezvous order of a domain."""
    return xxhash.xxh64_intdigest(f"{domain}/{name}".encode()), name


class Campaign:
    """One attempt of a host to become the leader of a domain.

    Parameters
    ----------
    votes : leases.Votes
        Leases of the domain's servers, without any replies yet.
    state : cluster.ClusterState
        This host's copy of the state.
    began : float
        When the first grants are sent, seconds.
    """

    def __init__(
        self,
        votes: leases.Votes,
        state: cluster.ClusterState,
        began: float,
    ) -> None:
        self.votes = votes
        self._state = state
        self._answers_since = began
        self._is_voting = False

    def next_grant(
        self, server: str, now: float
    ) -> tuple[grants.GrantRequest, leases.Exchange]:
        """Return the next grant for a server."""
        lease = self.votes.by_server[server]
        term = self.votes.term
        if self._is_voting:
            return lease.prepare(self.votes.domain, term, now)
        return lease.ask(self.votes.domain, term, now)

    def receive(
        self,
        server: str,
        exchange: leases.Exchange,
        reply: grants.GrantReply,
        now: float,
    ) -> None:
        """Apply a server's reply to a grant."""
        lease = self.votes.by_server.get(server)
        if lease is None:
            return
        lease.receive(exchange, reply, now)
        self.votes.note_reply(reply)

    def reset_answers(self, now: float) -> None:
        """Count only replies that arrive from now on."""
        self._answers_since = now

    def has_answers(self) -> bool:
        """Return whether a majority replied."""
        answers = self.votes.answers(self._answers_since)
        return len(answers) >= self.votes.majority

    def remaining_lease(self) -> float | outcomes.Refusal:
        """Return when a majority will be free of other leaders' leases.

        Returns
        -------
        float or outcomes.Refusal
            Seconds to wait, or ``NO_MAJORITY`` if too few servers replied.
        """
        answers = self.votes.answers(self._answers_since)
        if len(answers) < self.votes.majority:
            return outcomes.Refusal(
                codes.ResultCode.NO_MAJORITY,
                f"{len(answers)} servers replied, "
                f"{self.votes.majority} are needed",
            )
        remaining = sorted(
            0.0
            if reply.term is None or reply.term.instance == self.votes.instance
            else reply.leader_remaining_ms / 1000
            for reply in answers
        )
        return remaining[self.votes.majority - 1]

    def current_leader(self) -> str:
        """Return the host with the highest term in force, empty for none."""
        held = [
            reply.term
            for reply in self.votes.answers(self._answers_since)
            if reply.term is not None and reply.leader_remaining_ms > 0
        ]
        return terms.host_of(max(held).instance) if held else ""

    def start_voting(self, known: records.Term = terms.NO_TERM) -> None:
        """Choose a term above all known ones and ask for votes from now on.

        Known are those of the servers' replies, the log and the hosts.

        Parameters
        ----------
        known : records.Term
            Highest term that a host is known to have received.
        """
        domain = self._state.domain(self.votes.domain)
        seen = [
            reply.term
            for reply in self.votes.answers(-math.inf)
            if reply.term is not None
        ]
        seen.append(records.Term(domain.lead_offset, 0, ""))
        seen.append(known)
        if domain.term is not None:
            seen.append(domain.term)
        self.votes.term = terms.next_term(seen, self.votes.instance)
        self.votes.highest_epoch = max(
            self.votes.highest_epoch, self.votes.term.epoch
        )
        self._is_voting = True
