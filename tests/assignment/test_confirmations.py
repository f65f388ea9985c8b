"""Tests of what a leader takes for a confirmation or for stored.

Each guards against two servers that hold the same keys (OWNER): one by a
token of the successor, the other by one that the predecessor sends for the
first time to a server that restarted since its release.
"""

from __future__ import annotations

import typing

import anyio
import trio

from agatestile.assignment import coordinator as coordinator_module
from agatestile.assignment import ports
from agatestile.node import leadership
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.store import port
from tests.assignment import lives
from tests.assignment import support
from tests.assignment import test_superseded

NAMES = ("a", "b", "c")


class HostStore:
    """The store as one host reaches it.

    Attributes
    ----------
    is_cut : bool
        Whether the store refuses the calls of this host.
    suspension_seconds : float
        Time for which the host is suspended before its next append, after
        which the store refuses its joins.
    late_seconds : tuple of (float, float) or None
        Seconds after which the next append fails without an answer, and after
        which the store carries it out if its condition still holds.
    """

    def __init__(self, store: support.MemoryStore) -> None:
        self._store = store
        self._tasks: anyio.abc.TaskGroup | None = None
        self.era = 0
        self.is_cut = False
        self.refuses_joins = False
        self.suspension_seconds = 0.0
        self.late_seconds: tuple[float, float] | None = None

    async def read_newest(self, topic: str) -> port.Page | outcomes.Refusal:
        if self.is_cut:
            return support.STORE_UNAVAILABLE
        return await self._store.read_newest(topic)

    async def read(
        self, topic: str, start: int, wait: float, limit: int = 0
    ) -> port.Page | outcomes.Refusal:
        if self.is_cut:
            return support.STORE_UNAVAILABLE
        return await self._store.read(topic, start, wait, limit)

    async def append(
        self, topic: str, records: list[port.Record], expected_end: int
    ) -> int | outcomes.Refusal:
        if self.is_cut:
            return support.STORE_UNAVAILABLE
        if self.late_seconds is not None:
            timeout, delay = self.late_seconds
            self.late_seconds = None
            assert self._tasks is not None
            self._tasks.start_soon(
                self._append_late, topic, records, expected_end, delay
            )
            await anyio.sleep(timeout)
            return outcomes.Refusal(
                codes.ResultCode.LOG_OUTCOME_UNKNOWN, "no answer"
            )
        suspension, self.suspension_seconds = self.suspension_seconds, 0.0
        await anyio.sleep(suspension)
        self.refuses_joins = suspension > 0.0
        return await self._store.append(topic, records, expected_end)

    async def _append_late(
        self,
        topic: str,
        records: list[port.Record],
        expected_end: int,
        delay: float,
    ) -> None:
        await anyio.sleep(delay)
        await self._store.append(topic, records, expected_end)

    async def join(
        self, group: str, member: str, ttl: float, generation: int
    ) -> port.Membership | outcomes.Refusal:
        if self.is_cut or self.refuses_joins:
            return support.STORE_UNAVAILABLE
        return await self._store.join(group, member, ttl, generation)

    async def leave(self, group: str, member: str) -> None:
        if not self.is_cut:
            await self._store.leave(group, member)

    async def member_of(
        self, group: str, partition: int
    ) -> str | None | outcomes.Refusal:
        if self.is_cut:
            return support.STORE_UNAVAILABLE
        return await self._store.member_of(group, partition)

    def set_tasks(self, tasks: anyio.abc.TaskGroup) -> None:
        self._tasks = tasks


class Host:
    """A host that may lead, with its own view of store and servers."""

    def __init__(self, harness: support.CoordinatorHarness, name: str) -> None:
        self.name = name
        self.fleet = support.FakeFleet()
        for server_id in NAMES:
            self.fleet.add(server_id)
        self.store = HostStore(harness.store)
        self.coordinator = coordinator_module.Coordinator(
            self.store,  # type: ignore[arg-type]
            harness.orders,
            harness.hosts,
            self.fleet,
            name,
            trio.current_time,
        )
        self.elector = leadership.LeaderElector(
            self.store,  # type: ignore[arg-type]
            self.coordinator,
            name,
            trio.current_time,
        )

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        self.store.set_tasks(tasks)
        tasks.start_soon(self.coordinator.run)
        tasks.start_soon(self.elector.run)

    def hide_b_and_c(self) -> None:
        for name in ("b", "c"):
            del self.fleet.by_id[name]

    def hide_others(self) -> None:
        """Lose sight of all servers but "a", which gets no more keys."""
        self.hide_b_and_c()
        known = self.fleet.by_id["a"]
        self.fleet.by_id["a"] = known._replace(
            candidate=known.candidate._replace(accepts_keys=False)
        )


