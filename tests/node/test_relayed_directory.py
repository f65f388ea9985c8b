"""Tests of relayed servers on a virtual clock."""

from __future__ import annotations

import anyio
import trio

from agatestile.catalog import directory
from agatestile.node import messages as peer_messages
from agatestile.node import peers
from agatestile.node import relayed_directory
from agatestile.node import reporter as reporter_module
from tests.assignment import support
from tests.catalog import test_directory
from tests.node import support as node_support


async def _coordinator_and_host(
    harness: support.CoordinatorHarness,
) -> tuple[peers.PeerService, peers.PeerService]:
    """Return the services of a coordinator and of another host."""
    await harness.coordinator.take_leadership()
    return (
        node_support.peer_service(harness),
        node_support.peer_service(harness),
    )


async def _relay_servers(
    service: peers.PeerService, reporter: reporter_module.Reporter
) -> None:
    """Send a report of a host and apply the servers in the response."""
    sent_at = trio.current_time()
    response = await service.handle_report(reporter._build_report())
    reporter._apply_servers(response, sent_at)


def test_relayed_departure_counts_from_the_report() -> None:
    """Guards against departures that the transfer of a response rejuvenates.

    A response over a full link arrives long after it was sent (DRAIN).
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service, host = await _coordinator_and_host(harness)
        listed = service._fleet.directory
        await anyio.sleep(2.0)
        listed.put(test_directory.entry("a", is_draining=True), 2.0, 1.5)
        listed.confirm(1.8)
        sent_at = trio.current_time()
        response = await service.handle_report(
            peer_messages.Report("host-2", 0, -1, 0, {}, {})
        )
        await anyio.sleep(0.9)
        host._reporter._apply_servers(response, sent_at)
        servers = host._fleet.directory
        leaving_since = servers.by_id["a"].leaving_since
        assert leaving_since is not None and leaving_since <= 1.5
        assert servers.confirmed_at == 1.8
        assert host._reporter.is_directory_relayed()
        await anyio.sleep(0.3)
        assert not host._reporter.is_directory_relayed()

    support.run(scenario)


def test_older_directory_does_not_return_a_removed_server() -> None:
    """Guards against a departure that a relayed directory undoes (DRAIN).

    The store refuses the coordinator, while this host has read that the
    server is gone.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service, host = await _coordinator_and_host(harness)
        read_before = service._fleet.directory
        read_before.put(test_directory.entry("a"), 0.0)
        read_before.confirm(0.0)
        servers = host._fleet.directory
        servers.put(test_directory.entry("a"), 0.0)
        await anyio.sleep(2.0)
        servers.remove("a", 0.0)
        servers.expire(2.0)
        servers.confirm(2.0)
        await _relay_servers(service, host._reporter)
        assert servers.by_id["a"].leaving_since == 0.0

    support.run(scenario)


def test_restarted_host_takes_no_servers_from_an_older_directory() -> None:
    """Guards against a server that nobody removes again (DRAIN).

    Its removal precedes the records that this host will read next, and the
    other hosts get their servers from this one once it leads.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service, host = await _coordinator_and_host(harness)
        read_before = service._fleet.directory
        read_before.put(test_directory.entry("gone"), 0.0)
        read_before.confirm(0.0)
        await anyio.sleep(2.0)
        servers = host._fleet.directory
        servers.put(test_directory.entry("present"), 2.0)
        servers.confirm(2.0)
        await _relay_servers(service, host._reporter)
        assert list(servers.by_id) == ["present"]
        read_before.put(test_directory.entry("present"), 2.0)
        read_before.delete("gone")
        read_before.put(test_directory.entry("new"), 2.1)
        await anyio.sleep(1.0)
        read_before.confirm(3.0)
        await _relay_servers(service, host._reporter)
        assert set(servers.by_id) == {"present", "new"}

    support.run(scenario)


def test_server_unknown_to_a_new_coordinator_is_gone() -> None:
    """Guards against requests to a server with an unrelayed removal (DRAIN).

    It was removed before the new coordinator started.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service, host = await _coordinator_and_host(harness)
        servers = host._fleet.directory
        for server_id in ("gone", "present"):
            servers.put(test_directory.entry(server_id), 0.0)
        servers.confirm(0.5)
        await anyio.sleep(1.0)
        listed = service._fleet.directory
        listed.put(test_directory.entry("present"), 1.0)
        listed.confirm(1.0)
        await _relay_servers(service, host._reporter)
        assert servers.by_id["gone"].leaving_since == 0.5
        assert servers.by_id["present"].leaving_since is None

    support.run(scenario)


def test_servers_of_a_response_that_a_read_overtook_are_sent_again() -> None:
    """Guards against a lost change of a server.

    The coordinator compared its directory with one that this host has
    replaced since.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service, host = await _coordinator_and_host(harness)
        listed = service._fleet.directory
        listed.put(test_directory.entry("a"), 0.0)
        listed.confirm(0.0)
        reporter, servers = host._reporter, host._fleet.directory
        response = await service.handle_report(reporter._build_report())
        servers.confirm(1.0)
        reporter._apply_servers(response, 0.0)
        assert not servers.by_id
        listed.confirm(2.0)
        await anyio.sleep(2.0)
        await _relay_servers(service, reporter)
        assert list(servers.by_id) == ["a"]

    support.run(scenario)


def test_unknown_server_is_gone_after_an_outage_of_this_host() -> None:
    """Guards against a grace period that nobody ends (DRAIN).

    It began when this host could read again; since then others read for it.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service, host = await _coordinator_and_host(harness)
        servers = host._fleet.directory
        servers.put(test_directory.entry("gone"), 0.0)
        servers.confirm(0.5)
        await anyio.sleep(1.0)
        servers.on_outage_end(1.0)
        service._fleet.directory.confirm(1.0)
        await _relay_servers(service, host._reporter)
        assert servers.by_id["gone"].leaving_since is None
        await anyio.sleep(directory.REAPPEARANCE_SECONDS)
        await _relay_servers(service, host._reporter)
        assert servers.by_id["gone"].leaving_since == 0.5

    support.run(scenario)


