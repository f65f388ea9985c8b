"""Tests of tenants and API keys: decisions, headers, changes, log lines."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import pathlib
import socket
import typing

import hypothesis
from hypothesis import strategies
import pytest

from agatestile.catalog import configuration
from agatestile.catalog import tenants as tenants_module
from agatestile.entry import authentication
from agatestile.entry import exchange
from agatestile.entry import quota_check
from agatestile.entry import refusals
from agatestile.entry import request_context
from agatestile.node import settings as node_settings
from agatestile.platform import manifest
from agatestile.results import codes
from agatestile.transport import messages
from agatestile.transport import server
from tests.entry import support

CODES = codes.ResultCode
SHOP = tenants_module.Tenant("shop", priority=2)
HALL = tenants_module.Tenant("hall")
BROKEN = tenants_module.Tenant("broken", invalid_reason="burst is negative")
TENANTS = tenants_module.Tenants.from_entries(
    [
        (SHOP, ["shop-key", "shared", "\u00e9t\u00e9"]),
        (HALL, ["hall-key", "shared"]),
        (BROKEN, ["broken-key"]),
    ]
)
ROUTE = configuration.Route(
    "r", configuration.RouteKind.SAFE, (), 1.0, 0.4, 2, 1
)
BOUNDS = node_settings.Bounds(configuration=2.5, revoke=5.0)
STRICT_BOUNDS = BOUNDS._replace(strict_revoke=True)
UNUSUAL_KEYS = [
    b"",
    b"\xff\xfe\xc3",
    b"\x00\x01",
    b"shop-key\xc3",
    b"SHOP-KEY",
    b"k" * 15_000,
]


def _identify(
    *keys: bytes,
    tenants: tenants_module.Tenants | None = TENANTS,
    age: float = 0.1,
    bounds: node_settings.Bounds = BOUNDS,
    route: configuration.Route = ROUTE,
) -> tenants_module.Tenant | codes.ResultCode | None:
    """Return the tenant, or the code of the refusal."""
    found = authentication.identify(tenants, route, keys, age, bounds)
    if isinstance(found, refusals.RequestRefusal):
        return found.code
    return found


# Decisions


def test_key_names_its_tenant() -> None:
    """Guards against a valid key that is refused or taken for another's."""
    assert _identify(b"shop-key") == SHOP
    assert _identify("\u00e9t\u00e9".encode()) == SHOP
    assert _identify(b"hall-key") == HALL


@pytest.mark.parametrize("keys", [(), (b"shop-key",), (b"x", b"y")])
def test_public_route_or_no_tenants_need_no_key(
    keys: tuple[bytes, ...],
) -> None:
    """Guards against refusals in deployments that use no keys."""
    assert _identify(*keys, tenants=None, age=math.inf) is None
    public = ROUTE._replace(is_public=True)
    assert (
        _identify(*keys, route=public, age=math.inf, bounds=STRICT_BOUNDS)
        is None
    )


@pytest.mark.parametrize("keys", [(), *((key,) for key in UNUSUAL_KEYS)])
def test_missing_or_unknown_key_is_unauthenticated(
    keys: tuple[bytes, ...],
) -> None:
    """Guards against service without a key, and errors on odd bytes."""
    assert _identify(*keys) is CODES.UNAUTHENTICATED


@hypothesis.given(strategies.lists(strategies.binary(max_size=40), max_size=3))
def test_keys_of_any_bytes_have_a_result(keys: list[bytes]) -> None:
    """Guards against an exception that a caller can trigger."""
    found = _identify(*keys)
    if len(keys) > 1:
        assert found is CODES.BAD_REQUEST
    else:
        assert isinstance(found, tenants_module.Tenant | codes.ResultCode)


@pytest.mark.parametrize("keys", [(b"shop-key", b"shop-key"), (b"", b"x")])
def test_two_keys_are_a_bad_request(keys: tuple[bytes, ...]) -> None:
    """Guards against a request that two tenants could be charged for."""
    assert _identify(*keys) is CODES.BAD_REQUEST


@pytest.mark.parametrize("key", [b"shared", b"broken-key"])
def test_key_without_a_usable_tenant_is_refused_with_503(key: bytes) -> None:
    """Guards against a 401 for a caller whose key exists."""
    assert _identify(key) is CODES.CONFIGURATION_INVALID


