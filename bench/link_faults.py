"""Faults of the links between processes, of leaders and of servers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import typing

from bench import links
from bench import ownership_faults
from standins import platform_log
from standins import platform_server
from standins import server_process

HEAL_SECONDS = 0.3
"""Time after a link has healed in which grants that arrive are excused."""

CUTS = (
    links.Mode.SILENT,
    links.Mode.NO_REQUESTS,
    links.Mode.NO_ANSWERS,
    links.Mode.REFUSING,
)

HOLDING = (links.Mode.SILENT, links.Mode.NO_REQUESTS)
"""States of a link that hold requests until it heals."""

Fault = typing.Callable[[], typing.Awaitable[None]]
Server = platform_server.PlatformServer | server_process.ServerProcess


class Host(ownership_faults.Host, links.Caller, typing.Protocol):
    """A daemon that the faults stop and cut off."""


class LinkFaults:
    """Faults of links between processes, of leaders and of servers.

    Parameters
    ----------
    generator : random.Random
        Source of the times and choices.
    log : platform_log.PlatformLog
        Store of the run.
    hosts : list of Host
        Daemons of the run.
    store_proxies : list of links.Proxy
        Proxies in front of the store, in the order of the hosts.
    proxies : dict of int to links.Proxy
        Proxies in front of servers and hosts by the port behind them.
    servers : dict
        Servers within the process of the run and their tasks.
    processes : dict of str to server_process.ServerProcess
        Servers that are processes of their own.
    start_process : callable
        Starts a server process by its name, port and number of starts.
    disrupt : callable
        Returns a context in which a host is excused.
    restart : callable
        Starts a server within the process of the run again.
    """

    def __init__(
        self,
        generator: random.Random,
        log: platform_log.PlatformLog,
        hosts: typing.Sequence[Host],
        store_proxies: typing.Sequence[links.Proxy],
        proxies: dict[int, links.Proxy],
        servers: ownership_faults.Running,
        processes: dict[str, server_process.ServerProcess],
        start_process: typing.Callable[
            [str, int, int], typing.Awaitable[None]
        ],
        disrupt: typing.Callable[
            [typing.Any], contextlib.AbstractContextManager[None]
        ],
        restart: typing.Callable[
            [platform_server.PlatformServer], typing.Awaitable[None]
        ],
    ) -> None:
        self._random = generator
        self._log = log
        self._hosts = hosts
        self._store_proxies = store_proxies
        self._proxies = proxies
        self._servers = servers
        self._processes = processes
        self._start_process = start_process
        self._disrupt = disrupt
        self._restart_task = restart
        self._restarting: set[str] = set()

    def faults(self) -> tuple[Fault, ...]:
        """Return the faults."""
        return (
            self.cut_from_servers,
            self.cut_from_hosts,
            self.cut_leader,
            self.slow_links,
            self.suspend_leader,
            self.suspend_process,
            self.suspend_process_as_leaders_change,
            self.kill_process,
        )

    async def cut_from_servers(self) -> None:
        """Cut a host off from some servers that others reach."""
        host = self._random_host()
        with self._disrupt(host):
            mode = self._random.choice(CUTS)
            await self._hold(
                [(server.port, mode) for server in self._some_servers()], host
            )

    async def cut_from_hosts(self) -> None:
        """Cut some of the links between hosts, one way or both."""
        host = self._random_host()
        with self._disrupt(host):
            mode = self._random.choice(CUTS)
            ports = [
                (peer.ports[2], mode)
                for peer in self._hosts
                if peer is not host and self._random.random() < 0.6
            ]
            await self._hold(ports, host)

    async def cut_leader(self) -> None:
        """Cut the leader off from the store while it reaches some servers.

        Servers restart meanwhile, and its links to other hosts may be cut.
        """
        host = self._leader() or self._random_host()
        store = self._store_proxies[self._hosts.index(host)]
        with self._disrupt(host):
            store.set_mode(self._random.choice(CUTS))
            cuts = [
                (server.port, self._random.choice(CUTS))
                for server in self._some_servers()
            ]
            if self._random.random() < 0.5:
                cuts += [
                    (peer.ports[2], self._random.choice(CUTS))
                    for peer in self._hosts
                    if peer is not host
                ]
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._hold(cuts, host))
                if self._random.random() < 0.5:
                    tasks.create_task(self._restart_holders())
            await asyncio.sleep(self._random.uniform(0.0, 2.0))
            store.set_mode(links.Mode.OPEN)

    async def slow_links(self) -> None:
        """Delay what a host and some servers send to each other."""
        host = self._random_host()
        with self._disrupt(host):
            mode = links.Mode.SLOW
            await self._hold(
                [(server.port, mode) for server in self._some_servers()], host
            )

    async def suspend_leader(self) -> None:
        """Suspend the leader within its lease while servers restart."""
        host = self._leader()
        if host is None:
            return
        with self._disrupt(host):
            host.send(signal.SIGSTOP)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(
                    asyncio.sleep(self._random.uniform(2.5, 6.5))
                )
                tasks.create_task(self._restart_holders())
            host.send(signal.SIGCONT)

    async def suspend_process(self) -> None:
        """Suspend a server for a time."""
        server = self._random.choice(list(self._processes.values()))
        server.suspend()
        await asyncio.sleep(self._random.uniform(0.3, 4.0))
        server.resume()

    async def suspend_process_as_leaders_change(self) -> None:
        """Suspend a server while the leader is killed or suspended."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(self._random.randint(1, 2)):
                tasks.create_task(self.suspend_process())
            await asyncio.sleep(self._random.uniform(0.0, 0.5))
            choices = (self.cut_leader, self.suspend_leader)
            tasks.create_task(_run(self._random.choice(choices)()))

    async def kill_process(self) -> None:
        """Kill a server, which starts again under its identifier."""
        await self._restart(
            self._random.choice(list(self._processes.values()))
        )

    async def _hold(
        self, cuts: list[tuple[int, links.Mode]], host: Host
    ) -> None:
        """Keep links of a host in other states for a time."""
        cuts = [cut for cut in cuts if cut[0] in self._proxies]
        now = asyncio.get_running_loop().time()
        seconds = self._random.uniform(0.5, 5.0)
        for port, mode in cuts:
            self._proxies[port].set_mode(mode, host.name)
            if mode is links.Mode.SLOW:
                self._excuse(port, now, now + seconds + HEAL_SECONDS, False)
        await asyncio.sleep(seconds)
        is_reset = self._random.random() < 0.3
        now = asyncio.get_running_loop().time()
        for port, mode in cuts:
            if mode in HOLDING:
                self._excuse(port, now, now + HEAL_SECONDS, True)
            self._proxies[port].set_mode(links.Mode.OPEN, host.name)
            if is_reset:
                self._proxies[port].reset(host.name)

    def _excuse(
        self, port: int, start: float, end: float, is_healed: bool
    ) -> None:
        for server in self._all_servers():
            if server.port == port:
                server.grant_excuses.append(
                    platform_server.GrantExcuse(start, end, is_healed)
                )

    async def _restart_holders(self) -> None:
        """Restart servers once or twice after keys may have moved."""
        await asyncio.sleep(self._random.uniform(1.6, 4.0))
        servers = self._some_servers()
        for _ in range(self._random.randint(1, 2)):
            for server in servers:
                await self._restart(server)
            await asyncio.sleep(self._random.uniform(0.2, 1.0))

    async def _restart(self, server: Server) -> None:
        if isinstance(server, platform_server.PlatformServer):
            await self._restart_task(server)
            return
        if server.id in self._restarting:
            return
        self._restarting.add(server.id)
        current = self._processes[server.id]
        await current.kill()
        await self._start_process(server.id, server.port, current.life + 1)
        # The links remain as they are.
        self._processes[server.id].grant_excuses = current.grant_excuses
        self._restarting.discard(server.id)

    def _leader(self) -> Host | None:
        leader = self._log.leader()
        for host in self._hosts:
            if leader.endswith(f":{host.ports[2]}"):
                return host
        return None

    def _random_host(self) -> Host:
        """Return a host, the leader in half of the cases."""
        leader = self._leader()
        if leader is not None and self._random.random() < 0.5:
            return leader
        return self._random.choice(self._hosts)

    def _all_servers(self) -> list[Server]:
        keyed = [
            server
            for server, _ in self._servers.values()
            if server.is_partitioned and server.is_up
        ]
        return [*keyed, *self._processes.values()]

    def _some_servers(self) -> list[Server]:
        servers = self._all_servers()
        return self._random.sample(
            servers, self._random.randint(1, len(servers))
        )


async def _run(work: typing.Awaitable[None]) -> None:
    await work
