"""Tests of the quotas of tenants in the request handler."""

from __future__ import annotations

import asyncio

import pytest

from agatestile.catalog import tenants
from agatestile.entry import exchange
from agatestile.entry import quota_check
from agatestile.entry import refusals
from agatestile.limits import quotas
from agatestile.observability import counters
from tests.entry import support

TENANT = tenants.Tenant("shop", None, 0.001, 10.0)
LIMITS = quotas.Limits(0.15, 0.0, 20)


def _quotas(now: float, tokens: int) -> quotas.HostQuotas:
    """Return the quotas of a host with single tokens."""
    host = quotas.HostQuotas(1, LIMITS)
    host.configure([TENANT], now)
    for rows in ([], [], [quotas.GrantRow("shop", 0.0, tokens)]):
        report = host.report(now)
        assert report is not None
        host.apply(quotas.Grant(report.number, 1, False, True, rows), now)
    return host


class _NoGrants:
    """A coordinator that grants nothing."""

    async def wait_granted(self, timeout: float) -> bool:
        return False


def _use_quotas(
    harness: support.HandlerHarness,
    tokens: int,
    monkeypatch: pytest.MonkeyPatch,
) -> quotas.HostQuotas:
    """Give the handler quotas, and all requests a tenant."""
    handler = harness.handler
    host = _quotas(handler.boot_time(), tokens)
    handler._quotas = quota_check.QuotaCheck(
        host, _NoGrants(), handler.boot_time, handler.registry
    )
    create_context = handler._create_context

    def with_tenant(
        *arguments: object,
    ) -> exchange.RequestContext | refusals.RequestRefusal:
        context = create_context(*arguments)  # type: ignore[arg-type]
        if isinstance(context, refusals.RequestRefusal):
            return context
        return context._replace(tenant=TENANT)

    monkeypatch.setattr(handler, "_create_context", with_tenant)
    return host


async def _respond(received: support.ReceivedRequest) -> bytes:
    return support.signed_response(received)


async def _shed_request(received: support.ReceivedRequest) -> bytes:
    return support.shed_response(received)


async def _respond_error(received: support.ReceivedRequest) -> bytes:
    return support.signed_response(received, 500, b"error")


@pytest.mark.anyio
async def test_request_beyond_the_quota_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a server that gets more than the quota."""
    async with support.handler_harness() as harness:
        harness.configure()
        await harness.add_server("a", _respond)
        _use_quotas(harness, 2, monkeypatch)
        statuses = [(await harness.send()).status for _ in range(2)]
        refused = await harness.send()
    assert statuses == [200, 200]
    assert refused.status == 429
    assert 0.0 < float(refused.header(b"retry-after") or 0.0) <= 1.0 / 3.0
    assert len(harness.non_probe_requests()) == 2


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("responder", "kept"), [(_shed_request, 0), (_respond_error, 1)]
)
async def test_only_requests_that_did_not_run_give_their_token_back(
    responder: support.Responder, kept: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a lost credit, and against one that is used twice."""
    async with support.handler_harness() as harness:
        harness.configure(attempts=1)
        await harness.add_server("a", responder)
        host = _use_quotas(harness, 2, monkeypatch)
        await harness.send()
        assert host.totals(harness.handler.boot_time()).tokens == 2 - kept


@pytest.mark.anyio
async def test_request_without_a_server_gives_its_token_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a quota that is spent while a service is down."""
    async with support.handler_harness() as harness:
        harness.configure()
        host = _use_quotas(harness, 1, monkeypatch)
        assert (await harness.send()).status == 503
        assert host.totals(harness.handler.boot_time()).tokens == 1


@pytest.mark.anyio
async def test_cancelled_request_keeps_its_token(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a credit for a request that may have run."""

    async def never_respond(received: support.ReceivedRequest) -> None:
        await asyncio.sleep(5.0)

    async with support.handler_harness() as harness:
        harness.configure()
        await harness.add_server("a", never_respond)
        host = _use_quotas(harness, 1, monkeypatch)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await harness.send()
        assert host.totals(harness.handler.boot_time()).tokens == 0


@pytest.mark.anyio
async def test_request_that_waited_needs_a_token_again() -> None:
    """Guards against requests that are sent in a later window."""
    clock = [100.0]
    check = quota_check.QuotaCheck(
        _quotas(clock[0], 1),
        _NoGrants(),
        lambda: clock[0],
        counters.Registry(),
    )
    ticket = await check.admit(TENANT, 4, 1.0)
    assert isinstance(ticket, quota_check.Ticket)
    clock[0] += LIMITS.send_delay
    assert ticket.check() is None
    clock[0] += quotas.LEASE_SECONDS
    refusal = ticket.check()
    assert refusal is not None and refusal.retry_after is not None


