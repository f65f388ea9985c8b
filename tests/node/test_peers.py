"""Tests of the reports to the coordinator on a virtual clock."""

from __future__ import annotations

import random

import anyio
import msgspec
import pytest
import trio

from agatestile.assignment import leases
from agatestile.assignment import ranges
from agatestile.assignment import records
from agatestile.assignment import state as state_module
from agatestile.balancing import load
from agatestile.entry import view as view_module
from agatestile.limits import shares
from agatestile.node import content_history
from agatestile.node import messages as peer_messages
from agatestile.node import peers
from agatestile.node import reporter as reporter_module
from tests.assignment import support
from tests.catalog import test_directory
from tests.node import support as node_support


def _report(
    host: str,
    epoch: int = 0,
    version: int = -1,
    servers: dict[str, load.Samples] | None = None,
) -> peer_messages.Report:
    return peer_messages.Report(host, epoch, version, 0, {}, servers or {})


def test_new_assignment_reaches_a_waiting_host_at_once() -> None:
    async def scenario(harness: support.CoordinatorHarness) -> None:
        service = node_support.peer_service(harness)
        harness.fleet.add("a")
        await harness.coordinator.take_leadership()
        first = await service.handle_report(_report("host-2"))
        assert first.epoch == 1
        while harness.coordinator.version == first.version:
            harness.coordinator.leader_lease.confirm(trio.current_time())
            started = trio.current_time()
            second = await service.handle_report(
                _report("host-2", 1, first.version)
            )
            assert trio.current_time() - started <= peers.REPORT_WAIT_SECONDS
        assert second.services is not None
        assert set(second.services) == {support.SERVICE}

    support.run(scenario)


async def _exchange(
    reporter: reporter_module.Reporter, service: peers.PeerService
) -> peer_messages.ReportResponse:
    """Report to a coordinator and apply its encoded response."""
    response = msgspec.msgpack.decode(
        msgspec.msgpack.encode(
            await service.handle_report(reporter._build_report())
        ),
        type=peer_messages.ReportResponse,
    )
    reporter._apply(response)
    return response


def _add_assignment(
    harness: support.CoordinatorHarness, range_count: int
) -> None:
    """Add a service whose keys are divided into many ranges."""
    fences = random.Random(1)
    width = ranges.KEY_COUNT // range_count
    key_map = ranges.RangeMap().replace(
        [
            ranges.KeyRange(
                number * width,
                (number + 1) * width - 1,
                ranges.Owner(f"i-{number:010x}", 1, fences.getrandbits(40)),
                ranges.UNOWNED,
            )
            for number in range(range_count)
        ]
    )
    harness.coordinator.services["prices"] = state_module.ServiceState(
        key_map, 0.0
    )
    harness.coordinator.publish()


def test_moved_range_is_sent_without_all_other_ranges() -> None:
    """Guards against assignments that fill the coordinator's link.

    It would send all ranges to each host for each move (CONFIG, DRAIN).
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service = node_support.peer_service(harness)
        reporter = service._reporter
        await harness.coordinator.take_leadership()
        _add_assignment(harness, 400)
        first = await _exchange(reporter, service)
        assert len(reporter._view.maps["prices"].ranges) == 401
        moved = ranges.KeyRange(
            100, 120, ranges.Owner("new", 7, 2**41), ranges.UNOWNED
        )
        state = harness.coordinator.services["prices"]
        state.key_map = state.key_map.replace([moved])
        harness.coordinator.publish()
        second = await _exchange(reporter, service)
        full_size = len(msgspec.msgpack.encode(first))
        assert len(msgspec.msgpack.encode(second)) < full_size / 10
        assert reporter._view.version == harness.coordinator.version
        assert reporter._view.find("prices", 110) == moved

    support.run(scenario)


def test_host_without_the_base_of_a_patch_gets_the_whole_assignment() -> None:
    """Guards against a host that stays with an old assignment.

    It may have got that one from the store or from another coordinator.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service = node_support.peer_service(harness)
        reporter = service._reporter
        await harness.coordinator.take_leadership()
        _add_assignment(harness, 40)
        await _exchange(reporter, service)
        reporter._view.load_stored(harness.coordinator.epoch, {})
        await _exchange(reporter, service)
        assert len(reporter._view.maps["prices"].ranges) == 41
        successor = node_support.peer_service(harness)
        harness.coordinator.publish()
        await _exchange(reporter, successor)
        assert reporter._view.version == harness.coordinator.version

    support.run(scenario)


