"""A coordinator whose own link delays its orders to all servers."""

from __future__ import annotations

import pytest
import trio

from agatestile.assignment import link_health
from tests.assignment import support

SERVER_COUNT = 40


def test_late_answers_of_most_servers_are_this_hosts_delay() -> None:
    health = link_health.LinkHealth()
    for _ in range(link_health.MIN_RESULTS):
        health.on_result(1.0, 0.4, True)
    assert health.is_slow(1.0)
    assert not health.is_slow(1.0 + 2 * link_health.WINDOW_SECONDS)


@pytest.mark.parametrize("lost", [1, 10, 50, 90])
def test_lost_servers_among_quick_ones_are_no_delay_of_this_host(
    lost: int,
) -> None:
    """Guards against lost servers that keep their keys.

    With two failure domains, half of the servers may be lost together.
    """
    health = link_health.LinkHealth()
    for number in range(100):
        is_lost = number < lost
        health.on_result(1.0, 0.6 if is_lost else 0.01, not is_lost)
    assert not health.is_slow(1.0)


def test_refused_connections_say_nothing_of_the_link() -> None:
    health = link_health.LinkHealth()
    for _ in range(2 * link_health.MIN_RESULTS):
        health.on_result(1.0, 0.002, False)
    assert not health.is_slow(1.0)


def test_servers_keep_their_keys_while_the_coordinator_is_slow() -> None:
    """Guards against keys that move because the coordinator's link is full.

    Its grants timed out at a quarter of the servers, which answered all
    other hosts, and 1,500 requests a second were refused while their keys
    moved (trouble-1 of the large deployment, 22 to 28 s).
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        names = [f"s{number}" for number in range(SERVER_COUNT)]
        for name in names:
            harness.fleet.add(name)
        await harness.coordinator.take_leadership()
        await trio.sleep(3.0)
        harness.coordinator.leader_lease.confirm(trio.current_time())
        harness.orders.delay = 0.5
        await trio.sleep(1.0)
        harness.orders.silent.update(names[:10])
        await trio.sleep(2.5)
        harness.coordinator.leader_lease.confirm(trio.current_time())
        assert harness.coordinator.is_link_slow
        key_map = harness.coordinator.services[support.SERVICE].key_map
        assert {one.owner.server_id for one in key_map.ranges} == set(names)
        assert all(one.source.server_id == "" for one in key_map.ranges)
        # Once the others answer quickly, the silent ones lose their keys.
        harness.orders.delay = 0.0
        await support.confirmed_sleep(harness.coordinator, 9.0)
        key_map = harness.coordinator.services[support.SERVICE].key_map
        owners = {one.owner.server_id for one in key_map.ranges}
        assert owners.isdisjoint(names[:10])

    support.run(scenario)
