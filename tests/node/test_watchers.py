"""Reads of service discovery and of the operator's records."""

from __future__ import annotations

import json
import math
import typing

import anyio
import pytest
import trio
from trio import testing

from agatestile.catalog import configuration
from agatestile.catalog import directory
from agatestile.node import watchers
from agatestile.platform import records
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.store import port
from tests.platform import test_adapter

GONE = outcomes.Refusal(codes.ResultCode.LOG_HISTORY_GONE, "compacted")
DOWN = outcomes.Refusal(codes.ResultCode.LOG_UNAVAILABLE, "down")


class ScriptedStore:
    """Returns what a test scripted, call by call."""

    def __init__(self, *results: port.Page | outcomes.Refusal) -> None:
        self.results = list(results)
        self.calls: list[str] = []

    async def read_newest(self, topic: str) -> port.Page | outcomes.Refusal:
        self.calls.append("newest")
        return self.results.pop(0)

    async def read(
        self, topic: str, start: int, wait: float, limit: int = 0
    ) -> port.Page | outcomes.Refusal:
        self.calls.append(f"read {start}")
        return self.results.pop(0)


def _heartbeat(name: str, sequence: int = 1) -> port.Record:
    fields = {**test_adapter.HEARTBEAT, "seq": sequence}
    return port.Record(name, json.dumps(fields).encode())


def _discovery(
    *results: port.Page | outcomes.Refusal,
) -> tuple[watchers.DiscoveryWatcher, directory.Directory, list[float]]:
    known = directory.Directory()
    now = [0.0]
    watcher = watchers.DiscoveryWatcher(
        ScriptedStore(*results),  # type: ignore[arg-type]
        records.PlatformRecordFormat(),
        known,
        lambda: now[0],
        lambda: None,
    )
    return watcher, known, now


@pytest.mark.anyio
async def test_servers_come_and_go() -> None:
    watcher, known, _ = _discovery(
        port.Page([_heartbeat("a"), port.Record("odd", b"\xff")], 4),
        port.Page([_heartbeat("b"), port.Record("a", b"")], 6),
    )
    await watcher.poll()
    assert set(known.by_id) == {"a"}
    await watcher.poll()
    assert known.by_id["a"].leaving_since == 0.0
    assert known.by_id["b"].leaving_since is None


@pytest.mark.anyio
async def test_server_that_left_during_a_compaction_is_noticed() -> None:
    """Pattern: the store forgets its history while a server leaves."""
    watcher, known, _ = _discovery(
        port.Page([_heartbeat("a"), _heartbeat("b")], 4),
        GONE,
        port.Page([_heartbeat("b", 2)], 90),
    )
    await watcher.poll()
    await watcher.poll()
    assert known.by_id["a"].leaving_since is not None
    assert known.by_id["b"].leaving_since is None


@pytest.mark.anyio
async def test_entries_that_lapsed_in_an_outage_get_time_to_return() -> None:
    """Pattern: outage of the store in which entries lapse."""
    watcher, known, now = _discovery(
        port.Page([_heartbeat("a")], 4),
        DOWN,
        DOWN,
        port.Page([port.Record("a", b"")], 5),
        port.Page([_heartbeat("a", 9)], 6),
    )
    for second in range(5):
        now[0] = float(second)
        await watcher.poll()
    assert known.by_id["a"].leaving_since is None


def _configuration(version: int) -> port.Record:
    fields = {**test_adapter.MANIFEST, "version": f"r{version}"}
    return port.Record("config", json.dumps(fields).encode())


def _operator(
    store: ScriptedStore,
    now: typing.Callable[[], float] = trio.current_time,
    **callbacks: typing.Any,
) -> watchers.OperatorWatcher:
    """Return a watcher that tells what the callbacks ask for."""
    return watchers.OperatorWatcher(
        store,  # type: ignore[arg-type]
        records.PlatformRecordFormat(),
        now,
        callbacks.get("on_configuration", lambda new: None),
        callbacks.get("on_evacuations", lambda domains, since: None),
        callbacks.get("is_relayed", lambda: False),
    )


@pytest.mark.anyio
async def test_configuration_never_goes_back() -> None:
    versions: list[int] = []
    evacuations: list[set[str]] = []

    def take(new: configuration.Configuration) -> None:
        versions.append(new.version)

    watcher = _operator(
        ScriptedStore(
            port.Page(
                [_configuration(9), port.Record("evacuate/anna", b"{}")], 2
            ),
            port.Page([_configuration(7), port.Record("config", b"{")], 4),
            port.Page(
                [_configuration(10), port.Record("evacuate/anna", b"")], 6
            ),
        ),
        lambda: 0.0,
        on_configuration=take,
        on_evacuations=lambda domains, since: evacuations.append(domains),
    )
    for _ in range(3):
        assert await watcher.poll()
    assert versions == [9, 10]
    assert evacuations == [{"anna"}, set()]


