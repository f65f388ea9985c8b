"""Stand-ins and helpers that the cases of the review share.

The store, the upstreams and the clients follow the users' pages. Only the
standard library is used, and every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import typing
import urllib.parse

REVIEW = pathlib.Path(__file__).resolve().parent
ROOT = REVIEW.parent

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
OVERLAP_BOUND = 0.5
"""Seconds for which two upstreams may hold the same key (rule OWNER)."""
SAMPLE_KEYS = range(0, 65536, 257)
SAMPLE_SECONDS = 0.02

Headers = dict[str, str]


class NotRun(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._started = time.monotonic()
        self.broken: list[str] = []

    def write(self, text: str) -> None:
        if self._file.closed:
            return
        elapsed = time.monotonic() - self._started
        self._file.write(f"{elapsed:8.3f} {text}\n")
        self._file.flush()

    def violation(self, text: str) -> None:
        self.broken.append(text)
        self.write(f"VIOLATION {text}")

    def close(self) -> None:
        self._file.close()


# HTTP


class Request(typing.NamedTuple):
    method: str
    path: str
    query: dict[str, str]
    headers: Headers
    body: bytes


class Answer(typing.NamedTuple):
    status: int
    headers: Headers
    body: bytes


Handler = typing.Callable[[Request], typing.Awaitable[Answer | None]]


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, Headers] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode_answer(answer: Answer) -> bytes:
    lines = [f"HTTP/1.1 {answer.status} Status"]
    lines += [f"{name}: {value}" for name, value in answer.headers.items()]
    lines += [f"content-length: {len(answer.body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + answer.body


class Server:
    """HTTP/1.1 server; a handler that returns None resets the connection.

    A request whose connection closes is cancelled.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: tuple[str, int]) -> None:
        self._server = await asyncio.start_server(
            self._serve, *address, reuse_address=True, limit=1 << 20
        )

    def stop(self) -> None:
        """Stop to listen and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                start, headers = head
                method, target, _ = start.split(" ", 2)
                body = await read_body(reader, headers)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                request = Request(method, url.path, query, headers, body)
                answer = await self._handle(reader, request)
                if answer is None:
                    break
                writer.write(encode_answer(answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _handle(
        self, reader: asyncio.StreamReader, request: Request
    ) -> Answer | None:
        work = asyncio.ensure_future(self._handler(request))
        closed = asyncio.ensure_future(_wait_closed(reader))
        try:
            await asyncio.wait(
                (work, closed), return_when=asyncio.FIRST_COMPLETED
            )
            return work.result() if work.done() else None
        finally:
            work.cancel()
            closed.cancel()


async def _wait_closed(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: Headers,
    body: bytes = b"",
    timeout: float = 3.0,
) -> Answer | str:
    """Send a request over a new connection; a text says why it failed."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            head = await read_head(reader)
            if head is None:
                return "the connection closed without an answer"
            content = await read_body(reader, head[1])
            return Answer(int(head[0].split(" ")[1]), head[1], content)
    except TimeoutError:
        return f"no answer within {timeout:g} s"
    except (OSError, asyncio.IncompleteReadError) as error:
        return f"connection failed: {error!r}"
    finally:
        if writer is not None:
            writer.transport.abort()


# The platform's store


