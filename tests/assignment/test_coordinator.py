"""Tests of grants, renewals and moves, with simulated time."""

from __future__ import annotations

import typing

import anyio
import pytest
import trio

from agatestile.assignment import coordinator as coordinator_module
from agatestile.assignment import grant_sender
from agatestile.assignment import leases
from agatestile.assignment import moves
from agatestile.assignment import predecessors
from agatestile.assignment import ranges
from agatestile.assignment import records
from tests.assignment import support


async def _assign_keys(
    harness: support.CoordinatorHarness, *names: str
) -> None:
    for name in names:
        harness.fleet.add(name)
    assert await harness.coordinator.take_leadership() is None
    while not harness.orders.orders:
        _confirm_lease(harness)
        await anyio.sleep(0.1)
    await _sleep(harness, 0.5)


def _confirm_lease(harness: support.CoordinatorHarness) -> None:
    harness.coordinator.leader_lease.confirm(trio.current_time())


async def _sleep(harness: support.CoordinatorHarness, seconds: float) -> None:
    """Let time pass while the store confirms the leadership."""
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        if harness.coordinator.epoch:
            _confirm_lease(harness)
        await anyio.sleep(0.1)


def test_every_key_has_one_owner_with_a_distinct_fencing_token() -> None:
    """Guards against ranges without an owner or with a reused token."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a", "b", "c")
        state = harness.coordinator.services[support.SERVICE]
        owners = [key_range.owner for key_range in state.key_map.ranges]
        assert {owner.server_id for owner in owners} == {"a", "b", "c"}
        fences = [owner.fence for owner in owners]
        assert len(set(fences)) == len(fences)

    support.run(scenario)


def test_assignment_is_stored_before_its_grant() -> None:
    """Guards against a grant that a successor cannot know of.

    A successor must know of every server that may hold keys.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        harness.fleet.add("a")
        assert await harness.coordinator.take_leadership() is None
        harness.store.is_down = True
        await _sleep(harness, 5.0)
        assert not harness.orders.orders
        harness.store.is_down = False
        await _sleep(harness, 2.0)
        assert harness.orders.received("grant", "a")

    support.run(scenario)


def test_renewals_continue_without_the_store_until_the_leader_lease_ends() -> (
    None
):
    """Guards against renewals that stop early or outlive the lease."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a")
        harness.store.is_down = True
        down = trio.current_time()
        await anyio.sleep(30.0)
        last = harness.orders.received("grant", "a")[-1].time
        assert last > down + leases.LEADER_LEASE_SECONDS - 2.0
        assert last <= down + leases.LEADER_LEASE_SECONDS

    support.run(scenario)


def test_leaving_server_hands_over_its_keys() -> None:
    """Guards against a grant that precedes the release or its handover."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a", "b")
        harness.fleet.add("a", is_leaving=True)
        harness.coordinator.request_plan()
        await _sleep(harness, 1.0)
        assert harness.owner_of(0) == "b"
        assert harness.owner_of(ranges.KEY_COUNT - 1) == "b"
        released = harness.orders.received("release", "a")[0]
        granted = [
            order
            for order in harness.orders.received("grant", "b")
            if order.fence == released.fence
        ][0]
        assert released.time <= granted.time
        assert granted.handover == "state of a"

    support.run(scenario)


def test_keys_of_an_unresponsive_server_move_only_after_its_lease() -> None:
    """Guards against two owners: the old one may still hold its keys."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a", "b")
        harness.orders.silent.add("a")
        last = harness.orders.received("grant", "a")[-1].time
        moved = harness.orders.received("grant", "b")[0]
        await _sleep(harness, 10.0)
        first = next(
            order
            for order in harness.orders.received("grant", "b")
            if order.fence > moved.fence and order.time > last
        )
        assert first.time > last + leases.KEY_LEASE_SECONDS * 1.02
        assert harness.owner_of(0) == "b"

    support.run(scenario)


def test_keys_of_a_crashed_server_move_when_its_last_lease_ends() -> None:
    """Guards against keys that stay without an owner too long.

    Renewals that reach nobody must not extend the lease of a lost server
    (srv_crash, replace_with_reuse).
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a", "b")
        last = harness.orders.received("grant", "a")[-1].time
        harness.orders.crashed.add("a")
        lost = trio.current_time()
        harness.fleet.add("a", report_age=1.0)
        lease = leases.KEY_LEASE_SECONDS * 1.02
        while trio.current_time() < last + lease:
            assert not [
                order
                for order in harness.orders.received("grant", "b")
                if order.time > lost and order.first == 0
            ]
            await _sleep(harness, 0.1)
        margin = leases.ARRIVAL_SLACK_SECONDS + 2 * moves.RETRY_DELAY_SECONDS
        await _sleep(harness, margin)
        assert harness.owner_of(0) == "b"
        assert [
            order
            for order in harness.orders.received("grant", "b")
            if order.time > lost and order.first == 0
        ]

    support.run(scenario)


