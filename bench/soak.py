"""Injects random faults into the ownership runners, in virtual time.

``python -m bench.soak --seed N --seconds N``
"""

from __future__ import annotations

import argparse
import collections
import importlib
import logging
import random
import sys
import typing

import anyio
import anyio.abc
import trio
import trio.testing

from agatestile.ownership import reassignment
from agatestile.state import records
from bench import fakes

HOSTS = {"h1": "a", "h2": "a", "h3": "b", "h4": "b", "h5": "c"}
SAMPLE_SECONDS = 0.03
RANGES_PER_SERVER = 2
RECOVERY_LIMIT_SECONDS = 40.0
"""Longest time in which all ranges are served again after the faults."""


def services_table() -> tuple[records.TableRow, ...]:
    """Return a table of two services, one of which has unfenced servers.

    Domain d has no host and no server that checks fences.
    """
    rows = [
        records.TableRow("service", "price", timeout_ms=1000),
        records.TableRow("service", "photo", timeout_ms=1000),
    ]
    for domain in "abcd":
        for index in range(5 if domain < "d" else 2):
            fenced = index < 3 and domain < "d"
            rows.append(
                records.TableRow(
                    "server",
                    "price" if fenced else "photo",
                    f"{domain}{index}",
                    domain,
                    f"127.0.0.1:{1000 + ord(domain) * 10 + index}",
                    slots=2,
                    connections=10,
                    fenced=fenced,
                )
            )
    return tuple(rows)


