"""Tests of leaders that were superseded and don't know it yet.

Each guards against two servers that hold the same keys (OWNER): one by a
token of the successor, the other by one that its predecessor sends for the
first time to a server that forgot what it had released when it restarted.
"""

from __future__ import annotations

import typing

import anyio
import trio

from agatestile.assignment import coordinator as coordinator_module
from agatestile.assignment import ranges
from tests.assignment import lives
from tests.assignment import support

NAMES = ("a", "b", "c")
MEMBERSHIP_SECONDS = 1.6
"""Time without a confirmation after which another host leads."""


class Succession:
    """A leader and its successor, which learn of servers separately."""

    def __init__(self, harness: support.CoordinatorHarness) -> None:
        self.servers = lives.RestartingServers(trio.current_time)
        harness.orders = self.servers
        self.harness = harness
        self.fleets = support.FakeFleet(), support.FakeFleet()
        for name in NAMES:
            for fleet in self.fleets:
                fleet.add(name)
        self.first, self.second = (
            harness.add_coordinator(f"host-{number}", fleet)
            for number, fleet in enumerate(self.fleets, 1)
        )

    async def move_keys_of(
        self, name: str, seconds: float, restarts_of: str = ""
    ) -> None:
        """Let the successor move the keys of a server, which then restarts."""
        assert await self.second.take_leadership() is None
        self.fleets[1].add(name, is_leaving=True)
        self.second.request_plan()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.second.run)
            await support.confirmed_sleep(self.second, seconds)
            if restarts_of:
                for fleet in self.fleets:
                    fleet.stop_reports(restarts_of)
                self.servers.restart(restarts_of)
            tasks.cancel_scope.cancel()


async def _lead(
    leader: coordinator_module.Coordinator, seconds: float
) -> None:
    """Run a leader that the store confirms for a time, then suspend it."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(leader.run)
        await support.confirmed_sleep(leader, seconds)
        tasks.cancel_scope.cancel()


def run(
    scenario: typing.Callable[[Succession], typing.Awaitable[None]],
) -> lives.RestartingServers:
    """Run a scenario after the first leader has assigned all keys."""
    succession: list[Succession] = []

    async def start(harness: support.CoordinatorHarness) -> None:
        one = Succession(harness)
        succession.append(one)
        assert await one.first.take_leadership() is None
        await _lead(one.first, 3.0)
        await scenario(one)

    support.run(start)
    return succession[0].servers


def overlaps(servers: lives.RestartingServers) -> list[str]:
    """Return the violations by which two servers hold the same keys."""
    return [one for one in servers.violations if " while " in one]


def test_suspended_leader_gives_no_new_token_to_a_restarted_server() -> None:
    """Guards against a leader that resumes after its successor (seed 4)."""

    async def scenario(one: Succession) -> None:
        for name in NAMES:
            one.servers.disconnect(name)
            one.fleets[0].stop_reports(name)
        await anyio.sleep(MEMBERSHIP_SECONDS)
        await one.move_keys_of("a", 2.0, restarts_of="a")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one.first.run)
            await anyio.sleep(5.0)
            tasks.cancel_scope.cancel()

    servers = run(scenario)
    assert servers.violations == []
    assert ("a", 1) in servers.releases


def test_successor_of_a_leader_that_just_was_confirmed_leads_later() -> None:
    """Guards against a membership that the store revokes at once.

    The first leader reaches "a" only, which restarts, and is about to grant
    it the keys of "b", which works on.
    """

    async def scenario(one: Succession) -> None:
        one.servers.release_seconds["b"] = 0.8
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one.first.run)
            # The next renewals come after the restart.
            await support.confirmed_sleep(one.first, 0.7)
            for name in ("b", "c"):
                one.fleets[0].add(name, is_leaving=True)
            one.first.request_plan()
            await support.confirmed_sleep(one.first, 0.2)
            for name in ("b", "c"):
                del one.fleets[0].by_id[name]
            one.servers.release_seconds.clear()
            await one.move_keys_of("a", 0.5, restarts_of="a")
            tasks.start_soon(one.second.run)
            await support.confirmed_sleep(one.second, 5.0)
            tasks.cancel_scope.cancel()

    assert run(scenario).violations == []


def test_token_of_an_earlier_epoch_is_not_sent_by_a_host_leading_again() -> (
    None
):
    """Guards against a grant that waited while another host led.

    The wait for the order in progress outlasts the other leadership.
    """

    async def scenario(one: Succession) -> None:
        leader = one.first
        lock = leader._grant_sender.lock_of("a")
        await lock.acquire()
        one.fleets[0].add("b", is_leaving=True)
        one.fleets[0].add("c", is_leaving=True)
        leader.request_plan()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(leader.run)
            await support.confirmed_sleep(leader, 0.5)
            leader.lose_leadership("test")
            await one.move_keys_of("a", 2.5, restarts_of="a")
            one.second.lose_leadership("test")
            assert await leader.take_leadership() is None
            lock.release()
            await support.confirmed_sleep(leader, 1.0)
            tasks.cancel_scope.cancel()

    assert run(scenario).violations == []


def test_stored_move_waits_until_the_store_confirms_the_leader() -> None:
    """Guards against servers that are dropped for grants not sent to them."""

    async def scenario(one: Succession) -> None:
        one.servers.release_seconds["a"] = 2.0
        one.fleets[0].add("a", is_leaving=True)
        one.first.request_plan()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one.first.run)
            await support.confirmed_sleep(one.first, 0.2)
            await anyio.sleep(3.0)
            assert one.servers.holders_of(0) == set()
            assert not one.first._grant_sender.unresponsive_instances()
            await support.confirmed_sleep(one.first, 0.6)
            assert one.servers.holders_of(0) < {"b", "c"}
            tasks.cancel_scope.cancel()

    assert run(scenario).violations == []


def test_keys_stay_in_service_while_the_store_is_away() -> None:
    """Guards against keys of healthy servers that lapse with the store."""

    async def scenario(one: Succession) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one.first.run)
            for name in NAMES:
                one.fleets[0].stop_reports(name)
            for _ in range(60):
                await anyio.sleep(0.1)
                for key in (0, ranges.KEY_COUNT // 2, ranges.KEY_COUNT - 1):
                    assert one.servers.holders_of(key)
            tasks.cancel_scope.cancel()

    assert run(scenario).violations == []
