"""Grants, renewals and moves, on a clock that tests control."""

from __future__ import annotations

import anyio
import trio

from agatestile.assignment import coordinator as coordinator_module
from agatestile.assignment import grant_sender
from agatestile.assignment import leases
from agatestile.assignment import moves
from agatestile.assignment import ranges
from agatestile.assignment import records
from tests.assignment import scenes


async def _assigned(scene: scenes.Scene, *names: str) -> None:
    for name in names:
        scene.fleet.add(name)
    assert await scene.coordinator.take_leadership() is None
    while not scene.orders.orders:
        _keep(scene)
        await anyio.sleep(0.1)
    await _sleep(scene, 0.5)


def _keep(scene: scenes.Scene) -> None:
    scene.coordinator.leader_lease.confirm(trio.current_time())


async def _sleep(scene: scenes.Scene, seconds: float) -> None:
    """Let time pass while the store confirms the leadership."""
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        if scene.coordinator.epoch:
            _keep(scene)
        await anyio.sleep(0.1)


def test_every_key_gets_one_owner_with_rising_fences() -> None:
    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a", "b", "c")
        state = scene.coordinator.services[scenes.SERVICE]
        owners = [one.owner for one in state.key_map.ranges]
        assert {one.server_id for one in owners} == {"a", "b", "c"}
        fences = [one.fence for one in owners]
        assert len(set(fences)) == len(fences)

    scenes.run(scenario)


def test_assignment_is_stored_before_its_grant() -> None:
    # A successor must know of every server that may hold keys.
    async def scenario(scene: scenes.Scene) -> None:
        scene.fleet.add("a")
        assert await scene.coordinator.take_leadership() is None
        scene.store.is_down = True
        await _sleep(scene, 5.0)
        assert not scene.orders.orders
        scene.store.is_down = False
        await _sleep(scene, 2.0)
        assert scene.orders.of("grant", "a")

    scenes.run(scenario)


def test_renewals_go_on_without_the_store_until_the_tenure_ends() -> None:
    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a")
        scene.store.is_down = True
        down = trio.current_time()
        await anyio.sleep(30.0)
        last = scene.orders.of("grant", "a")[-1].time
        assert last > down + leases.LEADER_LEASE_SECONDS - 2.0
        assert last <= down + leases.LEADER_LEASE_SECONDS

    scenes.run(scenario)


def test_leaving_server_hands_its_keys_over() -> None:
    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a", "b")
        scene.fleet.add("a", leaves=True)
        scene.coordinator.request_plan()
        await _sleep(scene, 1.0)
        assert scene.owner_of(0) == "b"
        assert scene.owner_of(ranges.KEY_COUNT - 1) == "b"
        released = scene.orders.of("release", "a")[0]
        granted = [
            one
            for one in scene.orders.of("grant", "b")
            if one.fence == released.fence
        ][0]
        assert released.time <= granted.time
        assert granted.handover == "state of a"

    scenes.run(scenario)


def test_keys_of_a_silent_server_move_only_after_its_hold() -> None:
    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a", "b")
        scene.orders.silent.add("a")
        last = scene.orders.of("grant", "a")[-1].time
        moved = scene.orders.of("grant", "b")[0]
        await _sleep(scene, 10.0)
        first = next(
            one
            for one in scene.orders.of("grant", "b")
            if one.fence > moved.fence and one.time > last
        )
        assert first.time > last + leases.KEY_LEASE_SECONDS * 1.02
        assert scene.owner_of(0) == "b"

    scenes.run(scenario)


def test_keys_of_a_crashed_server_move_when_its_last_hold_ends() -> None:
    # Lost servers (srv_crash, replace_with_reuse): attempts to renew that
    # reach nobody must not prolong the time without an owner.
    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a", "b")
        last = scene.orders.of("grant", "a")[-1].time
        scene.orders.crashed.add("a")
        lost = trio.current_time()
        scene.fleet.add("a", report_age=1.0)
        hold = leases.KEY_LEASE_SECONDS * 1.02
        while trio.current_time() < last + hold:
            assert not [
                one
                for one in scene.orders.of("grant", "b")
                if one.time > lost and one.first == 0
            ]
            await _sleep(scene, 0.1)
        margin = leases.ARRIVAL_SLACK_SECONDS + 2 * moves.RETRY_DELAY_SECONDS
        await _sleep(scene, margin)
        assert scene.owner_of(0) == "b"
        assert [
            one
            for one in scene.orders.of("grant", "b")
            if one.time > lost and one.first == 0
        ]

    scenes.run(scenario)


def test_crashed_server_gets_no_keys_while_discovery_shows_it() -> None:
    # Discovery goes on to show a lost server for seconds, in an outage of
    # the store for longer; it has no keys and so would be the first to get
    # some.
    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a", "b")
        scene.orders.crashed.add("a")
        await _sleep(scene, 6.0)
        for _ in range(100):
            assert scene.owner_of(0) == "b"
            await _sleep(scene, 0.1)
        scene.orders.crashed.clear()
        await _sleep(scene, grant_sender.UNRESPONSIVE_EXCLUSION_SECONDS + 2.0)
        assert scene.orders.of("grant", "a")[-1].time > trio.current_time() - 2

    scenes.run(scenario)


def test_keys_of_a_replaced_life_move_at_once() -> None:
    # A later life, or another server at the address, proves the loss.
    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a", "b")
        scene.orders.silent.add("a")
        scene.fleet.replaced.add(("a", 1))
        del scene.fleet.by_id["a"]
        scene.coordinator.request_plan()
        lost = trio.current_time()
        await _sleep(scene, 1.0)
        assert scene.owner_of(0) == "b"
        grants = [one for one in scene.orders.of("grant", "b")]
        assert any(one.time < lost + 1.0 for one in grants if one.first == 0)

    scenes.run(scenario)


