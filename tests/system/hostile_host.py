"""A process of the program for tests of hostile callers."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import random
import sys

import msgspec

from agatestile.transport import client
from agatestile.transport import messages
from bench import platform_soak
from standins import platform_log
from standins import platform_server

MEMORY_MB = 100
"""Memory that the settings allow the process of a crowd's case, 10^6 bytes."""

LEAST_DEPLOYED_MEMORY_MB = 160
"""Lowest memory that deployments have, 10^6 bytes."""

MAX_DESCRIPTORS = 400
"""Descriptors that the settings allow the process."""

HEADER_BYTES = 4 * 1024

BODY_BYTES = 8 * 1024 * 1024

LARGE_RESPONSE_BYTES = 8 * 1024 * 1024

STATEMENT_BYTES = 540_000
"""Body of an answer to a download."""

STATEMENT_SECONDS = 2.0
"""Longest time that the server works on a download."""

REPORT_BYTES = 2_000_000
"""Body of an answer for a slow reader."""

CALLERS, READY, PEERS, METRICS = range(4)
"""Positions of the addresses in `Host.ports`."""

ANSWER_SECONDS = 8.0
"""Time that an ordinary caller waits for an answer."""

CALLER_REPEATS = 2
"""Repeats of an ordinary request that got no answer."""

MAX_REFUSALS = 20
"""Attempts of an ordinary request that is refused."""

SERVICE_SECONDS = 0.2
"""Time that the server works on a request."""


class Server(platform_server.PlatformServer):
    """Keeps requests for a while and answers some with large bodies."""

    bodies: list[int] = []
    random = random.Random(1)

    async def _execute(
        self, request: messages.Request, key: int
    ) -> messages.Response:
        response = await super()._execute(request, key)
        self.bodies.append(len(request.body))
        if request.target.endswith(b"large"):
            return response._replace(body=bytes(LARGE_RESPONSE_BYTES))
        if request.target.endswith(b"statement"):
            await asyncio.sleep(self.random.uniform(0.0, STATEMENT_SECONDS))
            return response._replace(body=bytes(STATEMENT_BYTES))
        if request.target.endswith(b"report"):
            return response._replace(body=bytes(REPORT_BYTES))
        return response


class Host:
    """A process of the program with stand-ins, used as a context manager."""

    def __init__(
        self,
        folder: pathlib.Path,
        body_bytes: int = BODY_BYTES,
        memory: int = MEMORY_MB,
        descriptors: int = MAX_DESCRIPTORS,
        slots: int = platform_server.PlatformServer.SLOTS,
    ) -> None:
        self._folder = folder
        self._memory = memory
        self._descriptors = descriptors
        self._body_bytes = body_bytes
        self._log = platform_log.PlatformLog()
        checker = platform_server.InvariantChecker(1)
        # The class is made for the slots: servers take them from theirs.
        kind = type("SlotServer", (Server,), {"SLOTS": slots})
        self.server: Server = kind(
            "s1", "plain", False, checker, SERVICE_SECONDS
        )
        self.server.bodies = []
        self.ports = [platform_soak.free_port() for _ in range(4)]
        self.process: asyncio.subprocess.Process | None = None
        self.most_descriptors = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Host:
        store_port = platform_soak.free_port()
        await self._log.start(store_port)
        self._log.put("keyed.op", "config", self._configuration())
        self._tasks.append(
            asyncio.create_task(
                self.server.run(self._log, platform_soak.free_port())
            )
        )
        callers, ready, peers, metrics = self.ports
        member = f"127.0.0.1:{peers}"
        self._log.address_by_member[member] = member
        path = self._folder / "h0.toml"
        path.write_text(
            'nodeName = "h0"\nip = "127.0.0.1"\nzone = "anna"\n'
            f'seeds = ["{member}"]\n'
            'bounds = ["graceS=6"]\n'
            f'[listen]\nedgeAddr = "127.0.0.1:{callers}"\n'
            f'ready = "127.0.0.1:{ready}"\ncontrol = "{member}"\n'
            f'[platform]\naddress = "127.0.0.1:{store_port}"\n'
            f"[limits]\nmemoryMb = {self._memory}\n"
            f"maxFds = {self._descriptors}\n"
        )
        environment = {
            **os.environ,
            "AGATESTILE_BOOT": str(path),
            "AGATESTILE_METRICS_PORT": str(metrics),
        }
        with (self._folder / "h0.log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "agatestile.platform",
                stdout=output,
                stderr=output,
                env=environment,
            )
        self._tasks.append(asyncio.create_task(self._watch_descriptors()))
        assert await self.is_served(100), "the host did not start"
        return self

    async def __aexit__(self, *unused: object) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for task in self._tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self._log.stop()

    def _configuration(self) -> bytes:
        rule = {
            "name": "plain",
            "routeType": "unsafe",
            "targetLatencyMs": 5000,
            "match": {"pathPrefix": "/plain/"},
            "action": {"service": "plain", "timeoutMs": 5000},
        }
        return msgspec.json.encode(
            {
                "version": "r1",
                "listeners": [{"host": "127.0.0.1", "rules": [rule]}],
                "clusters": [{"name": "plain", "healthPath": "/healthz"}],
                "limits": {
                    "maxHeaderBytes": HEADER_BYTES,
                    "maxBodyBytes": self._body_bytes,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            }
        )

    async def request(self, body: bytes) -> messages.Response | None:
        """Send an ordinary request over a new connection, if one opens."""
        pool = client.Pool(asyncio.get_running_loop().time)
        response = await pool.call(
            ("127.0.0.1", self.ports[0]),
            messages.Request(
                b"POST",
                b"/plain/1",
                [(b"x-request-id", b"h0.1"), (b"x-deadline-ms", b"5000")],
                body,
            ),
            ANSWER_SECONDS,
            needs_new_connection=True,
        )
        return response if isinstance(response, messages.Response) else None

    async def is_served(self, attempts: int) -> bool:
        """Return whether an ordinary request is answered."""
        for _ in range(attempts):
            response = await self.request(b"body")
            if response is not None and response.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def answers(self) -> bool:
        """Return whether ordinary callers and the balancer get answers.

        A refusal may be repeated, silence only as often as callers do.
        """
        silent = 0
        for _ in range(MAX_REFUSALS):
            response = await self.request(b"body")
            if response is not None and response.status == 200:
                break
            silent += response is None
            if silent > CALLER_REPEATS:
                return False
            await asyncio.sleep(0.1)
        else:
            return False
        return await self._is_ready()

    async def _is_ready(self) -> bool:
        pool = client.Pool(asyncio.get_running_loop().time)
        for _ in range(1 + CALLER_REPEATS):
            response = await pool.call(
                ("127.0.0.1", self.ports[READY]),
                messages.Request(b"GET", b"/readyz", [], b""),
                ANSWER_SECONDS,
                needs_new_connection=True,
            )
            if isinstance(response, messages.Response):
                return response.status == 200
        return False

    async def _watch_descriptors(self) -> None:
        while True:
            if self.process is not None and self.process.returncode is None:
                with contextlib.suppress(OSError):
                    count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
                    self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(0.05)

    def peak_memory(self) -> int:
        """Return the highest resident memory of the process, bytes."""
        assert self.process is not None
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        raise AssertionError("the process has ended")

    def check(self) -> None:
        """Check that the process lives within its settings."""
        assert self.process is not None
        assert self.process.returncode is None
        peak = self.peak_memory() / 1e6
        print(f"{peak:.1f} MB, {self.most_descriptors} descriptors")
        assert peak < self._memory
        assert self.most_descriptors < self._descriptors