class _SilentStore(ScriptedStore):
    """Answers the first read and leaves further ones without an answer."""

    async def read_newest(self, topic: str) -> port.Page | outcomes.Refusal:
        if self.results:
            return await super().read_newest(topic)
        return await self.read(topic, 0, 0.0)

    async def read(
        self, topic: str, start: int, wait: float, limit: int = 0
    ) -> port.Page | outcomes.Refusal:
        self.calls.append(f"read {start} for {wait:g}")
        if self.results:
            return self.results.pop(0)
        await anyio.sleep(100.0)
        return DOWN


@pytest.mark.parametrize("coordinator_end", [5, None])
def test_wait_on_a_silent_connection_is_given_up(
    coordinator_end: int | None,
) -> None:
    """Pattern: connections that go silent, a configuration meanwhile."""
    store = _SilentStore(port.Page([], 2))

    async def main() -> None:
        watcher = _operator(
            store, is_relayed=lambda: coordinator_end is not None
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            for _ in range(10):
                await anyio.sleep(0.25)
                watcher.check_wait(coordinator_end)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=testing.MockClock(autojump_threshold=0))
    assert len(store.calls) > 2


class _SlowStore(ScriptedStore):
    """Takes longer for each read than the interval of checks."""

    async def read_newest(self, topic: str) -> port.Page | outcomes.Refusal:
        if self.results:
            return await super().read_newest(topic)
        return await self.read(topic, len(self.calls), 0.0)

    async def read(
        self, topic: str, start: int, wait: float, limit: int = 0
    ) -> port.Page | outcomes.Refusal:
        self.calls.append(f"read {start} for {wait:g}")
        await anyio.sleep(0.6)
        return port.Page([], start + 1)


def test_slow_reads_make_progress_while_records_come() -> None:
    """Pattern: manifests in quick succession over a slow link."""
    store = _SlowStore(port.Page([], 2))

    async def main() -> int | None:
        watcher = _operator(store, is_relayed=lambda: True)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            for _ in range(20):
                await anyio.sleep(0.25)
                watcher.check_wait(100)
            tasks.cancel_scope.cancel()
        return watcher.read_state.end

    end = trio.run(main, clock=testing.MockClock(autojump_threshold=0))
    assert end is not None and end >= 5


def test_storm_of_large_configurations_is_skipped_over() -> None:
    """Pattern: large manifests in quick succession over a slow link.

    Reading each of them took 5 Mbit/s for longer than the bound (CONFIG,
    scale-1 of nkabom-gate-grown).
    """
    store = ScriptedStore(
        port.Page([], 5),
        port.Page([_configuration(7)], 6, is_last=False),
        port.Page([_configuration(30)], 29),
        DOWN,
    )
    versions: list[int] = []
    watcher = _operator(
        store, on_configuration=lambda new: versions.append(new.version)
    )

    async def main() -> None:
        for _ in range(4):
            await watcher.poll()

    trio.run(main)
    assert store.calls == ["newest", "read 5", "newest", "read 29"]
    assert versions == [7, 30]


def test_large_configurations_leave_a_slow_link_room() -> None:
    """Pattern: large manifests in quick succession over a slow link."""
    padding = {**test_adapter.MANIFEST, "version": "r7", "x": "y" * 70_000}
    large = port.Record("config", json.dumps(padding).encode())
    store = ScriptedStore(
        port.Page([], 5),
        port.Page([large], 6),
        port.Page([_configuration(9)], 9),
        DOWN,
    )

    async def main() -> float:
        watcher = _operator(store)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            await anyio.sleep(0.1)
            watcher.check_wait(9)
            while len(store.calls) < 3:
                await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()
        return trio.current_time()

    ended = trio.run(main, clock=testing.MockClock(autojump_threshold=0))
    assert store.calls[:3] == ["newest", "read 5", "newest"]
    assert ended >= watchers.LARGE_PAGE_PAUSE_SECONDS


def test_evacuation_counts_from_the_last_read_before_an_outage() -> None:
    """Pattern: the store refuses one host while a domain is evacuated.

    A host that learnt of it late went on to send to owners there for as
    long as if it were new (EVAC, trouble-1 of cennik-brama-grown).
    """
    told: list[tuple[set[str], float]] = []
    now = [0.0]
    evacuation = port.Record("evacuate/anna", b"{}")
    watcher = _operator(
        ScriptedStore(
            port.Page([], 2), DOWN, DOWN, port.Page([evacuation], 3)
        ),
        lambda: now[0],
        on_evacuations=lambda *news: told.append(news),
    )

    async def main() -> None:
        for second in range(4):
            now[0] = float(second)
            await watcher.poll()

    trio.run(main)
    assert told == [({"anna"}, 0.0)]


def test_evacuation_at_the_start_is_in_force_at_once() -> None:
    told: list[tuple[set[str], float]] = []
    store = ScriptedStore(port.Page([port.Record("evacuate/anna", b"{}")], 3))
    watcher = _operator(store, on_evacuations=lambda *news: told.append(news))
    trio.run(watcher.poll)
    assert told == [({"anna"}, -math.inf)]
