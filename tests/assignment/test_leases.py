"""How long servers may hold keys."""

from __future__ import annotations

import math

from agatestile.assignment import leases

LONGEST = leases.KEY_LEASE_SECONDS * 1.02


def test_grant_counts_from_the_end_of_its_call() -> None:
    holds = leases.KeyLeases()
    holds.record_grant(("a", 1), 10.0)
    assert holds.until(("a", 1)) >= 10.0 + LONGEST
    assert holds.until(("a", 2)) == -math.inf


def test_unknown_predecessor_may_have_renewed_until_its_tenure_ended() -> None:
    holds = leases.KeyLeases()
    unknown = leases.Predecessor(None, leases.LEADER_LEASE_SECONDS)
    holds.take_over(10.0, unknown)
    assert (
        holds.until(("a", 1)) >= 10.0 + leases.LEADER_LEASE_SECONDS + LONGEST
    )


def test_resigned_predecessor_tells_what_is_left() -> None:
    first = leases.KeyLeases()
    first.record_grant(("a", 1), 10.0)
    told = first.remaining({("a", 1), ("b", 1), ("c", 1)}, {("b", 1)}, 11.0)
    second = leases.KeyLeases()
    second.take_over(50.0, leases.Predecessor(told, 0.0))
    assert 50.0 + LONGEST - 1.1 < second.until(("a", 1)) < 50.0 + LONGEST
    # An order to b is under way and may still arrive.
    assert second.until(("b", 1)) > 50.0 + LONGEST
    assert second.until(("c", 1)) == -math.inf


def test_tenure_ends_without_confirmations() -> None:
    leader_lease = leases.LeaderLease()
    assert not leader_lease.is_valid(0.0)
    leader_lease.confirm(5.0)
    assert leader_lease.is_valid(5.0 + leases.LEADER_LEASE_SECONDS - 0.1)
    assert not leader_lease.is_valid(5.0 + leases.LEADER_LEASE_SECONDS)


def test_fences_of_a_later_epoch_are_higher() -> None:
    first = leases.FencingTokens(1)
    last = max(first.next() for _ in range(1000))
    assert leases.FencingTokens(2).next() > last