@pytest.mark.parametrize("keys", [(), (b"new-key",)])
@pytest.mark.parametrize(
    ("age", "code"),
    [
        (2.19, CODES.UNAUTHENTICATED),
        (2.21, CODES.CONFIGURATION_OUTDATED),
        (math.inf, CODES.CONFIGURATION_OUTDATED),
    ],
)
def test_unknown_key_is_a_503_while_the_configuration_may_be_outdated(
    keys: tuple[bytes, ...], age: float, code: codes.ResultCode
) -> None:
    """Guards against a 401 for a key that a newer configuration has."""
    assert _identify(*keys, age=age) is code


@pytest.mark.parametrize("keys", [(), (b"new-key",)])
def test_unknown_key_is_a_503_while_not_all_tenants_are_readable(
    keys: tuple[bytes, ...],
) -> None:
    """Guards against a 401 for a key of the entry that can't be read."""
    incomplete = TENANTS._replace(is_complete=False)
    assert _identify(*keys, tenants=incomplete) is CODES.CONFIGURATION_INVALID
    assert _identify(b"shop-key", tenants=incomplete) == SHOP


@pytest.mark.parametrize("key", [b"shop-key", b"unknown", b"shared"])
def test_strict_host_refuses_keys_that_may_have_been_revoked(
    key: bytes,
) -> None:
    """Guards against a revoked key that an isolated host still accepts."""
    refused = CODES.CONFIGURATION_OUTDATED
    assert _identify(key, age=4.5, bounds=STRICT_BOUNDS) is refused
    assert _identify(key, age=math.inf, bounds=STRICT_BOUNDS) is refused


@pytest.mark.parametrize(
    ("bounds", "age"), [(STRICT_BOUNDS, 4.3), (BOUNDS, 1e6)]
)
def test_known_key_is_accepted_until_the_bound_on_revocations(
    bounds: node_settings.Bounds, age: float
) -> None:
    """Guards against an isolated host that stops to serve without a need."""
    assert _identify(b"shop-key", age=age, bounds=bounds) == SHOP


@pytest.mark.parametrize(
    ("tenant", "priority"),
    [(None, 1), (HALL, 1), (SHOP, 2), (SHOP._replace(priority=0), 0)],
)
def test_priority_of_the_tenant_replaces_that_of_the_route(
    tenant: tenants_module.Tenant | None, priority: int
) -> None:
    """Guards against a priority of 0 that counts as none."""
    assert authentication.effective_priority(ROUTE, tenant) == priority


def test_no_refusal_repeats_a_key() -> None:
    """Guards against keys in log lines, which contain the reasons."""
    secret = b"secret-0123456789"
    tenants = tenants_module.Tenants.from_entries(
        [
            (HALL, [secret.decode() + "a", secret.decode() + "b"]),
            (BROKEN, [secret.decode() + "a", secret.decode() + "c"]),
        ]
    )
    reasons = []
    for keys in ([b"a"], [b"b"], [b"c"], [b"d"], [b"a", b"b"]):
        for age in (0.0, 3.0, 9.0):
            for tenants_read in (True, False):
                found = authentication.identify(
                    tenants._replace(is_complete=tenants_read),
                    ROUTE,
                    tuple(secret + key for key in keys),
                    age,
                    STRICT_BOUNDS,
                )
                if isinstance(found, refusals.RequestRefusal):
                    reasons.append(found.reason)
    assert len(reasons) >= 20
    assert not [one for one in reasons if "secret" in one]


def test_exchange_does_not_import_the_handler() -> None:
    """Guards against the circular import that was removed."""
    source = pathlib.Path(exchange.__file__).read_text(encoding="utf-8")
    assert "entry import handler" not in source


# Requests through the handler


async def _respond(received: support.ReceivedRequest) -> bytes:
    return support.signed_response(received)


def _key(*values: bytes) -> messages.Headers:
    return [(b"x-api-key", value) for value in values]


def _identity_lines(head: bytes) -> list[bytes]:
    """Return the lines of a head that carry a key or name a tenant."""
    return [
        line
        for line in head.split(b"\r\n")
        if line.lower().startswith((b"x-api-key", b"x-tenant-id"))
    ]


@pytest.mark.anyio
async def test_server_gets_the_tenant_instead_of_the_key() -> None:
    """Guards against a key or a forged tenant that reaches a server."""
    async with support.handler_harness() as harness:
        harness.configure(tenants=TENANTS)
        await harness.add_server("a", _respond)
        forged = [(b"x-tenant-id", b"hall"), (b"x-tenant-id", b"")]
        response = await harness.send(extra=[*forged, *_key(b"shop-key")])
        assert response.status == 200
        (received,) = harness.non_probe_requests()
    assert _identity_lines(received.head) == [b"x-tenant-id: shop"]
    assert b"shop-key" not in received.head


