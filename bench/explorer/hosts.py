"""Hosts: the real coordinator and elector on simulated interfaces."""

from __future__ import annotations

import contextvars
import math
import typing

import anyio
import trio

from agatestile.assignment import coordinator as coordinator_module
from agatestile.assignment import planner
from agatestile.assignment import ports
from agatestile.assignment import ranges
from agatestile.assignment import state
from agatestile.node import leadership
from agatestile.node import watchers
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.store import port

if typing.TYPE_CHECKING:
    from bench.explorer import servers as servers_module
    from bench.explorer import world as world_module

SERVICE = "prices"
OUTCOME_UNKNOWN = outcomes.Refusal(
    codes.ResultCode.LOG_OUTCOME_UNKNOWN, "no answer"
)
CONNECT_TIMEOUT_SECONDS = 0.5
READ_SECONDS = 0.35
"""Interval in which a host reads the entries of servers."""

HESITATION_SECONDS = 0.15
"""Longest time between a check and a send; the margin allows 0.2 s."""

LATENCIES = (0.001, 0.02)

LONGEST_APPEND_SECONDS = 6.0
"""Longest time in which an append without an answer may be carried out."""

HELD_APPEND_POLL_SECONDS = 0.005

WAKE_SECONDS = 0.002
"""Time in which a server reads its sockets after a pause."""

T = typing.TypeVar("T")

_current_host: contextvars.ContextVar[Host | None] = contextvars.ContextVar(
    "host", default=None
)


async def sleep_on_host(seconds: float) -> None:
    """Sleep; a task of a suspended host wakes up when the host does."""
    await trio.sleep(seconds)
    host = _current_host.get()
    if host is not None:
        await host.wait_running()


class Connection:
    """A connection to one life of a server.

    Orders that are in progress together use connections of their own, which
    need not be told apart here.
    """

    def __init__(self, life: int, opened_at: float) -> None:
        self.life = life
        self.opened_at = opened_at


class Host:
    """A host, whose process may be killed and started again."""

    def __init__(self, world: world_module.World, name: str) -> None:
        self.world = world
        self.name = name
        self._scope = trio.CancelScope()
        self._down_seconds: float | None = None
        self._draw = world.random(f"watch {name}")
        self._start()

    def _start(self) -> None:
        self.store = HostStore(self)
        self.fleet = Fleet(self)
        self.coordinator = coordinator_module.Coordinator(
            self.store,
            Orders(self),
            Hosts(self),
            self.fleet,
            self.name,
            trio.current_time,
        )
        self._elector = leadership.LeaderElector(
            self.store, self.coordinator, self.name, trio.current_time
        )

    async def wait_running(self) -> None:
        while self.world.suspensions.fails(self.name):
            await trio.sleep_until(
                self.world.suspensions.fails_until(self.name)
            )

    def is_reachable(self) -> bool:
        return self._down_seconds is None and not (
            self.world.suspensions.fails(self.name)
        )

    def kill(self, seconds: float) -> None:
        """End the process; another one starts later."""
        if self._down_seconds is None:
            self._down_seconds = seconds
            self._scope.cancel()

    async def run(self) -> None:
        _current_host.set(self)
        while True:
            self._scope = trio.CancelScope()
            with self._scope:
                async with trio.open_nursery() as tasks:
                    tasks.start_soon(self.fleet.run)
                    tasks.start_soon(self.coordinator.run)
                    tasks.start_soon(self._elector.run)
                    tasks.start_soon(self._watch)
            self.coordinator.epoch = 0
            await trio.sleep(self._down_seconds or 0.0)
            self._start()
            self._down_seconds = None

    async def _watch(self) -> None:
        """Campaign when the group is empty."""
        while True:
            await anyio.sleep(0.3 + self._draw.uniform(0.0, 0.1))
            self._elector.note_era()
            if self.coordinator.epoch:
                continue
            if await self.store.member_of(leadership.GROUP, 0) is None:
                self._elector.campaign()


