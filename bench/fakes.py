"""In-memory fakes of the ports of the ownership runners."""

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

LATENCY_SECONDS = 0.001
POLL_SECONDS = 0.01
APPEND_TIMEOUT_SECONDS = 3.0

UNREACHABLE = outcomes.Refusal(
    codes.ResultCode.SERVER_UNREACHABLE, "no response"
)


class Node:
    """A process that can be killed, frozen or cut off from others."""

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

    async def wait_until_thawed(self) -> None:
        while self.is_frozen:
            await self._thawed.wait()


class Server(Node):
    """A backend server whose clock has its own rate and offset."""

    def __init__(
        self, row: records.TableRow, rate: float, offset: float
    ) -> None:
        super().__init__(row.server)
        self.row = row
        self._rate = rate
        self._offset = offset
        self._start_count = 0
        self.restart()

    def clock(self) -> float:
        return self._offset + self._rate * anyio.current_time()

    def restart(self) -> None:
        self._start_count += 1
        self.is_alive = True
        self.grant_book = grants.GrantBook(
            f"{self.name}#{self._start_count}", self.clock()
        )

    def accepts(self, fence: str) -> bool:
        if not self.is_alive:
            return False
        return not self.row.fenced or self.grant_book.accepts(
            fence, self.clock()
        )


class Host(Node):
    """A daemon with the real ownership runner and a copy of the state."""

    def __init__(
        self, simulation: Simulation, name: str, domain: str, start: int
    ) -> None:
        super().__init__(name)
        self._simulation = simulation
        self.domain = domain
        self.invariants = invariants.Invariants()
        self.state = cluster.ClusterState(self.invariants)
        self.results_by_offset: dict[
            int, cluster.Applied | outcomes.Refusal
        ] = {}
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
                Membership(simulation),
                lambda view: None,
                last_read=lambda: self.last_read,
            ),
            simulation.timing,
            self.invariants,
        )

    async def run(self) -> None:
        with self.scope:
            while self._simulation.is_log_down:
                await anyio.sleep(POLL_SECONDS)
            self.read_log()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._follow_log)
                tasks.start_soon(self.runner.run)

    async def _follow_log(self) -> None:
        while True:
            await self.wait_until_thawed()
            if self._simulation.is_log_reachable(self):
                self.read_log()
            await anyio.sleep(POLL_SECONDS)

    def read_log(self) -> None:
        self.last_read = anyio.current_time()
        start = self.state.offset + 1
        for offset, body in enumerate(self._simulation.log[start:], start):
            before = self.state.offset
            self.results_by_offset[offset] = self.state.apply(
                offset, records.decode(body)
            )
            self._simulation.expect(
                self.state.offset > before,
                f"{self.name} offset decreased",
            )

    async def grant(
        self, row: records.TableRow, request: grants.GrantRequest
    ) -> grants.GrantReply | outcomes.Refusal:
        server = self._simulation.servers[row.server]
        response = await self._simulation.exchange(
            self,
            server,
            lambda: server.grant_book.handle(request, server.clock()),
        )
        return response if response is not None else UNREACHABLE

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
        response = await self._simulation.exchange(
            self, peer, lambda: (handler(*arguments),)
        )
        return UNREACHABLE if response is None else response[0]

    async def append(self, record: records.Record) -> int | outcomes.Refusal:
        await self.wait_until_thawed()
        offset = await self._simulation.append(self, records.encode(record))
        if offset is None:
            return outcomes.Refusal(
                codes.ResultCode.LOG_UNAVAILABLE, "log is unreachable"
            )
        with anyio.move_on_after(APPEND_TIMEOUT_SECONDS):
            while offset not in self.results_by_offset:
                await anyio.sleep(POLL_SECONDS)
        await self.wait_until_thawed()
        result = self.results_by_offset.get(offset)
        if isinstance(result, cluster.Applied):
            if isinstance(record, records.Assign):
                self._simulation.acknowledged.append((offset, record))
            return offset
        return result or outcomes.Refusal(
            codes.ResultCode.LOG_OUTCOME_UNKNOWN,
            "appended record was not read back",
        )


