"""Fakes of the store, the servers and service discovery."""

from __future__ import annotations

import typing

import anyio
import trio
from trio import testing

from agatestile.assignment import coordinator as coordinator_module
from agatestile.assignment import planner
from agatestile.assignment import ports
from agatestile.assignment import ranges
from agatestile.assignment import state
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.store import port

SERVICE = "prices"
STORE_UNAVAILABLE = outcomes.Refusal(
    codes.ResultCode.LOG_UNAVAILABLE, "the store is down"
)


class MemoryStore:
    """Store in memory that refuses every call while `is_down`."""

    def __init__(self) -> None:
        self.records: list[port.Record] = []
        self.is_down = False
        self.lost_answers = 0
        self.members: list[str] = []
        self.generation = 0
        self.era = 0

    def restore(self, end: int) -> None:
        """Return to a copy that ends at an offset."""
        del self.records[end:]
        self.era += 1

    async def read_newest(self, topic: str) -> port.Page | outcomes.Refusal:
        if self.is_down:
            return STORE_UNAVAILABLE
        by_key = {record.key: record for record in self.records}
        return port.Page(
            list(by_key.values()), len(self.records), era=self.era
        )

    async def read(
        self, topic: str, start: int, wait: float, limit: int = 0
    ) -> port.Page | outcomes.Refusal:
        if self.is_down:
            return STORE_UNAVAILABLE
        if start > len(self.records):
            return outcomes.Refusal(
                codes.ResultCode.LOG_HISTORY_GONE, "no such offset"
            )
        return port.Page(self.records[start:], len(self.records), era=self.era)

    async def append(
        self, topic: str, records: list[port.Record], expected_end: int
    ) -> int | outcomes.Refusal:
        if self.is_down:
            return STORE_UNAVAILABLE
        if expected_end != len(self.records):
            return outcomes.Refusal(codes.ResultCode.RECORD_STALE, "moved on")
        self.records += records
        if self.lost_answers:
            self.lost_answers -= 1
            return outcomes.Refusal(
                codes.ResultCode.LOG_OUTCOME_UNKNOWN, "no answer"
            )
        return len(self.records)

    async def join(
        self, group: str, member: str, ttl: float, generation: int
    ) -> port.Membership | outcomes.Refusal:
        if self.is_down:
            return STORE_UNAVAILABLE
        if member not in self.members:
            self.members.append(member)
            self.generation += 1
        partitions = frozenset((0,) if self.members[0] == member else ())
        return port.Membership(self.generation, partitions, self.era)

    async def leave(self, group: str, member: str) -> None:
        if member in self.members:
            self.members.remove(member)
            self.generation += 1

    async def member_of(
        self, group: str, partition: int
    ) -> str | None | outcomes.Refusal:
        if self.is_down:
            return STORE_UNAVAILABLE
        return self.members[0] if self.members else None


class Order(typing.NamedTuple):
    """An order as a server received it."""

    time: float
    kind: str
    server_id: str
    first: int
    last: int
    fence: int
    handover: str | None


class FakeOrders:
    """Client that records orders; sets of identifiers inject faults."""

    def __init__(self, now: typing.Callable[[], float]) -> None:
        self._now = now
        self.orders: list[Order] = []
        self.delay = 0.0
        self.silent: set[str] = set()
        self.fenced: set[str] = set()
        self.crashed: set[str] = set()
        self._opened_at_by_server: dict[str, float] = {}

    def now(self) -> float:
        return self._now()

    def is_connected(
        self, recipient: ports.Recipient, opened_before: float
    ) -> bool:
        name = recipient.server_id
        opened_at = self._opened_at_by_server.get(name)
        return (
            name not in self.crashed
            and opened_at is not None
            and opened_at <= opened_before
        )

    async def connect(self, recipient: ports.Recipient) -> str:
        if recipient.server_id in self.crashed:
            return "connection refused"
        self._opened_at_by_server.setdefault(recipient.server_id, self._now())
        return ""

    def disconnect(self, server_id: str) -> None:
        """Close the connection to a server."""
        self._opened_at_by_server.pop(server_id, None)

    async def grant(
        self,
        recipient: ports.Recipient,
        key_range: ranges.KeyRange,
        hold: float,
        handover: str | None,
        timeout: float,
        opened_before: float,
    ) -> ports.OrderResult:
        return await self._receive("grant", recipient, key_range, handover)

    async def release(
        self,
        recipient: ports.Recipient,
        key_range: ranges.KeyRange,
        timeout: float,
        may_send: typing.Callable[[], bool] = lambda: True,
    ) -> ports.OrderResult:
        return await self._receive("release", recipient, key_range, None)

    async def _receive(
        self,
        kind: str,
        recipient: ports.Recipient,
        key_range: ranges.KeyRange,
        handover: str | None,
    ) -> ports.OrderResult:
        name = recipient.server_id
        if name in self.crashed:
            return ports.OrderResult(
                ports.Reply.UNSENT, None, "connection refused"
            )
        await anyio.sleep(self.delay)
        if name in self.silent:
            await anyio.sleep(0.5)
            self.disconnect(name)
            return ports.OrderResult(ports.Reply.SILENT, None, "no answer")
        self.orders.append(
            Order(
                self._now(),
                kind,
                name,
                key_range.first,
                key_range.last,
                key_range.owner.fence,
                handover,
            )
        )
        if name in self.fenced:
            return ports.OrderResult(ports.Reply.FENCED, None, "status 409")
        result = f"state of {name}" if kind == "release" else None
        return ports.OrderResult(ports.Reply.DONE, result, "status 200")

    def received(self, kind: str, server_id: str) -> list[Order]:
        """Return the orders of a kind that a server received."""
        return [
            order
            for order in self.orders
            if (order.kind, order.server_id) == (kind, server_id)
        ]