@pytest.mark.anyio
@pytest.mark.parametrize("tenant", [None, tenants.Tenant("free")])
async def test_requests_without_a_quota_are_not_counted(
    tenant: tenants.Tenant | None,
) -> None:
    """Guards against costs of deployments without quotas."""
    registry = counters.Registry()
    check = quota_check.QuotaCheck(
        _quotas(100.0, 1), _NoGrants(), lambda: 100.0, registry
    )
    assert await check.admit(tenant, 4, 1.0) is None
    assert b"quota" not in registry.render()


@pytest.mark.anyio
async def test_request_waits_for_a_token_of_the_coordinator() -> None:
    """Guards against refusals of tenants that are below their quota.

    Their requests are fewer than the hosts, so that most hosts have no token
    when one arrives.
    """
    host = _quotas(100.0, 0)

    class Grants:
        async def wait_granted(self, timeout: float) -> bool:
            assert timeout <= quota_check.MAX_WAIT_SECONDS + 1e-6
            report = host.report(100.0)
            assert report is not None and report.is_urgent
            (row,) = report.rows
            assert (row.demand, row.refused) == (1, 1)
            rows = [quotas.GrantRow("shop", 0.0, 1)]
            return host.apply(
                quotas.Grant(report.number, 1, False, True, rows), 100.0
            )

    check = quota_check.QuotaCheck(
        host, Grants(), lambda: 100.0, counters.Registry()
    )
    ticket = await check.admit(TENANT, 36, 2.0)
    assert isinstance(ticket, quota_check.Ticket)
    # No further token.
    check = quota_check.QuotaCheck(
        host, _NoGrants(), lambda: 100.0, counters.Registry()
    )
    refused = await check.admit(TENANT, 36, 2.0)
    assert isinstance(refused, refusals.RequestRefusal)


@pytest.mark.anyio
async def test_host_without_a_coordinator_serves_its_part() -> None:
    """Guards against hosts that refuse all tenants while none leads."""
    clock = [100.0]
    host = quotas.HostQuotas(1, LIMITS)
    tenant = tenants.Tenant("shop", None, 40.0, 40.0)
    host.configure([tenant], clock[0])
    check = quota_check.QuotaCheck(
        host, _NoGrants(), lambda: clock[0], counters.Registry()
    )
    admitted = 0
    for _ in range(500):
        clock[0] += 0.01
        ticket = await check.admit(tenant, 4, 1.0)
        admitted += isinstance(ticket, quota_check.Ticket)
    # In 5 s a quarter of 80% of the rate and of the burst.
    assert 0.25 * 0.8 * 200.0 - 1 <= admitted <= 0.25 * 0.8 * 240.0 + 1


def test_host_keeps_its_part_when_the_coordinator_is_lost() -> None:
    """Guards against an even part for hosts whose callers are many or few.

    A host without a share of a large tenant must not add an even part to the
    shares of the others.
    """
    tenant = tenants.Tenant("shop", None, 400.0, 400.0)
    started = quotas.HostQuotas(1, LIMITS)
    started.configure([tenant], 100.0)
    report = started.report(100.0)
    assert report is not None
    # A coordinator that does not allocate yet says nothing of shares.
    for is_renewed in (False, True):
        report = started.report(100.0)
        assert report is not None
        started.apply(
            quotas.Grant(report.number, 1, False, is_renewed, [], False),
            100.0,
        )
        assert not started.is_allocated(100.0)
        assert started.fallback_share(tenant, 10) == pytest.approx(0.1)
    for share, expected in ((0.2, 0.2), (0.0, 0.25 * 0.1)):
        host = _quotas(100.0, 0)
        host.configure([tenant], 100.0)
        report = host.report(100.0)
        assert report is not None
        rows = [quotas.GrantRow("shop", share)]
        host.apply(quotas.Grant(report.number, 1, False, True, rows), 100.0)
        host.totals(100.0 + quotas.LEASE_SECONDS)
        assert host.fallback_share(tenant, 10) == pytest.approx(expected)


@pytest.mark.anyio
async def test_request_waits_for_the_next_token_of_a_share() -> None:
    """Guards against refusals when requests arrive close to each other."""
    clock = [100.0]
    tenant = tenants.Tenant("shop", None, 20.0, 10.0)
    host = _quotas(clock[0], 0)
    host.configure([tenant], clock[0])
    report = host.report(clock[0])
    assert report is not None
    rows = [quotas.GrantRow("shop", 0.5)]
    host.apply(quotas.Grant(report.number, 1, False, True, rows), clock[0])

    class Time:
        async def wait_granted(self, timeout: float) -> bool:
            clock[0] += timeout
            return False

    check = quota_check.QuotaCheck(
        host, Time(), lambda: clock[0], counters.Registry()
    )
    for _ in range(3):
        ticket = await check.admit(tenant, 4, 1.0)
        assert isinstance(ticket, quota_check.Ticket)
    # Three tokens at 10/s.
    assert clock[0] == pytest.approx(100.3, abs=0.05)
