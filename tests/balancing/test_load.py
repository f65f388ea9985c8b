"""Tests of the estimates of a server's load and speed."""

from __future__ import annotations

from agatestile.balancing import load


def test_report_counts_requests_of_other_hosts() -> None:
    server_load = load.ServerLoad(2, 0.1)
    server_load.on_report(0.0, load.LoadReport(2, 4, 2, 1.0))
    assert server_load.expected_wait(0.0) > 0.2
    # An old report says little about the present load.
    assert server_load.expected_wait(3.0) == 0.0


def test_reported_slowdown_raises_the_expected_time() -> None:
    """Guards against requests to a server slowed down by its neighbours.

    The slowdown lasts for moments, so a report of it expires soon.
    """
    server_load = load.ServerLoad(2, 0.1)
    server_load.on_report(0.0, load.LoadReport(0, 0, 2, 3.0))
    assert abs(server_load.expected_time(0.1) - 0.3) < 1e-9
    assert abs(server_load.expected_time(2.0) - 0.1) < 1e-9


def test_service_time_excludes_the_wait() -> None:
    """Guards against a service time that includes the wait in the queue.

    A fast server with a queue would seem slow.
    """
    server_load = load.ServerLoad(2, 0.1)
    for _ in range(40):
        server_load.on_response(0.0, 0.5, 0.3, load.LoadReport(1, 0, 2, 1.0))
    assert abs(server_load.service_time - 0.2) < 0.01


def test_server_that_stops_responding_is_unresponsive() -> None:
    """Guards against requests to a server that was lost without notice."""
    server_load = load.ServerLoad(2, 0.1)
    server_load.on_sent(0.0)
    assert not server_load.is_unresponsive(0.3)
    assert server_load.is_unresponsive(1.0)
    server_load.on_done()
    assert not server_load.is_unresponsive(1.0)


def test_suspension_grows_and_ends_with_a_response() -> None:
    server_load = load.ServerLoad(2, 0.1)
    server_load.on_unreachable(0.0)
    assert server_load.is_suspended(0.4)
    assert not server_load.is_suspended(0.6)
    server_load.on_unreachable(1.0)
    assert server_load.is_suspended(1.9)
    server_load.on_response(1.5, 0.1, 0.0, None)
    assert not server_load.is_suspended(1.6)


def test_samples_are_returned_once() -> None:
    server_load = load.ServerLoad(2, 0.1)
    assert server_load.take_samples() is None
    server_load.on_response(0.0, 0.2, 0.0, None)
    server_load.on_response(0.0, 0.4, 0.0, None)
    server_load.on_failure()
    samples = server_load.take_samples()
    assert samples is not None
    assert (samples.answered, samples.failed) == (2, 1)
    assert abs(samples.mean_time - 0.3) < 1e-9
    assert server_load.take_samples() is None


def test_samples_of_other_hosts_reveal_a_slow_server() -> None:
    """Guards against slow servers that go unnoticed.

    Where there are many hosts, each sees only a few responses.
    """
    server_load = load.ServerLoad(2, 0.1)
    for _ in range(100):
        server_load.merge_samples(load.Samples(1, 0.3, 0))
    assert abs(server_load.service_time - 0.3) < 0.02
    for _ in range(100):
        server_load.merge_samples(load.Samples(0, 0.0, 2))
    assert server_load.failure_share > 0.9
