"""Tests of leases and fencing tokens."""

from __future__ import annotations

import math

from agatestile.assignment import leases

LONGEST_KEY_LEASE = leases.KEY_LEASE_SECONDS * 1.02


def test_key_lease_counts_from_the_end_of_the_grant() -> None:
    """Guards against a lease that ends early: the grant may arrive late."""
    key_leases = leases.KeyLeases()
    key_leases.record_grant("a", 10.0)
    assert key_leases.until("a") >= 10.0 + LONGEST_KEY_LEASE
    assert key_leases.until("b") == -math.inf


def test_unknown_predecessor_may_have_renewed_until_its_lease_ended() -> None:
    """Guards against two owners while an earlier leader may send grants."""
    key_leases = leases.KeyLeases()
    unknown = leases.Predecessor(None, leases.LEADER_LEASE_SECONDS, False)
    key_leases.take_over(10.0, unknown)
    assert (
        key_leases.until("a")
        >= 10.0 + leases.LEADER_LEASE_SECONDS + LONGEST_KEY_LEASE
    )


def test_resigned_predecessor_passes_on_remaining_leases() -> None:
    """Guards against leases that are lost when the leader resigns."""
    first = leases.KeyLeases()
    first.record_grant("a", 10.0)
    remaining = first.remaining({("a", 1), ("b", 1), ("c", 1)}, {"b"}, 11.0)
    second = leases.KeyLeases()
    second.take_over(50.0, leases.Predecessor(remaining, 0.0, True))
    assert (
        50.0 + LONGEST_KEY_LEASE - 1.1
        < second.until("a")
        < 50.0 + LONGEST_KEY_LEASE
    )
    # An order to b is in progress and may still arrive.
    assert second.until("b") > 50.0 + LONGEST_KEY_LEASE
    assert second.until("c") == -math.inf


def test_leader_lease_ends_without_confirmations() -> None:
    """Guards against a leader that continues without the store."""
    leader_lease = leases.LeaderLease()
    assert not leader_lease.is_valid(0.0)
    leader_lease.confirm(5.0)
    assert leader_lease.is_valid(5.0 + leases.LEADER_LEASE_SECONDS - 0.1)
    assert not leader_lease.is_valid(5.0 + leases.LEADER_LEASE_SECONDS)


def test_fencing_tokens_of_a_later_epoch_are_higher() -> None:
    """Guards against servers that reject grants of a new leader as stale."""
    first = leases.FencingTokens(1)
    last = max(first.next() for _ in range(1000))
    assert leases.FencingTokens(2).next() > last
