"""Tests of the stand-in for the platform's backend servers."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from agatestile.transport import messages
from standins import platform_server

pytestmark = pytest.mark.anyio


def _make_order(path: bytes, **fields: object) -> messages.Request:
    order = {"from": 0, "to": 99, "fence": 5, "holdMs": 1000, **fields}
    return messages.Request(b"POST", path, [], msgspec.json.encode(order))


async def test_release_with_a_higher_fence_refuses_late_grants() -> None:
    """Guards against a late repeat of a grant that revives a lease.

    The grant of fencing token 5 arrives again after a release with 9.
    """
    checker = platform_server.InvariantChecker()
    server = platform_server.PlatformServer("s1", "keyed", True, checker)
    assert (await server._handle(_make_order(b"/grant"))).status == 200
    assert server.lease_on(50) is not None
    released = await server._handle(_make_order(b"/release", fence=9))
    assert released.header(b"x-handover") == b"state"
    assert server.lease_on(50) is None
    assert (await server._handle(_make_order(b"/grant"))).status == 409


async def test_two_holders_of_a_key_are_a_violation() -> None:
    """Guards against a checker that misses two servers holding one key."""
    checker = platform_server.InvariantChecker()
    first, second = (
        platform_server.PlatformServer(name, "keyed", True, checker)
        for name in ("s1", "s2")
    )
    for server in (first, second):
        server.is_up = True
        await server._handle(_make_order(b"/grant"))
    checker.on_started(first, 50, "r1")
    assert checker.violations
    await asyncio.sleep(0)


async def _make_holders(
    is_healed: bool,
) -> tuple[
    platform_server.InvariantChecker, list[platform_server.PlatformServer]
]:
    """Return servers that hold the same keys, the first by a late grant."""
    checker = platform_server.InvariantChecker()
    servers = [
        platform_server.PlatformServer(name, "keyed", True, checker)
        for name in ("s1", "s2")
    ]
    now = asyncio.get_running_loop().time()
    servers[0].grant_excuses.append(
        platform_server.GrantExcuse(now - 1.0, now + 1.0, is_healed)
    )
    for server in servers:
        server.is_up = True
        await server._handle(_make_order(b"/grant"))
    return checker, servers


async def test_late_grant_is_a_violation_once_both_servers_begin() -> None:
    """Guards against an excuse for requests that both servers begin."""
    checker, (first, second) = await _make_holders(is_healed=False)
    checker.on_started(second, 50, "r1")
    assert not checker.violations
    checker.on_started(first, 50, "r2")
    assert checker.violations


async def test_grant_after_a_link_healed_is_excused() -> None:
    """Guards against violations that the rules don't count."""
    checker, (first, second) = await _make_holders(is_healed=True)
    checker.on_started(second, 50, "r1")
    checker.on_started(first, 50, "r2")
    assert not checker.violations


@pytest.mark.parametrize("is_healed", [True, False])
async def test_late_renewal_excuses_no_lease_in_force(is_healed: bool) -> None:
    """Guards against a late renewal that hides two timely grants."""
    checker, (first, second) = await _make_holders(is_healed)
    (excuse,) = first.grant_excuses
    first.grant_excuses.clear()
    first._remove_leases(0, 99)
    await first._handle(_make_order(b"/grant"))
    first.grant_excuses.append(excuse)
    await first._handle(_make_order(b"/grant"))
    checker.on_started(second, 50, "r1")
    assert checker.violations