class HostStore:
    """The store as one host reaches it."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self._world = host.world
        self._draw = host.world.random(f"store {host.name}")
        self.era = 0

    async def _travel(self) -> None:
        is_slow = self._world.slow_stores.fails(self._host.name)
        low, high = (0.05, 0.5) if is_slow else (0.001, 0.01)
        await trio.sleep(self._draw.uniform(low, high))

    async def reach(self) -> bool:
        """Let a call travel; return whether it arrives."""
        await self._host.wait_running()
        await self._travel()
        cuts = self._world.store_cuts
        if not cuts.fails(self._host.name) and not cuts.fails("all"):
            return True
        await trio.sleep(0.3)
        await self._host.wait_running()
        return False

    async def come_back(self) -> None:
        """Let an answer travel."""
        await self._travel()
        await self._host.wait_running()

    async def _answer(
        self, era: int, answer: T | outcomes.Refusal
    ) -> T | outcomes.Refusal:
        """Let an answer travel; one of an earlier era is refused."""
        await self.come_back()
        if era < self.era:
            return _unavailable()
        self.era = era
        return answer

    async def read_newest(self, topic: str) -> port.Page | outcomes.Refusal:
        if not await self.reach():
            return _unavailable()
        page = self._world.store.newest()
        return await self._answer(page.era, page)

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        limit: int = port.READ_LIMIT,
        on_data: typing.Callable[[], None] | None = None,
    ) -> port.Page | outcomes.Refusal:
        if not await self.reach():
            return _unavailable()
        era = self._world.store.era
        return await self._answer(era, self._world.store.since(start))

    async def append(
        self, topic: str, records: list[port.Record], expected_end: int
    ) -> int | outcomes.Refusal:
        if not await self.reach():
            return _unavailable()
        is_delayed = self._world.delayed_appends.fails(self._host.name)
        if is_delayed and self._draw.random() < 0.5:
            delay = self._draw.choice((0.0, self._draw.uniform(1.0, 6.0)))
            self._world.tasks.start_soon(
                self._append_late, records, expected_end, delay
            )
            await trio.sleep(0.6)
            await self._host.wait_running()
            return OUTCOME_UNKNOWN
        if self._world.held_appends.fails(self._host.name):
            self._world.held_appends.end(self._host.name)
            self._world.held_end = expected_end
            self._world.tasks.start_soon(
                self._append_in_later_era, records, expected_end
            )
            await trio.sleep(0.6)
            await self._host.wait_running()
            return OUTCOME_UNKNOWN
        era = self._world.store.era
        result = self._world.store.append(records, expected_end)
        answer = await self._answer(era, result)
        return OUTCOME_UNKNOWN if answer == _unavailable() else answer

    async def _append_late(
        self, records: list[port.Record], expected_end: int, delay: float
    ) -> None:
        era = self._world.store.era
        await trio.sleep(delay)
        if era == self._world.store.era:
            self._world.store.append(records, expected_end)

    async def _append_in_later_era(
        self, records: list[port.Record], expected_end: int
    ) -> None:
        """Append once the store is restored and ends where expected."""
        store = self._world.store
        era = store.era
        with trio.move_on_after(LONGEST_APPEND_SECONDS):
            while era == store.era or len(store.records) != expected_end:
                await trio.sleep(HELD_APPEND_POLL_SECONDS)
            store.append(records, expected_end)
            keys = [record.key for record in records]
            self._world.note(f"append of era {era} carried out: {keys}")

    async def join(
        self, group: str, member: str, ttl: float, generation: int
    ) -> port.Membership | outcomes.Refusal:
        if not await self.reach():
            return _unavailable()
        joined = self._world.store.join(member, ttl)
        return await self._answer(joined.era, joined)

    async def leave(self, group: str, member: str) -> None:
        if await self.reach():
            self._world.store.leave(member)

    async def member_of(
        self, group: str, partition: int
    ) -> str | None | outcomes.Refusal:
        if not await self.reach():
            return _unavailable()
        era = self._world.store.era
        return await self._answer(era, self._world.store.member())


class Fleet:
    """Entries of the servers as one host has read them."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self._by_id: dict[str, state.RegisteredServer] = {}
        self._seen_by_id: dict[str, tuple[int, int]] = {}

    def services(self) -> list[str]:
        return [SERVICE]

    def registered_servers(
        self, service: str
    ) -> dict[str, state.RegisteredServer]:
        return self._by_id

    def registered_server(
        self, service: str, server_id: str
    ) -> state.RegisteredServer | None:
        return self._by_id.get(server_id)

    async def run(self) -> None:
        previous_at = -math.inf
        while True:
            started = trio.current_time()
            if await self._host.store.reach():
                entries = self._host.world.store.entries()
                await self._host.store.come_back()
                self._update(entries, previous_at)
                previous_at = started
            await sleep_on_host(READ_SECONDS)

    def _update(
        self, entries: dict[str, servers_module.Entry], previous_at: float
    ) -> None:
        """Replace the entries; newer reports may have been written late."""
        for name in self._by_id.keys() - entries.keys():
            del self._by_id[name]
        for name, entry in entries.items():
            seen = self._seen_by_id.get(name, (0, 0))
            if (entry.life, entry.seq) <= seen:
                # Read again, or written late.
                continue
            known = self._by_id.get(name)
            is_known = known is not None and (
                known.candidate.incarnation == entry.life
            )
            alive_at = -math.inf
            if is_known:
                alive_at = previous_at - watchers.LONGEST_REPORT_DELAY_SECONDS
            self._seen_by_id[name] = (entry.life, entry.seq)
            candidate = planner.OwnerCandidate(
                name, entry.life, entry.capacity, True, False
            )
            self._by_id[name] = state.RegisteredServer(
                (name, 1), candidate, alive_at, entry.capacity
            )


