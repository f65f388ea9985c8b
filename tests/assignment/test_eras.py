"""Tests of a store that returns from an older copy."""

from __future__ import annotations

import anyio
import msgspec
import pytest
import trio

from agatestile.assignment import era_keys
from agatestile.assignment import eras
from agatestile.assignment import journal
from agatestile.assignment import leases
from agatestile.assignment import ranges
from agatestile.assignment import records
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.store import port
from tests.assignment import support

LONGEST_LEASES_SECONDS = leases.LEADER_LEASE_SECONDS + leases.KEY_LEASE_SECONDS


async def _confirm(
    harness: support.CoordinatorHarness, seconds: float
) -> None:
    """Let time pass as the elector does, with confirmations by the store."""
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        if harness.coordinator.epoch:
            await harness.coordinator.confirm()
        await anyio.sleep(0.2)


async def _lead(harness: support.CoordinatorHarness, *names: str) -> None:
    for name in names:
        harness.fleet.add(name)
    assert await harness.coordinator.take_leadership() is None
    await _confirm(harness, 4.0)
    assert {harness.owner_of(key) for key in range(ranges.KEY_COUNT)} == {
        *names
    }


def _stored(harness: support.CoordinatorHarness) -> records.StoredAssignments:
    by_key = {record.key: record for record in harness.store.records}
    page = port.Page(list(by_key.values()), len(harness.store.records))
    stored = records.decode(page)
    assert isinstance(stored, records.StoredAssignments)
    return stored


def _fences(harness: support.CoordinatorHarness, since: float) -> list[int]:
    return [
        order.fence
        for order in harness.orders.orders
        if order.time >= since and order.kind == "grant"
    ]


@pytest.mark.parametrize("kept_records", [0, 1])
def test_epochs_are_not_used_again(kept_records: int) -> None:
    """Guards against two leaderships with the same fencing tokens."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        used = set()
        harness.store.era = 1
        for _ in range(3):
            for host in ("host-1", "host-2", "host-3"):
                leader = harness.add_coordinator(host)
                assert await leader.take_leadership() is None
                assert leader.epoch not in used
                used.add(leader.epoch)
            harness.store.restore(kept_records)

    support.run(scenario)


@pytest.mark.parametrize(
    ("stored_era", "era", "epoch"), [(0, 0, 8), (3, 3, 8), (3, 5, 2008)]
)
def test_epochs_are_skipped_for_each_era(
    stored_era: int, era: int, epoch: int
) -> None:
    """Guards against epochs of an era that was lost completely."""
    leadership = records.Leadership(7, "host-1", era=stored_era)
    assert eras.next_epoch(leadership, {}, era) == epoch


def test_epoch_is_above_stored_tokens_of_a_later_era() -> None:
    """Guards against a leadership that a delayed append has replaced."""
    token = leases.FencingTokens(5000).next()
    key_map = ranges.RangeMap(
        [ranges.KeyRange(0, ranges.KEY_COUNT - 1, ranges.Owner("a", 1, token))]
    )
    leadership = records.Leadership(7, "host-1", era=3)
    assert eras.next_epoch(leadership, {"x": key_map}, 4) == 5001


def test_leadership_without_an_era_is_read() -> None:
    """Guards against a restart of all hosts with the stored earlier form."""
    value = msgspec.msgpack.encode([7, "host-1", False, True, []])
    stored = records.decode(port.Page([port.Record("leadership", value)], 1))
    assert isinstance(stored, records.StoredAssignments)
    assert (stored.leadership.epoch, stored.leadership.era) == (7, 0)


@pytest.mark.parametrize("kept_records", [0, 1, 2])
def test_leader_stores_its_whole_state_before_new_tokens(
    kept_records: int,
) -> None:
    """Guards against tokens that a successor can't know, and lost maps."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        harness.store.era = 1
        await _lead(harness, "a", "b")
        owners = [harness.owner_of(key) for key in range(ranges.KEY_COUNT)]
        epoch = harness.coordinator.epoch
        harness.store.restore(kept_records)
        restored_at = trio.current_time()
        while harness.coordinator.epoch == epoch:
            await _confirm(harness, 0.2)
            newest = leases.FencingTokens.epoch_of(
                max(_fences(harness, restored_at), default=0)
            )
            if newest > epoch:
                assert _stored(harness).leadership.epoch == newest
            assert trio.current_time() < restored_at + 4.0
        stored = _stored(harness)
        assert stored.leadership.era == 2
        assert stored.leadership.epoch >= epoch + eras.EPOCHS_PER_ERA
        key_map = stored.maps[support.SERVICE]
        assert owners == [
            key_map.find(key).owner.server_id
            for key in range(ranges.KEY_COUNT)
        ]
        assert all(one.source == ranges.UNOWNED for one in key_map.ranges)
        assert {one[0] for one in stored.servers[support.SERVICE].recipients}
        await _confirm(harness, 2.0)
        assert not harness.orders.received("release", "a")
        assert harness.coordinator.is_active

    support.run(scenario)


