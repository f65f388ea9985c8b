"""Tests of quotas in the messages between hosts, on a virtual clock."""

from __future__ import annotations

import msgspec
import trio

from agatestile.assignment import records
from agatestile.catalog import tenants
from agatestile.limits import quotas
from agatestile.node import messages as peer_messages
from agatestile.node import peers
from agatestile.node import quota_exchange
from agatestile.node import settings
from tests.assignment import support
from tests.limits import quota_model
from tests.node import support as node_support

TENANT = tenants.Tenant("shop", None, 100.0, 100.0)


def _exchange(
    harness: support.CoordinatorHarness, *found: tenants.Tenant
) -> quota_exchange.QuotaExchange:
    exchange = quota_exchange.QuotaExchange(
        harness.coordinator, settings.Bounds(), 1, trio.current_time
    )
    exchange.on_configuration(quota_model.configured(*found))
    return exchange


def _report(
    host: str, quota_report: quotas.Report | None, epoch: int = 0
) -> peer_messages.Report:
    return peer_messages.Report(
        host, epoch, -1, 0, {}, {}, quotas=quota_report
    )


async def _send(
    service: peers.PeerService,
    exchange: quota_exchange.QuotaExchange,
    host: str,
) -> peer_messages.ReportResponse:
    """Report to a coordinator and apply its encoded response."""
    body = peer_messages.encode(_report(host, exchange.report()))
    report = msgspec.msgpack.decode(body, type=peer_messages.Report)
    response = msgspec.msgpack.decode(
        peer_messages.encode(await service.handle_report(report)),
        type=peer_messages.ReportResponse,
    )
    exchange.apply(response.quotas)
    return response


def test_host_is_listed_before_it_gets_a_share() -> None:
    """Guards against shares that a successor does not know of."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        own = _exchange(harness, TENANT)
        service = node_support.peer_service(harness, own)
        await harness.coordinator.take_leadership()
        host = _exchange(harness, TENANT)
        for _ in range(4):
            host.quotas.admit("shop", trio.current_time())
            await _send(service, host, "host-2")
            assert host.quotas.totals(trio.current_time()).shares == 0
        await own.store_hosts()
        stored = await harness.coordinator._journal.read()
        assert isinstance(stored, records.StoredAssignments)
        assert stored.leadership.quota_hosts == ["host-2"]
        assert stored.leadership.is_settled
        host.quotas.admit("shop", trio.current_time())
        await _send(service, host, "host-2")
        assert host.quotas.totals(trio.current_time()).shares == 1

    support.run(scenario)


def test_successor_knows_the_hosts_of_its_predecessor() -> None:
    """Guards against a list that a takeover loses."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        coordinator = harness.coordinator
        await coordinator.take_leadership()
        assert await coordinator.store_quota_hosts(1, ["host-2", "host-3"])
        coordinator.lose_leadership("test")
        assert not await coordinator.store_quota_hosts(1, [])
        await coordinator.take_leadership()
        assert coordinator.epoch == 2
        assert coordinator.leadership.quota_hosts == ["host-2", "host-3"]
        assert not await coordinator.store_quota_hosts(1, [])
        assert coordinator.previous.epoch == 1

    support.run(scenario)


def test_nothing_is_sent_or_stored_without_quotas() -> None:
    """Guards against larger messages in deployments without quotas."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        own = _exchange(harness, tenants.Tenant("free"))
        service = node_support.peer_service(harness, own)
        await harness.coordinator.take_leadership()
        response = await _send(service, own, "host-2")
        assert response.quotas is None
        await own.store_hosts()
        stored = await harness.coordinator._journal.read()
        assert isinstance(stored, records.StoredAssignments)
        assert stored.leadership.quota_hosts == []

    support.run(scenario)


def test_messages_without_quotas_keep_their_size() -> None:
    """Guards against a field that earlier releases do not have."""
    report = peer_messages.encode(_report("host-2", None))
    assert len(msgspec.msgpack.decode(report)) == 13
    response = peer_messages.ReportResponse(1, 1, 1, 0, True, 0, 0, [], None)
    assert len(msgspec.msgpack.decode(peer_messages.encode(response))) == 15
    leadership = records.encode_leadership(records.Leadership(1, "host-2"))
    assert len(msgspec.msgpack.decode(leadership.value)) == 5


def test_request_for_a_token_is_answered_at_once() -> None:
    """Guards against a host that refuses while the coordinator holds it."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        own = _exchange(harness, TENANT)
        service = node_support.peer_service(harness, own)
        await harness.coordinator.take_leadership()
        host = _exchange(harness, TENANT)
        await _send(service, host, "host-2")
        host.quotas.admit("shop", trio.current_time())
        started = trio.current_time()
        body = _report("host-2", host.report(), harness.coordinator.epoch)
        body.version = harness.coordinator.version
        await service.handle_report(body)
        assert trio.current_time() - started < 0.01

    support.run(scenario)


def test_report_of_the_previous_leader_proves_that_it_stopped() -> None:
    """Guards against a long wait after a restart of all hosts."""

    class _Leader:
        epoch = 2
        previous = records.Leadership(1, "host-1", is_settled=True)
        leadership = records.Leadership(2, "host-2", quota_hosts=["host-1"])
        is_active = True
        is_settled = False

        async def store_quota_hosts(
            self, epoch: int, hosts: list[str]
        ) -> bool:
            return False

    own = quota_exchange.QuotaExchange(
        _Leader(), settings.Bounds(), 1, lambda: 100.0
    )
    own.on_configuration(quota_model.configured(TENANT))
    host = quotas.HostQuotas(2, quotas.Limits(0.0, 0.0, 0))
    host.configure([TENANT], 100.0)
    for _ in range(2):
        report = host.report(100.0)
        own.receive("host-1", report)
        grant = own.grant("host-1", report)
        assert grant is not None
        host.apply(grant, 100.0)
    assert own._allocator.is_allocating
