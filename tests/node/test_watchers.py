"""Tests of the watcher of service discovery."""

from __future__ import annotations

import json
import math

import pytest
import trio
from trio import testing

from agatestile.catalog import directory
from agatestile.node import watchers
from agatestile.platform import records
from agatestile.results import outcomes
from agatestile.store import port
from tests.catalog import test_directory
from tests.node import support
from tests.platform import test_adapter


def _heartbeat(name: str, sequence: int = 1) -> port.Record:
    fields = {**test_adapter.HEARTBEAT, "seq": sequence}
    return port.Record(name, json.dumps(fields).encode())


def _discovery(
    *results: port.Page | outcomes.Refusal,
) -> tuple[watchers.DiscoveryWatcher, directory.Directory, list[float]]:
    servers = directory.Directory()
    now = [0.0]
    watcher = watchers.DiscoveryWatcher(
        support.ScriptedStore(*results),  # type: ignore[arg-type]
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
        support.HISTORY_GONE,
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
        support.UNAVAILABLE,
        support.UNAVAILABLE,
        port.Page([port.Record("a", b"")], 5),
        port.Page([_heartbeat("a", 9)], 6),
    )
    for second in range(5):
        now[0] = float(second)
        await watcher.poll()
    assert servers.by_id["a"].leaving_since is None


@pytest.mark.anyio
async def test_server_that_left_while_the_store_refused_one_host() -> None:
    """Guards against a grace period without an outage of the store (DRAIN).

    The store refuses the coordinator for a second and serves other hosts, so
    a missing entry has not expired in an outage.
    """
    watcher, servers, now = _discovery(
        port.Page([_heartbeat("a")], 4),
        support.UNAVAILABLE,
        support.UNAVAILABLE,
        support.UNAVAILABLE,
        port.Page([port.Record("a", b"")], 5),
    )
    watcher._store_confirmed_at = lambda: now[0] - 0.7
    for step in range(5):
        now[0] = 0.9 * step
        await watcher.poll()
    assert servers.by_id["a"].leaving_since == 0.0


@pytest.mark.anyio
async def test_grace_period_counts_from_the_start_of_the_read() -> None:
    """Guards against a grace period that a slow read prolongs (DRAIN).

    The store was back when the read began, so entries return from then on.
    """
    watcher, servers, now = _discovery(
        port.Page([_heartbeat("a")], 4), support.UNAVAILABLE
    )
    await watcher.poll()
    now[0] = 3.0
    await watcher.poll()

    def pass_time() -> None:
        now[0] += 0.5

    store = support.ScriptedStore(
        port.Page([port.Record("a", b"")], 5), port.Page([], 5)
    )
    store.during_read = pass_time
    watcher._store = store  # type: ignore[assignment]
    await watcher.poll()
    assert servers.by_id["a"].leaving_since is None
    now[0] = 3.0 + directory.REAPPEARANCE_SECONDS - 0.4
    await watcher.poll()
    assert servers.by_id["a"].leaving_since == 0.0


def test_refusal_before_the_relay_starts_no_grace_period() -> None:
    """Guards against a grace period for an outage that is long over (DRAIN).

    The coordinator relayed all servers since this host was refused.
    """

    async def main() -> None:
        watcher, servers, _ = _discovery(
            port.Page([_heartbeat("a")], 4),
            support.UNAVAILABLE,
            support.UNAVAILABLE,
            port.Page([], 9),
        )
        watcher._now = trio.current_time
        watcher._is_relayed = lambda: 2.0 < trio.current_time() < 8.0
        await watcher.poll()
        await trio.sleep(3.0 - trio.current_time())
        await watcher.poll()
        await watcher.poll()
        with trio.move_on_after(5.5):
            await watcher.run()
        assert servers.by_id["a"].leaving_since == 0.0

    trio.run(main, clock=testing.MockClock(autojump_threshold=0))


@pytest.mark.anyio
@pytest.mark.parametrize("is_removed", [True, False])
async def test_departure_counts_from_the_read_before(is_removed: bool) -> None:
    """Guards against a grace period that starts when a departure is read.

    It may have begun right after the read before (DRAIN, nkabom-gate-grown).
    """
    draining = {**test_adapter.HEARTBEAT, "seq": 2, "state": "draining"}
    value = b"" if is_removed else json.dumps(draining).encode()
    watcher, servers, now = _discovery(
        port.Page([_heartbeat("a")], 4),
        port.Page([port.Record("a", value)], 5),
    )
    now[0] = 1.0
    await watcher.poll()
    now[0] = 2.6
    await watcher.poll()
    assert servers.by_id["a"].leaving_since == 1.0
    assert servers.confirmed_at == 2.6


