"""Small fakes at the ports of the ownership runners, for virtual time."""

from __future__ import annotations

import math
import random
import typing

import anyio
import anyio.abc

from agatestile.observability import invariants
from agatestile.ownership import driver
from agatestile.ownership import grants
from agatestile.ownership import ports
from agatestile.ownership import runner
from agatestile.ownership import terms
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import cluster
from agatestile.state import records

LATENCY = 0.001
POLL = 0.01
APPEND_TIMEOUT = 3.0

UNREACHABLE = outcomes.Refusal(
    codes.ResultCode.SERVER_UNREACHABLE, "no answer"
)


class Node:
    """Something that can be killed, frozen and cut off."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_alive = True
        self._thawed = anyio.Event()
        self._thawed.set()

    @property
    def is_frozen(self) -> bool:
        return not self._thawed.is_set()

    def freeze(self) -> None:
        if not self.is_frozen:
            self._thawed = anyio.Event()

    def thaw(self) -> None:
        self._thawed.set()

    async def run_again(self) -> None:
        while self.is_frozen:
            await self._thawed.wait()


class Server(Node):
    """A backend server with a clock of its own."""

    def __init__(
        self, row: records.TableRow, rate: float, offset: float
    ) -> None:
        super().__init__(row.server)
        self.row = row
        self._rate = rate
        self._offset = offset
        self._starts = 0
        self.restart()

    def clock(self) -> float:
        return self._offset + self._rate * anyio.current_time()

    def restart(self) -> None:
        self._starts += 1
        self.is_alive = True
        self.book = grants.GrantBook(
            f"{self.name}#{self._starts}", self.clock()
        )

    def accepts(self, fence: str) -> bool:
        if not self.is_alive:
            return False
        return not self.row.fenced or self.book.accepts(fence, self.clock())


class Host(Node):
    """A daemon: the real runner and a copy of the state."""

    def __init__(
        self, simulation: Simulation, name: str, domain: str, start: int
    ) -> None:
        super().__init__(name)
        self._simulation = simulation
        self.domain = domain
        self.checks = invariants.Invariants()
        self.state = cluster.ClusterState(self.checks)
        self.results: dict[int, cluster.Applied | outcomes.Refusal] = {}
        self.last_read = -math.inf
        self.scope = anyio.CancelScope()
        self.runner = runner.Runner(
            driver.LocalHost(name, domain, f"{name}#{start}", name),
            simulation.domains,
            self.state,
            ports.Ports(
                self,
                self,
                self,
                Members(simulation),
                lambda view: None,
                last_read=lambda: self.last_read,
            ),
            simulation.timing,
            self.checks,
        )

    async def run(self) -> None:
        with self.scope:
            while self._simulation.is_log_down:
                await anyio.sleep(POLL)
            self.read_log()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._follow)
                tasks.start_soon(self.runner.run)

    async def _follow(self) -> None:
        while True:
            await self.run_again()
            if self._simulation.is_log_reachable(self):
                self.read_log()
            await anyio.sleep(POLL)

    def read_log(self) -> None:
        self.last_read = anyio.current_time()
        start = self.state.offset + 1
        for offset, body in enumerate(self._simulation.log[start:], start):
            before = self.state.offset
            self.results[offset] = self.state.apply(
                offset, records.decode(body)
            )
            self._simulation.expect(
                self.state.offset > before, f"{self.name} offset went back"
            )

    async def grant(
        self, row: records.TableRow, request: grants.GrantRequest
    ) -> grants.GrantReply | outcomes.Refusal:
        server = self._simulation.servers[row.server]
        answer = await self._simulation.exchange(
            self,
            server,
            lambda: server.book.handle(request, server.clock()),
        )
        return answer if answer is not None else UNREACHABLE

    async def probe(self, row: records.TableRow) -> bool:
        server = self._simulation.servers[row.server]
        return bool(
            await self._simulation.exchange(self, server, lambda: True)
        )

    async def call(
        self, address: str, method: str, *arguments: typing.Any
    ) -> typing.Any | outcomes.Refusal:
        peer = self._simulation.hosts[address]
        handler = getattr(peer.runner, f"on_{method}")
        answer = await self._simulation.exchange(
            self, peer, lambda: (handler(*arguments),)
        )
        return UNREACHABLE if answer is None else answer[0]

    async def append(self, record: records.Record) -> int | outcomes.Refusal:
        await self.run_again()
        offset = await self._simulation.append(self, records.encode(record))
        if offset is None:
            return outcomes.Refusal(
                codes.ResultCode.LOG_UNAVAILABLE, "log is down"
            )
        with anyio.move_on_after(APPEND_TIMEOUT):
            while offset not in self.results:
                await anyio.sleep(POLL)
        await self.run_again()
        result = self.results.get(offset)
        if isinstance(result, cluster.Applied):
            if isinstance(record, records.Assign):
                self._simulation.acknowledged.append((offset, record))
            return offset
        return result or outcomes.Refusal(
            codes.ResultCode.LOG_OUTCOME_UNKNOWN, "not read back"
        )


class Members:
    """The membership list."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation

    def hosts(self) -> list[ports.Host]:
        return self._simulation.listed()


