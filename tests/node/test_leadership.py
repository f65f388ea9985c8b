"""Tests of the leader election on a virtual clock."""

from __future__ import annotations

import typing

import anyio
import pytest
import trio

from agatestile.assignment import leases
from agatestile.node import leadership
from agatestile.results import outcomes
from agatestile.store import port
from tests.assignment import support


def _elector(
    harness: support.CoordinatorHarness, host: str, delay: float = 0.0
) -> tuple[leadership.LeaderElector, support.coordinator_module.Coordinator]:
    coordinator = harness.add_coordinator(host)
    elector = leadership.LeaderElector(
        harness.store, coordinator, host, trio.current_time, lambda: delay
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


def test_host_that_leaves_does_not_join_again() -> None:
    """Guards against a leadership that is kept by a host that stops.

    A renewal that was due as the host left came after it had left.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        first, leader = _elector(harness, "host-1")
        first.campaign()
        await first.join_once()
        assert leader.is_active
        await first.leave()
        assert await first._join() is None
        assert harness.store.members == []

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


def test_host_with_a_slow_link_leads_only_if_no_other_campaigns() -> None:
    """Guards against moves of keys that wait for the leader's full link."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        delay = leadership.head_start(10e6 / 8, 8)
        slow, slow_coordinator = _elector(harness, "slow", delay)
        fast, fast_coordinator = _elector(harness, "fast")
        async with anyio.create_task_group() as tasks:
            for elector in (slow, fast):
                tasks.start_soon(elector.run)
            slow.campaign()
            await anyio.sleep(0.1)
            fast.campaign()
            await anyio.sleep(2.0)
            assert fast_coordinator.is_active
            assert list(harness.store.members) == ["fast"]
            await fast.leave()
            slow.campaign()
            await anyio.sleep(1.0)
            assert slow_coordinator.is_active
            tasks.cancel_scope.cancel()

    support.run(scenario)


@pytest.mark.parametrize(
    ("link_rate", "seconds"),
    [(None, 0.0), (0.0, 0.0), (250e6, 0.002), (1.25e6, 0.42), (1.0, 0.75)],
)
def test_head_start_is_longer_for_a_slower_link(
    link_rate: float | None, seconds: float
) -> None:
    assert leadership.head_start(link_rate, 8) == pytest.approx(
        seconds, abs=0.001
    )


def test_head_start_grows_with_the_hosts_that_a_leader_serves() -> None:
    """Guards against a leader whose link can't carry 78 hosts.

    One at 20 Mbit/s came before those at 200 Mbit/s, and its calls to servers
    timed out (trouble-1 of the large deployment).
    """
    slow = leadership.head_start(20e6 / 8, 78)
    fast = leadership.head_start(200e6 / 8, 78)
    assert slow - fast > 0.5


def test_leader_with_a_full_link_lets_another_host_lead(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leader that can't renew grants but keeps leading."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        first, first_coordinator = _elector(harness, "first")
        second, second_coordinator = _elector(harness, "second")
        async with anyio.create_task_group() as tasks:
            for elector in (first, second):
                tasks.start_soon(elector.run)
            first.campaign()
            await anyio.sleep(1.0)
            assert first_coordinator.is_active
            monkeypatch.setattr(
                first_coordinator._grant_sender, "is_link_slow", lambda: True
            )
            await anyio.sleep(0.6)
            assert first_coordinator.is_active
            await anyio.sleep(1.5)
            assert not first_coordinator.is_active
            second.campaign()
            await anyio.sleep(0.5)
            assert second_coordinator.is_active
            tasks.cancel_scope.cancel()

    support.run(scenario)


def test_leader_that_is_cut_off_renews_grants_as_long_as_it_may(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a cut failure domain whose leader resigns.

    The servers beyond the cut do not answer, and no other host can take over
    before the cut ends.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        elector, coordinator = _elector(harness, "first")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(elector.run)
            elector.campaign()
            await anyio.sleep(1.0)
            harness.store.is_down = True
            await anyio.sleep(1.0)
            monkeypatch.setattr(
                coordinator._grant_sender, "is_link_slow", lambda: True
            )
            await anyio.sleep(4.0)
            assert coordinator.is_active
            tasks.cancel_scope.cancel()

    support.run(scenario)


def test_leader_is_surely_leading_after_a_slow_takeover(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against keys that wait for a token after a change of leader."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        supersede = harness.hosts.supersede

        async def supersede_slowly(host: str, epoch: int) -> typing.Any:
            await anyio.sleep(leases.SURE_LEADERSHIP_SECONDS)
            return await supersede(host, epoch)

        monkeypatch.setattr(harness.hosts, "supersede", supersede_slowly)
        _, first = _elector(harness, "host-1")
        assert await first.take_leadership() is None
        second, successor = _elector(harness, "host-2")
        second.campaign()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(second.run)
            while not successor.epoch:
                await anyio.sleep(0.01)
            await anyio.sleep(0.02)
            now = trio.current_time()
            assert successor.leader_lease.is_sure(now)
            tasks.cancel_scope.cancel()

    support.run(scenario)


class _RestoredStore(support.MemoryStore):
    """Restored while it carries out the next join."""

    is_restored = False
    generations: tuple[int, ...] = ()

    async def join(
        self, group: str, member: str, ttl: float, generation: int
    ) -> port.Membership | outcomes.Refusal:
        self.generations += (generation,)
        if self.is_restored:
            self.is_restored = False
            self.era += 1
        return await super().join(group, member, ttl, generation)


def test_membership_that_spans_two_eras_is_asked_for_again() -> None:
    """Guards against a generation of an earlier era in a restored group."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        store = _RestoredStore()
        store.era = 1
        harness.store = store
        elector, coordinator = _elector(harness, "host-1")
        await elector.join_once()
        await elector.join_once()
        store.is_restored = True
        await elector.join_once()
        assert store.generations == (0, 1, 1, 0)
        assert coordinator.epoch and elector.is_confirmed()

    support.run(scenario)


def test_earlier_leader_may_join_first_in_a_new_era() -> None:
    """Guards against a takeover that lets all keys lapse for seconds.

    The memberships are lost with the store, and any host may campaign.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        harness.store.era = 3
        leader, coordinator = _elector(harness, "host-1")
        other, follower = _elector(harness, "host-2")
        await leader.join_once()
        other.note_era()
        async with anyio.create_task_group() as tasks:
            harness.store.members.clear()
            harness.store.restore(0)
            tasks.start_soon(other.run)
            other.campaign()
            await anyio.sleep(1.5)
            tasks.start_soon(leader.run)
            await anyio.sleep(5.0)
            assert coordinator.is_active and not follower.epoch
            tasks.cancel_scope.cancel()

    support.run(scenario)


def test_other_host_leads_if_the_earlier_leader_stays_away() -> None:
    """Guards against a new era without a leader."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        harness.store.era = 3
        elector, coordinator = _elector(harness, "host-2")
        elector.note_era()
        async with anyio.create_task_group() as tasks:
            harness.store.restore(0)
            tasks.start_soon(elector.run)
            elector.campaign()
            await anyio.sleep(leadership.RESTORATION_HEAD_START_SECONDS + 1.5)
            assert coordinator.is_active
            tasks.cancel_scope.cancel()

    support.run(scenario)