class World(typing.NamedTuple):
    """Two hosts of which the first leads, with the store and servers."""

    store: support.MemoryStore
    servers: lives.RestartingServers
    first: Host
    second: Host

    def expire(self, host: Host) -> None:
        """End a membership without a sign from the host."""
        if host.name in self.store.members:
            self.store.members.remove(host.name)
            self.store.generation += 1

    def lose_connection(self) -> None:
        """Cut the first leader's connection to "a", which can't report."""
        self.first.fleet.stop_reports("a")
        self.servers.disconnect("a")

    async def wait_for_move(self) -> None:
        """Wait until "a" has released its keys and another server has them."""
        while self.servers.holders_of(0) <= {"a"}:
            await anyio.sleep(0.01)

    def restart(self) -> None:
        """Restart "a", of which no report arrives yet."""
        for host in (self.first, self.second):
            host.fleet.stop_reports("a")
        self.servers.restart("a")


def _overlaps(
    scenario: typing.Callable[[World], typing.Awaitable[None]],
) -> list[str]:
    """Return when two servers held the same keys in a scenario."""
    violations: list[str] = []

    async def start(harness: support.CoordinatorHarness) -> None:
        servers = lives.RestartingServers(trio.current_time)
        harness.orders = servers
        hosts = [Host(harness, f"host-{number}") for number in (1, 2)]
        world = World(harness.store, servers, *hosts)
        async with anyio.create_task_group() as tasks:
            for host in hosts:
                host.start(tasks)
            world.first.elector.campaign()
            await anyio.sleep(4.0)
            assert world.first.coordinator.is_active
            assert servers.holders_of(0) == {"a"}
            await scenario(world)
            await anyio.sleep(3.0)
            tasks.cancel_scope.cancel()
        violations.extend(
            one for one in servers.violations if " while " in one
        )

    support.run(start)
    return violations


def test_join_after_the_append_of_a_successor_confirms_no_leader() -> None:
    """Guards against a partition held as a sign that no other host leads.

    The successor is suspended between its join and its append, so that its
    membership expires and the first leader gets the partition back. The
    successor's next joins are refused.
    """

    async def scenario(one: World) -> None:
        one.first.store.is_cut = True
        await anyio.sleep(0.6)
        one.expire(one.first)
        one.second.fleet.add("a", is_leaving=True)
        one.second.store.suspension_seconds = 2.0
        one.second.elector.campaign()
        await anyio.sleep(0.1)
        assert one.store.members == ["host-2"]
        one.first.store.is_cut = False
        await anyio.sleep(1.4)
        one.expire(one.second)
        await anyio.sleep(0.2)
        one.lose_connection()
        one.first.hide_others()
        while not one.second.coordinator.epoch:
            await anyio.sleep(0.01)
        assert one.second.store.refuses_joins
        await anyio.sleep(1.55)
        one.second.store.refuses_joins = False
        await one.wait_for_move()
        one.restart()

    assert _overlaps(scenario) == []


def test_move_that_the_store_applies_late_is_not_resumed_early() -> None:
    """Guards against stored owners to whom an earlier leader grants no keys.

    Its append of the move got no answer, and the store carried it out after
    the leader had read that it had not. Its successor takes the owner that is
    stored for the only one to whom the earlier leader may send tokens.
    """

    async def scenario(one: World) -> None:
        one.first.fleet.add("a", is_leaving=True)
        one.first.store.late_seconds = 1.5, 1.9
        one.first.coordinator.request_plan()
        await anyio.sleep(0.4)
        one.lose_connection()
        await anyio.sleep(1.6)
        assert one.first.coordinator.is_active
        one.expire(one.first)
        one.first.store.is_cut = True
        one.first.hide_others()
        one.second.elector.campaign()
        await one.wait_for_move()
        one.restart()

    assert _overlaps(scenario) == []


def test_restarted_target_of_a_resumed_move_takes_no_lower_token() -> None:
    """Guards against a token below that of another life of a server (OWNER).

    Both leaders execute the stored move to "a", which restarts in between.
    """

    async def scenario(one: test_superseded.Succession) -> None:
        one.servers.release_seconds["b"] = 0.8
        for name in ("b", "c"):
            one.fleets[0].add(name, is_leaving=True)
        one.first.request_plan()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one.first.run)
            await support.confirmed_sleep(one.first, 0.2)
            for name in ("b", "c"):
                del one.fleets[0].by_id[name]
            one.servers.release_seconds.clear()
            await one.move_keys_of("a", 0.5, restarts_of="a")
            tasks.start_soon(one.second.run)
            await support.confirmed_sleep(one.second, 2.0)
            tasks.cancel_scope.cancel()

    assert test_superseded.run(scenario).violations == []


