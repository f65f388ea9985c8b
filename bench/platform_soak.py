"""Fault soak of daemons on the platform.

Daemons run as processes against stand-ins of the store and of backend
servers on loopback. Signals and a proxy in front of the store inject faults,
and the invariants that callers and servers can observe are checked:

    python -m bench.platform_soak --seed 1 --seconds 20
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import typing

import click
import msgspec

from agatestile.entry import refusals
from agatestile.transport import client
from agatestile.transport import messages
from bench import link_faults
from bench import links
from bench import ownership_faults
from bench import store_faults
from standins import platform_log
from standins import platform_server
from standins import server_notices
from standins import server_process

HOSTS = 3
KEYED_SERVERS = 6
PLAIN_SERVERS = 3
LINK_FAULT_WEIGHT = 3
"""How much likelier a fault of links is than another."""

DRILL_WEIGHT = 2
"""The same for a drill of the store."""

PROCESS_SERVERS = 3
"""Keyed servers that are processes of their own."""

REQUESTS_PER_SECOND = 40
TARGET_BY_METHOD = {
    "GET": b"/keyed/1",
    "PUT": b"/orders/1",
    "POST": b"/plain/1",
}
ORDER_INTERVAL = 4
"""Interval of the requests with a key that may not be repeated: each fourth
one that would be a GET is a PUT."""

DEADLINE_MS = 1500
SERVICE_SECONDS = 0.02
FAILED_PERCENT = 20
"""Percentage of requests that servers without keys run and then fail."""

WORK_SPREAD = 0.8
"""Standard deviation of the logarithm of the service time."""

GRACE_SECONDS = 6.0
"""Time from the SIGTERM of a host until it is killed."""

LATE_SECONDS = 3.0
"""Time after a SIGTERM up to which a request may be cut off in the last sixth
of the grace time."""

DRAIN_SECONDS = 2.0
RECOVERY_SECONDS = 3.0
"""Time after a disruption for which its host remains excused."""

CUT_SECONDS = 0.2
"""Time before the deadline from which a caller's own timeout may end a
request."""

ODD_ENTRIES = (
    b'{"x":' + b"[" * 50_000 + b"]" * 50_000 + b"}",
    b'{"service":"plain","address":"127.0.0.1:70000","zone":"anna","slots":2,'
    b'"state":"ready","seq":1,"born":1}',
    b'{"service":"plain","address":"127.0.0.1:80","zone":"anna","slots":2,'
    b'"state":"ready","seq":1,"born":' + b"9" * 400 + b"}",
    b"\xff",
)
"""Entries of service discovery that another writer left."""

LISTENING_PORTS = range(12_000, 32_000)
"""Ports below those that the system chooses for connections by default."""

START_SECONDS = 15.0
FAULT_PAUSE_SECONDS = (0.5, 2.0)
SERVED_SHARE = 0.25
"""Lowest share of requests that must be served despite the faults."""


Server = platform_server.PlatformServer


class Outcome(typing.NamedTuple):
    """Requests, faults and violated invariants of a run.

    Late appends are those that were carried out in a later era of the store.
    """

    sent: int
    served: int
    faults: list[str]
    violations: list[str]
    late_appends: int = 0


class Host:
    """One daemon process."""

    def __init__(self, name: str, store_port: int, folder: pathlib.Path):
        self.name = name
        self.ports = [free_port() for _ in range(3)]
        self._store_port = store_port
        self._path = folder / f"{name}.toml"
        self._output = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    def configure(self, seeds: list[str]) -> None:
        """Write the settings file with the peers of the host."""
        callers, ready, peers = self.ports
        self._path.write_text(
            f'nodeName = "{self.name}"\nip = "127.0.0.1"\nzone = "anna"\n'
            f"seeds = {seeds}\n"
            f'bounds = ["drainMs={DRAIN_SECONDS * 1000:.0f}",'
            f' "graceS={GRACE_SECONDS:.0f}",'
            ' "retryBudgetRatio=0.2",'
            ' "retryBudgetSlack=60", "warmupOvershoot=1.5",'
            ' "warmupSlack=5"]\n'
            f'[listen]\nedgeAddr = "127.0.0.1:{callers}"\n'
            f'ready = "127.0.0.1:{ready}"\ncontrol = "127.0.0.1:{peers}"\n'
            f'[platform]\naddress = "127.0.0.1:{self._store_port}"\n'
        )

    async def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, "AGATESTILE_BOOT": str(self._path)}
        with self._output.open("ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "agatestile.platform",
                stdout=output,
                stderr=output,
                env=environment,
            )

    @property
    def pid(self) -> int | None:
        """Identifier of the process while it runs."""
        if self._process is None or self._process.returncode is not None:
            return None
        return self._process.pid

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process ends and return its exit status."""
        if self._process is None:
            return 0
        return await self._process.wait()


