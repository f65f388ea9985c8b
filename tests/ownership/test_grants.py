"""Grants as servers accept them and as the leader counts them."""

from __future__ import annotations

from agatestile.ownership import grants
from agatestile.ownership import leases
from agatestile.ownership import terms
from agatestile.state import records

TIMING = terms.Timing(serve_lease=1.6)
ONE = records.Term(3, 1, "h1#a")
TWO = records.Term(3, 2, "h2#b")


def request(
    term: records.Term, stamp: float | None, fence: int | None = None
) -> grants.GrantRequest:
    text = None if fence is None else records.Fence(term, fence).to_text()
    return grants.GrantRequest(
        "radom", term, 1000, stamp, text, "h1", 1600 if text else 0
    )


def test_server_that_was_frozen_gains_nothing_from_a_buffered_renewal() -> (
    None
):
    """Guards against a server that extends its lease when it thaws.

    It handles a buffered grant after both leases expired.
    """
    book = grants.GrantBook("i1", 0.0)
    assert book.handle(request(ONE, 10.0, 1), 10.0).accepted
    late = book.handle(request(ONE, 10.2, 1), 14.0)
    assert not late.accepted
    assert not book.accepts(records.Fence(ONE, 1).to_text(), 14.0)
    assert late.leader_remaining_ms == 0


def test_buffered_renewal_ends_at_its_stamp_plus_the_lease() -> None:
    """Guards against a lease counted from when the grant is handled."""
    book = grants.GrantBook("i1", 0.0)
    book.handle(request(ONE, 10.0, 1), 10.0)
    assert book.handle(request(ONE, 10.2, 1), 11.0).accepted
    fence = records.Fence(ONE, 1).to_text()
    assert book.accepts(fence, 11.79)
    assert not book.accepts(fence, 11.81)


def test_server_with_a_new_incarnation_does_not_vote_at_once() -> None:
    """Guards against two majorities after a restart of a server.

    It forgot its vote and must not vote again before that expired.
    """
    book = grants.GrantBook("i2", 100.0)
    assert not book.handle(request(TWO, 100.1), 100.2).accepted
    assert not book.handle(request(TWO, 100.9), 100.99).accepted
    assert book.handle(request(TWO, 100.9), 101.01).accepted


def test_stamp_of_an_earlier_incarnation_is_refused() -> None:
    """Guards against a lease that only an earlier incarnation gave."""
    book = grants.GrantBook("i2", 100.0)
    assert not book.handle(request(ONE, 99.9), 101.5).accepted
    assert not book.handle(request(ONE, 102.0), 101.5).accepted


def test_second_leader_waits_for_the_lease_of_the_first() -> None:
    """Guards against two leaders at once.

    A server must not vote again before the lease it gave has expired.
    """
    book = grants.GrantBook("i1", 0.0)
    assert book.handle(request(ONE, 10.0), 10.0).accepted
    assert not book.handle(request(TWO, 10.9), 10.9).accepted
    assert book.handle(request(TWO, 10.9), 11.0).accepted
    assert not book.handle(request(ONE, 11.5), 11.5).accepted


def test_higher_fence_ends_the_lower_one_at_once() -> None:
    """Guards against a server that accepts requests of two gates."""
    book = grants.GrantBook("i1", 0.0)
    book.handle(request(ONE, 10.0, 1), 10.0)
    book.handle(request(ONE, 10.1, 2), 10.1)
    assert not book.accepts(records.Fence(ONE, 1).to_text(), 10.2)
    assert book.accepts(records.Fence(ONE, 2).to_text(), 10.2)
    assert not book.handle(request(ONE, 10.2, 1), 10.2).accepted


def test_leader_counts_its_lease_from_before_the_stamp_was_made() -> None:
    """Guards against a leader that relies on an expired lease.

    The reply that contains the stamp was delayed.
    """
    votes = leases.Votes("radom", ONE.instance, TIMING)
    votes.set_servers([records.TableRow("server", "price", "p1", "radom")])
    votes.term = ONE
    lease = votes.by_server["p1"]
    book = grants.GrantBook("i1", -5.0)
    sent, exchange = lease.prepare("radom", ONE, 1.0)
    lease.receive(exchange, book.handle(sent, 1.1), 1.9)
    assert not votes.is_held(1.9)
    sent, exchange = lease.prepare("radom", ONE, 1.9)
    lease.receive(exchange, book.handle(sent, 1.95), 2.0)
    assert book.accepts("", 0) is False
    assert votes.held_until() == 1.0 + TIMING.leader_hold
    assert not votes.is_held(2.0)


def test_serve_lease_counts_as_lapsed_only_after_every_grant_sent() -> None:
    """Guards against failover while an unanswered grant is in force."""
    lease = leases.ServerLease(TIMING)
    book = grants.GrantBook("i1", -5.0)
    sent, exchange = lease.ask("radom", ONE, 1.0)
    lease.receive(exchange, book.handle(sent, 1.0), 1.2)
    fence = records.Fence(ONE, 1).to_text()
    lost, _ = lease.prepare("radom", ONE, 1.5, fence, "h1")
    book.handle(lost, 1.5)
    assert book.accepts(fence, 2.5)
    assert not lease.is_lapsed(2.6)
    assert lease.is_lapsed(1.2 + TIMING.serve_wait)
    assert not book.accepts(fence, 1.2 + TIMING.serve_wait)