@pytest.mark.anyio
@pytest.mark.parametrize("method", [b"GET", b"POST"])
async def test_each_attempt_names_the_tenant_only(method: bytes) -> None:
    """Guards against a retry or a probe that carries the key."""

    async def shed(received: support.ReceivedRequest) -> bytes:
        return support.shed_response(received)

    async with support.handler_harness() as harness:
        harness.configure(tenants=TENANTS)
        for name in ("a", "b"):
            await harness.add_server(name, shed)
        await harness.send(method, b"", extra=_key(b"shop-key"))
        assert len(harness.non_probe_requests()) == 2
        for received in harness.non_probe_requests():
            assert _identity_lines(received.head) == [b"x-tenant-id: shop"]
        for received in harness.received_requests:
            assert b"shop-key" not in received.head


@pytest.mark.anyio
@pytest.mark.parametrize("keys", [(), (b"shop-key",), (b"x", b"y")])
async def test_public_route_forwards_neither_header(
    keys: tuple[bytes, ...],
) -> None:
    """Guards against a key or a forged tenant on routes without a check."""
    async with support.handler_harness() as harness:
        harness.configure(tenants=TENANTS, public=True)
        await harness.add_server("a", _respond)
        extra = [(b"x-tenant-id", b"hall"), *_key(*keys)]
        assert (await harness.send(extra=extra)).status == 200
        (received,) = harness.non_probe_requests()
    assert _identity_lines(received.head) == []


@pytest.mark.anyio
async def test_deployment_without_tenants_forwards_both_headers() -> None:
    """Guards against a change for deployments that check keys themselves."""
    async with support.handler_harness() as harness:
        harness.configure()
        await harness.add_server("a", _respond)
        extra = [(b"x-tenant-id", b"hall"), *_key(b"x", b"\xff")]
        assert (await harness.send(extra=extra)).status == 200
        (received,) = harness.non_probe_requests()
    assert _identity_lines(received.head) == [
        b"x-tenant-id: hall",
        b"x-api-key: x",
        b"x-api-key: \xff",
    ]


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("keys", "status"),
    [
        ((), 401),
        *(((key,), 401) for key in UNUSUAL_KEYS),
        ((b"shop-key", b"shop-key"), 400),
        ((b"shared",), 503),
        ((b"broken-key",), 503),
    ],
)
async def test_refused_request_reaches_no_server(
    keys: tuple[bytes, ...], status: int
) -> None:
    """Guards against refused requests that run."""
    async with support.handler_harness() as harness:
        harness.configure(tenants=TENANTS)
        await harness.add_server("a", _respond)
        response = await harness.send(extra=_key(*keys))
        assert response.status == status
        assert (response.header(b"retry-after") is None) == (status != 503)
        assert not harness.received_requests


@pytest.mark.anyio
@pytest.mark.parametrize(("age", "status"), [(0.5, 401), (9.0, 503)])
async def test_unknown_key_at_a_host_without_confirmation(
    age: float, status: int
) -> None:
    """Guards against a 401 from an isolated host, which may lack the key."""
    async with support.handler_harness() as harness:
        harness.configure(tenants=TENANTS)
        await harness.add_server("a", _respond)
        harness.configuration_confirmed_at = harness.now() - age
        response = await harness.send(extra=_key(b"new-key"))
        assert response.status == status
        known = await harness.send(extra=_key(b"shop-key"))
        assert known.status == 200


@pytest.mark.anyio
async def test_strict_host_serves_only_public_routes_once_outdated() -> None:
    """Guards against service for revoked keys, and refusals without need."""
    async with support.handler_harness() as harness:
        await harness.add_server("a", _respond)
        harness.fleet.bounds = STRICT_BOUNDS
        harness.configuration_confirmed_at = harness.now() - 9.0
        harness.configure(tenants=TENANTS)
        response = await harness.send(extra=_key(b"shop-key"))
        assert response.status == 503
        assert response.header(b"retry-after") is not None
        assert not harness.received_requests
        harness.configure(tenants=TENANTS, public=True)
        assert (await harness.send()).status == 200


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("key", "priority"), [(b"shop-key", 2), (b"hall-key", 0)]
)
async def test_context_has_the_tenant_and_its_priority(
    monkeypatch: pytest.MonkeyPatch, key: bytes, priority: int
) -> None:
    """Guards against a priority that later decisions do not get."""
    contexts = []

    class RecordingExchange(exchange.Exchange):
        def __init__(
            self,
            handler: request_context.SharedState,
            context: request_context.RequestContext,
            ticket: quota_check.Ticket | None = None,
        ) -> None:
            contexts.append(context)
            super().__init__(handler, context, ticket)

    monkeypatch.setattr(exchange, "Exchange", RecordingExchange)
    async with support.handler_harness() as harness:
        harness.configure(tenants=TENANTS)
        await harness.send(extra=_key(key))
    (context,) = contexts
    assert context.tenant == TENANTS.by_key[key]
    assert context.priority == priority