def test_assignment_of_a_new_coordinator_with_lower_versions() -> None:
    """Guards against patches that are applied to another epoch's assignment.

    Each coordinator counts its assignments from the start of its process.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service = node_support.peer_service(harness)
        reporter = service._reporter
        await harness.coordinator.take_leadership()
        for range_count in range(30, 40):
            _add_assignment(harness, range_count)
        await _exchange(reporter, service)
        harness.coordinator.lose_leadership("test")
        await harness.coordinator.take_leadership()
        harness.coordinator._announcements.version = 2
        _add_assignment(harness, 50)
        await _exchange(reporter, service)
        assert (reporter._view.epoch, reporter._view.version) == (2, 3)
        _add_assignment(harness, 60)
        response = await _exchange(reporter, service)
        assert response.assignment is not None
        assert response.assignment.base_version == 3
        assert len(reporter._view.maps["prices"].ranges) == 61

    support.run(scenario)


def test_unreadable_patch_of_the_assignment_is_replaced() -> None:
    """Guards against a host that stays with an old assignment."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service = node_support.peer_service(harness)
        reporter = service._reporter
        await harness.coordinator.take_leadership()
        _add_assignment(harness, 40)
        await _exchange(reporter, service)
        version = reporter._view.version
        harness.coordinator.publish()
        response = await service.handle_report(reporter._build_report())
        response.assignment = content_history.ContentPatch(version, b"?")
        reporter._apply(response)
        assert reporter._view.version == version
        await _exchange(reporter, service)
        assert reporter._view.version == harness.coordinator.version

    support.run(scenario)


def test_earlier_release_exchanges_the_whole_assignment() -> None:
    """Guards against hosts without an assignment during an upgrade.

    Either the host or the coordinator may run the earlier release.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service = node_support.peer_service(harness)
        reporter = service._reporter
        await harness.coordinator.take_leadership()
        _add_assignment(harness, 40)
        response = await service.handle_report(_report("host-2"))
        assert response.assignment is None
        assert response.services is not None
        reporter._apply(response)
        assert len(reporter._view.maps["prices"].ranges) == 41

    support.run(scenario)


def test_silent_host_remains_a_member_for_a_while() -> None:
    """Guards against larger shares per host while a host is cut off.

    Counting it out at once would let the others exceed a cold server's bound
    together (FAILBACK).
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service = node_support.peer_service(harness)
        await harness.coordinator.take_leadership()
        for host in ("host-1", "host-2", "host-3"):
            await service.handle_report(_report(host))
        await anyio.sleep(5.0)
        response = await service.handle_report(_report("host-2"))
        assert (response.host_count, response.host_rank) == (3, 1)
        await anyio.sleep(peers.HOST_EXPIRY_SECONDS + 1.0)
        assert (await service.handle_report(_report("host-2"))).host_count == 1

    support.run(scenario)


def test_report_of_a_later_epoch_ends_the_leadership() -> None:
    async def scenario(harness: support.CoordinatorHarness) -> None:
        service = node_support.peer_service(harness)
        await harness.coordinator.take_leadership()
        await service.handle_report(_report("host-2", epoch=5))
        assert not harness.coordinator.epoch

    support.run(scenario)