class Hosts:
    """The other hosts as one host reaches them."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self._draw = host.world.random(f"hosts {host.name}")

    async def supersede(
        self, host: str, epoch: int
    ) -> ports.SupersedeReply | None:
        await self._host.wait_running()
        known = self._host.world.hosts[host]
        await trio.sleep(self._draw.uniform(*LATENCIES))
        reply = None
        is_cut = self._host.world.host_cuts.fails(
            frozenset((self._host.name, host))
        )
        if is_cut or not known.is_reachable():
            await trio.sleep(0.5)
        else:
            reply = known.coordinator.supersede(epoch)
            await trio.sleep(self._draw.uniform(*LATENCIES))
        await self._host.wait_running()
        return reply


class Orders:
    """The servers as one host reaches them."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self._world = host.world
        self._draw = host.world.random(f"orders {host.name}")
        self._connection_by_instance: dict[tuple[str, int], Connection] = {}

    def now(self) -> float:
        return trio.current_time()

    def is_connected(
        self, recipient: ports.Recipient, opened_before: float
    ) -> bool:
        known = self._connection_by_instance.get(recipient[:2])
        return known is not None and known.opened_at <= opened_before

    async def connect(self, recipient: ports.Recipient) -> str:
        server = self._world.servers[recipient.server_id]
        started = trio.current_time()
        departure = self._world.departure_of(self._host.name)
        arrival = departure + self._draw.uniform(*LATENCIES)
        timeout_at = started + CONNECT_TIMEOUT_SECONDS
        await trio.sleep_until(min(arrival, timeout_at))
        reason = ""
        if (
            arrival > timeout_at
            or self._is_cut(server)
            or not server.accepts_connections()
        ):
            await trio.sleep_until(max(timeout_at, trio.current_time()))
            reason = "timeout"
        elif not server.is_up:
            reason = "refused"
        else:
            opened = Connection(server.life, trio.current_time())
            self._connection_by_instance.setdefault(recipient[:2], opened)
        await self._host.wait_running()
        return reason

    async def grant(
        self,
        recipient: ports.Recipient,
        key_range: ranges.KeyRange,
        hold: float,
        handover: str | None,
        timeout: float,
        opened_before: float,
    ) -> ports.OrderResult:
        if not self.is_connected(recipient, opened_before):
            return ports.OrderResult(ports.Reply.UNSENT, None, "")
        connection = self._connection_by_instance[recipient[:2]]
        await self._hesitate()
        server = self._world.servers[recipient.server_id]
        sent_at = trio.current_time()
        answer: list[bool] = []
        answered = trio.Event()

        def is_taken(until: float) -> bool:
            return server.take(
                key_range.first,
                key_range.last,
                key_range.owner.fence,
                until,
                sent_at,
            )

        async def arrive(delay: float) -> None:
            if not await self._carry(connection, server, delay):
                return
            until = trio.current_time() + hold * server.clock_rate
            answer.append(is_taken(until))
            await trio.sleep(self._draw.uniform(*LATENCIES))
            if not self._is_muted(server):
                answered.set()

        async def apply_late(delay: float) -> None:
            if not await self._carry(connection, server, 0.0):
                return
            life = server.life
            until = trio.current_time() + hold * server.clock_rate
            await trio.sleep(delay)
            await server.wait_running()
            if server.life == life and trio.current_time() < until:
                is_taken(until)

        is_delayed = self._world.delayed_orders.fails(server.name)
        chance = self._draw.random()
        if is_delayed and chance < 0.5:
            delay = self._draw.uniform(1.0, 12.0)
            self._world.tasks.start_soon(apply_late, delay)
        elif chance > (0.3 if self._world.lags.fails(server.name) else 0.97):
            # Arrives about when its call is abandoned.
            delay = timeout + self._draw.uniform(-0.5, 0.25)
            self._world.tasks.start_soon(arrive, delay)
        else:
            self._world.tasks.start_soon(arrive, 0.0)
        with trio.move_on_after(timeout):
            await answered.wait()
        await self._host.wait_running()
        if answer and answered.is_set():
            reply = ports.Reply.DONE if answer[0] else ports.Reply.FENCED
            return ports.OrderResult(reply, None, "")
        return self._abandon(recipient, connection)

    async def release(
        self,
        recipient: ports.Recipient,
        key_range: ranges.KeyRange,
        timeout: float,
        may_send: typing.Callable[[], bool] = lambda: True,
    ) -> ports.OrderResult:
        started = trio.current_time()
        if not self.is_connected(recipient, math.inf):
            reason = await self.connect(recipient)
            if reason:
                return ports.OrderResult(ports.Reply.UNSENT, None, reason)
        connection = self._connection_by_instance[recipient[:2]]
        await self._hesitate()
        server = self._world.servers[recipient.server_id]
        answered = trio.Event()

        async def arrive() -> None:
            delay = 0.0
            if self._draw.random() < 0.05:
                delay = self._draw.uniform(0.1, 1.5)
            if not await self._carry(connection, server, delay):
                return
            server.release(
                key_range.first, key_range.last, key_range.owner.fence
            )
            await trio.sleep(server.work_seconds)
            is_lost = self._is_muted(server) or self._draw.random() < 0.1
            if server.life == connection.life and not is_lost:
                answered.set()

        self._world.tasks.start_soon(arrive)
        left = max(0.01, timeout - (trio.current_time() - started))
        with trio.move_on_after(left):
            await answered.wait()
        await self._host.wait_running()
        if answered.is_set():
            return ports.OrderResult(ports.Reply.DONE, "state", "")
        return self._abandon(recipient, connection)

    async def _hesitate(self) -> None:
        await self._host.wait_running()
        if self._world.hesitations.fails(self._host.name):
            await trio.sleep(self._draw.uniform(0.0, HESITATION_SECONDS))

    async def _carry(
        self,
        connection: Connection,
        server: servers_module.Server,
        delay: float,
    ) -> bool:
        """Let an order travel; return whether the server reads it.

        What is in the socket of a paused server is read after the pause,
        though the connection was reset meanwhile.
        """
        departure = self._world.departure_of(self._host.name)
        arrival = departure + self._draw.uniform(*LATENCIES) + delay
        await trio.sleep_until(arrival)
        if self._is_cut(server) or not self._leads_to(connection, server):
            return False
        if trio.current_time() < server.paused_until:
            await server.wait_running()
            await trio.sleep(self._draw.uniform(0.0, WAKE_SECONDS))
        return self._leads_to(connection, server)

    def _leads_to(
        self, connection: Connection, server: servers_module.Server
    ) -> bool:
        return server.is_up and server.life == connection.life

    def _is_cut(self, server: servers_module.Server) -> bool:
        cuts = self._world.server_cuts
        return cuts.fails((self._host.name, server.name))

    def _is_muted(self, server: servers_module.Server) -> bool:
        """Return whether answers of a server don't arrive."""
        return self._is_cut(server) or self._world.mutings.fails(server.name)

    def _abandon(
        self, recipient: ports.Recipient, connection: Connection
    ) -> ports.OrderResult:
        known = self._connection_by_instance.get(recipient[:2])
        if known is connection:
            del self._connection_by_instance[recipient[:2]]
        return ports.OrderResult(ports.Reply.SILENT, None, "no answer")


def _unavailable() -> outcomes.Refusal:
    return outcomes.Refusal(
        codes.ResultCode.LOG_UNAVAILABLE, "the store can't be reached"
    )
