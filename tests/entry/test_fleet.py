"""What excludes a server."""

from __future__ import annotations

import pytest

from agatestile.catalog import configuration
from agatestile.entry import fleet as fleet_module
from agatestile.entry import view as view_module
from agatestile.node import settings as node_settings
from tests.catalog import test_directory

BOUNDS = node_settings.Bounds(cold_ratio=1.5, cold_slack=5.0)


def _fleet(hosts: int, rank: int) -> fleet_module.Fleet:
    fleet = fleet_module.Fleet(BOUNDS, "anna", lambda: 0.0)
    service = configuration.Service("prices", "/", 9, 3.0, 5.0, False)
    fleet.configuration = configuration.Configuration(
        1, {}, {"prices": service}, configuration.CallerLimits()
    )
    fleet.host_count, fleet.host_rank = hosts, rank
    return fleet


@pytest.mark.parametrize("hosts", [1, 3, 5, 8, 12, 25, 60])
def test_all_hosts_together_spare_a_cold_server(hosts: int) -> None:
    """Pattern: cold return; the bound is 5 x 1.5 + 5 in a second."""
    entry = test_directory.entry(warmup_left=5.0)
    total = 0
    for rank in range(hosts):
        fleet = _fleet(hosts, rank)
        fleet.directory.put(entry, 0.0)
        server = fleet.directory.by_id["a"]
        for step in range(100):
            now = 0.01 * step
            if fleet.is_cold(server, now) and fleet.has_cold_quota(
                server, now
            ):
                fleet.on_sent(entry, now)
                total += 1
    assert 0 < total <= 12.5


def test_server_may_be_cold_for_a_while_after_a_lost_connection() -> None:
    # A report of its cold start would have arrived by then.
    fleet = _fleet(1, 0)
    fleet.directory.put(test_directory.entry(), 0.0)
    server = fleet.directory.by_id["a"]
    assert not fleet.is_cold(server, 1.0)
    fleet.on_unreachable(server.entry, 1.0)
    assert fleet.is_cold(server, 1.1)
    assert fleet.is_cold(server, 2.9)
    assert not fleet.is_cold(server, 3.1)


def test_servers_may_be_cold_after_an_evacuation() -> None:
    """Pattern: a zone is emptied and taken back."""
    fleet = _fleet(1, 0)
    fleet.directory.put(test_directory.entry(), 0.0)
    assert fleet.set_evacuated_domains({"anna"}, 1.0)
    assert fleet.candidates("prices", 1.0, set()) == []
    fleet.set_evacuated_domains(set(), 5.0)
    assert fleet.is_cold(fleet.directory.by_id["a"], 5.1)
    assert fleet.is_cold(fleet.directory.by_id["a"], 6.9)
    assert not fleet.is_cold(fleet.directory.by_id["a"], 7.1)


def test_leaving_owner_gets_requests_until_shortly_before_the_bound() -> None:
    fleet = _fleet(1, 0)
    fleet.directory.put(test_directory.entry(is_draining=True), 1.0)
    server = fleet.directory.by_id["a"]
    assert fleet.candidates("prices", 1.0, set()) == []
    assert fleet.may_still_receive(server, 1.5)
    assert not fleet.may_still_receive(server, 2.0)


def test_later_server_at_an_address_proves_the_end_of_the_earlier() -> None:
    """Pattern: an address is used again by another server."""
    fleet = _fleet(1, 0)
    fleet.directory.put(test_directory.entry("a", 1), 0.0)
    assert not fleet.is_replaced(("a", 1))
    fleet.directory.put(test_directory.entry("b", 2), 1.0)
    assert fleet.is_replaced(("a", 1))


def test_older_assignment_is_ignored() -> None:
    view = view_module.AssignmentView()
    assert view.update(2, 1, {}, 0.0)
    assert not view.update(1, 9, {}, 0.0)
    assert not view.update(2, 1, {}, 0.0)
    assert view.update(2, 2, {}, 0.0)


def test_owner_in_a_domain_that_was_evacuated_unseen_gets_nothing() -> None:
    """Pattern: the store refuses one host while a domain is evacuated."""
    fleet = fleet_module.Fleet(BOUNDS, "berta", lambda: 0.0)
    fleet.directory.put(test_directory.entry("a"), 0.0)
    server = fleet.directory.by_id["a"]
    assert fleet.set_evacuated_domains({"anna"}, 20.0, 16.0)
    assert not fleet.may_still_receive(server, 20.0)


def test_largest_number_of_hosts_told_lately_counts() -> None:
    """Guards against a slack that hosts take several times (BUDGET)."""
    fleet = fleet_module.Fleet(BOUNDS, "berta", lambda: 0.0)
    fleet.update_host_count(5, 0.0)
    fleet.update_host_count(1, 1.0)
    assert fleet.host_count == 5
    fleet.update_host_count(6, 2.0)
    fleet.update_host_count(3, 3.0)
    assert fleet.host_count == 6
    fleet.update_host_count(
        3, 2.0 + fleet_module.HOST_COUNT_RETENTION_SECONDS + 0.1
    )
    assert fleet.host_count == 3
