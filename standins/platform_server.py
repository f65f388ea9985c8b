"""Stand-in for the platform's backend servers; checks the invariants."""

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
"""Interval between the reports of a server to the store."""

HANDOVER_SLACK_SECONDS = 0.3
"""Allowed overlap of two leases on a key after a paused sender resumes."""


class KeyLease(typing.NamedTuple):
    """A range of keys that a server may process until a time.

    Attributes
    ----------
    first, last : int
        First and last key of the range.
    fence : int
        Fencing token of the grant.
    until : float
        Clock of the event loop at the end of the lease, seconds.
    """

    first: int
    last: int
    fence: int
    until: float


class InvariantChecker:
    """Checks the executions of all servers of a run.

    Attributes
    ----------
    executions_by_request : Counter
        Number of executions by request identifier.
    violations : list of str
        Descriptions of the violated invariants.
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
        """Count an execution; check that no other server holds the key."""
        self.executions_by_request[request] += 1
        now = asyncio.get_running_loop().time()
        for other in self.servers:
            if other is running or not other.is_up:
                continue
            lease = other.lease_on(key)
            if (
                lease is not None
                and lease.until > now + HANDOVER_SLACK_SECONDS
            ):
                self.violations.append(
                    f"key {key} is held by {running.id} and {other.id}"
                )


class PlatformServer:
    """One incarnation of a server.

    Parameters
    ----------
    server_id : str
        Identifier of the server.
    service : str
        Service of the server.
    is_partitioned : bool
        Whether the service is partitioned by key, so that a request needs
        a lease on its key.
    checker : InvariantChecker
        Checker that all servers of a run share.
    service_time : float
        Service time of a request, seconds.
    """

    SLOTS = 2
    MAX_QUEUE = 8

    def __init__(
        self,
        server_id: str,
        service: str,
        is_partitioned: bool,
        checker: InvariantChecker,
        service_time: float = 0.02,
    ) -> None:
        self.id = server_id
        self.is_up = False
        self.is_draining = False
        self._service = service
        self.is_partitioned = is_partitioned
        self._checker = checker
        self._service_time = service_time
        self._slots = asyncio.Semaphore(self.SLOTS)
        self._accepted = 0
        self._running_by_key: collections.Counter[int] = collections.Counter()
        self._leases: list[KeyLease] = []
        self._fence_by_range: dict[tuple[int, int], int] = {}
        self._sequence = 0
        self._port = 0
        self._started_ms = int(time.time() * 1000)
        self._listener = server.Listener(
            self._handle, configuration.CallerLimits
        )
        checker.servers.append(self)

    async def run(self, log: platform_log.PlatformLog, port: int) -> None:
        """Serve requests and report to the store until cancelled."""
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

    def lease_on(self, key: int) -> KeyLease | None:
        """Return the current lease on a key, None if there is none."""
        now = asyncio.get_running_loop().time()
        for lease in self._leases:
            if lease.first <= key <= lease.last and lease.until > now:
                return lease
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
            "born": self._started_ms,
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
            return messages.Response(200, self._load_headers(), b"")
        return await self._serve(request)

    def _grant(self, order: dict[str, typing.Any]) -> messages.Response:
        first, last, fence = order["from"], order["to"], order["fence"]
        if self._highest_fence(first, last) > fence:
            return messages.Response(409, [], b"")
        self._remove_leases(first, last)
        now = asyncio.get_running_loop().time()
        until = now + order["holdMs"] / 1000.0
        self._leases.append(KeyLease(first, last, fence, until))
        self._fence_by_range[first, last] = fence
        return messages.Response(200, [], b"")

    async def _release(
        self, order: dict[str, typing.Any]
    ) -> messages.Response:
        first, last = order["from"], order["to"]
        self._remove_leases(first, last)
        self._fence_by_range[first, last] = max(
            order["fence"], self._highest_fence(first, last)
        )
        while any(
            count and first <= key <= last
            for key, count in self._running_by_key.items()
        ):
            await asyncio.sleep(0.005)
        return messages.Response(200, [(b"x-handover", b"state")], b"")

    def _highest_fence(self, first: int, last: int) -> int:
        return max(
            (
                fence
                for (low, high), fence in self._fence_by_range.items()
                if low <= last and first <= high
            ),
            default=0,
        )

    def _remove_leases(self, first: int, last: int) -> None:
        kept = []
        for lease in self._leases:
            if lease.last < first or lease.first > last:
                kept.append(lease)
                continue
            if lease.first < first:
                kept.append(lease._replace(last=first - 1))
            if lease.last > last:
                kept.append(lease._replace(first=last + 1))
        self._leases = kept

    async def _serve(self, request: messages.Request) -> messages.Response:
        if self._accepted >= self.SLOTS + self.MAX_QUEUE:
            return self._refuse(request, 503)
        key = int(request.header(b"x-shard-key") or b"-1")
        self._accepted += 1
        try:
            async with self._slots:
                if self.is_partitioned and self.lease_on(key) is None:
                    return self._refuse(request, 421)
                return await self._execute(request, key)
        finally:
            self._accepted -= 1

    async def _execute(
        self, request: messages.Request, key: int
    ) -> messages.Response:
        request_id = (request.header(b"x-request-id") or b"").decode()
        if self.is_partitioned:
            self._checker.on_started(self, key, request_id)
        else:
            self._checker.executions_by_request[request_id] += 1
        self._running_by_key[key] += 1
        try:
            await asyncio.sleep(self._service_time)
        finally:
            self._running_by_key[key] -= 1
        headers = [
            (b"x-request-id", request_id.encode()),
            (b"x-upstream-signature", self.id.encode()),
            *self._load_headers(),
        ]
        return messages.Response(200, headers, request_id.encode())

    def _load_headers(self) -> messages.Headers:
        running = min(self._accepted, self.SLOTS)
        load = (running, self._accepted - running, self.SLOTS)
        return [(b"x-upstream-load", b"%d,%d,%d,100" % load)]

    def _refuse(
        self, request: messages.Request, status: int
    ) -> messages.Response:
        headers = [(b"x-not-executed", b"1")]
        request_id = request.header(b"x-request-id")
        if request_id is not None:
            headers.append((b"x-request-id", request_id))
        return messages.Response(status, headers, b"")
