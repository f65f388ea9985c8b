"""Work of the coordinator for each change, at several numbers of hosts."""

from __future__ import annotations

import pytest
import trio

from agatestile.assignment import announcements
from agatestile.assignment import coordinator as coordinator_module
from tests.assignment import support

HOST_COUNTS = [30, 100, 300, 1000]
CHANGES = 100
CHANGE_INTERVAL_SECONDS = 0.01


class Hosts:
    """Hosts that wait for the next assignment all the time."""

    def __init__(self) -> None:
        self.answers = 0
        self.learnt_at_by_version: dict[int, float] = {}

    async def wait(self, coordinator: coordinator_module.Coordinator) -> None:
        version = coordinator.version
        while True:
            await coordinator.wait_changed(version, 0.25)
            if coordinator.version == version:
                continue
            self.answers += 1
            for learnt in range(version + 1, coordinator.version + 1):
                self.learnt_at_by_version[learnt] = trio.current_time()
            version = coordinator.version


async def _publish_changes(
    coordinator: coordinator_module.Coordinator, host_count: int
) -> tuple[Hosts, dict[int, float]]:
    hosts = Hosts()
    published_at = {}
    async with trio.open_nursery() as tasks:
        for _ in range(host_count):
            tasks.start_soon(hosts.wait, coordinator)
        await trio.sleep(0.01)
        for _ in range(CHANGES):
            coordinator.publish(may_wait=True)
            published_at[coordinator.version] = trio.current_time()
            await trio.sleep(CHANGE_INTERVAL_SECONDS)
        await trio.sleep(0.2)
        tasks.cancel_scope.cancel()
    return hosts, published_at


@pytest.mark.parametrize("host_count", HOST_COUNTS)
def test_changes_are_told_in_rounds(host_count: int) -> None:
    """Guards against an answer to each host for each change.

    78 hosts got 907 answers a second on a calm day, most of them because one
    more range had reached its new owner.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        hosts, published_at = await _publish_changes(
            harness.coordinator, host_count
        )
        seconds = CHANGES * CHANGE_INTERVAL_SECONDS
        rounds = seconds / announcements.ROUND_SECONDS
        assert hosts.answers <= host_count * (rounds + 2)
        for version, at in published_at.items():
            learnt_at = hosts.learnt_at_by_version[version]
            assert learnt_at <= at + 1.01 * announcements.ROUND_SECONDS

    support.run(scenario)


def test_start_of_a_move_does_not_wait_for_a_round() -> None:
    """Guards against requests to a server that is told to release the keys.

    Hosts get 30 ms to stop sending to it.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        coordinator = harness.coordinator
        hosts = Hosts()
        async with trio.open_nursery() as tasks:
            tasks.start_soon(hosts.wait, coordinator)
            await trio.sleep(0.01)
            for _ in range(2):
                coordinator.publish(may_wait=True)
                await trio.sleep(0.001)
            coordinator.publish()
            at = trio.current_time()
            await trio.sleep(0.001)
            assert hosts.learnt_at_by_version[coordinator.version] == at
            tasks.cancel_scope.cancel()

    support.run(scenario)
