"""Tests of the leader election on a virtual clock."""

from __future__ import annotations

import anyio
import trio

from agatestile.node import leadership
from tests.assignment import support


def _elector(
    harness: support.CoordinatorHarness, host: str
) -> tuple[leadership.LeaderElector, support.coordinator_module.Coordinator]:
    coordinator = harness.add_coordinator(host)
    elector = leadership.LeaderElector(
        harness.store, coordinator, host, trio.current_time
    )
    return elector, coordinator


def test_one_of_several_hosts_takes_the_leadership_and_keeps_it() -> None:
    """Guards against a leadership that moves when another host campaigns."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        electors = [_elector(harness, f"host-{number}") for number in range(3)]
        async with anyio.create_task_group() as tasks:
            for elector, _ in electors:
                elector.campaign()
                tasks.start_soon(elector.run)
            await anyio.sleep(2.0)
            active = [one for _, one in electors if one.is_active]
            assert len(active) == 1
            assert len(harness.store.members) == 1
            late, _ = _elector(harness, "late")
            late.campaign()
            tasks.start_soon(late.run)
            await anyio.sleep(20.0)
            assert [one for _, one in electors if one.is_active] == active
            tasks.cancel_scope.cancel()

    support.run(scenario)


def test_host_that_leaves_frees_the_leadership() -> None:
    async def scenario(harness: support.CoordinatorHarness) -> None:
        first, leader = _elector(harness, "host-1")
        first.campaign()
        await first.join_once()
        assert leader.is_active
        await first.leave()
        assert not leader.is_active
        second, successor = _elector(harness, "host-2")
        second.campaign()
        await second.join_once()
        assert successor.is_active
        assert successor.epoch == 2

    support.run(scenario)


def test_leader_dropped_by_the_store_detects_its_successor() -> None:
    """Guards against two leaders after the store drops the first one.

    The store refuses the leader but serves the other hosts.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        first, leader = _elector(harness, "host-1")
        first.campaign()
        await first.join_once()
        harness.store.members.clear()
        harness.store.generation += 1
        second, successor = _elector(harness, "host-2")
        second.campaign()
        await second.join_once()
        assert successor.is_active
        await first.join_once()
        assert not leader.is_active

    support.run(scenario)