def test_renewal_over_a_new_connection_waits_for_a_heartbeat() -> None:
    # A server that restarted under its identifier must not get the fences
    # of its earlier life (OWNER, trouble-3 of both deployments).
    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a")
        scene.orders.disconnected.add("a")
        scene.fleet.add("a", report_age=1.5)
        await _sleep(scene, 1.0)
        before = len(scene.orders.of("grant", "a"))
        await _sleep(scene, 0.4)
        assert len(scene.orders.of("grant", "a")) == before
        scene.fleet.add("a", report_age=0.0)
        await _sleep(scene, 2.0)
        assert len(scene.orders.of("grant", "a")) > before

    scenes.run(scenario)


def test_higher_fence_at_a_server_ends_the_leadership() -> None:
    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a")
        scene.orders.fenced.add("a")
        await _sleep(scene, 2.0)
        assert not scene.coordinator.epoch

    scenes.run(scenario)


async def _time_to_take_keys_of_a(
    successor: coordinator_module.Coordinator,
) -> float:
    """Let a successor lead until another server than "a" has its keys."""
    taken = trio.current_time()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(successor.run)
        while True:
            first = successor.services[scenes.SERVICE].key_map.find(0)
            if first.owner.server_id != "a" and first.source == ranges.UNOWNED:
                break
            successor.leader_lease.confirm(trio.current_time())
            await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
    return trio.current_time() - taken


def test_successor_waits_for_its_predecessor_before_moving_silent_keys() -> (
    None
):
    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a", "b")
        scene.orders.silent.add("a")
        second = scene.add_coordinator("host-2")
        assert await second.take_leadership() is None
        scene.coordinator.lose_leadership("test")
        passed = await _time_to_take_keys_of_a(second)
        assert passed >= leases.LEADER_LEASE_SECONDS + leases.KEY_LEASE_SECONDS

    scenes.run(scenario)


def test_successor_of_a_resigned_host_waits_for_the_hold_only() -> None:
    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a", "b")
        await scene.coordinator.resign()
        scene.orders.silent.add("a")
        second = scene.add_coordinator("host-2")
        assert await second.take_leadership() is None
        passed = await _time_to_take_keys_of_a(second)
        assert 2.0 < passed < leases.LEADER_LEASE_SECONDS

    scenes.run(scenario)


def test_predecessor_that_answers_stops_and_tells_what_servers_hold() -> None:
    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a", "b")
        scene.orders.silent.add("a")
        scene.hosts.by_address["host-1"] = scene.coordinator
        second = scene.add_coordinator("host-2")
        assert await second.take_leadership() is None
        assert not scene.coordinator.epoch
        passed = await _time_to_take_keys_of_a(second)
        assert passed < leases.LEADER_LEASE_SECONDS

    scenes.run(scenario)


def test_restarted_predecessor_does_not_speak_for_the_one_before_it() -> None:
    # The first holder may still renew although the second is known dead.
    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a", "b")
        second = scene.add_coordinator("host-2")
        assert await second.take_leadership() is None
        restarted = scene.add_coordinator("host-2")
        scene.hosts.by_address["host-2"] = restarted
        third = scene.add_coordinator("host-3")
        assert await third.take_leadership() is None
        left = third._grant_sender.key_leases.unlisted_remaining(
            trio.current_time()
        )
        assert left >= leases.LEADER_LEASE_SECONDS

    scenes.run(scenario)


def test_lost_answer_to_an_append_ends_the_leadership() -> None:
    # The append may be carried out late; the state has to be read again.
    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a", "b")
        scene.store.lost_answers = 1
        scene.fleet.add("a", leaves=True)
        scene.coordinator.request_plan()
        await _sleep(scene, 1.0)
        assert not scene.coordinator.epoch
        assert await scene.coordinator.take_leadership() is None
        await _sleep(scene, 1.5)
        assert scene.owner_of(0) == "b"

    scenes.run(scenario)


def test_nothing_is_released_after_the_tenure() -> None:
    # A host that wakes up late could undo its successor's grant.
    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a", "b")
        scene.orders.silent.add("a")
        scene.fleet.add("a", leaves=True)
        scene.coordinator.request_plan()
        await _sleep(scene, 0.5)
        scene.coordinator.leader_lease.end()
        ended = trio.current_time()
        # The order that is under way is answered after 0.5 s.
        await anyio.sleep(1.0)
        scene.orders.silent.clear()
        await anyio.sleep(10.0)
        late = [
            one
            for one in scene.orders.of("release", "a")
            if one.time > ended + 1.0
        ]
        assert late == []

    scenes.run(scenario)


def test_second_leader_stops_the_first() -> None:
    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a", "b")
        second = scene.add_coordinator("host-2")
        assert await second.take_leadership() is None
        scene.fleet.add("a", leaves=True)
        scene.coordinator.request_plan()
        await _sleep(scene, 1.0)
        assert not scene.coordinator.epoch
        page = await scene.store.read_newest(records.TOPIC)
        assert not isinstance(page, tuple) or page.records
        assert not scene.orders.of("release", "a")

    scenes.run(scenario)


def test_keys_are_spread_when_a_stretch_becomes_hot() -> None:
    """Pattern: hot key."""

    async def scenario(scene: scenes.Scene) -> None:
        await _assigned(scene, "a", "b", "c", "d")
        end = trio.current_time() + 4.0
        while trio.current_time() < end:
            counts = {key: 1 for key in range(100, 300, 20)}
            scene.coordinator.count_requests(scenes.SERVICE, counts)
            await _sleep(scene, 0.4)
        assert len({scene.owner_of(key) for key in range(100, 300)}) >= 3

    scenes.run(scenario)