def test_crashed_server_gets_no_keys_while_discovery_lists_it() -> None:
    """Guards against keys that move to a lost server.

    Discovery lists a lost server for seconds, in an outage of the store for
    longer; as it has no keys, it would be the first to get some.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a", "b")
        harness.orders.crashed.add("a")
        await _sleep(harness, 6.0)
        for _ in range(100):
            assert harness.owner_of(0) == "b"
            await _sleep(harness, 0.1)
        harness.orders.crashed.clear()
        await _sleep(
            harness, grant_sender.UNRESPONSIVE_EXCLUSION_SECONDS + 2.0
        )
        assert (
            harness.orders.received("grant", "a")[-1].time
            > trio.current_time() - 2
        )

    support.run(scenario)


def test_keys_of_a_restarted_server_get_an_owner_again() -> None:
    """Guards against keys that nobody serves after a restart of their owner.

    They stayed with its earlier incarnation, whose grants are not renewed.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a", "b")
        earlier = harness.fleet.by_id["a"]
        harness.fleet.by_id["a"] = earlier._replace(
            candidate=earlier.candidate._replace(incarnation=2)
        )
        harness.coordinator.request_plan()
        await _sleep(harness, 1.0)
        key_map = harness.coordinator.services[support.SERVICE].key_map
        assert all(one.source.server_id == "" for one in key_map.ranges)
        owners = {one.owner[:2] for one in key_map.ranges}
        assert owners <= {("a", 2), ("b", 1)}

    support.run(scenario)


def test_renewal_over_a_new_connection_waits_for_a_heartbeat() -> None:
    """Guards against fencing tokens that pass to a later incarnation.

    A server that restarted under its identifier must not get the tokens of
    its earlier incarnation (OWNER, trouble-3 of both deployments).
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a")
        harness.orders.disconnect("a")
        harness.fleet.add("a", report_age=1.5)
        await _sleep(harness, 1.0)
        before = len(harness.orders.received("grant", "a"))
        await _sleep(harness, 0.4)
        assert len(harness.orders.received("grant", "a")) == before
        harness.fleet.add("a", report_age=0.0)
        await _sleep(harness, 2.0)
        assert len(harness.orders.received("grant", "a")) > before

    support.run(scenario)


def test_higher_fencing_token_at_a_server_ends_the_leadership() -> None:
    """Guards against a leader that continues after it was superseded."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a")
        harness.orders.fenced.add("a")
        await _sleep(harness, 2.0)
        assert not harness.coordinator.epoch

    support.run(scenario)


async def _time_to_take_keys_of_a(
    successor: coordinator_module.Coordinator,
) -> float:
    """Let a successor lead until a server other than "a" has its keys."""
    taken = trio.current_time()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(successor.run)
        while True:
            first = successor.services[support.SERVICE].key_map.find(0)
            if first.owner.server_id != "a" and first.source == ranges.UNOWNED:
                break
            successor.leader_lease.confirm(trio.current_time())
            await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
    return trio.current_time() - taken


def test_successor_waits_for_its_predecessor_before_moving_keys() -> None:
    """Guards against two owners while an unreachable predecessor may renew."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a", "b")
        harness.orders.silent.add("a")
        second = harness.add_coordinator("host-2")
        assert await second.take_leadership() is None
        harness.coordinator.lose_leadership("test")
        passed = await _time_to_take_keys_of_a(second)
        assert passed >= leases.LEADER_LEASE_SECONDS + leases.KEY_LEASE_SECONDS

    support.run(scenario)


def test_successor_of_a_resigned_host_waits_for_key_leases_only() -> None:
    """Guards against a needless wait for a leader that has resigned."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a", "b")
        await harness.coordinator.resign()
        harness.orders.silent.add("a")
        second = harness.add_coordinator("host-2")
        assert await second.take_leadership() is None
        passed = await _time_to_take_keys_of_a(second)
        assert 2.0 < passed < leases.LEADER_LEASE_SECONDS

    support.run(scenario)


def test_predecessor_that_answers_stops_and_returns_its_key_leases() -> None:
    """Guards against a needless wait for a predecessor that has stopped."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a", "b")
        harness.orders.silent.add("a")
        harness.hosts.by_address["host-1"] = harness.coordinator
        second = harness.add_coordinator("host-2")
        assert await second.take_leadership() is None
        assert not harness.coordinator.epoch
        passed = await _time_to_take_keys_of_a(second)
        assert passed < leases.LEADER_LEASE_SECONDS

    support.run(scenario)


def test_restarted_predecessor_does_not_answer_for_its_predecessor() -> None:
    """Guards against two owners after two changes of leader.

    The first leader may still renew grants although the second has ended.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a", "b")
        second = harness.add_coordinator("host-2")
        assert await second.take_leadership() is None
        restarted = harness.add_coordinator("host-2")
        harness.hosts.by_address["host-2"] = restarted
        third = harness.add_coordinator("host-3")
        assert await third.take_leadership() is None
        remaining = third._grant_sender.key_leases.unlisted_remaining(
            trio.current_time()
        )
        assert remaining >= leases.LEADER_LEASE_SECONDS

    support.run(scenario)


