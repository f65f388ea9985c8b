"""Starts stand-ins of backend servers as processes and follows them."""

from __future__ import annotations

import asyncio
import math
import signal
import sys

import msgspec

from standins import key_holds
from standins import platform_log
from standins import platform_server
from standins import platform_server_process

LATE_SECONDS = 0.3
"""Time after a thaw in which a server may take what it had not read."""

LINE_BYTES = 1_000_000


class ServerProcess:
    """One incarnation of a keyed server, a process of its own.

    Parameters
    ----------
    server_id : str
        Identifier of the server.
    life : int
        Number of its start under this identifier.
    port : int
        Port on which it listens.
    checker : platform_server.InvariantChecker
        Checker that all servers of a run share.
    log : platform_log.PlatformLog
        Store to which its reports go.
    service_time : float
        Mean service time of a request, seconds.

    Attributes
    ----------
    grant_excuses : list of platform_server.GrantExcuse
        Times in which the grants that it takes are excused.
    """

    def __init__(
        self,
        server_id: str,
        life: int,
        port: int,
        checker: platform_server.InvariantChecker,
        log: platform_log.PlatformLog,
        service_time: float,
    ) -> None:
        self.id = server_id
        self.life = life
        self.port = port
        self.is_up = False
        self.grant_excuses: list[platform_server.GrantExcuse] = []
        self._checker = checker
        self._log = log
        self._service_time = service_time
        self._leases: list[platform_server.KeyLease] = []
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None
        checker.servers.append(self)

    async def start(self, advertised_port: int) -> None:
        """Start the process, which reports another port to the store."""
        arguments = (self.life, self.port, advertised_port)
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "standins.platform_server_process",
            self.id,
            *map(str, arguments),
            str(self._service_time),
            stdout=asyncio.subprocess.PIPE,
            limit=LINE_BYTES,
        )
        self.is_up = True
        assert self._process.stdout is not None
        self._reader = asyncio.create_task(self._read(self._process.stdout))

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is None or self._reader is None or not self.is_up:
            return
        self.is_up = False
        self._process.kill()
        await self._process.wait()
        await self._reader

    def suspend(self) -> None:
        """Stop the process for a time."""
        if self._process is not None and self.is_up:
            self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let the process go on; grants that it reads first are late."""
        if self._process is not None and self.is_up:
            now = asyncio.get_running_loop().time()
            self.grant_excuses.append(
                platform_server.GrantExcuse(now, now + LATE_SECONDS, False)
            )
            self._process.send_signal(signal.SIGCONT)

    def current_leases(self) -> list[platform_server.KeyLease]:
        """Return the leases that have not expired."""
        now = asyncio.get_running_loop().time()
        return [lease for lease in self._leases if lease.until > now]

    def lease_on(self, key: int) -> platform_server.KeyLease | None:
        """Return the current lease on a key, None if there is none."""
        for lease in self.current_leases():
            if lease.first <= key <= lease.last:
                return lease
        return None

    async def _read(self, output: asyncio.StreamReader) -> None:
        decoder = msgspec.json.Decoder(platform_server_process.Notice)
        while line := await output.readline():
            self._heed(decoder.decode(line))

    def _heed(self, notice: platform_server_process.Notice) -> None:
        if notice.report and self.is_up and not self._log.is_down:
            self._log.put("keyed.servers", self.id, notice.report.encode())
        if notice.leases is not None:
            self._leases = [
                self._lease(notice, *lease) for lease in notice.leases
            ]
        if notice.taken is not None:
            taken = next(
                lease
                for lease in self._leases
                if lease.fence == notice.taken[2]
            )
            if not taken.is_excused:
                self._checker.key_holds.on_taken(
                    key_holds.Taken(self.id, self.life, *notice.taken)
                )
        if notice.started is not None:
            self._checker.on_started(self, *notice.started, notice.at)

    def _lease(
        self,
        notice: platform_server_process.Notice,
        first: int,
        last: int,
        fence: int,
        until: float,
    ) -> platform_server.KeyLease:
        for one in self._leases:
            if (one.fence, one.until) == (fence, until):
                return one._replace(first=first, last=last)
        return platform_server.mark(
            platform_server.KeyLease(first, last, fence, until, math.inf),
            notice.at,
            self._leases,
            self.grant_excuses,
        )
