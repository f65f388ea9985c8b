"""Who holds the leadership, on a clock that tests control."""

from __future__ import annotations

import anyio
import trio

from agatestile.node import leadership
from tests.assignment import scenes


def _keeper(
    scene: scenes.Scene, host: str
) -> tuple[leadership.LeadershipKeeper, scenes.coordinator_module.Coordinator]:
    coordinator = scene.add_coordinator(host)
    keeper = leadership.LeadershipKeeper(
        scene.store, coordinator, host, trio.current_time
    )
    return keeper, coordinator


def test_one_of_several_hosts_takes_the_leadership_and_keeps_it() -> None:
    """Guards against a leadership that moves when a host joins."""

    async def scenario(scene: scenes.Scene) -> None:
        keepers = [_keeper(scene, f"host-{number}") for number in range(3)]
        async with anyio.create_task_group() as tasks:
            for keeper, _ in keepers:
                keeper.stand()
                tasks.start_soon(keeper.run)
            await anyio.sleep(2.0)
            active = [one for _, one in keepers if one.is_active]
            assert len(active) == 1
            assert len(scene.store.members) == 1
            late, _ = _keeper(scene, "late")
            late.stand()
            tasks.start_soon(late.run)
            await anyio.sleep(20.0)
            assert [one for _, one in keepers if one.is_active] == active
            tasks.cancel_scope.cancel()

    scenes.run(scenario)


def test_host_that_leaves_frees_the_leadership() -> None:
    async def scenario(scene: scenes.Scene) -> None:
        first, holder = _keeper(scene, "host-1")
        first.stand()
        await first.step()
        assert holder.is_active
        await first.leave()
        assert not holder.is_active
        second, successor = _keeper(scene, "host-2")
        second.stand()
        await second.step()
        assert successor.is_active
        assert successor.epoch == 2

    scenes.run(scenario)


def test_holder_that_the_store_forgot_sees_its_successor() -> None:
    """Pattern: the store turns the holder away and serves the others."""

    async def scenario(scene: scenes.Scene) -> None:
        first, holder = _keeper(scene, "host-1")
        first.stand()
        await first.step()
        scene.store.members.clear()
        scene.store.generation += 1
        second, successor = _keeper(scene, "host-2")
        second.stand()
        await second.step()
        assert successor.is_active
        await first.step()
        assert not holder.is_active

    scenes.run(scenario)
