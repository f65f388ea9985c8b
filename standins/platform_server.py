"""Stand-in of a backend server on the platform, which checks invariants."""

from __future__ import annotations

import asyncio
import collections
import time
import typing

import msgspec

from agatestile.catalog import configuration
from agatestile.transport import messages
from agatestile.transport import server
from standins import platform_log

HEARTBEAT_SECONDS = 0.3

HANDOVER_SLACK_SECONDS = 0.3
"""Overlap of holds that is allowed after a paused sender goes on."""


class Hold(typing.NamedTuple):
    """Keys that a server may work on until a time."""

    first: int
    last: int
    fence: int
    until: float


class InvariantChecker:
    """What all servers of a run saw.

    Attributes
    ----------
    executions_by_request : Counter
        Executions by request.
    violations : list of str
        Broken promises.
    """

    def __init__(self) -> None:
        self.executions_by_request: collections.Counter[str] = (
            collections.Counter()
        )
        self.violations: list[str] = []
        self.servers: list[PlatformServer] = []

    def on_started(
        self, running: PlatformServer, key: int, request: str
    ) -> None:
        """Note the start of work and check that nobody else holds the key."""
        self.executions_by_request[request] += 1
        now = asyncio.get_running_loop().time()
        for other in self.servers:
            if other is running or not other.is_up:
                continue
            hold = other.hold_of(key)
            if hold is not None and hold.until > now + HANDOVER_SLACK_SECONDS:
                self.violations.append(
                    f"key {key} is held by {running.id} and {other.id}"
                )


class PlatformServer:
    """One life of a server.

    Parameters
    ----------
    server_id : str
        Identifier.
    service : str
        Service; its requests need a key if it is partitioned.
    is_partitioned : bool
        Whether requests need a held key.
    checker : InvariantChecker
        Where all servers note what they see.
    work : float
        Time of a request, seconds.
    """

    SLOTS = 2
    QUEUE = 8

    def __init__(
        self,
        server_id: str,
        service: str,
        is_partitioned: bool,
        checker: InvariantChecker,
        work: float = 0.02,
    ) -> None:
        self.id = server_id
        self.is_up = False
        self.is_draining = False
        self._service = service
        self.is_partitioned = is_partitioned
        self._checker = checker
        self._work = work
        self._slots = asyncio.Semaphore(self.SLOTS)
        self._inside = 0
        self._busy_by_key: collections.Counter[int] = collections.Counter()
        self._holds: list[Hold] = []
        self._fence_by_range: dict[tuple[int, int], int] = {}
        self._sequence = 0
        self._port = 0
        self._born = int(time.time() * 1000)
        self._listener = server.Listener(
            self._handle, configuration.CallerLimits
        )
        checker.servers.append(self)

    async def run(self, log: platform_log.PlatformLog, port: int) -> None:
        """Listen and report until cancelled."""
        self._port = port
        await self._listener.start("127.0.0.1", port)
        self.is_up = True
        try:
            while True:
                if not log.is_down:
                    self._report(log)
                await asyncio.sleep(HEARTBEAT_SECONDS)
        finally:
            self.is_up = False
            self._listener.stop()
            for connection in list(self._listener.connections):
                connection.abort()

    def hold_of(self, key: int) -> Hold | None:
        """Return the hold on a key, None without one."""
        now = asyncio.get_running_loop().time()
        for hold in self._holds:
            if hold.first <= key <= hold.last and hold.until > now:
                return hold
        return None

    def _report(self, log: platform_log.PlatformLog) -> None:
        self._sequence += 1
        fields = {
            "service": self._service,
            "address": f"127.0.0.1:{self._port}",
            "zone": "anna",
            "version": "v1",
            "slots": self.SLOTS,
            "state": "draining" if self.is_draining else "ready",
            "warmupLeftMs": 0,
            "seq": self._sequence,
            "born": self._born,
        }
        log.put("keyed.servers", self.id, msgspec.json.encode(fields))

    async def _handle(self, request: messages.Request) -> messages.Response:
        target = request.header(b"x-target-instance")
        if target is not None and target != self.id.encode():
            return self._refuse(request, 421)
        if request.target == b"/grant":
            return self._grant(msgspec.json.decode(request.body))
        if request.target == b"/release":
            return await self._release(msgspec.json.decode(request.body))
        if request.target == b"/healthz":
            return messages.Response(200, self._load(), b"")
        return await self._serve(request)

    def _grant(self, order: dict[str, typing.Any]) -> messages.Response:
        first, last, fence = order["from"], order["to"], order["fence"]
        if self._seen_fence(first, last) > fence:
            return messages.Response(409, [], b"")
        self._cut(first, last)
        now = asyncio.get_running_loop().time()
        until = now + order["holdMs"] / 1000.0
        self._holds.append(Hold(first, last, fence, until))
        self._fence_by_range[first, last] = fence
        return messages.Response(200, [], b"")

    async def _release(
        self, order: dict[str, typing.Any]
    ) -> messages.Response:
        first, last = order["from"], order["to"]
        self._cut(first, last)
        self._fence_by_range[first, last] = max(
            order["fence"], self._seen_fence(first, last)
        )
        while any(
            count and first <= key <= last
            for key, count in self._busy_by_key.items()
        ):
            await asyncio.sleep(0.005)
        return messages.Response(200, [(b"x-handover", b"state")], b"")

    def _seen_fence(self, first: int, last: int) -> int:
        return max(
            (
                fence
                for (low, high), fence in self._fence_by_range.items()
                if low <= last and first <= high
            ),
            default=0,
        )

    def _cut(self, first: int, last: int) -> None:
        kept = []
        for hold in self._holds:
            if hold.last < first or hold.first > last:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(hold._replace(last=first - 1))
            if hold.last > last:
                kept.append(hold._replace(first=last + 1))
        self._holds = kept

    async def _serve(self, request: messages.Request) -> messages.Response:
        if self._inside >= self.SLOTS + self.QUEUE:
            return self._refuse(request, 503)
        key = int(request.header(b"x-shard-key") or b"-1")
        self._inside += 1
        try:
            async with self._slots:
                if self.is_partitioned and self.hold_of(key) is None:
                    return self._refuse(request, 421)
                return await self._work_on(request, key)
        finally:
            self._inside -= 1

    async def _work_on(
        self, request: messages.Request, key: int
    ) -> messages.Response:
        request_id = (request.header(b"x-request-id") or b"").decode()
        if self.is_partitioned:
            self._checker.on_started(self, key, request_id)
        else:
            self._checker.executions_by_request[request_id] += 1
        self._busy_by_key[key] += 1
        try:
            await asyncio.sleep(self._work)
        finally:
            self._busy_by_key[key] -= 1
        headers = [
            (b"x-request-id", request_id.encode()),
            (b"x-upstream-signature", self.id.encode()),
            *self._load(),
        ]
        return messages.Response(200, headers, request_id.encode())

    def _load(self) -> messages.Headers:
        running = min(self._inside, self.SLOTS)
        load = (running, self._inside - running, self.SLOTS)
        return [(b"x-upstream-load", b"%d,%d,%d,100" % load)]

    def _refuse(
        self, request: messages.Request, status: int
    ) -> messages.Response:
        headers = [(b"x-not-executed", b"1")]
        request_id = request.header(b"x-request-id")
        if request_id is not None:
            headers.append((b"x-request-id", request_id))
        return messages.Response(status, headers, b"")
