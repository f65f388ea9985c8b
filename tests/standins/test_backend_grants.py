"""Tests of the lease rules of the stand-in backend server."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest

from agatestile.ownership import grants as product_grants
from standins import backend_grants


def _make_request(
    stamp: float | None,
    step: int = 1,
    instance: str = "a",
    sequence: int = 1,
    domain: str = "radom",
) -> backend_grants.Request:
    return {
        "domain": domain,
        "term": [3, step, instance],
        "leader_ms": 1000,
        "stamp": stamp,
        "fence": f"3.{step}.{sequence}.{instance}",
        "gate": "entry-1",
        "serve_ms": 1600,
    }


@pytest.fixture
def grants() -> backend_grants.Grants:
    """Return grants of a server that started at 10 s."""
    return backend_grants.Grants(10.0)


def test_new_incarnation_does_not_vote_for_one_lease(
    grants: backend_grants.Grants,
) -> None:
    """Guards against a second majority after a server restarted.

    A restarted server has forgotten the leader that it voted for.
    """
    assert grants.apply(_make_request(10.4), 10.5)
    assert not grants.apply(_make_request(10.9), 11.0)


def test_stamp_bounds_both_leases(grants: backend_grants.Grants) -> None:
    """Guards against a delayed grant that extends a lease.

    Leases run from the echoed timestamp, not from the grant's arrival.
    """
    assert not grants.apply(_make_request(20.0), 20.9)
    assert grants.accepts("3.1.1.a", 21.59)
    assert not grants.accepts("3.1.1.a", 21.61)
    assert grants.apply(_make_request(20.0), 21.5)
    assert grants.apply(_make_request(9.0), 21.5)
    assert grants.apply(_make_request(22.0), 21.5)


def test_other_leader_waits_for_the_end_of_the_lease(
    grants: backend_grants.Grants,
) -> None:
    """Guards against two leaders of one failure domain."""
    assert not grants.apply(_make_request(20.0), 20.1)
    rival = _make_request(20.2, step=2, instance="b")
    assert grants.apply(rival, 20.3)
    assert not grants.apply(_make_request(20.9, 2, "b"), 21.05)
    assert grants.apply(_make_request(21.5), 21.6) == "term is lower"


def test_witness_votes_in_each_domain(grants: backend_grants.Grants) -> None:
    """Guards against a vote in one domain that blocks another's leader.

    A witness keeps a term and a leader lease for each domain.
    """
    assert not grants.apply(_make_request(20.0), 20.1)
    rival = _make_request(20.2, instance="b", domain="warszawa-a")
    rival["fence"] = None
    assert not grants.apply(rival, 20.3)
    assert grants.reply("radom", "", 20.4, "i", 0)["term"] == [3, 1, "a"]
    assert grants.reply("warszawa-a", "", 20.4, "i", 0)["term"] == [3, 1, "b"]
    assert grants.accepts("3.1.1.a", 20.4)


def test_higher_fence_replaces_the_lower_one(
    grants: backend_grants.Grants,
) -> None:
    """Guards against a server that accepts two gates at once."""
    grants.apply(_make_request(20.0, sequence=9), 20.1)
    assert not grants.apply(_make_request(20.2, sequence=10), 20.3)
    assert not grants.accepts("3.1.9.a", 20.4)
    assert grants.accepts("3.1.10.a", 20.4)
    assert (
        grants.apply(_make_request(20.4, sequence=9), 20.5) == "fence is lower"
    )


@given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 1.5),
            strategies.floats(-0.1, 2.5),
            strategies.integers(1, 3),
            strategies.sampled_from("ab"),
            strategies.integers(1, 3),
            strategies.sampled_from(["radom", "warszawa-a"]),
        ),
        max_size=25,
    )
)
def test_product_applies_the_same_rules(
    offers: list[tuple[float, float, int, str, int, str]],
) -> None:
    """Guards against product and stand-in that read the rules differently.

    The rules are in section 5.1 of docs/design.md.
    """
    standin = backend_grants.Grants(10.0)
    product = product_grants.GrantBook("i", 10.0)
    now = 10.0
    for elapsed, age, step, instance, sequence, domain in offers:
        now += elapsed
        request = _make_request(now - age, step, instance, sequence, domain)
        reason = standin.apply(request, now)
        reply = product.handle(
            msgspec.convert(request, product_grants.GrantRequest), now
        )
        assert reply.reason == reason
        expected = standin.reply(domain, reason, now, "i", 0)
        assert expected["leader_remaining_ms"] == pytest.approx(
            reply.leader_remaining_ms, abs=0.01
        )
        assert expected["serve_remaining_ms"] == pytest.approx(
            reply.serve_remaining_ms, abs=0.01
        )
        assert expected["fence"] == reply.fence