class Soak:
    """One run of random faults against simulated hosts and servers.

    Attributes
    ----------
    unavailable_by_kind : dict of str to float
        Longest time, seconds, that a range was not served after a single
        loss, by kind of loss.
    recovery_by_name : dict of str to float
        Longest time, seconds, until all ranges were served again after
        faults had ended, by the names of the faults.
    """

    def __init__(
        self,
        seed: int,
        tasks: anyio.abc.TaskGroup,
        kinds: tuple[str, ...],
        at_once: tuple[int, ...],
    ) -> None:
        self.generator = random.Random(seed)
        self.simulation = fakes.Simulation(
            services_table(), HOSTS, self.generator, tasks
        )
        self.events = 0
        self.unavailable_by_kind: dict[str, float] = collections.defaultdict(
            float
        )
        self.recovery_by_name: dict[str, float] = collections.defaultdict(
            float
        )
        self.kinds = kinds or tuple(EVENTS)
        self._at_once = at_once
        self._tasks = tasks
        self._unserved_since: dict[tuple[str, int], float] = {}
        self._longest_by_suffix: dict[str, float] = {}

    async def run(self, seconds: float) -> None:
        """Inject faults until the virtual time is over."""
        change = records.TableChange("first", "operator", -1, services_table())
        self.simulation.write(records.encode(change))
        self._tasks.start_soon(self._check_periodically)
        await self._wait_for_recovery("start")
        while anyio.current_time() < seconds:
            kinds = self.generator.choices(
                self.kinds, k=self.generator.choice(self._at_once)
            )
            self._longest_by_suffix = {}
            async with anyio.create_task_group() as tasks:
                for kind in kinds:
                    tasks.start_soon(self._inject, kind)
                    await anyio.sleep(self.generator.choice((0, 0.1, 0.7, 2)))
            await self._wait_for_recovery("+".join(sorted(kinds)))
            if len(kinds) == 1 and kinds[0] in SINGLE_LOSSES:
                for suffix, longest in self._longest_by_suffix.items():
                    kind = kinds[0] + suffix
                    self.unavailable_by_kind[kind] = max(
                        self.unavailable_by_kind[kind], longest
                    )
        self._check_final_state()

    async def _inject(self, kind: str) -> None:
        self.events += 1
        await EVENTS[kind](self)
        self.check()

    async def _wait_for_recovery(self, name: str) -> None:
        started = anyio.current_time()
        await anyio.sleep(2.5)
        while (
            self._unserved_since or self.simulation.reference.intents.by_offset
        ):
            if anyio.current_time() > started + RECOVERY_LIMIT_SECONDS:
                self.simulation.expect(
                    False,
                    f"after {name}: {len(self._unserved_since)} ranges not "
                    f"served, open intents "
                    f"{list(self.simulation.reference.intents.by_offset)}",
                )
                return
            await anyio.sleep(SAMPLE_SECONDS)
        elapsed = anyio.current_time() - started
        self.recovery_by_name[name] = max(self.recovery_by_name[name], elapsed)

    async def _check_periodically(self) -> None:
        while True:
            self.check()
            await anyio.sleep(
                SAMPLE_SECONDS * self.generator.uniform(0.2, 1.8)
            )

    def check(self) -> None:
        """Check that no position has two owners or gates at this moment."""
        simulation, now = self.simulation, anyio.current_time()
        positions = {
            name: [current.start for current in ranges]
            for name, ranges in simulation.reference.ranges_by_service.items()
        }
        for key, pairs in simulation.acceptors(positions).items():
            owners = {server for server, _ in pairs}
            simulation.expect(
                len(owners) < 2, f"{key} has several owners: {pairs}"
            )
            gates = {
                host
                for server, host in pairs
                if not simulation.servers[server].row.fenced
            }
            simulation.expect(
                len(gates) < 2, f"{key} has several gates: {pairs}"
            )
            if any(self._is_serving(*pair) for pair in pairs):
                self._unserved_since.pop(key, None)
                continue
            since = self._unserved_since.setdefault(key, now)
            suffix = self._suffix(*key)
            longest = max(
                self._longest_by_suffix.get(suffix, 0.0), now - since
            )
            self._longest_by_suffix[suffix] = longest
        known = {
            (service, start)
            for service, starts in positions.items()
            for start in starts
        }
        for key in set(self._unserved_since) - known:
            del self._unserved_since[key]
        for host in simulation.hosts.values():
            for domain, driver in host.runner.by_domain.items():
                if driver.leadership is not None:
                    term = driver.leadership.first_term
                    simulation.terms.add((domain, term.step, term.instance))
            for name, count in host.invariants.violations_by_name.items():
                simulation.expect(False, f"{host.name}: {name} {count} times")
            host.invariants.violations_by_name.clear()

    def _suffix(self, service: str, position: int) -> str:
        """Return the suffix of a domain led through the log, or ""."""
        state = self.simulation.reference
        owner = state.ranges_by_service[service].find(position).server
        domain = state.table.domain_of(owner)
        return " in a domain without fences" if domain == "d" else ""

    def _is_serving(self, server: str, host: str) -> bool:
        nodes = (self.simulation.servers[server], self.simulation.hosts[host])
        return all(node.is_alive and not node.is_frozen for node in nodes)

    def _check_final_state(self) -> None:
        simulation = self.simulation
        for offset, record in simulation.acknowledged:
            for change in record.changes:
                range_map = simulation.reference.ranges_by_service[
                    change.service
                ]
                simulation.expect(
                    range_map.find(change.start).version >= offset,
                    f"assignment at offset {offset} was lost",
                )
        for host in simulation.hosts.values():
            if host.state.offset == simulation.reference.offset:
                simulation.expect(
                    host.state == simulation.reference,
                    f"state of {host.name} differs from the log",
                )

    def random_host(self) -> fakes.Host:
        """Return a random host."""
        return self.generator.choice(list(self.simulation.hosts.values()))

    def random_leader(self, domain: str = "") -> fakes.Host:
        """Return the leader of a domain, or a random host without a leader.

        The domain is chosen at random if none is given.
        """
        domain = domain or self.generator.choice(self.simulation.domains)
        for host in self.simulation.hosts.values():
            if host.runner.by_domain[domain].leadership is not None:
                return host
        return self.random_host()

    def random_server(self) -> fakes.Server:
        """Return a random server."""
        return self.generator.choice(list(self.simulation.servers.values()))

    def random_seconds(self, low: float, high: float) -> float:
        """Return a random duration between two bounds, seconds."""
        return self.generator.uniform(low, high)

    async def replace_host(self, host: fakes.Host) -> None:
        """Kill a host and start another incarnation of it later."""
        if not host.is_alive:
            return
        self.simulation.kill_host(host)
        await anyio.sleep(self.random_seconds(0.2, 5))
        self.simulation.start_host(host.name, host.domain)

    async def restart_server(self, server: fakes.Server) -> None:
        """Kill a server and start it again after a while."""
        server.is_alive = False
        await anyio.sleep(self.random_seconds(0.2, 6))
        server.restart()

    async def freeze(self, node: fakes.Node) -> None:
        """Freeze a node for a while."""
        node.freeze()
        await anyio.sleep(self.random_seconds(0.2, 5))
        node.thaw()

    async def cut_temporarily(
        self, pairs: typing.Iterable[tuple[str, str]]
    ) -> None:
        """Cut the links between pairs of nodes for a while."""
        links = {frozenset(pair) for pair in pairs}
        self.simulation.cut_links |= links
        await anyio.sleep(self.random_seconds(0.5, 8))
        self.simulation.cut_links -= links

    async def change_concurrently(self) -> None:
        """Let two operators change the table or a domain concurrently."""
        state = self.simulation.reference
        for operator in ("one", "two"):
            rows = list(state.table.rows)
            index = self.generator.choice(
                [i for i, row in enumerate(rows) if row.kind == "server"]
            )
            rows[index] = _with_state(rows[index], "leaving")
            change: records.Record = records.TableChange(
                operator, operator, state.table.version, tuple(rows)
            )
            domain = self.generator.choice(self.simulation.domains)
            if self.generator.random() < 0.4:
                change = records.DomainChange(
                    operator,
                    operator,
                    domain,
                    "out",
                    state.domain(domain).version,
                )
            self.simulation.write(records.encode(change))
        await anyio.sleep(self.random_seconds(2, 6))
        self.restore()

    def restore(self) -> None:
        """Bring all servers and domains back into service."""
        state = self.simulation.reference
        rows = tuple(
            _with_state(row, "active") if row.kind == "server" else row
            for row in state.table.rows
        )
        self.simulation.write(
            records.encode(
                records.TableChange("back", "one", state.table.version, rows)
            )
        )
        for name in self.simulation.domains:
            domain = state.domain(name)
            if domain.state == "out":
                self.simulation.write(
                    records.encode(
                        records.DomainChange(
                            "back", "one", name, "in", domain.version
                        )
                    )
                )

    async def inject_log_fault(self, name: str, value: typing.Any) -> None:
        """Set an attribute of the simulated log for a while."""
        before = getattr(self.simulation, name)
        setattr(self.simulation, name, value)
        await anyio.sleep(self.random_seconds(1, 12))
        setattr(self.simulation, name, type(before)())

    async def leave_and_return(self, host: fakes.Host) -> None:
        """Let a host leave and return after a while."""
        for state in ("leaving", "active"):
            known = self.simulation.reference.hosts_by_name.get(host.name)
            self.simulation.write(
                records.encode(
                    records.HostChange(
                        state,
                        "one",
                        host.name,
                        state,
                        known.version if known else -1,
                    )
                )
            )
            await anyio.sleep(self.random_seconds(1, 5))