class Store:
    """The store: keyed topics, conditional appends and groups."""

    def __init__(self, heartbeat: float) -> None:
        self._heartbeat = heartbeat
        self._records_by_topic: dict[str, list[bytes]] = {}
        self._changed = asyncio.Event()
        self._generation = 0
        self._deadline_by_member: dict[str, float] = {}
        self._beat_at: dict[str, float] = {}
        self._server = Server(self._handle)

    async def start(self, address: tuple[str, int]) -> None:
        await self._server.start(address)

    def stop(self) -> None:
        self._server.stop()

    def put(self, topic: str, key: str, value: bytes) -> None:
        name = key.encode()
        self._records(topic).append(bytes((len(name),)) + name + value)
        self._wake()

    def beat(self, server_id: str, entry: dict[str, typing.Any]) -> None:
        """Accept the entry of an upstream."""
        self._beat_at[server_id] = time.monotonic()
        self.put("keyed.servers", server_id, json.dumps(entry).encode())

    def expire(self) -> None:
        """Remove entries after three intervals of silence."""
        for server_id, at in list(self._beat_at.items()):
            if time.monotonic() - at > 3 * self._heartbeat:
                del self._beat_at[server_id]
                self.put("keyed.servers", server_id, b"")

    def leader(self) -> str:
        """Return the member that holds the partition of the leadership."""
        now = time.monotonic()
        for member, deadline in list(self._deadline_by_member.items()):
            if deadline < now:
                del self._deadline_by_member[member]
                self._generation += 1
        return next(iter(self._deadline_by_member), "")

    def _records(self, topic: str) -> list[bytes]:
        return self._records_by_topic.setdefault(topic, [])

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request) -> Answer | None:
        await asyncio.sleep(0.004)
        handlers = {
            "/log-append": self._append,
            "/log-read": self._read,
            "/log-newest": self._newest,
            "/log-join": self._join,
            "/log-leave": self._leave,
            "/log-owners": self._owners,
        }
        return await handlers[request.path](request)

    async def _append(self, request: Request) -> Answer:
        records = self._records(request.query["topic"])
        expected = request.query.get("asOf")
        if expected is not None and int(expected) != len(records):
            return _json(412, {"end": len(records)})
        offset, position, body = len(records), 0, request.body
        while position < len(body):
            size = int.from_bytes(body[position : position + 4], "big")
            records.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        self._wake()
        return _json(200, {"offset": offset, "end": len(records)})

    async def _read(self, request: Request) -> Answer:
        records = self._records(request.query["topic"])
        start = int(request.query["from"])
        until = time.monotonic() + int(request.query.get("waitMs", 0)) / 1000
        while start >= len(records):
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        parts = [len(records).to_bytes(8, "big"), bytes(8)]
        left = int(request.query.get("maxKb", 1024)) * 1024
        for record in records[start:]:
            if len(record) > left and len(parts) > 2:
                break
            left -= len(record)
            parts += [len(record).to_bytes(4, "big"), record]
        return Answer(200, {}, b"".join(parts))

    async def _newest(self, request: Request) -> Answer:
        records = self._records(request.query["topic"])
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(records):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (offset, record[end:])
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in newest.items()
            if value
        ]
        return _json(
            200, {"items": items, "hasMore": False, "end": len(records)}
        )

    async def _join(self, request: Request) -> Answer:
        fields = json.loads(request.body)
        self.leader()
        member = fields["member"]
        if member not in self._deadline_by_member:
            self._generation += 1
        until = time.monotonic() + fields["ttlMs"] / 1000
        self._deadline_by_member[member] = until
        parts = []
        if self.leader() == member:
            parts = [[fields["topics"][0], 0, 0]]
        return _json(200, {"generation": self._generation, "parts": parts})

    async def _leave(self, request: Request) -> Answer:
        member = json.loads(request.body)["member"]
        if self._deadline_by_member.pop(member, None) is not None:
            self._generation += 1
        return _json(200, {})

    async def _owners(self, request: Request) -> Answer:
        leader = self.leader()
        rows = [[request.query["group"], 0, leader, 0]] if leader else []
        return _json(200, {"rows": rows})


def _json(status: int, fields: dict[str, typing.Any]) -> Answer:
    headers = {"content-type": "application/json"}
    return Answer(status, headers, json.dumps(fields).encode())


# Upstreams


class Hold(typing.NamedTuple):
    first: int
    last: int
    fence: int
    until: float