def test_withheld_renewal_is_repeated_before_the_key_lease_ends() -> None:
    """Guards against keys of a healthy server that lapse after an outage.

    The server lost its connection and can't report. The store is back 0.3 s
    before its key lease ends.
    """
    unserved: list[float] = []

    async def scenario(one: World) -> None:
        one.lose_connection()
        await anyio.sleep(1.0)
        one.first.store.is_cut = True
        await anyio.sleep(1.75)
        one.first.store.is_cut = False
        await one.first.elector.join_once()
        for _ in range(20):
            if not one.servers.holders_of(0):
                unserved.append(trio.current_time())
            await anyio.sleep(0.1)

    assert _overlaps(scenario) == []
    assert unserved == []


class SlowConnections:
    """Client of servers to one of which connections open slowly."""

    def __init__(
        self, servers: lives.RestartingServers, server_id: str, seconds: float
    ) -> None:
        self._servers = servers
        self._server_id = server_id
        self._seconds = seconds
        self.now = servers.now
        self.is_connected = servers.is_connected
        self.grant = servers.grant
        self.release = servers.release

    async def connect(self, recipient: ports.Recipient) -> str:
        if recipient.server_id == self._server_id:
            await anyio.sleep(self._seconds)
        return await self._servers.connect(recipient)


def test_token_of_an_earlier_epoch_is_not_sent_once_a_connection_opens() -> (
    None
):
    """Guards against a connection that opens while another host led (OWNER).

    The grant checks its epoch before it connects only.
    """

    async def scenario(one: test_superseded.Succession) -> None:
        first, second = one.first, one.second
        one.harness.hosts.by_address["host-1"] = first
        one.harness.hosts.by_address["host-2"] = second
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(first.run)
            tasks.start_soon(second.run)
            await support.confirmed_sleep(first, 7.0)
            first._grant_sender._orders = SlowConnections(
                one.servers, "d", 0.45
            )
            for fleet in one.fleets:
                fleet.add("d")
            first.request_plan()
            while not one.servers.releases:
                await support.confirmed_sleep(first, 0.01)
            assert await second.take_leadership() is None
            second.request_plan()
            await anyio.sleep(0.05)
            one.fleets[1].add("d", is_leaving=True)
            second.request_plan()
            await anyio.sleep(0.1)
            assert ("d", 1) in one.servers.releases
            one.servers.restart("d")
            await second.resign()
            assert await first.take_leadership() is None
            await support.confirmed_sleep(first, 1.0)
            tasks.cancel_scope.cancel()

    assert test_superseded.overlaps(test_superseded.run(scenario)) == []


class SlowOrders(SlowConnections):
    """Client of servers at which grants arrive after a time."""

    def __init__(
        self, servers: lives.RestartingServers, seconds: float
    ) -> None:
        super().__init__(servers, "", 0.0)
        self._delay = seconds
        self.grant = self._grant_late  # type: ignore[assignment]

    async def _grant_late(self, *arguments: typing.Any) -> ports.OrderResult:
        await anyio.sleep(self._delay)
        return await self._servers.grant(*arguments)


def test_successor_waits_for_the_last_grant_of_its_predecessor() -> None:
    """Guards against a wait that leaves out the duration of a call (OWNER).

    The predecessor renews until its leader lease ends, over a slow link.
    """

    async def scenario(one: World) -> None:
        first, second = one.first, one.second
        del second.fleet.by_id["a"]
        await anyio.sleep(0.65)
        await first.elector.join_once()
        first.store.is_cut = True
        one.expire(first)
        first.hide_others()
        first.coordinator._grant_sender._orders = SlowOrders(one.servers, 0.59)
        second.elector.campaign()
        await anyio.sleep(12.0)

    assert _overlaps(scenario) == []


def test_superseded_leader_releases_no_keys_that_its_successor_granted() -> (
    None
):
    """Guards against keys that a late release takes from their holder.

    The first leader can't grant them to others any more, but still executes
    its move.
    """
    unserved: list[float] = []

    async def scenario(one: World) -> None:
        first, second = one.first, one.second
        first.fleet.add("a", is_leaving=True)
        entry = first.fleet.by_id["a"]
        first.coordinator.request_plan()
        await anyio.sleep(0.01)
        del first.fleet.by_id["a"]
        first.store.is_cut = True
        one.expire(first)
        second.elector.campaign()
        first.hide_b_and_c()
        await one.wait_for_move()
        await anyio.sleep(1.5)
        for name in ("b", "c"):
            second.fleet.add(name, is_leaving=True)
        second.coordinator.request_plan()
        while one.servers.holders_of(0) != {"a"}:
            await anyio.sleep(0.01)
        await anyio.sleep(0.1)
        first.fleet.by_id["a"] = entry
        for _ in range(20):
            if not one.servers.holders_of(0):
                unserved.append(trio.current_time())
            await anyio.sleep(0.1)

    assert _overlaps(scenario) == []
    assert unserved == []