def test_servers_are_relayed_with_their_state() -> None:
    """Guards against store calls that grow with the number of hosts.

    Each host would have to read service discovery itself.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service = node_support.peer_service(harness)
        await harness.coordinator.take_leadership()
        servers = service._fleet.directory
        servers.put(test_directory.entry("a", warmup_left=2.0), 0.0)
        servers.put(test_directory.entry("b", is_draining=True), 0.0)
        await anyio.sleep(0.5)
        response = await service.handle_report(_report("host-2", 1))
        relayed_by_id = {server.id: server for server in response.servers}
        assert 1.0 < relayed_by_id["a"].warmup_left < 1.6
        leaving_age = relayed_by_id["b"].leaving_age
        assert leaving_age is not None and leaving_age >= 0.5
        servers.put(test_directory.entry("a", sequence=2), 1.0)
        next_report = peer_messages.Report(
            "host-2", 1, response.version, response.directory_version, {}, {}
        )
        response = await service.handle_report(next_report)
        assert [server.id for server in response.servers] == ["a"]

    support.run(scenario)


def test_stored_assignment_serves_a_host_without_its_coordinator() -> None:
    """Guards against unserved keys on a host that reaches only the store."""
    owner, source = ranges.Owner("b", 1, 4), ranges.Owner("a", 1, 3)
    key_map = ranges.RangeMap().replace([ranges.KeyRange(5, 9, owner, source)])
    view = view_module.AssignmentView()
    view.update(3, 17, {"prices": ranges.RangeMap()}, 0.0)
    view.load_stored(3, {"prices": key_map})
    found = view.find("prices", 7)
    assert found is not None
    assert (found.owner, found.source) == (owner, ranges.UNOWNED)
    # A later response of the coordinator replaces it.
    assert view.update(3, 5, {}, 1.0)


def test_service_time_is_learnt_from_all_hosts() -> None:
    """Guards against unnoticed slow servers.

    Each of many hosts sees only a few responses of a server.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service = node_support.peer_service(harness)
        entry = test_directory.entry("slow")
        service._fleet.directory.put(entry, 0.0)
        await harness.coordinator.take_leadership()
        samples = {"slow": load.Samples(1, 0.4, 0)}
        for _ in range(4):
            for host in range(2, 26):
                await service.handle_report(
                    _report(f"host-{host}", 1, -1, samples)
                )
        learnt = service._fleet.load_of(entry).service_time
        assert abs(learnt - 0.4) < 0.04

    support.run(scenario)


def test_new_coordinator_does_not_reduce_the_host_count() -> None:
    """Guards against retries beyond the budget after a coordinator is lost.

    A new coordinator knows few hosts at first, and each host would use the
    shared slack of retries alone (BUDGET).
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service = node_support.peer_service(harness)
        reporter, fleet = service._reporter, service._fleet
        await harness.coordinator.take_leadership()
        for number in range(2, 6):
            await service.handle_report(_report(f"host-{number}"))
        reporter._apply(await service.handle_report(_report("host-1")))
        assert fleet.host_count == 5
        successor = node_support.peer_service(harness)
        reporter._apply(await successor.handle_report(_report("host-1")))
        assert fleet.host_count == 5

    support.run(scenario)


def test_departure_that_one_host_learnt_reaches_the_others() -> None:
    """Guards against hosts that learn a departure only from discovery."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service = node_support.peer_service(harness)
        service._fleet.directory.put(test_directory.entry("a"), 0.0)
        await harness.coordinator.take_leadership()
        first = await service.handle_report(_report("host-3"))
        report = _report("host-2")
        report.departures = [("a", 1, 0.5)]
        await service.handle_report(report)
        next_report = _report("host-3", 1, first.version)
        next_report.directory_version = first.directory_version
        response = await service.handle_report(next_report)
        assert [(one.id, one.is_missing) for one in response.servers] == [
            ("a", False)
        ]
        leaving_age = response.servers[0].leaving_age
        assert leaving_age is not None and leaving_age >= 0.5

    support.run(scenario)