def test_lost_answer_to_an_append_ends_the_leadership() -> None:
    """Guards against a leader whose state differs from the stored one.

    The append may be applied late, so the state has to be read again.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a", "b")
        harness.store.lost_answers = 1
        harness.fleet.add("a", is_leaving=True)
        harness.coordinator.request_plan()
        await _sleep(harness, 1.0)
        assert not harness.coordinator.epoch
        assert await harness.coordinator.take_leadership() is None
        await _sleep(harness, 1.5)
        assert harness.owner_of(0) == "b"

    support.run(scenario)


def test_nothing_is_released_after_the_leader_lease() -> None:
    """Guards against a host that resumes late and undoes a later grant."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a", "b")
        harness.orders.silent.add("a")
        harness.fleet.add("a", is_leaving=True)
        harness.coordinator.request_plan()
        await _sleep(harness, 0.5)
        harness.coordinator.leader_lease.end()
        ended = trio.current_time()
        # The order in progress is answered after 0.5 s.
        await anyio.sleep(1.0)
        harness.orders.silent.clear()
        await anyio.sleep(10.0)
        late = [
            order
            for order in harness.orders.received("release", "a")
            if order.time > ended + 1.0
        ]
        assert late == []

    support.run(scenario)


def test_second_leader_ends_the_leadership_of_the_first() -> None:
    """Guards against two leaders: the append of the first must fail."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a", "b")
        second = harness.add_coordinator("host-2")
        assert await second.take_leadership() is None
        harness.fleet.add("a", is_leaving=True)
        harness.coordinator.request_plan()
        await _sleep(harness, 1.0)
        assert not harness.coordinator.epoch
        page = await harness.store.read_newest(records.TOPIC)
        assert not isinstance(page, tuple) or page.records
        assert not harness.orders.received("release", "a")

    support.run(scenario)


def test_keys_are_spread_when_a_range_becomes_hot() -> None:
    """Guards against a hot key range that stays with one server."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a", "b", "c", "d")
        end = trio.current_time() + 4.0
        while trio.current_time() < end:
            counts = {key: 1 for key in range(100, 300, 20)}
            harness.coordinator.count_requests(support.SERVICE, counts)
            await _sleep(harness, 0.4)
        assert len({harness.owner_of(key) for key in range(100, 300)}) >= 3

    support.run(scenario)


def test_host_that_is_superseded_during_its_takeover_does_not_lead() -> None:
    """Guards against two leaders: the answer of the store was on its way.

    The successor was told that this host is not the leader, and so waits for
    orders in progress only (OWNER).
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        append = harness.store.append

        async def append_slowly(*arguments: typing.Any) -> typing.Any:
            result = await append(*arguments)
            await anyio.sleep(2.0)
            return result

        harness.hosts.by_address["host-1"] = harness.coordinator
        second = harness.add_coordinator("host-2")
        harness.store.append = append_slowly  # type: ignore[method-assign]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.coordinator.take_leadership)
            # The record of the first host is settled already.
            await anyio.sleep(3.0)
            harness.store.append = append  # type: ignore[method-assign]
            assert await second.take_leadership() is None
        assert second.is_active
        assert not harness.coordinator.epoch

    support.run(scenario)


@pytest.mark.parametrize("resigns", [True, False])
@pytest.mark.parametrize(
    ("led_for", "shortest_wait"),
    [
        (1.0, leases.LEADER_LEASE_SECONDS),
        (predecessors.SETTLING_SECONDS + 1.0, 0.0),
    ],
)
def test_leader_before_the_predecessor_is_waited_for_until_it_ends(
    resigns: bool, led_for: float, shortest_wait: float
) -> None:
    """Guards against a leader that is forgotten two leaders later.

    The first one is out of reach, but may still renew grants. The second has
    led for a while and gives up, the third is replaced at once (OWNER).
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        await _assign_keys(harness, "a", "b")
        second = harness.add_coordinator("host-2")
        harness.hosts.by_address["host-2"] = second
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(second.run)
            assert await second.take_leadership() is None
            end = trio.current_time() + led_for
            while trio.current_time() < end:
                second.leader_lease.confirm(trio.current_time())
                await anyio.sleep(0.1)
            if resigns:
                await second.resign()
            third = harness.add_coordinator("host-3")
            assert await third.take_leadership() is None
            tasks.cancel_scope.cancel()
        fourth = harness.add_coordinator("host-3")
        assert await fourth.take_leadership() is None
        wait = fourth._grant_sender.key_leases.unlisted_remaining(
            trio.current_time()
        )
        assert shortest_wait <= wait
        if not shortest_wait:
            assert wait < leases.LEADER_LEASE_SECONDS

    support.run(scenario)