# Changes of the configuration


class _Connection:
    """A kept connection of a caller to the listener of a host."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def send(self, *lines: bytes, body: bytes = b"") -> int:
        """Send a request with header lines and return the status."""
        head = [b"GET /x/1 HTTP/1.1", b"Host: a.example", *lines]
        head.append(b"X-Request-Id: id-1")
        self._writer.write(b"\r\n".join(head) + b"\r\n\r\n" + body)
        answer = await self._reader.readuntil(b"\r\n\r\n")
        length = support.header_value(answer, b"content-length")
        await self._reader.readexactly(int(length))
        return int(answer.split(b" ")[1])


@contextlib.asynccontextmanager
async def _connection(
    harness: support.HandlerHarness,
) -> typing.AsyncIterator[_Connection]:
    listener = server.Listener(
        harness.handler.handle, configuration.CallerLimits
    )
    with socket.create_server(("127.0.0.1", 0)) as unused:
        address = unused.getsockname()
    await listener.start(*address)
    reader, writer = await asyncio.open_connection(*address)
    try:
        yield _Connection(reader, writer)
    finally:
        writer.close()
        listener.stop()


@pytest.mark.anyio
async def test_changed_keys_apply_to_kept_connections() -> None:
    """Guards against a tenant that is remembered with its connection."""

    def tenants(
        shop_keys: list[str], hall_keys: list[str]
    ) -> tenants_module.Tenants:
        return tenants_module.Tenants.from_entries(
            [(SHOP, shop_keys), (HALL, hall_keys)]
        )

    async with support.handler_harness() as harness:
        await harness.add_server("a", _respond)
        async with _connection(harness) as connection:
            line = b"X-API-Key: k1"
            for version, status in (
                (tenants([], ["k2"]), 401),
                (tenants(["k1"], ["k2"]), 200),
                (tenants([], ["k1", "k2"]), 200),
                (tenants(["k1"], ["k1"]), 503),
                (tenants(["k2"], []), 401),
            ):
                harness.configure(tenants=version)
                assert await connection.send(line) == status
        names = [
            support.header_value(one.head, b"x-tenant-id")
            for one in harness.non_probe_requests()
        ]
    assert names == [b"shop", b"hall"]


@pytest.mark.anyio
async def test_unusual_keys_leave_the_connection_usable() -> None:
    """Guards against an error or a reset that a caller's key triggers."""
    async with support.handler_harness() as harness:
        harness.configure(tenants=TENANTS)
        await harness.add_server("a", _respond)
        async with _connection(harness) as connection:
            for value in (b"", b"\xff\xc3", b"k" * 15_000):
                line = b"x-api-key: " + value
                assert await connection.send(line) == 401
            assert await connection.send(b"x-api-key: a", b"X-Api-Key: b") == (
                400
            )
            assert await connection.send(b"X-aPI-kEY:  shop-key ") == 200


@pytest.mark.anyio
async def test_trailers_name_no_tenant() -> None:
    """Guards against a forged tenant after a chunked body."""
    async with support.handler_harness() as harness:
        harness.configure(tenants=TENANTS)
        await harness.add_server("a", _respond)
        async with _connection(harness) as connection:
            status = await connection.send(
                b"X-Api-Key: shop-key",
                b"Transfer-Encoding: chunked",
                body=b"1\r\nx\r\n0\r\nX-Tenant-Id: hall\r\n\r\n",
            )
            assert status == 200
        (received,) = harness.non_probe_requests()
    assert _identity_lines(received.head) == [b"x-tenant-id: shop"]