class Upstream:
    """An upstream; `start` begins a new life under the same id."""

    SLOTS = 3
    QUEUE = 12
    WARMUP_SECONDS = 3.0
    has_noise = False

    def __init__(
        self,
        case: Case,
        server_id: str,
        service: str,
        is_sharded: bool,
        work: float = 0.03,
    ) -> None:
        self._case = case
        self.id = server_id
        self.service = service
        self.is_sharded = is_sharded
        self.work = work
        self.address = case.free_address()
        self.is_up = False
        self.is_draining = False
        self.reaches_store = True
        self.born = 0
        self.lives = 0
        self.holds: list[Hold] = []
        self._server = Server(self._handle)
        self._beats: asyncio.Task[None] | None = None

    async def start(self, is_cold: bool = False) -> None:
        self.lives += 1
        self.born = int(time.time() * 1000)
        self.is_draining = False
        self.holds = []
        self._fences: list[tuple[int, int, int]] = []
        self._sequence = 0
        self._accepted = 0
        self._running: list[int] = []
        self._slots = asyncio.Semaphore(self.SLOTS)
        self._warm_at = time.monotonic()
        if is_cold:
            self._warm_at += self.WARMUP_SECONDS
        await self._server.start(self.address)
        self.is_up = True
        self._beats = asyncio.ensure_future(self._beat())
        self._case.record.write(f"{self.id} starts, born {self.born}")

    def stop(self) -> None:
        """End at once, as after a crash: all connections are reset."""
        if not self.is_up:
            return
        self.is_up = False
        self.holds = []
        self._server.stop()
        if self._beats is not None:
            self._beats.cancel()
        self._case.record.write(f"{self.id} ends")

    def holds_key(self, key: int) -> bool:
        now = time.monotonic()
        return any(
            one.first <= key <= one.last and one.until > now
            for one in self.holds
        )

    def entry(self) -> dict[str, typing.Any]:
        left = max(0.0, self._warm_at - time.monotonic())
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "z1",
            "version": "v1",
            "slots": self.SLOTS,
            "state": "draining" if self.is_draining else "ready",
            "warmupLeftMs": int(left * 1000),
            "seq": self._sequence,
            "born": self.born,
        }

    def report(self) -> None:
        """Write the entry, if the store is in reach."""
        self._sequence += 1
        if self.reaches_store:
            self._case.store.beat(self.id, self.entry())

    async def _beat(self) -> None:
        while True:
            self.report()
            await asyncio.sleep(self._case.heartbeat)

    async def _handle(self, request: Request) -> Answer | None:
        target = request.headers.get("x-target-instance")
        if target is not None and target != self.id:
            return self._reject(request, 421)
        if request.path == "/grant":
            return self._grant(json.loads(request.body))
        if request.path == "/release":
            return await self._release(json.loads(request.body))
        if request.path == "/healthz":
            headers = {"X-Upstream-Instance": self.id, **self._load()}
            return Answer(503 if self.is_draining else 200, headers, b"")
        return await self._serve(request)

    def _grant(self, order: dict[str, typing.Any]) -> Answer:
        first, last, fence = order["from"], order["to"], order["fence"]
        highest = self._highest(first, last)
        status = 409 if highest > fence else 200
        self._case.record.write(
            f"{self.id} (life {self.lives}) grant {first}-{last} fence"
            f" {fence} holdMs {order['holdMs']} -> {status}"
        )
        if status == 200:
            self._cut(first, last)
            until = time.monotonic() + order["holdMs"] / 1000
            self.holds.append(Hold(first, last, fence, until))
            self._fences.append((first, last, fence))
        return Answer(status, {}, b"")

    async def _release(self, order: dict[str, typing.Any]) -> Answer:
        first, last, fence = order["from"], order["to"], order["fence"]
        self._cut(first, last)
        self._fences.append((first, last, fence))
        self._case.record.write(
            f"{self.id} (life {self.lives}) release {first}-{last} fence"
            f" {fence}"
        )
        while any(first <= key <= last for key in self._running):
            await asyncio.sleep(0.005)
        handover = f"{random.getrandbits(64):016x}"
        return Answer(200, {"X-Handover": handover}, b"")

    def _highest(self, first: int, last: int) -> int:
        return max(
            (
                fence
                for low, high, fence in self._fences
                if low <= last and first <= high
            ),
            default=0,
        )

    def _cut(self, first: int, last: int) -> None:
        kept = []
        for one in self.holds:
            if one.last < first or one.first > last:
                kept.append(one)
                continue
            if one.first < first:
                kept.append(one._replace(last=first - 1))
            if one.last > last:
                kept.append(one._replace(first=last + 1))
        self.holds = kept

    async def _serve(self, request: Request) -> Answer | None:
        if self._accepted >= self.SLOTS + self.QUEUE:
            return self._reject(request, 503)
        key = int(request.headers.get("x-shard-key", "-1"))
        self._accepted += 1
        try:
            async with self._slots:
                if self.is_sharded and not self.holds_key(key):
                    return self._reject(request, 421)
                return await self._run(request, key)
        finally:
            self._accepted -= 1

    async def _run(self, request: Request, key: int) -> Answer | None:
        name = request.headers["x-request-id"]
        self._case.on_run(self, name, request)
        self._running.append(key)
        try:
            await asyncio.sleep(self.draw_work() * self._slowdown())
            self._case.record.write(f"{self.id} finishes {name}")
        except asyncio.CancelledError:
            self._case.on_dropped(self, name)
            raise
        finally:
            self._running.remove(key)
        headers = {
            "X-Request-Id": name,
            "X-Upstream-Signature": f"sig-{self.id}-{name}",
            **self._load(),
        }
        return Answer(200, headers, f"{self.id} ran {name}".encode())

    def draw_work(self) -> float:
        """Return how long the next request takes, seconds."""
        return self.work

    def _load(self) -> Headers:
        running = len(self._running)
        waiting = max(0, self._accepted - running)
        slowdown = 100 * self._slowdown()
        load = f"{running},{waiting},{self.SLOTS},{slowdown}"
        return {"X-Upstream-Load": load}

    def _slowdown(self) -> int:
        """Return how many times as long work takes on the machine now.

        As in the site files: one 400 ms period in five takes three times as
        long.
        """
        if not self.has_noise:
            return 1
        period = int(time.monotonic() / 0.4)
        return 3 if random.Random(f"{self.id}{period}").random() < 0.2 else 1

    def _reject(self, request: Request, status: int) -> Answer:
        headers = {"X-Not-Executed": "1", "X-Upstream-Instance": self.id}
        if "x-request-id" in request.headers:
            headers["X-Request-Id"] = request.headers["x-request-id"]
        return Answer(status, headers, b"")