def _with_state(row: records.TableRow, state: str) -> records.TableRow:
    fields = {name: getattr(row, name) for name in row.__struct_fields__}
    return records.TableRow(**{**fields, "state": state})


async def _lose_leader_and_owner(soak: Soak) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(soak.replace_host, soak.random_leader())
        tasks.start_soon(soak.restart_server, soak.random_server())


async def _step_then_lose_leader(soak: Soak) -> None:
    """Lose the leader that has reassigned ranges in a log outage.

    The log does not contain the steps by which the leader reassigned them.
    The new owner and its gate are cut off from everything else.
    """
    simulation = soak.simulation
    server = simulation.servers[soak.generator.choice("ab") + "1"]
    simulation.is_log_down = True
    server.freeze()
    await anyio.sleep(soak.random_seconds(1.9, 3))
    server.thaw()
    await anyio.sleep(soak.random_seconds(0.3, 1.5))
    leader = soak.random_leader(server.row.domain)
    leadership = leader.runner.by_domain[server.row.domain].leadership
    cut: list[tuple[str, str]] = []
    for step in leadership.steps if leadership else ():
        gate = (
            leadership.gates_by_server[step.server].host if leadership else ""
        )
        if gate not in ("", leader.name):
            others = set(HOSTS) - {gate}
            cut = [(gate, name) for name in others]
            cut += [(step.server, name) for name in others]
            cut += [
                (gate, name)
                for name in simulation.servers
                if name != step.server
            ]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(soak.cut_temporarily, cut)
        if leader.is_alive:
            simulation.kill_host(leader)
        await anyio.sleep(soak.random_seconds(1, 4))
        simulation.is_log_down = False
        if not leader.is_alive:
            simulation.start_host(leader.name, leader.domain)