@pytest.mark.anyio
async def test_request_in_progress_ends_normally_when_its_tenant_goes() -> (
    None
):
    """Guards against an error in requests that a server works on."""
    async with support.handler_harness() as harness:

        async def remove_tenant(received: support.ReceivedRequest) -> bytes:
            harness.configure(tenants=tenants_module.Tenants({}, {}))
            return support.signed_response(received)

        harness.configure(tenants=TENANTS)
        await harness.add_server("a", remove_tenant)
        response = await harness.send(extra=_key(b"shop-key"))
        assert response.status == 200


@pytest.mark.anyio
@pytest.mark.parametrize(
    "replacement",
    [
        tenants_module.Tenants({}, {}),
        tenants_module.Tenants({b"shop-key": HALL}, {"hall": HALL}),
    ],
)
async def test_request_is_not_repeated_for_a_key_that_changed(
    replacement: tenants_module.Tenants,
) -> None:
    """Guards against a retry for a revoked key, or for its former tenant."""
    async with support.handler_harness() as harness:

        async def replace_tenants(received: support.ReceivedRequest) -> bytes:
            harness.configure(tenants=replacement)
            return support.shed_response(received)

        harness.configure(tenants=TENANTS)
        for name in ("a", "b"):
            await harness.add_server(name, replace_tenants)
        response = await harness.send(extra=_key(b"shop-key"))
        assert response.status == 503
        assert len(harness.non_probe_requests()) == 1


@pytest.mark.anyio
async def test_request_that_waited_is_not_sent_for_a_revoked_key() -> None:
    """Guards against a request whose keys move until its key is revoked."""
    async with support.handler_harness() as harness:
        harness.configure(tenants=TENANTS, partitioned=True)
        await harness.add_server("a", _respond)
        harness.assign("a", moving_from="b")
        async with asyncio.TaskGroup() as tasks:
            sending = tasks.create_task(
                harness.send(key=1, extra=_key(b"shop-key"))
            )
            await asyncio.sleep(0.05)
            harness.configure(
                tenants=tenants_module.Tenants({}, {}), partitioned=True
            )
            harness.assign("a")
        assert sending.result().status == 503
        assert not harness.non_probe_requests()


# Log lines


@pytest.mark.anyio
async def test_log_lines_name_the_tenant_and_contain_no_key() -> None:
    """Guards against keys in log lines or metrics, of any outcome."""

    async def fail(received: support.ReceivedRequest) -> bytes | None:
        return None

    with support.recorded_events() as lines:
        async with support.handler_harness() as harness:
            harness.configure(tenants=TENANTS, attempts=1)
            await harness.add_server("a", _respond)
            statuses = [(await harness.send(extra=_key(b"shop-key"))).status]
            statuses += [
                (await harness.send(extra=_key(*keys))).status
                for keys in (
                    (b"unknown-key",),
                    (b"shop-key", b"hall-key"),
                    (b"shared",),
                    (b"broken-key",),
                )
            ]
            response = await harness.send(
                extra=_key(b"shop-key"), target=b"/y/"
            )
            statuses.append(response.status)
            harness.fleet.directory.delete("a")
            response = await harness.send(extra=_key(b"shop-key"))
            statuses.append(response.status)
            harness.configure(tenants=TENANTS, partitioned=True)
            response = await harness.send(extra=_key(b"shop-key"))
            statuses.append(response.status)
            harness.configure(tenants=TENANTS, attempts=1)
            await harness.add_server("b", fail)
            response = await harness.send(extra=_key(b"shop-key"))
            statuses.append(response.status)
            rendered = harness.handler.registry.render().decode()
        for value in ("shop-key", ["shop-key", 5], {"shop-key": "hall-key"}):
            manifest.decode_configuration(
                json.dumps(
                    {
                        "version": "r1",
                        "listeners": [],
                        "clusters": [],
                        "tenants": [{"name": "shop", "apiKeys": value}],
                    }
                ).encode()
            )
    text = json.dumps(lines)
    assert statuses == [200, 401, 400, 503, 503, 404, 503, 400, 502]
    requests = [one for one in lines if one["event"].startswith("request_")]
    assert [one["code"] for one in requests if "tenant" not in one] == [
        CODES.UNAUTHENTICATED,
        CODES.BAD_REQUEST,
        CODES.CONFIGURATION_INVALID,
        CODES.CONFIGURATION_INVALID,
        CODES.NO_ROUTE,
    ]
    named = [one["tenant"] for one in requests if "tenant" in one]
    assert named == ["shop"] * 4
    assert 'result="UNAUTHENTICATED"' in rendered
    for secret in ("-key", "shared"):
        assert secret not in text
        assert secret not in rendered