class Simulation:
    """Hosts, servers, the log and the links between them."""

    def __init__(
        self,
        rows: typing.Iterable[records.TableRow],
        host_domains: dict[str, str],
        chance: random.Random,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self.timing = terms.Timing()
        self.chance = chance
        self.tasks = tasks
        self.log: list[bytes] = []
        self.is_log_down = False
        self.log_delay = 0.0
        self.loses_answers = False
        self.cuts: set[frozenset[str]] = set()
        self.violations: list[str] = []
        self.acknowledged: list[tuple[int, records.Assign]] = []
        self.reference = cluster.ClusterState()
        self.terms: set[tuple[str, int, str]] = set()
        self._starts = 0
        rows = tuple(rows)
        self.domains = sorted({row.domain for row in rows if row.server})
        self.servers = {
            row.server: Server(
                row, chance.uniform(0.98, 1.02), chance.uniform(0, 1e4)
            )
            for row in rows
            if row.server
        }
        self.hosts: dict[str, Host] = {}
        for name, domain in host_domains.items():
            self.start_host(name, domain)

    def start_host(self, name: str, domain: str) -> None:
        self._starts += 1
        self.hosts[name] = Host(self, name, domain, self._starts)
        self.tasks.start_soon(self.hosts[name].run)

    def kill_host(self, host: Host) -> None:
        host.is_alive = False
        host.scope.cancel()

    def expect(self, condition: bool, detail: str) -> None:
        if not condition:
            now = anyio.current_time()
            self.violations.append(f"{now:.3f}: {detail}")

    def is_cut(self, one: Node, other: Node) -> bool:
        return frozenset((one.name, other.name)) in self.cuts

    def is_log_reachable(self, host: Host) -> bool:
        return not self.is_log_down and (
            frozenset((host.name, "log")) not in self.cuts
        )

    async def exchange(
        self,
        sender: Node,
        target: Node,
        handle: typing.Callable[[], typing.Any],
    ) -> typing.Any | None:
        """Call a node; a frozen one handles the call when it goes on."""
        await sender.run_again()
        answers: list[typing.Any] = []
        done = anyio.Event()
        self.tasks.start_soon(
            self._deliver, sender, target, handle, answers, done
        )
        with anyio.move_on_after(self.timing.call_timeout):
            await done.wait()
        await sender.run_again()
        return answers[0] if answers else None

    async def _deliver(
        self,
        sender: Node,
        target: Node,
        handle: typing.Callable[[], typing.Any],
        answers: list[typing.Any],
        done: anyio.Event,
    ) -> None:
        await anyio.sleep(LATENCY * self.chance.uniform(0.5, 1.5))
        if self.is_cut(sender, target) or not target.is_alive:
            return
        await target.run_again()
        if not target.is_alive:
            return
        answer = handle()
        await anyio.sleep(LATENCY * self.chance.uniform(0.5, 1.5))
        if self.is_cut(sender, target):
            return
        answers.append(answer)
        done.set()

    async def append(self, host: Host, body: bytes) -> int | None:
        """Return the offset, or None if the record is not in the log."""
        if not self.is_log_reachable(host):
            return None
        with anyio.CancelScope(shield=True):
            await anyio.sleep(LATENCY + self.log_delay)
        offset = self.write(body)
        if self.loses_answers:
            await anyio.sleep(APPEND_TIMEOUT * self.chance.random())
        return offset

    def write(self, body: bytes) -> int:
        """Add a record to the log."""
        self.log.append(body)
        offset = len(self.log) - 1
        self.reference.apply(offset, records.decode(body))
        return offset

    def listed(self) -> list[ports.Host]:
        return [
            ports.Host(host.name, host.domain, host.name)
            for host in self.hosts.values()
        ]

    def acceptors(
        self, positions: dict[str, list[int]]
    ) -> dict[tuple[str, int], set[tuple[str, str]]]:
        """Return who would run an order for each position.

        Returns
        -------
        dict
            Pairs of server and gate host by service and position.
        """
        now = anyio.current_time()
        found: dict[tuple[str, int], set[tuple[str, str]]] = {
            (service, position): set()
            for service, starts in positions.items()
            for position in starts
        }
        for host in self.hosts.values():
            gates = host.runner.gates
            for domain in self.domains if host.is_alive else ():
                for name, fence in gates.held(domain, now).items():
                    if not self.servers[name].accepts(fence):
                        continue
                    service = self.servers[name].row.service
                    for position in positions.get(service, ()):
                        permit = gates.permit(name, position, now)
                        if not isinstance(permit, outcomes.Refusal):
                            found[service, position].add((name, host.name))
        return found
