"""What a host knows of a server's load."""

from __future__ import annotations

from agatestile.balancing import load


def test_report_counts_requests_of_other_hosts() -> None:
    known = load.ServerLoad(2, 0.1)
    known.on_report(0.0, load.LoadReport(2, 4, 2, 1.0))
    assert known.expected_wait(0.0) > 0.2
    # An old report says little of the present load.
    assert known.expected_wait(3.0) == 0.0


def test_momentary_slowness_lengthens_the_expectation() -> None:
    """Pattern: noisy neighbours."""
    known = load.ServerLoad(2, 0.1)
    known.on_report(0.0, load.LoadReport(0, 0, 2, 3.0))
    assert abs(known.expected_time(0.1) - 0.3) < 1e-9
    assert abs(known.expected_time(2.0) - 0.1) < 1e-9


def test_speed_is_learnt_without_the_wait() -> None:
    """Pattern: servers of different speed."""
    known = load.ServerLoad(2, 0.1)
    for _ in range(40):
        known.on_response(0.0, 0.5, 0.3, load.LoadReport(1, 0, 2, 1.0))
    assert abs(known.service_time - 0.2) < 0.01


def test_server_that_stops_to_answer_counts_as_silent() -> None:
    """Pattern: silent loss."""
    known = load.ServerLoad(2, 0.1)
    known.on_sent(0.0)
    assert not known.is_unresponsive(0.3)
    assert known.is_unresponsive(1.0)
    known.on_done()
    assert not known.is_unresponsive(1.0)


def test_pause_grows_and_ends_with_an_answer() -> None:
    known = load.ServerLoad(2, 0.1)
    known.on_unreachable(0.0)
    assert known.is_suspended(0.4)
    assert not known.is_suspended(0.6)
    known.on_unreachable(1.0)
    assert known.is_suspended(1.9)
    known.on_response(1.5, 0.1, 0.0, None)
    assert not known.is_suspended(1.6)


def test_samples_are_taken_once() -> None:
    known = load.ServerLoad(2, 0.1)
    assert known.take_samples() is None
    known.on_response(0.0, 0.2, 0.0, None)
    known.on_response(0.0, 0.4, 0.0, None)
    known.on_failure()
    taken = known.take_samples()
    assert taken is not None
    assert (taken.answered, taken.failed) == (2, 1)
    assert abs(taken.mean_time - 0.3) < 1e-9
    assert known.take_samples() is None


def test_samples_of_other_hosts_show_a_slow_server() -> None:
    """Pattern: servers of different speed, many hosts with few answers."""
    known = load.ServerLoad(2, 0.1)
    for _ in range(100):
        known.merge_samples(load.Samples(1, 0.3, 0))
    assert abs(known.service_time - 0.3) < 0.02
    for _ in range(100):
        known.merge_samples(load.Samples(0, 0.0, 2))
    assert known.failure_share > 0.9
