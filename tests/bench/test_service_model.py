"""Tests of the comparison of choice policies."""

from __future__ import annotations

from bench import service_model


def test_expected_time_has_most_responses_in_time() -> None:
    """Guards against a choice that overloads slow servers.

    Arrivals come in bursts, servers differ in speed and noisy neighbours
    slow them for moments.
    """
    shape = service_model.Shape(seconds=8.0)
    outcomes = service_model.compare(shape, range(2))
    expected_time = outcomes.pop("expected time")
    for other in outcomes.values():
        assert expected_time.in_time > other.in_time
