"""Tests of following the operator's records on a virtual clock."""

from __future__ import annotations

import json
import math
import typing

import anyio
import pytest
import trio
from trio import testing

from agatestile.catalog import configuration
from agatestile.node import messages as peer_messages
from agatestile.node import operator_watcher
from agatestile.platform import records
from agatestile.results import outcomes
from agatestile.store import port
from tests.node import support
from tests.platform import test_adapter


def _configuration(version: int) -> port.Record:
    fields = {**test_adapter.MANIFEST, "version": f"r{version}"}
    return port.Record("config", json.dumps(fields).encode())


def _operator(
    store: support.ScriptedStore,
    now: typing.Callable[[], float] = trio.current_time,
    **callbacks: typing.Any,
) -> operator_watcher.OperatorWatcher:
    """Return a watcher with the given callbacks and defaults for others."""
    return operator_watcher.OperatorWatcher(
        store,  # type: ignore[arg-type]
        records.PlatformRecordFormat(),
        now,
        callbacks.get("on_configuration", lambda new: None),
        callbacks.get("on_evacuations", lambda domains, since: None),
        callbacks.get("is_relayed", lambda: False),
        boot_time=callbacks.get("boot_time"),
    )


@pytest.mark.anyio
async def test_older_configuration_is_ignored() -> None:
    versions: list[int] = []
    evacuations: list[set[str]] = []

    def take(new: configuration.Configuration) -> None:
        versions.append(new.version)

    watcher = _operator(
        support.ScriptedStore(
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


@pytest.mark.anyio
@pytest.mark.parametrize("first_offset", [0, None])
async def test_starting_host_uses_the_last_usable_configuration(
    first_offset: int | None,
) -> None:
    """Guards against no service after all hosts restart.

    The newest configuration can't be used, and an earlier one is retained.
    """
    versions: list[int] = []
    broken = port.Record("config", b"{")
    history: port.Page | outcomes.Refusal = port.Page(
        [_configuration(5), _configuration(6), broken], 3
    )
    if first_offset is None:
        history = support.UNAVAILABLE
    store = support.ScriptedStore(port.Page([broken], 3), history)
    watcher = _operator(
        store,
        lambda: 0.0,
        on_configuration=lambda new: versions.append(new.version),
    )
    assert await watcher.poll()
    assert versions == ([] if first_offset is None else [6])


class _SilentStore(support.ScriptedStore):
    """Responds to the scripted reads only; further ones get no response."""

    async def read_newest(self, topic: str) -> port.Page | outcomes.Refusal:
        if self.results:
            return await super().read_newest(topic)
        return await self.read(topic, 0, 0.0)

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        limit: int = 0,
        on_data: typing.Callable[[], None] | None = None,
    ) -> port.Page | outcomes.Refusal:
        self.calls.append(f"read {start} for {wait:g}")
        if self.results:
            return self.results.pop(0)
        await anyio.sleep(100.0)
        return support.UNAVAILABLE


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


class _SlowStore(support.ScriptedStore):
    """Takes longer for each read than the interval between checks."""

    async def read_newest(self, topic: str) -> port.Page | outcomes.Refusal:
        if self.results:
            return await super().read_newest(topic)
        return await self.read(topic, len(self.calls), 0.0)

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        limit: int = 0,
        on_data: typing.Callable[[], None] | None = None,
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
        return watcher.end

    end = trio.run(main, clock=testing.MockClock(autojump_threshold=0))
    assert end is not None and end >= 5


def test_replaced_large_configurations_are_skipped() -> None:
    """Guards against late configurations after several large ones.

    Reading each of them occupied a link of 5 Mbit/s for longer than the bound
    (CONFIG, scale-1 of nkabom-gate-grown).
    """
    store = support.ScriptedStore(
        port.Page([], 5),
        port.Page([_configuration(7)], 6, is_last=False),
        port.Page([_configuration(30)], 29),
        support.UNAVAILABLE,
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
    store = support.ScriptedStore(
        port.Page([], 5),
        port.Page([large], 6),
        port.Page([_configuration(9)], 9),
        support.UNAVAILABLE,
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
    assert ended >= operator_watcher.LARGE_PAGE_PAUSE_SECONDS


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
        support.ScriptedStore(
            port.Page([], 2),
            support.UNAVAILABLE,
            support.UNAVAILABLE,
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
    store = support.ScriptedStore(
        port.Page([port.Record("evacuate/anna", b"{}")], 3)
    )
    watcher = _operator(
        store, on_evacuations=lambda *change: changes.append(change)
    )
    trio.run(watcher.poll)
    assert changes == [({"anna"}, -math.inf)]


class _LinkStore:
    """Holds configurations of 250 kB; a link limits the pace of reads.

    Parameters
    ----------
    pace : float
        Bytes per second.
    """

    def __init__(self, pace: float) -> None:
        self._pace = pace
        self.configurations: list[port.Record] = []

    async def read_newest(self, topic: str) -> port.Page | outcomes.Refusal:
        return await self._page(self.configurations[-1:])

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        limit: int = 0,
        on_data: typing.Callable[[], None] | None = None,
    ) -> port.Page | outcomes.Refusal:
        with anyio.move_on_after(wait):
            while len(self.configurations) <= start:
                await anyio.sleep(0.01)
        return await self._page(self.configurations[start:][-1:], on_data)

    async def _page(
        self,
        found: list[port.Record],
        on_data: typing.Callable[[], None] | None = None,
    ) -> port.Page:
        if on_data is not None:
            on_data()
        end = len(self.configurations)
        seconds = sum(len(one.value) for one in found) / self._pace
        await anyio.sleep(seconds)
        return port.Page(found, end, receive_seconds=seconds)


def _large_configuration(version: int) -> port.Record:
    routes = [
        {**test_adapter.MANIFEST["listeners"][0], "host": f"{number}.example"}
        for number in range(1200)
    ]
    manifest = {
        **test_adapter.MANIFEST,
        "version": f"r{version}",
        "listeners": routes,
    }
    return port.Record("config", json.dumps(manifest).encode())


def test_host_on_a_slow_link_gets_changes_from_another_host() -> None:
    """Guards against configurations that arrive too late on a slow link.

    One of 250 kB took over 4 s beside the requests of lost hosts, while the
    next ones were accepted (CONFIG, scale-1 of nkabom-gate-grown).
    """
    bound = 2.0
    accepted_at: dict[int, float] = {}
    lateness: list[float] = []

    def on_configuration(new: configuration.Configuration) -> None:
        lateness.append(trio.current_time() - accepted_at[new.version])

    async def main() -> None:
        fast_store, slow_store = _LinkStore(25e6), _LinkStore(60e3)
        fast = _operator(fast_store)
        slow = _operator(slow_store, on_configuration=on_configuration)

        def accept(version: int) -> None:
            accepted_at[version] = trio.current_time()
            for store in (fast_store, slow_store):
                store.configurations.append(_large_configuration(version))

        async with anyio.create_task_group() as tasks:
            accept(1)
            tasks.start_soon(fast.run)
            tasks.start_soon(slow.run)
            await anyio.sleep(6.0)
            lateness.clear()
            for version in range(2, 40):
                accept(version)
                for _ in range(2):
                    await anyio.sleep(0.25)
                    known = slow.relay_to(None).version
                    slow.apply_relayed(
                        fast.relay_to(known), trio.current_time()
                    )
            tasks.cancel_scope.cancel()
        assert slow.relay_to(None).version == 39

    trio.run(main, clock=testing.MockClock(autojump_threshold=0))
    assert max(lateness) < 0.5 * bound


def test_relayed_state_never_brings_an_older_configuration_back() -> None:
    versions: list[int] = []
    evacuations: list[set[str]] = []
    evacuation = port.Record("evacuate/anna", b"{}")
    newer = _operator(
        support.ScriptedStore(port.Page([_configuration(9), evacuation], 7)),
        on_configuration=lambda new: versions.append(new.version),
        on_evacuations=lambda domains, since: evacuations.append(domains),
    )
    older = _operator(support.ScriptedStore(port.Page([_configuration(5)], 3)))

    async def main() -> None:
        await newer.poll()
        await older.poll()
        newer.apply_relayed(older.relay_to(-1), trio.current_time())

    trio.run(main)
    assert (versions, evacuations, newer.end) == ([9], [{"anna"}], 7)


@pytest.mark.parametrize(
    ("base_version", "patch"), [(4, b"x"), (-1, b"not compressed"), (-1, b"")]
)
def test_unreadable_patch_changes_nothing(
    base_version: int, patch: bytes
) -> None:
    """Guards against offsets that skip a configuration never applied."""
    watcher = _operator(
        support.ScriptedStore(port.Page([_configuration(5)], 3))
    )

    async def main() -> None:
        await watcher.poll()
        state = peer_messages.OperatorState(
            8, 0.0, 9, ["anna"], base_version, patch
        )
        watcher.apply_relayed(state, trio.current_time())
        assert watcher.relay_to(None).version == 5

    trio.run(main)
    assert watcher.end == 3


def test_wait_whose_answer_is_arriving_is_not_cancelled() -> None:
    """Guards against transfers that are given up as unanswered waits.

    The answer to a wait took 1.6 s over a slow link after its coordinator was
    lost, was given up, and began anew (CONFIG, scale-1 of nkabom-gate-grown).
    """
    versions: list[int] = []
    store = _LinkStore(100e3)

    async def main() -> None:
        store.configurations.append(_large_configuration(1))
        watcher = _operator(
            store, on_configuration=lambda new: versions.append(new.version)
        )
        watcher.end = 1
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            await anyio.sleep(0.2)
            store.configurations.append(_large_configuration(2))
            for _ in range(14):
                await anyio.sleep(0.25)
                watcher.check_wait(None)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=testing.MockClock(autojump_threshold=0))
    assert versions == [2]


def test_early_answer_without_records_confirms_no_later_time() -> None:
    """Guards against records that count as complete in the future."""
    watcher = _operator(
        support.ScriptedStore(
            port.Page([_configuration(5)], 3), port.Page([], 3)
        ),
        is_relayed=lambda: True,
    )

    async def main() -> None:
        await watcher.poll()
        await anyio.sleep(1.0)
        await watcher.poll()
        assert watcher.confirmed_at == trio.current_time()

    trio.run(main, clock=testing.MockClock(autojump_threshold=0))


def test_age_includes_the_time_of_a_suspension() -> None:
    """Guards against a host that resumes and accepts keys revoked meanwhile.

    The clock of the event loop stops while the machine is suspended, and the
    age that the host relays to others is measured with it too.
    """
    clocks = {"now": 100.0, "boot": 500.0}
    pages = [port.Page([_configuration(5)], 3), port.Page([], 3)]
    store = support.ScriptedStore(*pages)

    def suspend(seconds: float) -> None:
        clocks["boot"] += seconds

    watcher = _operator(
        store, lambda: clocks["now"], boot_time=lambda: clocks["boot"]
    )

    async def main() -> None:
        await watcher.poll()
        assert watcher.confirmed_at == 100.0
        suspend(8.0)
        assert watcher.relay_to(None).age == 8.0
        # A read that began before a suspension says nothing of its time.
        store.during_read = lambda: suspend(7.0)
        await watcher.poll()
        assert clocks["now"] - watcher.confirmed_at >= 7.0

    trio.run(main)


def test_relayed_age_counts_from_before_a_suspension() -> None:
    """Guards against a report that a suspension delayed."""
    clocks = {"now": 100.0, "boot": 500.0}
    watcher = _operator(
        support.ScriptedStore(port.Page([_configuration(5)], 3)),
        lambda: clocks["now"],
        boot_time=lambda: clocks["boot"],
    )

    async def main() -> None:
        await watcher.poll()
        state = watcher.relay_to(None)
        sent_at = clocks["now"] = 101.0
        clocks["boot"] += 9.0
        watcher.apply_relayed(state, sent_at)
        assert watcher.confirmed_at == 93.0
        clocks["now"] += 1.0
        clocks["boot"] += 1.0
        watcher.apply_relayed(state, clocks["now"])
        assert watcher.confirmed_at == 102.0

    trio.run(main)


EVACUATION = port.Record("evacuate/anna", b"{}")


def _scripted(
    *pages: port.Page,
) -> tuple[
    operator_watcher.OperatorWatcher, list[float], list[int], list[set[str]]
]:
    """Return a watcher, its clock, and what it has put in force."""
    now = [0.0]
    versions: list[int] = []
    evacuations: list[set[str]] = []
    watcher = _operator(
        support.ScriptedStore(*pages),
        lambda: now[0],
        on_configuration=lambda new: versions.append(new.version),
        on_evacuations=lambda domains, since: evacuations.append(domains),
    )
    return watcher, now, versions, evacuations


@pytest.mark.anyio
async def test_older_copy_takes_nothing_out_of_force() -> None:
    """Guards against an older configuration and an evacuation that ends."""
    watcher, now, versions, evacuations = _scripted(
        port.Page([_configuration(9), EVACUATION], 40, era=1),
        port.Page([], 40, era=2),
        port.Page([_configuration(7)], 30, era=2),
        port.Page([_configuration(8)], 31, era=2),
        port.Page([_configuration(10)], 32, era=2),
    )
    for _ in range(4):
        assert await watcher.poll()
    assert (versions, evacuations) == ([9, 10], [{"anna"}])
    assert (watcher.end, watcher.era) == (32, 2)
    now[0] = operator_watcher.EVACUATION_GRACE_SECONDS - 0.1
    watcher.check_wait(None)
    assert evacuations == [{"anna"}]
    now[0] = operator_watcher.EVACUATION_GRACE_SECONDS + 0.1
    watcher.check_wait(None)
    assert evacuations == [{"anna"}, set()]


@pytest.mark.anyio
async def test_evacuation_ends_by_a_record_of_the_new_era() -> None:
    """Guards against a domain that stays evacuated after its return."""
    watcher, _, _, evacuations = _scripted(
        port.Page([_configuration(9), EVACUATION], 40, era=1),
        port.Page([], 40, era=2),
        port.Page([_configuration(7)], 30, era=2),
        port.Page([port.Record("evacuate/anna", b"")], 31, era=2),
    )
    for _ in range(3):
        assert await watcher.poll()
    assert evacuations == [{"anna"}, set()]


@pytest.mark.anyio
async def test_evacuation_that_is_written_again_outlasts_the_grace() -> None:
    """Guards against the end of an evacuation that the operator repeated."""
    watcher, now, _, evacuations = _scripted(
        port.Page([_configuration(9), EVACUATION], 40, era=1),
        port.Page([], 40, era=2),
        port.Page([_configuration(7)], 30, era=2),
        port.Page([EVACUATION], 31, era=2),
    )
    for _ in range(3):
        assert await watcher.poll()
    now[0] = operator_watcher.EVACUATION_GRACE_SECONDS + 0.1
    watcher.check_wait(None)
    assert evacuations == [{"anna"}]


@pytest.mark.anyio
async def test_evacuation_survives_two_restorations() -> None:
    """Guards against a grace period that counts from the first one."""
    watcher, now, _, evacuations = _scripted(
        port.Page([_configuration(9), EVACUATION], 40, era=1),
        port.Page([_configuration(7)], 30, era=2),
        port.Page([_configuration(7)], 30, era=2),
        port.Page([_configuration(7)], 20, era=3),
        port.Page([_configuration(7)], 20, era=3),
    )
    assert await watcher.poll()
    assert await watcher.poll()
    now[0] = operator_watcher.EVACUATION_GRACE_SECONDS - 1.0
    assert await watcher.poll()
    now[0] += 2.0
    watcher.check_wait(None)
    assert evacuations == [{"anna"}]


@pytest.mark.anyio
async def test_relayed_state_of_a_new_era_takes_nothing_out_of_force() -> None:
    """Guards against a restarted coordinator that read an older copy."""
    watcher, now, versions, evacuations = _scripted(
        port.Page([_configuration(9), EVACUATION], 40, era=1)
    )
    other, *_ = _scripted(port.Page([_configuration(7)], 30, era=2))
    await watcher.poll()
    await other.poll()
    watcher.apply_relayed(other.relay_to(-1), 0.0)
    assert (versions, evacuations) == ([9], [{"anna"}])
    assert (watcher.end, watcher.era) == (30, 2)
    now[0] = operator_watcher.EVACUATION_GRACE_SECONDS + 0.1
    watcher.check_wait(None)
    assert evacuations == [{"anna"}, set()]


@pytest.mark.anyio
async def test_relayed_state_of_an_earlier_era_is_ignored() -> None:
    """Guards against offsets that look newer as they are of an earlier era."""
    watcher, _, _, evacuations = _scripted(
        port.Page([_configuration(7)], 30, era=2)
    )
    other, *_ = _scripted(
        port.Page([_configuration(7), EVACUATION], 40, era=1)
    )
    await watcher.poll()
    await other.poll()
    watcher.apply_relayed(other.relay_to(-1), 0.0)
    assert (watcher.end, watcher.era) == (30, 2)
    assert evacuations == []