@pytest.mark.anyio
async def test_read_that_the_relay_overtook_removes_no_server() -> None:
    """Guards against a new server that one host does not know.

    A slow list of all servers may arrive after a more recent one from the
    coordinator, which sends later only what changes.
    """
    watcher, servers, now = _discovery(port.Page([_heartbeat("a")], 4))

    def relay() -> None:
        now[0] = 2.0
        for server_id in ("a", "new"):
            servers.put(test_directory.entry(server_id), 2.0)
        servers.confirm(1.5)

    store = support.ScriptedStore(port.Page([_heartbeat("a")], 4))
    store.during_read = relay
    watcher._store = store  # type: ignore[assignment]
    now[0] = 1.0
    await watcher.poll()
    assert not servers.is_missing("new")
    assert servers.by_id["new"].leaving_since is None
    assert watcher.read_state.end is None


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("second", "alive_at"),
    [
        (port.Page([_heartbeat("a", 2)], 5), 10.0),
        (port.Page([], 4), -math.inf),
        # The same report in another listing is no newer.
        (port.Page([_heartbeat("a", 1)], 4), -math.inf),
    ],
)
async def test_only_a_new_report_proves_that_a_server_is_running(
    second: port.Page, alive_at: float
) -> None:
    """Guards against grants to a server that restarted unnoticed.

    A report that was read late, or again, may be older than a connection.
    """
    watcher, servers, now = _discovery(
        port.Page([_heartbeat("a", 1)], 4), second
    )
    now[0] = 10.0
    await watcher.poll()
    assert servers.by_id["a"].alive_at == -math.inf
    now[0] = 11.0
    await watcher.poll()
    delay = watchers.LONGEST_REPORT_DELAY_SECONDS
    assert servers.by_id["a"].alive_at == alive_at - delay


@pytest.mark.anyio
async def test_report_after_an_incomplete_read_may_be_older_than_it() -> None:
    """Guards against a page that ends before the newest reports."""
    watcher, servers, now = _discovery(
        port.Page([_heartbeat("a", 1)], 4),
        port.Page([_heartbeat("a", 2)], 5, is_last=False),
        port.Page([_heartbeat("a", 3)], 6),
    )
    for now[0] in (10.0, 11.0, 12.0):
        await watcher.poll()
    delay = watchers.LONGEST_REPORT_DELAY_SECONDS
    assert servers.by_id["a"].alive_at == 10.0 - delay


@pytest.mark.anyio
async def test_topic_is_listed_again_in_a_new_era() -> None:
    """Guards against offsets of an era that is over."""
    watcher, servers, _ = _discovery(
        port.Page([_heartbeat("a", 5)], 40, era=1),
        port.Page([_heartbeat("x", 9)], 40, era=2),
        port.Page([_heartbeat("a", 4), _heartbeat("b", 1)], 30, era=2),
        port.Page([_heartbeat("a", 6)], 31, era=2),
    )
    store = watcher._store
    for _ in range(3):
        await watcher.poll()
    assert isinstance(store, support.ScriptedStore)
    assert store.calls == ["newest", "read 40", "newest", "read 30"]
    assert set(servers.by_id) == {"a", "b"}
    assert servers.by_id["a"].entry.sequence == 6


@pytest.mark.anyio
async def test_servers_without_an_entry_remain_for_the_grace_period() -> None:
    """Guards against live servers that the older copy lacks."""
    watcher, servers, now = _discovery(
        port.Page([_heartbeat("a"), _heartbeat("b")], 40, era=1),
        port.Page([], 40, era=2),
        port.Page([], 10, era=2),
        port.Page([_heartbeat("a", 2)], 11, era=2),
        port.Page([], 11, era=2),
    )
    await watcher.poll()
    now[0] = 1.0
    await watcher.poll()
    now[0] = 1.0 + directory.ERA_GRACE_SECONDS - 0.1
    await watcher.poll()
    assert servers.by_id["b"].leaving_since is None
    now[0] = 1.0 + directory.ERA_GRACE_SECONDS + 0.1
    await watcher.poll()
    assert servers.by_id["a"].leaving_since is None
    assert servers.by_id["b"].leaving_since is not None


@pytest.mark.anyio
@pytest.mark.parametrize("is_deleted", [False, True])
async def test_departed_server_returns_only_with_a_later_report(
    is_deleted: bool,
) -> None:
    """Guards against a departed server whose entry the older copy has."""
    watcher, servers, _ = _discovery(
        port.Page([_heartbeat("a", 5)], 40, era=1),
        port.Page([port.Record("a", b"")], 41, era=1),
        port.Page([], 41, era=2),
        port.Page([_heartbeat("a", 5)], 38, era=2),
        port.Page([_heartbeat("a", 6)], 39, era=2),
    )
    await watcher.poll()
    await watcher.poll()
    assert servers.by_id["a"].leaving_since is not None
    if is_deleted:
        servers.delete("a")
    await watcher.poll()
    assert is_deleted == ("a" not in servers.by_id)
    if not is_deleted:
        assert servers.by_id["a"].leaving_since is not None
    await watcher.poll()
    assert servers.by_id["a"].leaving_since is None


@pytest.mark.anyio
async def test_read_of_an_earlier_era_than_a_relayed_one_is_ignored() -> None:
    """Guards against a directory that goes back to the earlier era."""
    watcher, servers, _ = _discovery(
        port.Page([_heartbeat("a")], 40, era=1),
        port.Page([port.Record("a", b"")], 41, era=1),
    )
    await watcher.poll()
    servers.start_era(2, 0.0)
    await watcher.poll()
    assert not servers.is_missing("a")
    assert watcher.read_state.end is None
