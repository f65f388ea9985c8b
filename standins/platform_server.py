"""Stand-in for the platform's backend servers; checks the invariants."""

from __future__ import annotations

import asyncio
import collections
import math
import random
import time
import typing
import zlib

import msgspec

from agatestile.catalog import configuration
from agatestile.transport import messages
from agatestile.transport import server
from standins import key_holds
from standins import platform_log
from standins import server_notices

HEARTBEAT_SECONDS = 0.3
"""Interval between the reports of a server to the store."""

LONGEST_WORK_RATIO = 6.0
"""Longest service time, as a multiple of the mean."""

HANDOVER_SLACK_SECONDS = 0.3
"""Allowed overlap of two leases on a key after a paused sender resumes."""


RESET_NOTICE_SECONDS = 0.1
"""Longest time after which a request ends whose connection was reset."""

UNANSWERED_SECONDS = 30.0
"""Time for which a server keeps a call open that it does not answer."""

FAILURE_STATUSES = (408, 429, 500, 503)
"""Statuses with which a server fails requests that it has run."""


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
    since : float
        Clock of the event loop when the grant was first taken, seconds.
    counted_until : float
        End of the part of the lease that late grants don't explain, seconds.
    is_excused : bool
        Whether the last grant arrived as a link had just healed.
    taken_at : float
        Clock of the event loop when the grant was last taken, seconds.
    """

    first: int
    last: int
    fence: int
    until: float
    since: float = -math.inf
    counted_until: float = math.inf
    is_excused: bool = False
    taken_at: float = -math.inf


class GrantExcuse(typing.NamedTuple):
    """A time in which grants that a server takes are excused.

    Attributes
    ----------
    start, end : float
        Clock of the event loop, seconds.
    is_healed : bool
        Whether a link has just healed: no rule counts the grants. Otherwise
        they count where both servers begin requests, and if they are held
        for longer than a release needs to undo them.
    """

    start: float
    end: float
    is_healed: bool


def mark(
    lease: KeyLease,
    taken_at: float,
    earlier: list[KeyLease],
    excuses: list[GrantExcuse],
) -> KeyLease:
    """Return a lease with what earlier ones and excuses say of its grant."""
    kinds = [
        excuse.is_healed
        for excuse in excuses
        if excuse.start <= taken_at <= excuse.end
    ]
    since, counted_until = taken_at, -math.inf
    for one in earlier:
        is_covering = one.first <= lease.first and lease.last <= one.last
        if is_covering and one.until > taken_at:
            since, counted_until = one.since, one.counted_until
    return lease._replace(
        since=since,
        counted_until=counted_until if kinds else lease.until,
        is_excused=any(kinds),
        taken_at=taken_at,
    )


class InvariantChecker:
    """Checks the executions of all servers of a run.

    Attributes
    ----------
    executions_by_request : Counter
        Number of executions by request identifier.
    violations : list of str
        Descriptions of the violated invariants.
    sent_at_by_request : dict of str to float
        Time at which the caller sent each request, seconds.
    dropped_at_by_request : dict of str to float
        Time at which the connection of a running request closed, seconds.
    work_spread : float
        Standard deviation of the logarithm of the service time.
    """

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.work_spread = 0.0
        self.executions_by_request: collections.Counter[str] = (
            collections.Counter()
        )
        self.violations: list[str] = []
        self.servers: list[PlatformServer] = []
        self._starts: list[tuple[float, PlatformServer, int]] = []
        self.key_holds = key_holds.KeyHolds(self.servers)
        self.dropped_at_by_request: dict[str, float] = {}
        self.sent_at_by_request: dict[str, float] = {}
        self._arrivals_by_number: dict[int, server_notices.Arrival] = {}
        self._arrival_count = 0

    def draw_work(self, mean: float) -> float:
        """Return how long a request takes, seconds."""
        if not self.work_spread:
            return mean
        median = mean * math.exp(-(self.work_spread**2) / 2)
        drawn = self.random.lognormvariate(math.log(median), self.work_spread)
        return min(drawn, LONGEST_WORK_RATIO * mean)

    @property
    def arrivals(self) -> list[server_notices.Arrival]:
        """Requests that arrived at servers, in order of their arrival."""
        return list(self._arrivals_by_number.values())

    def on_arrived(self, running: PlatformServer, request_id: str) -> int:
        """Record a request and return its number.

        The identifier of a request starts with the name of the host that
        gets it from the caller, and a dot.
        """
        now = asyncio.get_running_loop().time()
        self._arrival_count += 1
        self._arrivals_by_number[self._arrival_count] = server_notices.Arrival(
            running.id,
            request_id.partition(".")[0],
            self.sent_at_by_request.get(request_id, now),
            now,
            math.inf,
        )
        return self._arrival_count

    def on_answered(self, running: PlatformServer, number: int) -> None:
        """Record what a response says of its server."""
        now = asyncio.get_running_loop().time()
        self._arrivals_by_number[number] = self._arrivals_by_number[
            number
        ]._replace(
            answered_at=now,
            rate_limit=running.rate_limit,
            pause=running.pause_left() or None,
            is_leaving=running.says_it_leaves,
        )

    def on_misdirected(self, number: int) -> None:
        """Forget a request for a key that its server does not hold."""
        del self._arrivals_by_number[number]

    def on_started(
        self,
        running: PlatformServer,
        key: int,
        request: str,
        started_at: float | None = None,
    ) -> None:
        """Count an execution; check that no other server holds the key."""
        self.executions_by_request[request] += 1
        now = started_at or asyncio.get_running_loop().time()
        self._starts.append((now, running, key))
        own = running.lease_on(key)
        for other in self.servers:
            if other is running or not other.is_up:
                continue
            lease = other.lease_on(key)
            if (
                lease is not None
                and lease.until > now + HANDOVER_SLACK_SECONDS
                and lease.since <= now
                and not self._is_excused(now, other, lease, own)
            ):
                self.violations.append(
                    f"key {key} is held by {running.id} and {other.id}"
                )

    def _is_excused(
        self,
        now: float,
        other: PlatformServer,
        lease: KeyLease,
        own: KeyLease | None,
    ) -> bool:
        """Return whether late grants excuse two holders of a key.

        They don't if both servers begin requests, unless a link had healed.
        """
        late = []
        if lease.counted_until <= now + HANDOVER_SLACK_SECONDS:
            late.append(lease)
        if own is None or own.counted_until > now:
            own = own or lease
        else:
            late.append(own)
        if not late or any(one.is_excused for one in late):
            return bool(late)
        first, last = max(lease[0], own[0]), min(lease[1], own[1])
        both_since = max(lease.since, own.since)
        return not any(
            server is other and first <= key <= last and at >= both_since
            for at, server, key in self._starts
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
    life : int
        Number of its start under this identifier.

    Attributes
    ----------
    reaches_store : bool
        Whether its reports arrive at the store.
    clock_rate : float
        Seconds that pass while its clock counts one of a key lease.
    order_delay : float
        Time after which it carries out a grant without an answer, seconds;
        0 to carry out grants at once.
    loses_answers : bool
        Whether its answers to grants are lost.
    advertised_port : int
        Port that its reports name; 0 for the one on which it listens.
    grant_excuses : list of GrantExcuse
        Times in which the grants that it takes are excused.
    rate_limit : float or None
        Limit that its responses name, requests per second.
    says_it_leaves : bool
        Whether its responses say that it leaves.
    paused_until : float
        Clock of the event loop until which it wants no requests, seconds.
    failed_percent : int
        Percentage of requests that it runs and then fails with a status of
        its own.
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
        life: int = 1,
    ) -> None:
        self.id = server_id
        self.life = life
        self.reaches_store = True
        self.clock_rate = 1.0
        self.order_delay = 0.0
        self.loses_answers = False
        self.warm_at = -math.inf
        self._reset_at = -math.inf
        self.is_up = False
        self.is_draining = False
        self.is_registered = True
        self.rate_limit: float | None = None
        self.says_it_leaves = False
        self.paused_until = -math.inf
        self.failed_percent = 0
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
        self.advertised_port = 0
        self.grant_excuses: list[GrantExcuse] = []
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
                self._report_if_connected(log)
                await asyncio.sleep(HEARTBEAT_SECONDS)
        finally:
            self.is_up = False
            self._listener.stop()
            self.reset_connections()

    def reset_connections(self) -> None:
        """Abort all connections of callers."""
        self._reset_at = asyncio.get_running_loop().time()
        for connection in list(self._listener.connections):
            connection.abort()

    @property
    def port(self) -> int:
        """Port on which it listens."""
        return self._port

    @property
    def service_time(self) -> float:
        """Mean service time of a request, seconds."""
        return self._service_time

    def current_leases(self) -> list[KeyLease]:
        """Return the leases that have not expired."""
        now = asyncio.get_running_loop().time()
        return [lease for lease in self._leases if lease.until > now]

    def lease_on(self, key: int) -> KeyLease | None:
        """Return the current lease on a key, None if there is none."""
        now = asyncio.get_running_loop().time()
        for lease in self._leases:
            if lease.first <= key <= lease.last and lease.until > now:
                return lease
        return None

    def pause_left(self) -> float:
        """Return for how long it wants no requests, seconds."""
        return max(0.0, self.paused_until - asyncio.get_running_loop().time())

    def _report_if_connected(self, log: platform_log.PlatformLog) -> None:
        if self.is_registered and self.reaches_store and not log.is_down:
            self._report(log)

    def _report(self, log: platform_log.PlatformLog) -> None:
        self._sequence += 1
        fields = {
            "service": self._service,
            "address": f"127.0.0.1:{self.advertised_port or self._port}",
            "zone": "anna",
            "version": "v1",
            "slots": self.SLOTS,
            "state": "draining" if self.is_draining else "ready",
            "warmupLeftMs": int(1000 * self._warmup_left()),
            "seq": self._sequence,
            "born": self._started_ms,
        }
        log.put("keyed.servers", self.id, msgspec.json.encode(fields))

    def _warmup_left(self) -> float:
        now = asyncio.get_running_loop().time()
        return max(0.0, self.warm_at - now)

    async def _handle(self, request: messages.Request) -> messages.Response:
        target = request.header(b"x-target-instance")
        if target is not None and target != self.id.encode():
            return self._refuse(request, 421)
        if request.target == b"/grant":
            return await self._receive_grant(msgspec.json.decode(request.body))
        if request.target == b"/release":
            return await self._release(msgspec.json.decode(request.body))
        if request.target == b"/healthz":
            return messages.Response(200, self._notices(), b"")
        number = self._checker.on_arrived(self, _request_id(request))
        response = await self._serve(request)
        if response.status == 421:
            self._checker.on_misdirected(number)
        else:
            self._checker.on_answered(self, number)
        return response

    async def _receive_grant(
        self, order: dict[str, typing.Any]
    ) -> messages.Response:
        arrived = asyncio.get_running_loop().time()
        if self.order_delay:
            # It is carried out even if the caller gives up meanwhile.
            asyncio.get_running_loop().call_later(
                self.order_delay, self._grant, order, arrived, True
            )
            await asyncio.sleep(UNANSWERED_SECONDS)
        response = self._grant(order, arrived)
        if self.loses_answers:
            await asyncio.sleep(UNANSWERED_SECONDS)
        return response

    def _grant(
        self,
        order: dict[str, typing.Any],
        arrived: float,
        is_late: bool = False,
    ) -> messages.Response:
        first, last, fence = order["from"], order["to"], order["fence"]
        has_ended = is_late and not self.is_up
        if has_ended or self._highest_fence(first, last) > fence:
            return messages.Response(409, [], b"")
        earlier = self._leases
        self._remove_leases(first, last)
        until = arrived + self.clock_rate * order["holdMs"] / 1000.0
        lease = mark(
            KeyLease(first, last, fence, until),
            arrived,
            earlier,
            self.grant_excuses,
        )
        self._leases.append(lease)
        self._fence_by_range[first, last] = fence
        if not is_late and not lease.is_excused:
            self._checker.key_holds.on_taken(
                key_holds.Taken(self.id, self.life, first, last, fence)
            )
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
        is_full = self._accepted >= self.SLOTS + self.MAX_QUEUE
        if is_full or self.pause_left():
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
        request_id = _request_id(request)
        if self.is_partitioned:
            self._checker.on_started(self, key, request_id)
        else:
            self._checker.executions_by_request[request_id] += 1
        self._running_by_key[key] += 1
        try:
            await asyncio.sleep(self._checker.draw_work(self._service_time))
        except asyncio.CancelledError:
            now = asyncio.get_running_loop().time()
            if self.is_up and now > self._reset_at + RESET_NOTICE_SECONDS:
                self._checker.dropped_at_by_request[request_id] = now
            raise
        finally:
            self._running_by_key[key] -= 1
        headers = [
            (b"x-request-id", request_id.encode()),
            (b"x-upstream-signature", self.id.encode()),
            *self._notices(),
        ]
        status = 200
        # By its identifier, so that the random numbers of a seed stay.
        number = zlib.crc32(request_id.encode())
        if number % 100 < self.failed_percent:
            status = FAILURE_STATUSES[number // 100 % len(FAILURE_STATUSES)]
        return messages.Response(status, headers, request_id.encode())

    def _notices(self) -> messages.Headers:
        """Return what a response says of the server itself."""
        running = min(self._accepted, self.SLOTS)
        load = (running, self._accepted - running, self.SLOTS)
        headers = [(b"x-upstream-load", b"%d,%d,%d,100" % load)]
        if self.rate_limit is not None:
            headers.append((b"server-limit", b"%.2f" % self.rate_limit))
        if self.says_it_leaves:
            headers.append((b"server-leaving", b"1"))
        return headers

    def _refuse(
        self, request: messages.Request, status: int
    ) -> messages.Response:
        headers = [(b"x-not-executed", b"1")]
        if status == 503:
            headers += self._notices()
            if self.pause_left():
                headers.append((b"retry-after", b"%.3f" % self.pause_left()))
        request_id = request.header(b"x-request-id")
        if request_id is not None:
            headers.append((b"x-request-id", request_id))
        return messages.Response(status, headers, b"")


def _request_id(request: messages.Request) -> str:
    return (request.header(b"x-request-id") or b"").decode()