def test_new_tokens_and_releases_are_withheld_in_a_new_era() -> None:
    """Guards against orders that rest on what the store has lost."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        harness.store.era = 1
        await _lead(harness, "a", "b")
        harness.store.restore(1)
        sender = harness.coordinator._grant_sender
        assert not sender.is_surely_leading()
        restored_at = trio.current_time()
        epoch = harness.coordinator.epoch
        harness.fleet.add("c")
        harness.orders.disconnect("a")
        newest = max(_fences(harness, 0.0))
        while True:
            await harness.coordinator.confirm()
            if harness.coordinator.epoch != epoch:
                break
            assert not [
                order
                for order in harness.orders.orders
                if order.time >= restored_at
                and (order.fence > newest or order.kind == "release")
            ]
            await anyio.sleep(0.1)

    support.run(scenario)


def test_grants_are_renewed_while_the_state_is_stored_again() -> None:
    """Guards against keys that lapse because the store was restored."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        harness.store.era = 1
        await _lead(harness, "a", "b")
        harness.store.restore(1)
        await _confirm(harness, 6.0)
        for name in ("a", "b"):
            times = [
                one.time for one in harness.orders.received("grant", name)
            ]
            gaps = [b - a for a, b in zip(times, times[1:])]
            assert max(gaps) < leases.KEY_LEASE_SECONDS / 2

    support.run(scenario)


def test_keys_of_an_owner_without_proof_wait_for_all_leases() -> None:
    """Guards against an owner that has released keys to a lost leader."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        harness.store.era = 1
        await _lead(harness, "a", "b")
        harness.store.restore(1)
        restored_at = trio.current_time()
        harness.orders.silent.add("a")
        await _confirm(harness, 4.0)
        key_map = harness.coordinator.services[support.SERVICE].key_map
        assert {one.source for one in key_map.of_server("a")} == {
            ranges.UNKNOWN
        }
        assert {one.source for one in key_map.of_server("b")} == {
            ranges.UNOWNED
        }
        harness.orders.silent.clear()
        await _confirm(harness, 14.0)
        regained = [
            one.time
            for one in harness.orders.received("grant", "a")
            if one.time > restored_at
        ]
        assert min(regained) >= restored_at + LONGEST_LEASES_SECONDS

    support.run(scenario)


@pytest.mark.parametrize("kept_records", [0, 1, 2])
def test_successor_in_a_new_era_waits_for_all_leases(
    kept_records: int,
) -> None:
    """Guards against tokens beside grants of which the store lost track."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        harness.store.era = 1
        await _lead(harness, "a", "b")
        harness.store.restore(kept_records)
        harness.coordinator.lose_leadership("test")
        lost_at = trio.current_time()
        assert await harness.coordinator.take_leadership() is None
        stored = _stored(harness)
        assert stored.leadership.era == 2
        assert {
            one.source
            for key_map in stored.maps.values()
            for one in key_map.ranges
        } == {ranges.UNKNOWN}
        await _confirm(harness, LONGEST_LEASES_SECONDS - 1.0)
        assert not _fences(harness, lost_at + 0.1)
        await _confirm(harness, 5.0)
        assert _fences(harness, lost_at + 0.1)
        assert all(
            one.source == ranges.UNOWNED
            for one in harness.coordinator.services[
                support.SERVICE
            ].key_map.ranges
        )

    support.run(scenario)