class Membership:
    """Membership list with all hosts of the simulation."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation

    def hosts(self) -> list[ports.Host]:
        return self._simulation.members()


class Simulation:
    """Hosts, servers, the log and the links between them.

    Attributes
    ----------
    log_delay : float
        Additional time that an append takes, seconds.
    loses_answers : bool
        Whether responses to appends are delayed by up to the timeout.
    cut_links : set of frozenset of str
        Pairs of node names between which no message passes.
    violations : list of str
        Violated expectations, each with its time in seconds.
    acknowledged : list of tuple
        Offset and record of each assignment that its writer saw confirmed.
    reference : cluster.ClusterState
        State after all records of the log.
    terms : set of tuple
        Domain, step and instance of each leadership seen.
    """

    def __init__(
        self,
        rows: typing.Iterable[records.TableRow],
        host_domains: dict[str, str],
        generator: random.Random,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self.timing = terms.Timing()
        self.generator = generator
        self.tasks = tasks
        self.log: list[bytes] = []
        self.is_log_down = False
        self.log_delay = 0.0
        self.loses_answers = False
        self.cut_links: set[frozenset[str]] = set()
        self.violations: list[str] = []
        self.acknowledged: list[tuple[int, records.Assign]] = []
        self.reference = cluster.ClusterState()
        self.terms: set[tuple[str, int, str]] = set()
        self._start_count = 0
        rows = tuple(rows)
        self.domains = sorted({row.domain for row in rows if row.server})
        self.servers = {
            row.server: Server(
                row, generator.uniform(0.98, 1.02), generator.uniform(0, 1e4)
            )
            for row in rows
            if row.server
        }
        self.hosts: dict[str, Host] = {}
        for name, domain in host_domains.items():
            self.start_host(name, domain)

    def start_host(self, name: str, domain: str) -> None:
        self._start_count += 1
        self.hosts[name] = Host(self, name, domain, self._start_count)
        self.tasks.start_soon(self.hosts[name].run)

    def kill_host(self, host: Host) -> None:
        host.is_alive = False
        host.scope.cancel()

    def expect(self, condition: bool, detail: str) -> None:
        if not condition:
            now = anyio.current_time()
            self.violations.append(f"{now:.3f}: {detail}")

    def is_cut(self, one: Node, other: Node) -> bool:
        return frozenset((one.name, other.name)) in self.cut_links

    def is_log_reachable(self, host: Host) -> bool:
        return not self.is_log_down and (
            frozenset((host.name, "log")) not in self.cut_links
        )

    async def exchange(
        self,
        sender: Node,
        target: Node,
        handle: typing.Callable[[], typing.Any],
    ) -> typing.Any | None:
        """Call a node; a frozen one handles the call once it thaws."""
        await sender.wait_until_thawed()
        responses: list[typing.Any] = []
        done = anyio.Event()
        self.tasks.start_soon(
            self._deliver, sender, target, handle, responses, done
        )
        with anyio.move_on_after(self.timing.call_timeout):
            await done.wait()
        await sender.wait_until_thawed()
        return responses[0] if responses else None

    async def _deliver(
        self,
        sender: Node,
        target: Node,
        handle: typing.Callable[[], typing.Any],
        responses: list[typing.Any],
        done: anyio.Event,
    ) -> None:
        await anyio.sleep(LATENCY_SECONDS * self.generator.uniform(0.5, 1.5))
        if self.is_cut(sender, target) or not target.is_alive:
            return
        await target.wait_until_thawed()
        if not target.is_alive:
            return
        response = handle()
        await anyio.sleep(LATENCY_SECONDS * self.generator.uniform(0.5, 1.5))
        if self.is_cut(sender, target):
            return
        responses.append(response)
        done.set()

    async def append(self, host: Host, body: bytes) -> int | None:
        """Append a record; return its offset, None if the log is cut off."""
        if not self.is_log_reachable(host):
            return None
        with anyio.CancelScope(shield=True):
            await anyio.sleep(LATENCY_SECONDS + self.log_delay)
        offset = self.write(body)
        if self.loses_answers:
            await anyio.sleep(APPEND_TIMEOUT_SECONDS * self.generator.random())
        return offset

    def write(self, body: bytes) -> int:
        """Add a record to the log and return its offset."""
        self.log.append(body)
        offset = len(self.log) - 1
        self.reference.apply(offset, records.decode(body))
        return offset

    def members(self) -> list[ports.Host]:
        return [
            ports.Host(host.name, host.domain, host.name)
            for host in self.hosts.values()
        ]

    def acceptors(
        self, positions: dict[str, list[int]]
    ) -> dict[tuple[str, int], set[tuple[str, str]]]:
        """Return which servers would execute a request at each position.

        Returns
        -------
        dict
            Sets of pairs of server and gate host, by service and position.
        """
        now = anyio.current_time()
        acceptors_by_position: dict[tuple[str, int], set[tuple[str, str]]] = {
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
                            acceptors_by_position[service, position].add(
                                (name, host.name)
                            )
        return acceptors_by_position