class Soak:
    """One run of faults under load.

    Parameters
    ----------
    seed : int
        Seed of the faults and the load.
    folder : pathlib.Path
        Folder for settings and logs.
    hosts : int
        Number of daemons.
    faults : list of str, optional
        Names of the faults to inject, all by default.
    service_time : float, optional
        Time that servers work on a request, seconds.
    has_links : bool, optional
        Whether proxies stand on all links and some servers are processes, so
        that the faults of `link_faults` are among those injected.
    has_drills : bool, optional
        Whether the store may return from older copies.
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        hosts: int = HOSTS,
        faults: list[str] | None = None,
        service_time: float = SERVICE_SECONDS,
        has_links: bool = False,
        has_drills: bool = False,
    ) -> None:
        self._host_count = hosts
        self._has_drills = has_drills
        self._has_links = has_links
        self._service_time = service_time
        self._fault_names = faults
        self._disruptions: list[server_notices.Disruption] = []
        self._random = random.Random(seed)
        self._folder = folder
        self._log = platform_log.PlatformLog()
        self._checker = platform_server.InvariantChecker(seed)
        self._checker.work_spread = WORK_SPREAD
        self._proxies: list[links.Proxy] = []
        self._hosts: list[Host] = []
        self._servers: dict[
            str, tuple[platform_server.PlatformServer, asyncio.Task[None]]
        ] = {}
        self._link_proxies: dict[int, links.Proxy] = {}
        self._started_servers = 0
        self._sent = 0
        self._served = 0
        self._faults: list[str] = []
        self._refused_ids: set[str] = set()
        self._unsafe_ids: set[str] = set()
        self._restarting: set[Host] = set()
        self._cut_at_by_request: dict[str, float] = {}
        self._unplanned: list[server_notices.Disruption] = []
        self._violations: list[str] = []
        self._stopped_at: dict[Host, float] = {}
        self._answered_by_stopping: dict[str, tuple[float, float]] = {}
        self._removed_at_by_server: dict[str, float] = {}
        self._store_unstable_until = -math.inf
        self._start = 0.0

    async def run(self, seconds: float) -> Outcome:
        """Inject faults under load for some seconds and return the outcome."""
        loop = asyncio.get_running_loop()
        self._start = loop.time()
        await self._set_up()
        end = loop.time() + seconds
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._load(end))
                watch = tasks.create_task(self._checker.key_holds.watch())
                await self._inject(end)
                watch.cancel()
        finally:
            await self._tear_down()
        self._check()
        return Outcome(
            self._sent,
            self._served,
            self._faults,
            self._violations,
            self._log.late_appends,
        )

    async def _set_up(self) -> None:
        store_port = free_port()
        await self._log.start(store_port)
        if self._has_drills:
            self._log.era = 1
        self._write_configuration()
        for number in range(self._host_count):
            proxy = links.Proxy(store_port)
            self._proxies.append(proxy)
            host = Host(f"h{number}", await proxy.start(), self._folder)
            self._hosts.append(host)
        addresses = self._log.address_by_member
        for host in self._hosts:
            port = host.ports[2]
            member = f"127.0.0.1:{port}"
            if self._has_links:
                port = (await self._link_to(port)).port
            addresses[member] = f"127.0.0.1:{port}"
        for host in self._hosts:
            host.configure(list(addresses.values()))
        for number in range(KEYED_SERVERS + PLAIN_SERVERS):
            await self._add_server(number < KEYED_SERVERS, Server)
        for _ in range(PROCESS_SERVERS if self._has_links else 0):
            await self._add_server(True, server_process.ServerProcess)
        for host in self._hosts:
            await host.start()
        await self._wait_served()

    def _write_configuration(self) -> None:
        self._log.put("keyed.op", "config", _configuration())

    async def _wait_served(self) -> None:
        loop = asyncio.get_running_loop()
        limit = loop.time() + START_SECONDS
        pool = client.Pool(loop.time)
        number = 0
        while not await self._request(pool, 0, "GET", f"start{number}"):
            number += 1
            if loop.time() > limit:
                raise RuntimeError(
                    "host 0 served no request in time after the start"
                )
            await asyncio.sleep(0.2)

    async def _link_to(self, port: int) -> links.Proxy:
        """Return the proxy through which hosts reach a port."""
        if port not in self._link_proxies:
            self._link_proxies[port] = links.Proxy(port, self._hosts)
            await self._link_proxies[port].start()
        return self._link_proxies[port]

    async def _add_server(self, is_keyed: bool, kind: type[Server]) -> None:
        self._started_servers += 1
        name = f"s{self._started_servers}"
        server = kind(
            name,
            "keyed" if is_keyed else "plain",
            is_keyed,
            self._checker,
            self._service_time,
        )
        server.failed_percent = 0 if is_keyed else FAILED_PERCENT
        server.clock_rate = self._random.uniform(
            1.0, 1.0 + ownership_faults.MAX_CLOCK_ERROR
        )
        port = free_port()
        if self._has_links:
            link = await self._link_to(port)
            server.advertised_port = link.port
            server.grant_excuses = link.grant_excuses
        task = asyncio.create_task(server.run(self._log, port))
        self._servers[name] = (server, task)

    async def _load(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        pool = client.Pool(loop.time)
        async with asyncio.TaskGroup() as tasks:
            number = 0
            while loop.time() < end:
                number += 1
                tasks.create_task(self._send_request(pool, number))
                await asyncio.sleep(
                    self._random.expovariate(REQUESTS_PER_SECOND)
                )

    async def _send_request(self, pool: client.Pool, number: int) -> None:
        method = self._random.choice(("GET", "GET", "POST"))
        if method == "GET" and number % ORDER_INTERVAL == 0:
            method = "PUT"
        host = self._random.randrange(self._host_count)
        self._sent += 1
        if await self._request(pool, host, method, f"r{number}"):
            self._served += 1

    async def _request(
        self, pool: client.Pool, host: int, method: str, number: str
    ) -> bool:
        name = f"{self._hosts[host].name}.{number}"
        now = asyncio.get_running_loop().time()
        self._checker.sent_at_by_request[name] = now
        target = TARGET_BY_METHOD[method]
        request = messages.Request(
            method.encode(),
            target,
            [
                (b"x-request-id", name.encode()),
                (b"x-deadline-ms", b"%d" % DEADLINE_MS),
                (b"x-shard-key", b"%d" % self._random.randrange(65536)),
            ],
            b"",
        )
        address = ("127.0.0.1", self._hosts[host].ports[0])
        if method != "GET":
            self._unsafe_ids.add(name)
        stopped_at = self._stopped_at.get(self._hosts[host])
        response = await pool.call(address, request, DEADLINE_MS / 1000.0)
        if stopped_at is not None:
            self._check_stopping(name, now, stopped_at, response)
        if isinstance(response, messages.Failure):
            ended = asyncio.get_running_loop().time()
            if ended < now + DEADLINE_MS / 1000.0 - CUT_SECONDS:
                self._cut_at_by_request[name] = ended
            return False
        if response.status in refusals.NOT_RUN_STATUSES:
            self._refused_ids.add(name)
        if response.status == 200 and response.body != name.encode():
            self._violations.append(
                f"{name} received the wrong body {response.body!r}"
            )
        return response.status == 200

    def _check_stopping(
        self,
        name: str,
        sent: float,
        stopped_at: float,
        response: messages.Response | messages.Failure,
    ) -> None:
        """Check that a host that stops breaks off no request."""
        ended = asyncio.get_running_loop().time()
        is_server = (
            isinstance(response, messages.Response)
            and response.header(b"x-upstream-signature") is not None
        )
        if not is_server and ended < sent + DEADLINE_MS / 1000 - CUT_SECONDS:
            self._answered_by_stopping[name] = (sent, stopped_at)

    # Faults

    async def _inject(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        ownership = ownership_faults.OwnershipFaults(
            self._random,
            self._log,
            self._servers,
            self._checker,
            self._stop_leader,
            self._hosts,
        )
        faults: tuple[typing.Any, ...] = (
            self._kill,
            self._restart,
            self._pause,
            self._store_down,
            self._store_loses_answers,
            self._silence,
            self._crash_server,
            self._drain_server,
            self._remove_server,
            self._refuse,
            self._limit_server,
            self._pause_server,
            self._stop_all,
            self._leave_odd_entry,
            ownership.restart_server,
            ownership.restart_server_in_series,
            ownership.cut_server,
            ownership.reset_server,
            ownership.lose_answers_to_grants,
            ownership.delay_grants,
            ownership.change_leaders,
        )
        if self._has_links:
            run = link_faults.Run(
                self._log,
                self._hosts,
                self._proxies,
                self._link_proxies,
                self._servers,
                self._disrupt_unplanned,
                ownership.restart_at_once,
                ownership.change_leaders,
            )
            added = link_faults.LinkFaults(self._random, run).faults()
            faults += added * LINK_FAULT_WEIGHT
        if self._has_drills:
            drills = store_faults.StoreFaults(
                self._random,
                self._log,
                self._servers,
                self._unsettle_store,
                self._write_configuration,
            )
            faults += (
                drills.restore_store,
                drills.restore_store_under_append,
            ) * DRILL_WEIGHT
        chosen = [
            fault
            for fault in faults
            if self._fault_names is None or fault.__name__ in self._fault_names
        ]
        running: list[asyncio.Task[None]] = []
        while loop.time() < end - 4.0:
            await asyncio.sleep(self._random.uniform(*FAULT_PAUSE_SECONDS))
            fault = self._random.choice(chosen)
            elapsed = loop.time() - self._start
            self._faults.append(f"{elapsed:.1f}{fault.__name__}")
            running.append(asyncio.create_task(fault()))
        await asyncio.gather(*running)

    def _random_host(self) -> Host:
        return self._random.choice(self._hosts)

    @contextlib.contextmanager
    def _disrupt(self, host: Host) -> typing.Iterator[None]:
        now = asyncio.get_running_loop().time
        start = now()
        yield
        self._disruptions.append(
            server_notices.Disruption(
                host.name, start, now() + RECOVERY_SECONDS
            )
        )

    @contextlib.contextmanager
    def _disrupt_unplanned(self, host: Host) -> typing.Iterator[None]:
        start = asyncio.get_running_loop().time()
        with self._disrupt(host):
            yield
        self._unplanned.append(self._disruptions[-1]._replace(start=start))

    async def _kill(self, host: Host | None = None) -> None:
        host = host or self._random_host()
        if host in self._restarting:
            return
        self._restarting.add(host)
        with self._disrupt_unplanned(host):
            host.send(signal.SIGKILL)
            await host.wait()
            await host.start()
        self._restarting.discard(host)

    async def _stop_leader(self, host: Host, number: signal.Signals) -> None:
        if number is signal.SIGTERM:
            await self._restart(host)
        elif number is signal.SIGKILL:
            await self._kill(host)
        else:
            await self._pause(host)

    async def _restart(self, host: Host | None = None) -> None:
        host = host or self._random_host()
        if host in self._restarting:
            return
        self._restarting.add(host)
        with self._disrupt(host):
            self._stopped_at[host] = asyncio.get_running_loop().time()
            host.send(signal.SIGTERM)
            try:
                async with asyncio.timeout(GRACE_SECONDS):
                    await host.wait()
            except TimeoutError:
                # The platform kills it; a suspension may explain that.
                host.send(signal.SIGCONT)
                host.send(signal.SIGKILL)
                await host.wait()
            del self._stopped_at[host]
            await host.start()
        self._restarting.discard(host)

    async def _stop_all(self) -> None:
        """Stop and start the hosts in series, so that it overlaps."""
        async with asyncio.TaskGroup() as tasks:
            for host in self._hosts:
                tasks.create_task(self._restart(host))
                await asyncio.sleep(self._random.uniform(0.0, 1.0))

    async def _leave_odd_entry(self) -> None:
        entry = self._random.choice(ODD_ENTRIES)
        self._log.put("keyed.servers", f"odd{len(self._faults)}", entry)

    async def _pause(self, host: Host | None = None) -> None:
        host = host or self._random_host()
        with self._disrupt_unplanned(host):
            host.send(signal.SIGSTOP)
            await asyncio.sleep(self._random.uniform(0.5, 5.0))
            host.send(signal.SIGCONT)

    async def _store_down(self) -> None:
        with self._unsettle_store(4.0):
            self._log.is_down = True
            await asyncio.sleep(self._random.uniform(1.0, 4.0))
            self._log.is_down = False

    async def _store_loses_answers(self) -> None:
        with self._unsettle_store(2.0):
            self._log.loses_answers = True
            await asyncio.sleep(self._random.uniform(0.5, 2.0))
            self._log.loses_answers = False

    @contextlib.contextmanager
    def _unsettle_store(self, longest: float) -> typing.Iterator[None]:
        """Excuse removals that happen during a disruption of the store.

        Removals shortly before it are excused too: hosts can't read them.
        """
        now = asyncio.get_running_loop().time
        until = now() + longest + RECOVERY_SECONDS
        self._store_unstable_until = max(self._store_unstable_until, until)
        for name, removed_at in list(self._removed_at_by_server.items()):
            if removed_at > now() - DRAIN_SECONDS:
                del self._removed_at_by_server[name]
        yield

    async def _refuse(self) -> None:
        """Let the store refuse one host and serve the others."""
        host = self._random_host()
        proxy = self._proxies[self._hosts.index(host)]
        with self._disrupt(host):
            proxy.set_mode(links.Mode.REFUSING)
            await asyncio.sleep(self._random.uniform(0.8, 4.0))
            proxy.set_mode(links.Mode.OPEN)

    async def _silence(self) -> None:
        host = self._random_host()
        proxy = self._proxies[self._hosts.index(host)]
        with self._disrupt(host):
            proxy.set_mode(links.Mode.SILENT)
            await asyncio.sleep(self._random.uniform(1.0, 5.0))
            proxy.set_mode(links.Mode.OPEN)
            if self._random.random() < 0.5:
                proxy.reset()

    async def _crash_server(self) -> None:
        name = self._random.choice(list(self._servers))
        crashed, task = self._servers.pop(name)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await self._add_server(crashed.is_partitioned, type(crashed))
        await asyncio.sleep(1.0)
        self._log.put("keyed.servers", name, b"")

    async def _drain_server(self) -> None:
        name = self._random.choice(list(self._servers))
        leaving, task = self._servers.pop(name)
        await self._add_server(leaving.is_partitioned, type(leaving))
        leaving.says_it_leaves = True
        await asyncio.sleep(self._random.uniform(0.0, 2.0))
        leaving.is_draining = True
        await asyncio.sleep(3.0)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        self._log.put("keyed.servers", name, b"")

    async def _remove_server(self) -> None:
        """Let a server leave that says so only by its missing entry."""
        name = self._random.choice(list(self._servers))
        leaving, task = self._servers.pop(name)
        await self._add_server(leaving.is_partitioned, type(leaving))
        leaving.is_registered = False
        self._log.put("keyed.servers", name, b"")
        now = asyncio.get_running_loop().time()
        if now > self._store_unstable_until:
            self._removed_at_by_server[name] = now
        await asyncio.sleep(DRAIN_SECONDS + RECOVERY_SECONDS)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def _limit_server(self) -> None:
        _, (limited, _) = self._random.choice(list(self._servers.items()))
        limited.rate_limit = self._random.uniform(0.5, 2.5)
        await asyncio.sleep(self._random.uniform(8.0, 14.0))
        limited.rate_limit = None

    async def _pause_server(self) -> None:
        _, (paused, _) = self._random.choice(list(self._servers.items()))
        now = asyncio.get_running_loop().time()
        paused.paused_until = now + self._random.uniform(1.0, 4.0)

    async def _tear_down(self) -> None:
        for host in self._hosts:
            host.send(signal.SIGCONT)
            host.send(signal.SIGKILL)
            await host.wait()
        for proxy in self._proxies:
            await proxy.stop()
        for _, task in self._servers.values():
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for proxy in self._link_proxies.values():
            await proxy.stop()
        self._log.stop()

    def _check(self) -> None:
        runs = self._checker.executions_by_request
        self._violations += self._checker.violations
        self._violations += self._checker.key_holds.violations
        self._check_broken_off()
        self._violations += server_notices.violations(
            self._checker.arrivals,
            self._disruptions,
            DRAIN_SECONDS,
            self._removed_at_by_server,
        )
        for name in self._unsafe_ids:
            if runs[name] > 1:
                self._violations.append(
                    f"{name} was executed {runs[name]} times"
                )
            if name in self._refused_ids and runs[name]:
                self._violations.append(f"{name} was refused but executed")
        for name, cut_at in self._cut_at_by_request.items():
            if runs[name] and not self._is_excused(name, cut_at):
                self._violations.append(
                    f"{name} reached a server and was cut off at"
                    f" {cut_at - self._start:.2f} s"
                )
        if self._served < SERVED_SHARE * self._sent:
            self._violations.append(
                f"{self._served} of {self._sent} requests were served"
            )

    def _check_broken_off(self) -> None:
        """Check the requests whose servers were at work as a host stopped."""
        last_sixth = GRACE_SECONDS * 5 / 6
        for name, (sent, stopped_at) in self._answered_by_stopping.items():
            dropped_at = self._checker.dropped_at_by_request.get(name)
            if dropped_at is None or self._is_excused(name, dropped_at):
                continue
            is_early = sent <= stopped_at + LATE_SECONDS
            if is_early and dropped_at >= stopped_at + last_sixth:
                continue
            self._violations.append(
                f"{name}, sent {sent - stopped_at:.2f} s after the SIGTERM,"
                f" was broken off {dropped_at - sent:.2f} s later"
            )

    def _is_excused(self, name: str, ended: float) -> bool:
        """Return whether an unplanned disruption explains a cut request."""
        host = name.partition(".")[0]
        return any(
            one.host == host
            and one.start <= ended
            and self._checker.sent_at_by_request[name] <= one.end
            for one in self._unplanned
        )


def free_port() -> int:
    """Return a free loopback port that the system gives no connection.

    A server that restarts needs its port again.
    """
    generator = random.SystemRandom()
    while True:
        port = generator.choice(LISTENING_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def _configuration() -> bytes:
    def rule(path: str, kind: str, service: str = "") -> dict[str, object]:
        return {
            "name": path,
            "routeType": kind,
            "targetLatencyMs": 500,
            "match": {"pathPrefix": f"/{path}/"},
            "action": {
                "service": service or path,
                "timeoutMs": DEADLINE_MS,
                "maxAttempts": 2,
            },
        }

    rules = [
        rule("keyed", "safe"),
        rule("orders", "unsafe", "keyed"),
        rule("plain", "unsafe"),
    ]
    clusters = [
        {"name": name, "healthPath": "/healthz", "sharded": name == "keyed"}
        for name in ("keyed", "plain")
    ]
    return msgspec.json.encode(
        {
            "version": "r1",
            "listeners": [{"host": "127.0.0.1", "rules": rules}],
            "clusters": clusters,
        }
    )


def run_soak(
    seed: int,
    seconds: float,
    hosts: int = HOSTS,
    faults: list[str] | None = None,
    service_time: float = SERVICE_SECONDS,
    has_links: bool = False,
    has_drills: bool = False,
) -> Outcome:
    """Run one seed; its logs are kept if an invariant was violated."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="agatestile-soak-"))
    outcome = asyncio.run(
        Soak(
            seed, folder, hosts, faults, service_time, has_links, has_drills
        ).run(seconds)
    )
    if outcome.violations:
        click.echo(f"logs kept in {folder}")
        return outcome
    for path in folder.iterdir():
        path.unlink()
    folder.rmdir()
    return outcome


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--runs", default=1, help="Number of seeds.")
@click.option("--seconds", default=20.0, help="Length of each run.")
@click.option("--hosts", default=HOSTS, help="Number of daemons.")
@click.option(
    "--service-time",
    default=SERVICE_SECONDS,
    help="Mean service time of a request, seconds.",
)
@click.option(
    "--fault",
    "faults",
    multiple=True,
    help="Name of a fault to inject; all by default.",
)
@click.option(
    "--drills/--no-drills",
    "has_drills",
    default=False,
    help="Whether the store may return from older copies.",
)
@click.option(
    "--links/--no-links",
    "has_links",
    default=True,
    help="Whether to inject faults of links and of server processes.",
)
def main(
    seed: int,
    runs: int,
    seconds: float,
    hosts: int,
    service_time: float,
    faults: tuple[str, ...],
    has_links: bool,
    has_drills: bool,
) -> None:
    """Run the seeds; exit with 1 if an invariant was violated."""
    failed = False
    chosen = list(faults) or None
    for number in range(seed, seed + runs):
        outcome = run_soak(
            number,
            seconds,
            hosts,
            chosen,
            service_time,
            has_links,
            has_drills,
        )
        click.echo(
            f"seed {number}: {outcome.served} of {outcome.sent} served, "
            f"{len(outcome.faults)} faults, "
            f"{outcome.late_appends} late appends, "
            f"{len(outcome.violations)} violations"
        )
        for violation in outcome.violations[:10]:
            click.echo(f"  {violation}")
        failed = failed or bool(outcome.violations)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
