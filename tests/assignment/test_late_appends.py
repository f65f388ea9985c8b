"""Tests of appends that are carried out after the store was restored."""

from __future__ import annotations

import contextlib
import typing

import anyio
import pytest
import trio

from agatestile.assignment import coordinator as coordinator_module
from agatestile.assignment import era_keys
from agatestile.assignment import eras
from agatestile.observability import events
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.store import port
from tests.assignment import lives
from tests.assignment import support

LONGEST_OVERLAP_SECONDS = 0.5
"""Time for which two servers may hold the same keys, from the rules."""

LONGEST_DELAY_SECONDS = 6.0
"""Longest delay of an unanswered append, from the published faults."""

COPY_AGES = range(1, 8)
"""Records before the delayed append at which copies end."""

POLL_SECONDS = 0.01

Leader = coordinator_module.Coordinator


class HeldAppend(typing.NamedTuple):
    """An append that got no answer, with its condition."""

    records: list[port.Record]
    expected_end: int
    era: int
    sent_at: float


class LateStore(support.MemoryStore):
    """Leaves an append unanswered and carries it out in a later era.

    Attributes
    ----------
    holds_next : bool
        Whether the next append is the one.
    held : HeldAppend or None
        The append until it is carried out.
    executed_at : float or None
        When it was carried out, seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.era = era_keys.FIRST_ERA
        self.holds_next = False
        self.held: HeldAppend | None = None
        self.executed_at: float | None = None

    async def append(
        self, topic: str, added: list[port.Record], expected_end: int
    ) -> int | outcomes.Refusal:
        if self.holds_next and not self.is_down:
            self.holds_next = False
            self.held = HeldAppend(
                added, expected_end, self.era, trio.current_time()
            )
            return outcomes.Refusal(
                codes.ResultCode.LOG_OUTCOME_UNKNOWN, "no answer"
            )
        return await super().append(topic, added, expected_end)

    async def carry_out_late(self) -> None:
        """Carry the append out as soon as its condition holds again."""
        while True:
            held = self.held
            if (
                held is not None
                and held.era < self.era
                and held.expected_end == len(self.records)
                and trio.current_time() < held.sent_at + LONGEST_DELAY_SECONDS
            ):
                self.held = None
                self.records += held.records
                self.executed_at = trio.current_time()
            await anyio.sleep(POLL_SECONDS)


class Cluster:
    """Hosts of which one leads, with servers that check what they hold."""

    def __init__(self, harness: support.CoordinatorHarness) -> None:
        self.harness = harness
        self.store = harness.store = LateStore()
        self.servers = lives.PausableServers(trio.current_time)
        harness.orders = self.servers
        for name in ("a", "b", "c"):
            harness.fleet.add(name)
        self.hosts: list[Leader] = []
        self._tasks: trio.Nursery | None = None

    def add_host(self) -> Leader:
        """Start a host that campaigns after those before it."""
        assert self._tasks is not None
        name = f"host-{len(self.hosts) + 2}"
        host = self.harness.add_coordinator(name)
        self.harness.hosts.by_address[name] = host
        self.hosts.append(host)
        self._tasks.start_soon(host.run)
        return host

    @property
    def leader(self) -> Leader:
        return next(one for one in self.hosts if one.epoch)

    async def _elect(self) -> None:
        while True:
            leading = [one for one in self.hosts if one.epoch]
            for one in leading:
                await one.confirm()
            if not leading:
                await self.hosts[0].take_leadership()
            await anyio.sleep(0.2)

    async def add_servers(self, *names: str) -> None:
        """Add servers, which get keys of the others."""
        for name in names:
            self.harness.fleet.add(name)
        self.leader.request_plan()
        await anyio.sleep(0.1)

    @contextlib.asynccontextmanager
    async def run(self) -> typing.AsyncIterator[None]:
        """Run a host that leads, until the end of the context."""
        async with trio.open_nursery() as tasks:
            self._tasks = tasks
            tasks.start_soon(self.store.carry_out_late)
            tasks.start_soon(self.servers.watch)
            self.add_host()
            tasks.start_soon(self._elect)
            await anyio.sleep(4.0)
            yield
            tasks.cancel_scope.cancel()


async def _hold_map(cluster: Cluster) -> None:
    cluster.store.holds_next = True
    await cluster.add_servers("e")


async def _hold_takeover(cluster: Cluster) -> None:
    cluster.store.holds_next = True
    assert await cluster.add_host().take_leadership() is not None
    cluster.hosts.pop()


async def _hold_settling(cluster: Cluster) -> None:
    cluster.leader.lose_leadership("test")
    # A leader that does not respond: the next one settles later.
    cluster.harness.hosts.by_address.clear()
    cluster.hosts.insert(0, cluster.add_host())
    await anyio.sleep(7.0)
    cluster.store.holds_next = True
    while cluster.store.holds_next:
        await anyio.sleep(0.05)


async def _hold_restoration(cluster: Cluster) -> None:
    cluster.store.restore(len(cluster.store.records) - 1)
    cluster.store.holds_next = True
    while cluster.store.holds_next:
        await anyio.sleep(0.05)


async def _hold_quota_hosts(cluster: Cluster) -> None:
    cluster.store.holds_next = True
    await cluster.leader.store_quota_hosts(cluster.leader.epoch, ["host-9"])


async def _hold_resignation(cluster: Cluster) -> None:
    cluster.store.holds_next = True
    await cluster.leader.resign()
    cluster.hosts.insert(0, cluster.add_host())
    await anyio.sleep(1.0)


HOLD_BY_WRITER = {
    "map and servers": _hold_map,
    "takeover": _hold_takeover,
    "settling": _hold_settling,
    "restoration": _hold_restoration,
    "quota hosts": _hold_quota_hosts,
    "resignation": _hold_resignation,
}
"""How an append of each writer is left unanswered."""


class Result(typing.NamedTuple):
    """What a run showed after the append was carried out late."""

    longest_overlap: float
    is_executed: bool
    violations: list[str]
    epochs: tuple[int, int]


def _play(writer: str, copy_age: int, then: str) -> Result:
    """Restore a copy, and let a host lead after the late append.

    Parameters
    ----------
    writer : str
        Whose append gets no answer.
    copy_age : int
        Records before that append at which the copy ends.
    then : str
        "continued", or which host takes over after the late append.
    """
    results: list[Result] = []

    async def scenario(harness: support.CoordinatorHarness) -> None:
        cluster = Cluster(harness)
        async with cluster.run():
            await cluster.add_servers("d")
            await anyio.sleep(2.0)
            store = cluster.store
            await HOLD_BY_WRITER[writer](cluster)
            held = store.held
            assert held is not None
            await anyio.sleep(0.9)
            await cluster.add_servers("f", "g")
            await anyio.sleep(1.3)
            cluster.store.restore(max(0, held.expected_end - copy_age))
            epochs = (0, 0)
            for _ in range(800):
                await anyio.sleep(POLL_SECONDS)
                if store.executed_at is not None:
                    epoch = cluster.leader.epoch
                    if then != "continued":
                        cluster.leader.lose_leadership("test")
                    if then == "another host":
                        harness.hosts.by_address.clear()
                        cluster.hosts.insert(0, cluster.add_host())
                    await anyio.sleep(1.5)
                    epochs = (epoch, max(one.epoch for one in cluster.hosts))
                    break
            await anyio.sleep(12.0)
        results.append(
            Result(
                cluster.servers.longest_overlap,
                store.executed_at is not None,
                cluster.servers.violations,
                epochs,
            )
        )

    support.run(scenario)
    return results[0]


def _play_until_executed(writer: str, then: str) -> Result:
    """Restore copies of different ages until one lets the append through."""
    for copy_age in COPY_AGES:
        result = _play(writer, copy_age, then)
        if result.is_executed:
            return result
    raise AssertionError("the append never met its expected end")


@pytest.mark.parametrize("then", ["continued", "same host", "another host"])
@pytest.mark.parametrize("writer", HOLD_BY_WRITER)
def test_late_append_of_an_earlier_era_changes_nothing(
    writer: str, then: str
) -> None:
    """Guards against a stale record that counts as the newest (OWNER).

    An append from before a restoration meets its expected end after the
    leader has stored its state again (review, case 12). A leader that is not
    replaced must go on, and a new one must not use its epoch again.
    """
    result = _play_until_executed(writer, then)
    assert result.longest_overlap <= LONGEST_OVERLAP_SECONDS
    assert result.violations == []
    before, after = result.epochs
    assert after == before if then == "continued" else after > before


def test_late_records_are_logged_and_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against late appends that operators can't see."""
    emitted: list[dict[str, object]] = []

    def emit(kind: str, **fields: object) -> None:
        if kind == "late_record_ignored":
            emitted.append(fields)

    monkeypatch.setattr(events, "emit", emit)
    _play_until_executed("map and servers", "continued")
    by_record = {fields["record"]: fields for fields in emitted}
    assert set(by_record) == {"service/prices", "servers/prices"}
    stored = by_record["service/prices"]
    assert (stored["record_epoch"], stored["record_era"]) == (
        1 + eras.EPOCHS_PER_ERA,
        1,
    )
    assert stored["era"] == 2
