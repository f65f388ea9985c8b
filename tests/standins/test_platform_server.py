"""The stand-in server keeps to fences and notices two holders."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from agatestile.transport import messages
from standins import platform_server

pytestmark = pytest.mark.anyio


def _order(path: bytes, **fields: object) -> messages.Request:
    order = {"from": 0, "to": 99, "fence": 5, "holdMs": 1000, **fields}
    return messages.Request(b"POST", path, [], msgspec.json.encode(order))


async def test_fences_and_releases() -> None:
    checker = platform_server.InvariantChecker()
    made = platform_server.PlatformServer("s1", "keyed", True, checker)
    assert (await made._handle(_order(b"/grant"))).status == 200
    assert made.lease_on(50) is not None
    # A release with a higher fence keeps late repeats of the grant out.
    released = await made._handle(_order(b"/release", fence=9))
    assert released.header(b"x-handover") == b"state"
    assert made.lease_on(50) is None
    assert (await made._handle(_order(b"/grant"))).status == 409


async def test_two_holders_are_noticed() -> None:
    checker = platform_server.InvariantChecker()
    one, two = (
        platform_server.PlatformServer(name, "keyed", True, checker)
        for name in ("s1", "s2")
    )
    for server in (one, two):
        server.is_up = True
        await server._handle(_order(b"/grant"))
    checker.on_started(one, 50, "r1")
    assert checker.violations
    await asyncio.sleep(0)
