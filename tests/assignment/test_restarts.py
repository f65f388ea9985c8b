"""Tests of servers that restart under their identifiers.

Each guards against a later incarnation that takes the grant of an earlier
one, or keeps such keys while they are granted to another server (OWNER, cases
1 and 4 of the review).
"""

from __future__ import annotations

import typing

import anyio
import trio

from agatestile.assignment import coordinator as coordinator_module
from agatestile.assignment import leases
from agatestile.assignment import ranges
from tests.assignment import lives
from tests.assignment import support

NAMES = ("a", "b", "c")
Scenario = typing.Callable[
    [support.CoordinatorHarness, lives.RestartingServers],
    typing.Awaitable[None],
]


def _run(scenario: Scenario) -> lives.RestartingServers:
    """Run a scenario after the keys of three servers were assigned."""
    servers: list[lives.RestartingServers] = []

    async def start(harness: support.CoordinatorHarness) -> None:
        servers.append(lives.RestartingServers(trio.current_time))
        harness.orders = servers[0]
        harness.coordinator = harness.add_coordinator("host-1")
        for name in NAMES:
            harness.fleet.add(name)
        assert await harness.coordinator.take_leadership() is None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.coordinator.run)
            await support.confirmed_sleep(harness.coordinator, 3.0)
            await scenario(harness, servers[0])
            tasks.cancel_scope.cancel()

    support.run(start)
    return servers[0]


async def _lead(
    leader: coordinator_module.Coordinator, seconds: float
) -> None:
    assert await leader.take_leadership() is None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(leader.run)
        await support.confirmed_sleep(leader, seconds)
        tasks.cancel_scope.cancel()


async def _report_restart(
    harness: support.CoordinatorHarness,
    leader: coordinator_module.Coordinator,
) -> None:
    """Let the later incarnation of "a" report, which must get no keys."""
    harness.fleet.add("a", is_leaving=True, incarnation=2)
    leader.request_plan()
    await support.confirmed_sleep(leader, 2.0)


def test_renewal_is_not_sent_to_a_server_that_restarted_unnoticed() -> None:
    """Guards against a renewed grant over a connection to a later life."""

    async def scenario(
        harness: support.CoordinatorHarness, servers: lives.RestartingServers
    ) -> None:
        harness.fleet.stop_reports("a")
        await support.confirmed_sleep(harness.coordinator, 1.0)
        servers.restart("a")
        await support.confirmed_sleep(harness.coordinator, 3.5)
        await _report_restart(harness, harness.coordinator)

    assert _run(scenario).violations == []


def test_keys_of_a_server_without_reports_are_served_on() -> None:
    """Guards against keys without an owner while the store is away.

    A server that lost its connection reports to nobody then. It gets a new
    token before its lease ends.
    """

    async def scenario(
        harness: support.CoordinatorHarness, servers: lives.RestartingServers
    ) -> None:
        harness.fleet.stop_reports("a")
        servers.disconnect("a")
        for _ in range(60):
            assert servers.holders_of(0) == {"a"}
            await support.confirmed_sleep(harness.coordinator, 0.1)

    assert _run(scenario).violations == []


def test_later_incarnation_releases_keys_before_others_get_them() -> None:
    """Guards against a later `born` as proof that nothing is held.

    The later incarnation got the keys itself, as the store was away.
    """

    async def scenario(
        harness: support.CoordinatorHarness, servers: lives.RestartingServers
    ) -> None:
        harness.fleet.stop_reports("a")
        servers.restart("a")
        await support.confirmed_sleep(harness.coordinator, 4.0)
        assert servers.holders_of(0) == {"a"}
        await _report_restart(harness, harness.coordinator)
        assert ("a", 2) in servers.releases

    assert _run(scenario).violations == []


def test_new_leader_repeats_no_grant_of_a_finished_move() -> None:
    """Guards against a resumed move whose target has restarted."""

    async def scenario(
        harness: support.CoordinatorHarness, servers: lives.RestartingServers
    ) -> None:
        harness.fleet.add("b", is_leaving=True)
        harness.coordinator.request_plan()
        await support.confirmed_sleep(harness.coordinator, 2.0)
        await harness.coordinator.resign()
        servers.restart("a")
        second = harness.add_coordinator("host-2")
        await _lead(second, 1.0)
        second = harness.add_coordinator("host-2")
        async with anyio.create_task_group() as tasks:
            assert await second.take_leadership() is None
            tasks.start_soon(second.run)
            await support.confirmed_sleep(second, 1.0)
            await _report_restart(harness, second)
            tasks.cancel_scope.cancel()

    assert _run(scenario).violations == []


