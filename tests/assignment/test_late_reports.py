"""Tests of reports of servers that the store carries out late."""

from __future__ import annotations

import anyio
import msgspec
import pytest
import trio

from agatestile.catalog import configuration
from agatestile.entry import fleet as fleet_module
from agatestile.node import settings as node_settings
from agatestile.node import watchers
from agatestile.platform import records
from agatestile.store import port
from tests.assignment import lives
from tests.assignment import support

HEARTBEAT_SECONDS = 0.8
NAMES = ("a", "b")


class _Reports:
    """Service discovery with servers that report at intervals."""

    def __init__(self) -> None:
        self.store = support.MemoryStore()
        self.delay_by_life: dict[tuple[str, int], float] = {}
        self.life_by_name = dict.fromkeys(NAMES, 1)
        self._tasks: trio.Nursery | None = None

    async def run(self) -> None:
        async with trio.open_nursery() as tasks:
            sequence = 0
            while True:
                sequence += 1
                for name, life in self.life_by_name.items():
                    tasks.start_soon(self.report, name, life, sequence)
                await anyio.sleep(HEARTBEAT_SECONDS)

    async def report(self, name: str, life: int, sequence: int) -> None:
        """Write a report, which the store may carry out late."""
        await anyio.sleep(self.delay_by_life.get((name, life), 0.0))
        fields = {
            "service": support.SERVICE,
            "address": f"127.0.0.1:{NAMES.index(name) + 1}",
            "zone": "anna",
            "slots": 4,
            "state": "ready",
            "seq": sequence,
            "born": life,
        }
        self.store.records.append(
            port.Record(name, msgspec.json.encode(fields))
        )


def _fleet() -> fleet_module.Fleet:
    fleet = fleet_module.Fleet(
        node_settings.Bounds(), "anna", trio.current_time
    )
    service = configuration.Service(support.SERVICE, "/", 9, 3.0, 5.0, True)
    fleet.configuration = configuration.Configuration(
        1, {}, {support.SERVICE: service}, configuration.CallerLimits()
    )
    return fleet


@pytest.mark.parametrize(
    ("last_delay", "first_delay"), [(1.1, 2.0), (1.5, 5.8), (4.4, 5.8)]
)
def test_late_report_does_not_prove_that_a_server_is_running(
    last_delay: float, first_delay: float
) -> None:
    """Guards against a token that two incarnations take (OWNER).

    The last report of a server that restarts is carried out after the leader
    has connected to its next incarnation, whose reports are late as well
    (review, case 13).
    """
    violations: list[str] = []

    async def scenario(harness: support.CoordinatorHarness) -> None:
        servers = lives.RestartingServers(trio.current_time)
        harness.orders = servers
        reports = _Reports()
        fleet = _fleet()
        watcher = watchers.DiscoveryWatcher(
            reports.store,  # type: ignore[arg-type]
            records.PlatformRecordFormat(),
            fleet.directory,
            trio.current_time,
            lambda: None,
        )
        leader = harness.add_coordinator("host-2", fleet)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(reports.run)
            tasks.start_soon(watcher.run)
            await anyio.sleep(2.0)
            assert await leader.take_leadership() is None
            tasks.start_soon(leader.run)
            await support.confirmed_sleep(leader, 12.0)
            for name in NAMES:
                assert any(name in servers.holders_of(k) for k in (0, 60000))
                reports.delay_by_life[name, 1] = last_delay
                reports.delay_by_life[name, 2] = first_delay
                tasks.start_soon(reports.report, name, 1, 1000)
                servers.restart(name)
                reports.life_by_name[name] = 2
                await support.confirmed_sleep(leader, 12.0)
            tasks.cancel_scope.cancel()
        violations.extend(servers.violations)

    support.run(scenario)
    assert violations == []
