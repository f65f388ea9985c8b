"""Tests of the watchers of service discovery and the operator's records."""

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

HISTORY_GONE = outcomes.Refusal(codes.ResultCode.LOG_HISTORY_GONE, "compacted")
UNAVAILABLE = outcomes.Refusal(codes.ResultCode.LOG_UNAVAILABLE, "down")


class ScriptedStore:
    """Returns the results given by the test, one per call."""

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
    servers = directory.Directory()
    now = [0.0]
    watcher = watchers.DiscoveryWatcher(
        ScriptedStore(*results),  # type: ignore[arg-type]
        records.PlatformRecordFormat(),
        servers,
        lambda: now[0],
        lambda: None,
    )
    return watcher, servers, now


@pytest.mark.anyio
async def test_servers_are_added_and_removed() -> None:
    watcher, servers, _ = _discovery(
        port.Page([_heartbeat("a"), port.Record("odd", b"\xff")], 4),
        port.Page([_heartbeat("b"), port.Record("a", b"")], 6),
    )
    await watcher.poll()
    assert set(servers.by_id) == {"a"}
    await watcher.poll()
    assert servers.by_id["a"].leaving_since == 0.0
    assert servers.by_id["b"].leaving_since is None


@pytest.mark.anyio
async def test_server_that_left_during_a_compaction_is_detected() -> None:
    """Guards against servers that stay listed after a compaction.

    The store deletes its history, with the removal of a server in it.
    """
    watcher, servers, _ = _discovery(
        port.Page([_heartbeat("a"), _heartbeat("b")], 4),
        HISTORY_GONE,
        port.Page([_heartbeat("b", 2)], 90),
    )
    await watcher.poll()
    await watcher.poll()
    assert servers.by_id["a"].leaving_since is not None
    assert servers.by_id["b"].leaving_since is None


@pytest.mark.anyio
async def test_entries_that_expired_in_an_outage_may_return() -> None:
    """Guards against dropping servers whose entries expire in an outage.

    The store is unavailable, so the entries are not renewed there.
    """
    watcher, servers, now = _discovery(
        port.Page([_heartbeat("a")], 4),
        UNAVAILABLE,
        UNAVAILABLE,
        port.Page([port.Record("a", b"")], 5),
        port.Page([_heartbeat("a", 9)], 6),
    )
    for second in range(5):
        now[0] = float(second)
        await watcher.poll()
    assert servers.by_id["a"].leaving_since is None


def _configuration(version: int) -> port.Record:
    fields = {**test_adapter.MANIFEST, "version": f"r{version}"}
    return port.Record("config", json.dumps(fields).encode())


def _operator(
    store: ScriptedStore,
    now: typing.Callable[[], float] = trio.current_time,
    **callbacks: typing.Any,
) -> watchers.OperatorWatcher:
    """Return a watcher with the given callbacks and defaults for others."""
    return watchers.OperatorWatcher(
        store,  # type: ignore[arg-type]
        records.PlatformRecordFormat(),
        now,
        callbacks.get("on_configuration", lambda new: None),
        callbacks.get("on_evacuations", lambda domains, since: None),
        callbacks.get("is_relayed", lambda: False),
    )


@pytest.mark.anyio
async def test_older_configuration_is_ignored() -> None:
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
    """Responds to the scripted reads only; further ones get no response."""

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
        return UNAVAILABLE


@pytest.mark.parametrize("coordinator_end", [5, None])
def test_wait_on_a_silent_connection_is_cancelled(
    coordinator_end: int | None,
) -> None:
    """Guards against a configuration missed on a silent connection.

    A read waits on a connection that went silent while one is written.
    """
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
    """Takes longer for each read than the interval between checks."""

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


def test_slow_reads_make_progress_while_records_arrive() -> None:
    """Guards against reads that are cancelled again and again.

    Configurations follow one another quickly over a slow link.
    """
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


def test_replaced_large_configurations_are_skipped() -> None:
    """Guards against late configurations after several large ones.

    Reading each of them occupied a link of 5 Mbit/s for longer than the bound
    (CONFIG, scale-1 of nkabom-gate-grown).
    """
    store = ScriptedStore(
        port.Page([], 5),
        port.Page([_configuration(7)], 6, is_last=False),
        port.Page([_configuration(30)], 29),
        UNAVAILABLE,
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


def test_reads_pause_after_a_large_configuration() -> None:
    """Guards against configurations that crowd out requests.

    Large ones follow one another quickly over a slow link.
    """
    padding = {**test_adapter.MANIFEST, "version": "r7", "x": "y" * 70_000}
    large = port.Record("config", json.dumps(padding).encode())
    store = ScriptedStore(
        port.Page([], 5),
        port.Page([large], 6),
        port.Page([_configuration(9)], 9),
        UNAVAILABLE,
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
    """Guards against a grace period that starts late on one host.

    The store refused the host while a domain was evacuated. It then sent to
    owners there for as long as if the evacuation were new (EVAC, trouble-1 of
    cennik-brama-grown).
    """
    changes: list[tuple[set[str], float]] = []
    now = [0.0]
    evacuation = port.Record("evacuate/anna", b"{}")
    watcher = _operator(
        ScriptedStore(
            port.Page([], 2),
            UNAVAILABLE,
            UNAVAILABLE,
            port.Page([evacuation], 3),
        ),
        lambda: now[0],
        on_evacuations=lambda *change: changes.append(change),
    )

    async def main() -> None:
        for second in range(4):
            now[0] = float(second)
            await watcher.poll()

    trio.run(main)
    assert changes == [({"anna"}, 0.0)]


def test_evacuation_before_the_start_applies_at_once() -> None:
    changes: list[tuple[set[str], float]] = []
    store = ScriptedStore(port.Page([port.Record("evacuate/anna", b"{}")], 3))
    watcher = _operator(
        store, on_evacuations=lambda *change: changes.append(change)
    )
    trio.run(watcher.poll)
    assert changes == [({"anna"}, -math.inf)]