# Machines of the system


class Machine:
    """One process of the system, started as the deploy file says."""

    def __init__(self, case: Case, name: str, ip: str) -> None:
        self._case = case
        self.name = name
        self.ip = ip
        self.edge = (ip, free_port(ip))
        self.ready = (ip, free_port(ip))
        self.control = (ip, free_port(ip))
        self._settings = case.folder / f"{name}.toml"
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, seeds: list[str]) -> None:
        self._settings.write_text(self._case.settings(self, seeds))
        names = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in names if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["AGATESTILE_BOOT"] = str(self._settings)
        environment["AGATESTILE_METRICS_PORT"] = "9464"
        output = open(self._case.folder / f"{self.name}.log", "ab")
        with output:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "agatestile.platform",
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def send(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._case.record.write(f"{self.name} gets {number.name}")
            self._process.send_signal(number)

    @property
    def exit_status(self) -> int | None:
        return None if self._process is None else self._process.returncode

    async def wait(self) -> None:
        if self._process is not None:
            await self._process.wait()


def free_port(ip: str) -> int:
    with socket.socket() as probe:
        probe.bind((ip, 0))
        port: int = probe.getsockname()[1]
        return port


class Case:
    """A small deployment with clients, upstreams and a store."""

    heartbeat = 1.5
    upstream_type = Upstream

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.store = Store(self.heartbeat)
        self.store_address = self.free_address()
        self.machines: list[Machine] = []
        self.upstreams: list[Upstream] = []
        self.runs_by_request: dict[str, list[str]] = {}
        self._overlap_since: dict[int, float] = {}
        self._reported_overlaps: set[tuple[str, ...]] = set()
        self._numbers = itertools.count(1)
        self._background: list[asyncio.Task[None]] = []

    def free_address(self) -> tuple[str, int]:
        ip = f"{self._net}.1"
        return ip, free_port(ip)

    def settings(self, machine: Machine, seeds: list[str]) -> str:
        """Return the settings file of a small deployment's machine."""

        def text(address: tuple[str, int]) -> str:
            return f'"{address[0]}:{address[1]}"'

        bounds = [
            "seedLagS=3", "reuseAfterS=2", "contactMs=3000",
            "ackTimeoutMs=4000", "catchUpS=4", "drainMs=2000", "graceS=6",
            "lossSlackMs=200", "configApplyMs=2000", "rollbackSlackMs=250",
            "maxSkewMs=5000", "retryBudgetRatio=0.2", "retryWindowS=10",
            "retryBudgetSlack=60", "warmupOvershoot=1.5", "warmupSlack=5",
            "evacuateMs=5000", "recoverS=15", "holdMaxMs=10000",
            "thawSlackMs=300",
        ]  # fmt: skip
        return "\n".join(
            [
                f'nodeName = "{machine.name}"',
                'role = "router"',
                'machineClass = "edge"',
                'serves = ["edge", "control"]',
                f'ip = "{machine.ip}"',
                'zone = "z1"',
                'region = "r1"',
                f"seeds = {json.dumps(seeds)}",
                "bootstrap = true",
                f"heartbeatMs = {self.heartbeat * 1000:.0f}",
                f"bounds = {json.dumps(bounds)}",
                'grants = "request"',
                "[zones]",
                'z1 = "r1"',
                "[listen]",
                f"edgeAddr = {text(machine.edge)}",
                f"ready = {text(machine.ready)}",
                f"control = {text(machine.control)}",
                "[limits]",
                "cores = 2",
                "memoryMb = 560",
                "maxFds = 8200",
                "linkMbps = 2000.0",
                "[platform]",
                f"address = {text(self.store_address)}",
                'form = "log"',
                "",
            ]
        )

    def manifest(self) -> dict[str, typing.Any]:
        """Return the manifest: a sharded and an unsharded service."""

        def rule(service: str, kind: str, latency: int) -> dict[str, object]:
            return {
                "name": service,
                "routeType": kind,
                "targetLatencyMs": latency,
                "priority": 1,
                "match": {"pathPrefix": f"/{service}/"},
                "action": {
                    "service": service,
                    "timeoutMs": 2500,
                    "maxAttempts": 2,
                },
            }

        def cluster(name: str, is_sharded: bool) -> dict[str, object]:
            return {
                "name": name,
                "healthPath": "/healthz",
                "maxConnections": 120,
                "warmupS": 3,
                "warmupPerS": 10,
                "sharded": is_sharded,
            }

        return {
            "version": "r1",
            "listeners": [
                {
                    "host": "shop.example",
                    "rules": [
                        rule("sheets", "safe", 400),
                        rule("ledger", "unsafe", 400),
                    ],
                }
            ],
            "clusters": [cluster("sheets", True), cluster("ledger", False)],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 1 << 20,
                "headerTimeoutMs": 5000,
                "idleTimeoutMs": 10000,
            },
        }

    async def start(
        self, machines: int = 2, sharded: int = 4, plain: int = 2
    ) -> None:
        """Start everything and wait until requests are served."""
        await self.store.start(self.store_address)
        self.store.put(
            "keyed.op", "config", json.dumps(self.manifest()).encode()
        )
        for number in range(sharded):
            self.add_upstream(f"i-sheets{number}", "sheets", True)
        for number in range(plain):
            self.add_upstream(f"i-ledger{number}", "ledger", False)
        for upstream in self.upstreams:
            await upstream.start()
        self.machines = [
            Machine(self, f"edge-z1-{number}", f"{self._net}.{10 + number}")
            for number in range(machines)
        ]
        for machine in self.machines:
            await machine.start(self.seeds())
        self.background(self._expire())
        self.background(self._watch_holds())
        await self._wait_served()

    def seeds(self) -> list[str]:
        return [f"{one.control[0]}:{one.control[1]}" for one in self.machines][
            :3
        ]

    def add_upstream(
        self, name: str, service: str, is_sharded: bool
    ) -> Upstream:
        upstream = self.upstream_type(self, name, service, is_sharded)
        self.upstreams.append(upstream)
        return upstream

    def sharded(self) -> list[Upstream]:
        return [one for one in self.upstreams if one.is_sharded]

    async def _wait_served(self) -> None:
        until = time.monotonic() + 25.0
        for machine in self.machines:
            for key in (1, 20_000, 40_000, 60_000):
                while True:
                    answer = await self.get(machine, key)
                    if isinstance(answer, Answer) and answer.status == 200:
                        break
                    if time.monotonic() > until:
                        raise NotRun(f"{machine.name} serves no request")
                    await asyncio.sleep(0.2)

    def leader(self) -> Machine | None:
        """Return the machine that holds the partition of the leadership."""
        address = self.store.leader()
        for machine in self.machines:
            if f"{machine.control[0]}:{machine.control[1]}" == address:
                return machine
        return None

    async def get(self, machine: Machine, key: int) -> Answer | str:
        """Send a keyed request, which may be repeated."""
        headers = {"X-Shard-Key": str(key)}
        return await self.request(machine, "GET", "/sheets/1", headers, 2.0)

    async def post(self, machine: Machine) -> Answer | str:
        """Send a request that may not be repeated."""
        return await self.request(machine, "POST", "/ledger/1", {}, 2.5)

    async def request(
        self,
        machine: Machine,
        method: str,
        target: str,
        headers: Headers,
        limit: float,
    ) -> Answer | str:
        _, answer = await self.named_request(
            machine, method, target, headers, limit
        )
        return answer

    async def named_request(
        self,
        machine: Machine,
        method: str,
        target: str,
        headers: Headers,
        limit: float,
    ) -> tuple[str, Answer | str]:
        """Send a request; return its id and the answer."""
        name = f"q{next(self._numbers)}"
        self.record.write(
            f"client sends {method} {target} {name} to {machine.name}"
            f" {headers or ''}"
        )
        answer = await call(
            machine.edge,
            method,
            target,
            {
                "Host": "shop.example",
                "X-Request-Id": name,
                "X-Deadline-Ms": f"{limit * 1000:.0f}",
                **headers,
            },
            b"body" if method == "POST" else b"",
            limit,
        )
        shown = answer if isinstance(answer, str) else answer.status
        self.record.write(f"client gets for {name}: {shown}")
        return name, answer

    def on_run(self, upstream: Upstream, name: str, request: Request) -> None:
        self.runs_by_request.setdefault(name, []).append(upstream.id)
        self.record.write(f"{upstream.id} runs {name}")

    def on_dropped(self, upstream: Upstream, name: str) -> None:
        self.record.write(f"{upstream.id} is at work on {name} and cut off")

    def background(self, work: typing.Coroutine[None, None, None]) -> None:
        """Run something until the case ends."""
        self._background.append(asyncio.ensure_future(work))

    def start_load(self, per_second: float) -> None:
        """Send keyed requests to all machines in turn."""
        self.background(self._load(per_second))

    async def _load(self, per_second: float) -> None:
        sent: set[asyncio.Task[Answer | str]] = set()
        for number in itertools.count():
            machine = self.machines[number % len(self.machines)]
            task = asyncio.ensure_future(
                self.get(machine, random.randrange(65536))
            )
            sent.add(task)
            task.add_done_callback(sent.discard)
            await asyncio.sleep(random.expovariate(per_second))

    async def _expire(self) -> None:
        while True:
            self.store.expire()
            await asyncio.sleep(0.1)

    async def _watch_holds(self) -> None:
        """Check that no two upstreams hold a key for over half a second."""
        while True:
            now = time.monotonic()
            for key in SAMPLE_KEYS:
                holders = [
                    one
                    for one in self.sharded()
                    if one.is_up and one.holds_key(key)
                ]
                if len(holders) < 2:
                    self._overlap_since.pop(key, None)
                    continue
                since = self._overlap_since.setdefault(key, now)
                names = tuple(one.id for one in holders)
                if now - since > OVERLAP_BOUND:
                    if names not in self._reported_overlaps:
                        self._reported_overlaps.add(names)
                        self.record.violation(
                            f"OWNER: {' and '.join(names)} have both held key"
                            f" {key} for {now - since:.2f} s"
                        )
            await asyncio.sleep(SAMPLE_SECONDS)

    async def stop(self) -> None:
        for task in self._background:
            task.cancel()
        for machine in self.machines:
            if machine.exit_status is None:
                machine.send(signal.SIGCONT)
                machine.send(signal.SIGKILL)
                await machine.wait()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.stop()
        if os.environ.get("KEEP"):
            print(f"logs kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


Scenario = typing.Callable[[Case, bool], typing.Awaitable[None]]


def main(
    script: str, scenario: Scenario, case_type: type[Case] = Case
) -> None:
    """Run a scenario and exit with its result."""
    has_trouble = os.environ.get("TROUBLE") != "0"

    async def run() -> int:
        case = case_type(pathlib.Path(script).resolve().parent)
        case.record.write(f"TROUBLE={int(has_trouble)}")
        try:
            async with asyncio.timeout(110.0):
                await scenario(case, has_trouble)
        except (NotRun, TimeoutError, OSError) as error:
            case.record.write(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return EXIT_NOT_RUN
        finally:
            await case.stop()
        for line in case.record.broken:
            print(line)
        print("broken" if case.record.broken else "held")
        return EXIT_BROKEN if case.record.broken else EXIT_HELD

    sys.exit(asyncio.run(run()))
