"""Tests of entries that other writers leave in service discovery."""

from __future__ import annotations

import anyio
import trio

from agatestile.assignment import leases
from agatestile.catalog import configuration
from agatestile.entry import fleet as fleet_module
from agatestile.node import settings as node_settings
from tests.assignment import lives
from tests.assignment import support
from tests.catalog import test_directory


def test_entry_at_the_address_of_a_server_does_not_prove_its_end() -> None:
    """Guards against keys that are granted without a release (OWNER).

    An exporter registered the address of the process that it watches, which
    leaves and still holds its keys (review, case 3).
    """
    violations: list[str] = []

    async def scenario(harness: support.CoordinatorHarness) -> None:
        servers = lives.RestartingServers(trio.current_time)
        harness.orders = servers
        fleet = fleet_module.Fleet(
            node_settings.Bounds(), "anna", trio.current_time
        )
        service = configuration.Service("prices", "/", 9, 3.0, 5.0, True)
        fleet.configuration = configuration.Configuration(
            1, {}, {"prices": service}, configuration.CallerLimits()
        )
        for number, name in enumerate(("a", "b"), 1):
            address = ("127.0.0.1", number)
            fleet.directory.put(
                test_directory.entry(name, address=address),
                trio.current_time(),
            )
        leader = harness.add_coordinator("host-1", fleet)
        assert await leader.take_leadership() is None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(leader.run)
            await support.confirmed_sleep(leader, 3.0)
            assert servers.holders_of(0) == {"a"}
            for entry in (
                test_directory.entry("exporter", 9, service="metrics"),
                test_directory.entry("a", sequence=2, is_draining=True),
            ):
                fleet.directory.put(entry, trio.current_time())
            leader.request_plan()
            await support.confirmed_sleep(leader, 2.0)
            assert servers.holders_of(0) == {"b"}
            tasks.cancel_scope.cancel()
        violations.extend(servers.violations)

    support.run(scenario)
    assert violations == []


def test_lost_server_holds_keys_until_its_lease_ends() -> None:
    """Guards against keys that move before, or long after, the lease ends."""
    violations: list[str] = []

    async def scenario(harness: support.CoordinatorHarness) -> None:
        servers = lives.RestartingServers(trio.current_time)
        harness.orders = servers
        leader = harness.add_coordinator("host-1")
        for name in ("a", "b"):
            harness.fleet.add(name)
        assert await leader.take_leadership() is None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(leader.run)
            await support.confirmed_sleep(leader, 3.0)
            lost = trio.current_time()
            del harness.fleet.by_id["a"]
            harness.fleet.add("c")
            leader.request_plan()
            while servers.holders_of(0) <= {"a"}:
                await support.confirmed_sleep(leader, 0.1)
            longest = leases.KEY_LEASE_SECONDS * (1 + leases.MAX_CLOCK_ERROR)
            slack = leases.ARRIVAL_SLACK_SECONDS + 1.0
            assert trio.current_time() - lost < longest + slack
            tasks.cancel_scope.cancel()
        violations.extend(servers.violations)

    support.run(scenario)
    assert violations == []