def test_service_that_appears_after_a_restoration_waits_as_well() -> None:
    """Guards against keys of a service whose first map was lost."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        harness.store.era = 1
        await _lead(harness, "a", "b")
        harness.store.restore(1)
        restored_at = trio.current_time()
        await _confirm(harness, 4.0)
        assert harness.coordinator.is_active
        services = ["later"]
        harness.fleet.services = lambda: services  # type: ignore
        await _confirm(harness, 1.0)
        later = harness.coordinator.services["later"]
        await _confirm(harness, 5.0)
        assert {one.source for one in later.key_map.ranges} == {ranges.UNKNOWN}
        assert trio.current_time() < restored_at + LONGEST_LEASES_SECONDS
        await _confirm(harness, 6.0)
        assert later.has_owners
        assert {one.source for one in later.key_map.ranges} == {ranges.UNOWNED}

    support.run(scenario)


def test_next_successor_in_the_same_era_waits_as_well() -> None:
    """Guards against a takeover that ended before it had waited."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        harness.store.era = 1
        await _lead(harness, "a", "b")
        harness.store.restore(2)
        harness.coordinator.lose_leadership("test")
        lost_at = trio.current_time()
        second = harness.add_coordinator("host-2")
        assert await second.take_leadership() is None
        second.lose_leadership("test")
        assert await harness.coordinator.take_leadership() is None
        await _confirm(harness, LONGEST_LEASES_SECONDS - 3.0)
        assert not _fences(harness, lost_at + 0.1)

    support.run(scenario)


def test_leadership_counts_for_an_era_only_once_the_state_is_stored() -> None:
    """Guards against outdated maps that a takeover has left behind."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        harness.store.era = 1
        await _lead(harness, "a", "b")
        harness.store.restore(2)
        harness.coordinator.lose_leadership("test")
        second = harness.add_coordinator("host-2")
        with anyio.move_on_after(0.5):
            await second.take_leadership()
        stored = _stored(harness)
        assert stored.leadership.host == "host-2"
        assert eras.is_outdated(stored.leadership, harness.store.era)

    support.run(scenario)


def test_leader_yields_to_another_one_in_the_new_era() -> None:
    """Guards against two leaders after the store was restored."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        harness.store.era = 1
        await _lead(harness, "a", "b")
        harness.store.restore(1)
        second = harness.add_coordinator("host-2")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(second.take_leadership)
            await anyio.sleep(0.1)
            await _confirm(harness, 1.0)
            assert not harness.coordinator.epoch
        assert second.epoch

    support.run(scenario)


def test_two_eras_in_a_row_are_survived_by_the_leader() -> None:
    """Guards against a state that was stored in an era that is over."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        harness.store.era = 1
        await _lead(harness, "a", "b")
        harness.store.restore(1)
        await _confirm(harness, 1.0)
        harness.store.restore(0)
        await _confirm(harness, 4.0)
        assert _stored(harness).leadership.era == 3
        assert support.SERVICE in _stored(harness).maps
        assert harness.coordinator.is_active

    support.run(scenario)


def test_first_leader_of_a_new_store_does_not_wait() -> None:
    """Guards against a slow start of a store that names its first era."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        harness.store.era = era_keys.FIRST_ERA
        await _lead(harness, "a")
        assert harness.orders.received("grant", "a")

    support.run(scenario)


class _RestoredStore(support.MemoryStore):
    """Names the new era only in the response to an append."""

    async def append(
        self, topic: str, records: list[port.Record], expected_end: int
    ) -> int | outcomes.Refusal:
        result = await super().append(topic, records, expected_end)
        self.era += 1
        return result


def test_append_in_a_later_era_counts_as_failed() -> None:
    """Guards against an expected end that another era reached by chance."""

    async def scenario() -> None:
        store = _RestoredStore()
        one = journal.Journal(store)
        await one.read()
        refusal = await one.append(port.Record("x", b"y"))
        assert refusal is not None
        assert refusal.code == codes.ResultCode.LOG_ERA_CHANGED
        assert await one.is_current() is None
        refusal = await one.append(port.Record("x", b"z"))
        assert refusal is not None
        assert len(store.records) == 1

    trio.run(scenario)