async def _move_then_lose_leader(soak: Soak) -> None:
    """Lose leader and gate after a move that some hosts have not read."""
    simulation = soak.simulation
    domain = soak.generator.choice("abc")
    server = f"{domain}0"
    leader = soak.random_leader(domain)
    leadership = leader.runner.by_domain[domain].leadership
    gate = (
        leadership.gates_by_server[server].host if leadership else leader.name
    )
    state = simulation.reference
    rows = tuple(
        _with_state(row, "leaving") if row.server == server else row
        for row in state.table.rows
    )
    change = records.TableChange("m", "one", state.table.version, rows)
    simulation.write(records.encode(change))
    for _ in range(200):
        opened = max(state.intents.by_offset, default=-1)
        if 0 <= opened < state.domain(domain).lead_offset:
            break
        await anyio.sleep(fakes.POLL_SECONDS)
    await anyio.sleep(soak.random_seconds(0, 2 * fakes.POLL_SECONDS))
    others = sorted(set(HOSTS) - {leader.name})
    lagging = soak.generator.sample(others, soak.generator.randint(1, 3))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            soak.cut_temporarily, [(name, "log") for name in lagging]
        )
        with anyio.move_on_after(soak.random_seconds(0.1, 2)):
            while state.intents.by_offset:
                await anyio.sleep(fakes.POLL_SECONDS)
        for name in {leader.name, gate} & set(simulation.hosts):
            tasks.start_soon(soak.replace_host, simulation.hosts[name])
    soak.restore()


def _split_domain(soak: Soak) -> list[tuple[str, str]]:
    """Return links that split hosts and a domain's servers in two groups."""
    domain = soak.generator.choice(soak.simulation.domains)
    hosts = set(soak.generator.sample(list(HOSTS), 2))
    near = {f"{domain}{index}" for index in (0, 1)}
    servers = [name for name in soak.simulation.servers if name[0] == domain]
    return [
        (host, server)
        for host in HOSTS
        for server in servers
        if (host in hosts) != (server in near)
    ] + [(one, other) for one in hosts for other in set(HOSTS) - hosts]


def _cut_off_domain(soak: Soak) -> list[tuple[str, str]]:
    """Return links that cut a domain off, with or without the log."""
    domain = soak.generator.choice(soak.simulation.domains)
    nodes = {**HOSTS, **{name: name[0] for name in soak.simulation.servers}}
    inside = [name for name, where in nodes.items() if where == domain]
    outside = [name for name, where in nodes.items() if where != domain]
    if soak.generator.random() < 0.7:
        outside.append("log")
    return [(one, other) for one in inside for other in outside]


