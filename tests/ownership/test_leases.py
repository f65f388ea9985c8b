"""Leases that a leader holds from servers or through the log."""

from __future__ import annotations

from agatestile.ownership import grants
from agatestile.ownership import leases
from agatestile.state import records
from tests.ownership import support

MINE = records.Term(1, 5, "h1#a")


def test_lease_through_the_log_needs_a_recent_read() -> None:
    """Guards against a leader that acts while it is cut off from the log."""
    known = support.state()
    read = 100.0
    votes = leases.LogVotes(
        support.DOMAIN, MINE.instance, support.TIMING, known, lambda: read
    )
    votes.term = votes.first_term = MINE
    assert not votes.is_held(100.0)
    support.append(known, records.Lead("l", support.DOMAIN, MINE))
    assert votes.is_held(101.5)
    assert not votes.is_held(101.7)


def test_lease_through_the_log_ends_with_the_next_registration() -> None:
    """Guards against a leader that acts after it read its successor's Lead."""
    known = support.state()
    votes = leases.LogVotes(
        support.DOMAIN, MINE.instance, support.TIMING, known, lambda: 100.0
    )
    votes.term = votes.first_term = MINE
    support.append(known, records.Lead("l", support.DOMAIN, MINE))
    other = records.Term(1, 6, "h2#b")
    support.append(known, records.Lead("m", support.DOMAIN, other))
    assert not votes.is_held(100.1)


def test_server_that_restarted_no_longer_counts_as_a_vote() -> None:
    """Guards against a majority with the vote of a restarted server."""
    votes = leases.Votes(support.DOMAIN, MINE.instance, support.TIMING)
    votes.set_servers(support.table()[1:2])
    lease = votes.by_server["p1"]
    book = grants.GrantBook("p1#1", 0.0)
    for now in (100.0, 100.1):
        sent, exchange = lease.prepare(support.DOMAIN, MINE, now)
        lease.receive(exchange, book.handle(sent, now), now)
    assert votes.is_held(100.2)
    again = grants.GrantBook("p1#2", 100.15)
    sent, exchange = lease.prepare(support.DOMAIN, MINE, 100.2)
    lease.receive(exchange, again.handle(sent, 100.2), 100.2)
    assert not votes.is_held(100.2)
