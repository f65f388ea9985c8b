"""Tests of the stand-in for the platform's store."""

from __future__ import annotations

import asyncio
import time
import typing

import pytest

from agatestile.platform import store
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.store import port
from agatestile.transport import messages
from standins import platform_log

pytestmark = pytest.mark.anyio


class _Pool:
    """Passes calls to the stand-in without a connection."""

    def __init__(self, log: platform_log.PlatformLog) -> None:
        self._log = log

    async def call(
        self,
        address: tuple[str, int],
        request: messages.Request,
        timeout: float,
        **options: object,
    ) -> messages.Response:
        return await self._log._handle(request)


def _store(log: platform_log.PlatformLog) -> store.PlatformStore:
    pool: typing.Any = _Pool(log)
    return store.PlatformStore(pool, ("127.0.0.1", 1))


async def test_restored_copy_lacks_later_records_and_members() -> None:
    """Guards against a stand-in that forgets less than the store does."""
    log = platform_log.PlatformLog()
    log.era = 1
    client = _store(log)
    log.put("keyed.op", "a", b"1")
    copied_at = time.monotonic()
    log.put("keyed.op", "b", b"2")
    joined = await client.join("agatestile.leader", "host-1", 5.0, 0)
    assert isinstance(joined, port.Membership) and joined.era == 1
    log.restore(time.monotonic() - copied_at)
    refusal = await client.read("op", 2, 0.0)
    assert isinstance(refusal, outcomes.Refusal)
    assert refusal.code == codes.ResultCode.LOG_HISTORY_GONE
    assert client.era == 2
    page = await client.read_newest("op")
    assert page == port.Page([port.Record("a", b"1")], 1, era=2)
    assert await client.append("op", [port.Record("c", b"3")], 1) == 2
    assert await client.member_of("agatestile.leader", 0) is None


async def test_store_without_eras_names_none() -> None:
    """Guards against a header that deployments without eras don't have."""
    log = platform_log.PlatformLog()
    client = _store(log)
    log.put("keyed.op", "a", b"1")
    page = await client.read_newest("op")
    assert page == port.Page([port.Record("a", b"1")], 1)
    assert client.era == 0


@pytest.mark.parametrize("lost", [1, 3])
async def test_held_append_is_carried_out_in_a_later_era(lost: int) -> None:
    """Guards against a soak that can't make an append late."""
    log = platform_log.PlatformLog()
    log.era = 1
    client = _store(log)
    for number in range(4):
        assert await client.append("x", [port.Record("a", b"1")], number)
        await asyncio.sleep(0.01)
    log.hold_next_append()
    held = asyncio.create_task(
        client.append("x", [port.Record("b", b"late")], 4)
    )
    await asyncio.sleep(0.01)
    assert await client.append("x", [port.Record("a", b"2")], 4) == 5
    (age,) = log.copies_before_held(range(lost, lost + 1), 5.0)
    log.restore(age)
    for number in range(4 - lost, 4):
        assert not log.late_appends
        assert await client.append("x", [port.Record("a", b"3")], number)
    async with asyncio.timeout(1.0):
        await held
    assert log.late_appends == 1 and not log.holds_append
    page = await client.read_newest("x")
    assert isinstance(page, port.Page)
    assert page.end == 5
    assert port.Record("b", b"late") in page.records
