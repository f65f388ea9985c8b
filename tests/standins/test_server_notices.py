"""Tests of the checks that hosts heed what servers say of themselves."""

from __future__ import annotations

import pytest

from standins import server_notices

DRAIN = 2.0


def _arrivals(
    interval: float, until: float, host: str = "host-0", **answer: object
) -> list[server_notices.Arrival]:
    """Return requests at a constant rate, each answered after 10 ms."""
    times = [number * interval for number in range(int(until / interval))]
    return [
        server_notices.Arrival(
            "s1",
            host,
            at,
            at,
            at + 0.01,
            **answer,  # type: ignore[arg-type]
        )
        for at in times
    ]


@pytest.mark.parametrize(
    ("interval", "is_violated"), [(0.5, False), (0.25, True)]
)
def test_requests_beyond_a_named_limit_are_a_violation(
    interval: float, is_violated: bool
) -> None:
    """A limit of one request per second allows 11 in 4 s."""
    arrivals = _arrivals(interval, 12.0, rate_limit=1.0)
    found = server_notices.violations(arrivals, [], DRAIN)
    assert bool(found) == is_violated


def test_limit_counts_requests_of_all_hosts() -> None:
    arrivals = [
        *_arrivals(0.5, 12.0, "host-0", rate_limit=1.0),
        *_arrivals(0.5, 12.0, "host-1", rate_limit=1.0),
    ]
    arrivals.sort(key=lambda one: one.arrived_at)
    assert server_notices.violations(arrivals, [], DRAIN)
    restart = server_notices.Disruption("host-1", 1.0, 12.0)
    assert not server_notices.violations(arrivals, [restart], DRAIN)


@pytest.mark.parametrize(("pause", "is_violated"), [(0.9, False), (3.0, True)])
def test_requests_during_a_pause_are_a_violation(
    pause: float, is_violated: bool
) -> None:
    asked = _arrivals(0.2, 0.2, pause=pause)
    later = [
        one._replace(arrived_at=one.arrived_at + 0.2)
        for one in _arrivals(0.2, 2.0)
    ]
    found = server_notices.violations(asked + later, [], DRAIN)
    assert bool(found) == is_violated


@pytest.mark.parametrize(("until", "is_violated"), [(2.0, False), (3.0, True)])
def test_requests_long_after_a_departure_are_a_violation(
    until: float, is_violated: bool
) -> None:
    arrivals = _arrivals(0.1, until, is_leaving=True)
    found = server_notices.violations(arrivals, [], DRAIN)
    assert bool(found) == is_violated
    freeze = server_notices.Disruption("host-0", 0.5, 1.0)
    assert not server_notices.violations(arrivals, [freeze], DRAIN)


@pytest.mark.parametrize(("until", "is_violated"), [(2.0, False), (3.0, True)])
def test_requests_long_after_a_removal_are_a_violation(
    until: float, is_violated: bool
) -> None:
    arrivals = _arrivals(0.1, until)
    found = server_notices.violations(arrivals, [], DRAIN, {"s1": 0.0})
    assert bool(found) == is_violated
    refusal = server_notices.Disruption("host-0", 1.0, 4.0)
    assert not server_notices.violations(
        arrivals, [refusal], DRAIN, {"s1": 0.0}
    )