def test_server_that_returned_unnoticed_is_not_gone() -> None:
    """Guards against a server that one host avoids for good.

    The host reads that its entry is missing, and the coordinator later that
    it is back, which to the coordinator is no change.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service, host = await _coordinator_and_host(harness)
        listed = service._fleet.directory
        listed.put(test_directory.entry("a"), 0.0)
        listed.confirm(0.0)
        await _relay_servers(service, host._reporter)
        servers = host._fleet.directory
        servers.remove("a", 0.0)
        servers.expire(1.0)
        servers.confirm(1.0)
        servers.read_version = servers.version
        assert servers.by_id["a"].leaving_since == 0.0
        await anyio.sleep(2.0)
        listed.put(test_directory.entry("a", sequence=2), 2.0)
        listed.confirm(2.0)
        await _relay_servers(service, host._reporter)
        assert servers.by_id["a"].leaving_since is None

    support.run(scenario)


def test_grace_period_of_the_coordinator_returns_no_server() -> None:
    """Guards against waiting for a server that this host knows gone (DRAIN).

    The store refused the coordinator for a while, but not this host.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service, host = await _coordinator_and_host(harness)
        servers, listed = host._fleet.directory, service._fleet.directory
        for known in (servers, listed):
            known.put(test_directory.entry("a"), 0.0)
        servers.remove("a", 0.0)
        servers.expire(0.5)
        servers.confirm(0.5)
        await anyio.sleep(1.0)
        listed.on_outage_end(1.0)
        listed.remove("a", 0.0)
        listed.confirm(1.0)
        await _relay_servers(service, host._reporter)
        assert servers.by_id["a"].leaving_since == 0.0
        listed.put(test_directory.entry("a", sequence=2), 1.2)
        await anyio.sleep(1.0)
        listed.confirm(2.0)
        await _relay_servers(service, host._reporter)
        assert servers.by_id["a"].leaving_since is None

    support.run(scenario)


def test_read_without_changes_asks_for_no_list() -> None:
    """Guards against links filled with servers that all hosts know.

    A host reads service discovery itself while the coordinator is slow.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        service, host = await _coordinator_and_host(harness)
        listed = service._fleet.directory
        for server_id in ("a", "b"):
            listed.put(test_directory.entry(server_id), 0.0)
        listed.confirm(0.0)
        await _relay_servers(service, host._reporter)
        host._reporter._view.epoch = service._coordinator.epoch
        host._fleet.directory.confirm(1.0)
        await anyio.sleep(2.0)
        listed.put(test_directory.entry("a", slots=3), 2.0)
        listed.confirm(2.0)
        report = host._reporter._build_report()
        response = await service.handle_report(report)
        assert [server.id for server in response.servers] == ["a"]

    support.run(scenario)


def _response(
    era: int, *servers: directory.ServerEntry
) -> peer_messages.ReportResponse:
    return peer_messages.ReportResponse(
        1,
        1,
        1,
        0,
        True,
        0,
        7,
        [
            peer_messages.RelayedServer(*one, None, False)  # type: ignore
            for one in servers
        ],
        None,
        directory_age=0.0,
        has_all_servers=True,
        directory_era=era,
    )


def test_departed_server_does_not_return_with_an_older_directory() -> None:
    """Guards against a restarted coordinator that read an older copy.

    A later report of the server is no change there, so the host asks for all
    servers until it has one.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        servers = directory.Directory()
        host = relayed_directory.RelayedDirectory(servers, trio.current_time)
        await anyio.sleep(1.0)
        entry = test_directory.entry("a", sequence=5)
        for response in (_response(1, entry), _response(1)):
            host.reported_age()
            host.apply(response, trio.current_time())
            await anyio.sleep(0.1)
        assert servers.by_id["a"].leaving_since is not None
        host.reported_age()
        host.apply(_response(2, entry), trio.current_time())
        assert servers.by_id["a"].leaving_since is not None
        assert host.known_version(1) == 0
        later = test_directory.entry("a", sequence=6)
        host.reported_age()
        host.apply(_response(2, later), trio.current_time())
        assert servers.by_id["a"].leaving_since is None
        assert host.known_version(1) == 7

    support.run(scenario)


def test_directory_of_an_earlier_era_is_not_relayed() -> None:
    """Guards against a coordinator that hasn't seen the new era."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        servers = directory.Directory()
        host = relayed_directory.RelayedDirectory(servers, trio.current_time)
        servers.start_era(2, 0.0)
        host.reported_age()
        host.apply(_response(1, test_directory.entry("a")), 0.0)
        assert not servers.by_id

    support.run(scenario)