class FakeHosts:
    """Earlier leaders by address; other hosts do not answer."""

    def __init__(self) -> None:
        self.by_address: dict[str, coordinator_module.Coordinator] = {}

    async def supersede(
        self, host: str, epoch: int
    ) -> ports.SupersedeReply | None:
        known = self.by_address.get(host)
        return None if known is None else known.supersede(epoch)


class FakeFleet:
    """Registered servers that a test adds and removes."""

    def __init__(self) -> None:
        self.by_id: dict[str, state.RegisteredServer] = {}
        self.report_age_by_id: dict[str, float] = {}
        self.last_report_by_id: dict[str, float] = {}

    def services(self) -> list[str]:
        return [SERVICE]

    def registered_servers(
        self, service: str
    ) -> dict[str, state.RegisteredServer]:
        return self.by_id

    def registered_server(
        self, service: str, server_id: str
    ) -> state.RegisteredServer | None:
        known = self.by_id.get(server_id)
        if known is None:
            return None
        reported_at = self.last_report_by_id.get(
            server_id, trio.current_time()
        )
        age = self.report_age_by_id[server_id]
        return known._replace(alive_at=reported_at - age)

    def stop_reports(self, server_id: str) -> None:
        """Cut a server off from service discovery, which still lists it."""
        self.last_report_by_id[server_id] = trio.current_time()

    def add(
        self,
        name: str,
        is_leaving: bool = False,
        report_age: float = 0.0,
        incarnation: int = 1,
    ) -> None:
        """Add or change a server with 10 requests per second."""
        candidate = planner.OwnerCandidate(
            name, incarnation, 10.0, not is_leaving, is_leaving
        )
        self.report_age_by_id[name] = report_age
        self.last_report_by_id.pop(name, None)
        self.by_id[name] = state.RegisteredServer(
            ("127.0.0.1", 1), candidate, 0.0, candidate.capacity
        )


class CoordinatorHarness:
    """A coordinator with fakes of everything that it uses."""

    def __init__(self, host: str = "host-1") -> None:
        self.store = MemoryStore()
        self.orders: typing.Any = FakeOrders(trio.current_time)
        self.fleet = FakeFleet()
        self.hosts = FakeHosts()
        self.coordinator = self.add_coordinator(host)

    def add_coordinator(
        self, host: str, fleet: state.Fleet | None = None
    ) -> coordinator_module.Coordinator:
        """Return another coordinator with the same store and servers.

        It shares the view of service discovery unless it has its own.
        """
        return coordinator_module.Coordinator(
            self.store,
            self.orders,
            self.hosts,
            fleet or self.fleet,
            host,
            trio.current_time,
        )

    def owner_of(self, key: int) -> str:
        """Return the owner of a key according to the first coordinator."""
        state = self.coordinator.services[SERVICE]
        return state.key_map.find(key).owner.server_id


async def confirmed_sleep(
    leader: coordinator_module.Coordinator, seconds: float
) -> None:
    """Let time pass while the store confirms the leadership."""
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        if leader.epoch:
            leader.leader_lease.confirm(trio.current_time())
        await anyio.sleep(0.1)


def run(
    scenario: typing.Callable[[CoordinatorHarness], typing.Awaitable[None]],
) -> None:
    """Run a scenario on a clock that skips idle time."""

    async def main() -> None:
        harness = CoordinatorHarness()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.coordinator.run)
            await scenario(harness)
            tasks.cancel_scope.cancel()

    clock = testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)