def test_new_leader_renews_no_grant_of_its_predecessor() -> None:
    """Guards against a takeover after which a restart is still unnoticed."""

    async def scenario(
        harness: support.CoordinatorHarness, servers: lives.RestartingServers
    ) -> None:
        harness.coordinator.lose_leadership("test")
        servers.restart("a")
        await _lead(harness.add_coordinator("host-2"), 3.0)
        assert servers.holders_of(0) == {"a"}

    assert _run(scenario).violations == []


def test_leader_that_leads_again_repeats_none_of_its_grants() -> None:
    """Guards against tokens that a host remembers from an earlier epoch."""

    async def scenario(
        harness: support.CoordinatorHarness, servers: lives.RestartingServers
    ) -> None:
        harness.coordinator.lose_leadership("test")
        servers.restart("a")
        assert await harness.coordinator.take_leadership() is None
        await support.confirmed_sleep(harness.coordinator, 3.0)

    assert _run(scenario).violations == []


def test_unanswered_grant_of_a_move_is_not_repeated_after_a_restart() -> None:
    """Guards against a new move whose target restarts between two tries."""

    async def scenario(
        harness: support.CoordinatorHarness, servers: lives.RestartingServers
    ) -> None:
        servers.unanswered["a"] = 1
        harness.fleet.add("b", is_leaving=True)
        harness.fleet.add("c", is_leaving=True)
        harness.coordinator.request_plan()
        while servers.unanswered["a"]:
            await support.confirmed_sleep(harness.coordinator, 0.1)
        harness.fleet.stop_reports("a")
        servers.restart("a")
        await support.confirmed_sleep(harness.coordinator, 3.0)
        assert servers.holders_of(ranges.KEY_COUNT - 1) == {"a"}

    assert _run(scenario).violations == []


def test_lease_of_a_server_covers_all_its_incarnations() -> None:
    """Guards against a lease that is forgotten with the incarnation.

    The server is gone from service discovery, so that it can't release the
    keys that its later incarnation may have taken.
    """

    async def scenario(
        harness: support.CoordinatorHarness, servers: lives.RestartingServers
    ) -> None:
        harness.fleet.stop_reports("a")
        servers.restart("a")
        while servers.holders_of(0) != {"a"}:
            await support.confirmed_sleep(harness.coordinator, 0.1)
        del harness.fleet.by_id["a"]
        harness.coordinator.request_plan()
        await support.confirmed_sleep(
            harness.coordinator, 2 * leases.KEY_LEASE_SECONDS
        )
        assert servers.holders_of(0) <= {"b", "c"}

    assert _run(scenario).violations == []


def test_plan_keeps_what_changed_while_it_was_stored() -> None:
    """Guards against finished moves that return when a plan is stored."""

    async def scenario(
        harness: support.CoordinatorHarness, servers: lives.RestartingServers
    ) -> None:
        coordinator = harness.coordinator
        state = coordinator.services[support.SERVICE]
        moved, other = state.key_map.ranges[0], state.key_map.ranges[-1]
        append = harness.store.append

        async def renew_meanwhile(*arguments: typing.Any) -> typing.Any:
            # A token that is newer than that of the move must not reach the
            # source of the move.
            assert coordinator.renew_fence(support.SERVICE, moved) is None
            assert coordinator.renew_fence(support.SERVICE, other)
            return await append(*arguments)

        harness.store.append = renew_meanwhile  # type: ignore[method-assign]
        harness.fleet.add(moved.owner.server_id, is_leaving=True)
        coordinator.request_plan()
        await support.confirmed_sleep(coordinator, 2.0)
        newest = state.key_map.find(other.first).owner
        assert newest.server_id == other.owner.server_id
        assert newest.fence > other.owner.fence

    assert _run(scenario).violations == []