def test_rate_limit_that_one_host_learnt_reaches_the_others() -> None:
    """Guards against limits that bind only hosts that got an answer (LIMIT).

    A host that has not been told would send requests beyond the limit.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service = node_support.peer_service(harness)
        fleet = service._fleet
        fleet.directory.put(test_directory.entry("a"), 0.0)
        await harness.coordinator.take_leadership()
        first = await service.handle_report(_report("host-3"))
        report = _report("host-2")
        report.rate_limits = [("a", 1, 2.5, 0.1)]
        report.demand = {"prices": 30}
        assert (await service.handle_report(report)).shares is None
        await anyio.sleep(shares.SHARE_LEASE_SECONDS)
        harness.coordinator.leader_lease.confirm(trio.current_time())
        told = await service.handle_report(report)
        next_report = _report("host-3", 1, first.version)
        next_report.directory_version = first.directory_version
        response = await service.handle_report(next_report)
        assert [(one.id, one.rate_limit) for one in response.servers] == [
            ("a", 2.5)
        ]
        assert told.shares is not None and response.shares is not None
        (busy, idle) = (told.shares["prices"], response.shares["prices"])
        assert busy[1] - busy[0] > idle[1] - idle[0] > 0.0
        reporter = service._reporter
        fleet.directory.delete("a")
        reporter._apply_servers(response, trio.current_time())
        assert fleet.directory.by_id["a"].rate_limit == 2.5

    support.run(scenario)


def test_successor_learns_shares_from_reports() -> None:
    """Guards against shares that a successor gives to others (LIMIT)."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service = node_support.peer_service(harness)
        reporter, fleet = service._reporter, service._fleet
        fleet.directory.put(test_directory.entry("a"), 0.0)
        fleet.directory.set_rate_limit(("a", 1), 2.5, 0.0)
        await harness.coordinator.take_leadership()

        async def report_while_shares_last(to: peers.PeerService) -> None:
            until = trio.current_time() + shares.SHARE_LEASE_SECONDS
            while trio.current_time() < until:
                harness.coordinator.leader_lease.confirm(trio.current_time())
                await _exchange(reporter, to)
                await anyio.sleep(peers.REPORT_WAIT_SECONDS)

        await report_while_shares_last(service)
        await _exchange(reporter, service)
        whole = shares.AppliedShares(
            {"prices": (0.0, 0.9)}, shares.even_share(0, 1)
        )
        assert reporter._build_report().shares == whole
        successor = node_support.peer_service(harness)
        directory = successor._fleet.directory
        directory.put(test_directory.entry("a"), 0.0)
        directory.set_rate_limit(("a", 1), 2.5, 0.0)
        await report_while_shares_last(successor)
        assert reporter._build_report().shares == whole
        other = _report("host-2")
        other.demand = {"prices": 30}
        other.shares = shares.NO_SHARES
        assert (await successor.handle_report(other)).shares is None
        await _exchange(reporter, successor)
        assert (await successor.handle_report(other)).shares is None
        await _exchange(reporter, successor)
        response = await successor.handle_report(other)
        assert response.shares is not None
        start, end = response.shares["prices"]
        assert end - start > 0.3

    support.run(scenario)


@pytest.mark.parametrize("is_settled", [True, False])
def test_shares_are_allocated_once_no_earlier_ones_last(
    is_settled: bool,
) -> None:
    """Guards against shares of a leader that reaches no store (LIMIT)."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service = node_support.peer_service(harness)
        await harness.coordinator.take_leadership()
        harness.coordinator._leadership = records.Leadership(
            1, "host-1", is_settled=is_settled
        )
        started = trio.current_time()
        while (await service.handle_report(_report("host-2"))).shares is None:
            harness.coordinator.leader_lease.confirm(trio.current_time())
            await anyio.sleep(0.1)
        wait = shares.SHARE_LEASE_SECONDS
        if not is_settled:
            wait += leases.LEADER_LEASE_SECONDS
        assert 0.0 <= trio.current_time() - started - wait < 0.5

    support.run(scenario)


@pytest.mark.parametrize("host_count", [30, 100, 300, 1000])
def test_places_of_hosts_change_only_when_hosts_come_and_go(
    host_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against work on all hosts for each report of one of them."""
    updates = 0
    update = peers.Members._update_ranks

    def count_update(members: peers.Members) -> None:
        nonlocal updates
        updates += 1
        update(members)

    monkeypatch.setattr(peers.Members, "_update_ranks", count_update)
    members = peers.Members()
    hosts = [f"10.0.0.{number}:80" for number in range(host_count)]
    for step in range(10):
        for host in hosts:
            members.on_report(host, float(step))
            assert members.expire(float(step)) == []
    assert updates == host_count
    assert members.ranks == {
        host: rank for rank, host in enumerate(sorted(hosts))
    }
    later = 10.0 + peers.HOST_EXPIRY_SECONDS
    members.on_report(hosts[0], later)
    assert sorted(members.expire(later)) == sorted(hosts[1:])
    assert members.ranks == {hosts[0]: 0}