EVENTS: dict[str, typing.Callable[[Soak], typing.Awaitable[None]]] = {
    "server-down": lambda soak: soak.restart_server(soak.random_server()),
    "server-frozen": lambda soak: soak.freeze(soak.random_server()),
    "host-down": lambda soak: soak.replace_host(soak.random_host()),
    "host-frozen": lambda soak: soak.freeze(soak.random_host()),
    "leader-down": lambda soak: soak.replace_host(soak.random_leader()),
    "leader-frozen": lambda soak: soak.freeze(soak.random_leader()),
    "leader-and-owner-down": _lose_leader_and_owner,
    "host-server-cut": lambda soak: soak.cut_temporarily(
        [(soak.random_host().name, soak.random_server().name)]
    ),
    "leader-cut": lambda soak: soak.cut_temporarily(
        [(soak.random_leader().name, name) for name in soak.simulation.servers]
    ),
    "host-host-cut": lambda soak: soak.cut_temporarily(
        [(soak.random_host().name, soak.random_leader().name)]
    ),
    "host-log-cut": lambda soak: soak.cut_temporarily(
        [(soak.random_host().name, "log")]
    ),
    "split": lambda soak: soak.cut_temporarily(_split_domain(soak)),
    "partition": lambda soak: soak.cut_temporarily(_cut_off_domain(soak)),
    "log-down": lambda soak: soak.inject_log_fault("is_log_down", True),
    "log-slow": lambda soak: soak.inject_log_fault("log_delay", 2.0),
    "answers-lost": lambda soak: soak.inject_log_fault("loses_answers", True),
    "operators": Soak.change_concurrently,
    "step-then-lose-leader": _step_then_lose_leader,
    "move-then-lose-leader": _move_then_lose_leader,
    "host-leaves": lambda soak: soak.leave_and_return(soak.random_host()),
}
SINGLE_LOSSES = (
    "server-down",
    "server-frozen",
    "host-down",
    "leader-down",
    "leader-and-owner-down",
)


async def _run(
    seed: int,
    seconds: float,
    kinds: tuple[str, ...],
    at_once: tuple[int, ...],
) -> Soak:
    """Run the soak and return it with its findings."""
    async with anyio.create_task_group() as tasks:
        run = Soak(seed, tasks, kinds, at_once)
        await run.run(seconds)
        tasks.cancel_scope.cancel()
    return run


def run_virtual(
    seed: int,
    seconds: float,
    kinds: tuple[str, ...] = (),
    at_once: tuple[int, ...] = (1, 2),
) -> Soak:
    """Run the soak in virtual time.

    Parameters
    ----------
    seed : int
        Seed that determines the run.
    seconds : float
        Virtual time after which no further faults begin.
    kinds : tuple of str
        Keys of `EVENTS` to choose from; all if empty.
    at_once : tuple of int
        Numbers of faults that may begin together.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    reassignment.INITIAL_RANGES_PER_SERVER = RANGES_PER_SERVER
    # Otherwise trio runs tasks in the order of a set of objects, which differs
    # between processes, and shuffles it with a generator of its own.
    scheduler = importlib.import_module("trio._core._run").__dict__
    scheduler["_ALLOW_DETERMINISTIC_SCHEDULING"] = True
    scheduler["_r"].seed(seed)
    return trio.run(_run, seed, seconds, kinds, at_once, clock=clock)


def main() -> int:
    """Run the soak from the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=600)
    parser.add_argument(
        "--events", default="", help="kinds of events, separated by commas"
    )
    parser.add_argument(
        "--at-once",
        default="1,2",
        help="numbers of events, separated by commas",
    )
    parser.add_argument("--verbose", action="store_true")
    options = parser.parse_args()
    logging.basicConfig(
        level=logging.INFO if options.verbose else logging.CRITICAL,
        format="%(message)s",
        stream=sys.stdout,
    )
    kinds = tuple(name for name in options.events.split(",") if name)
    at_once = tuple(int(number) for number in options.at_once.split(","))
    run = run_virtual(options.seed, options.seconds, kinds, at_once)
    print(
        f"seed {options.seed}, {options.seconds:.0f} s, {run.events} events, "
        f"{len(run.simulation.violations)} violations, "
        f"{len(run.simulation.terms)} leaderships, "
        f"{run.simulation.reference.offset + 1} records"
    )
    for kind, longest in sorted(run.unavailable_by_kind.items()):
        print(f"  unavailable after {kind}: {longest:.2f} s at most")
    slowest = sorted(run.recovery_by_name.items(), key=lambda item: -item[1])
    for kind, longest in slowest[:3]:
        print(f"  served again after {kind} ended: {longest:.2f} s")
    for violation in run.simulation.violations[:10]:
        print(f"  violation {violation}")
    return 1 if run.simulation.violations else 0


if __name__ == "__main__":
    sys.exit(main())
