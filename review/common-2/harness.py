"""Stand-ins and helpers of the cases 6 to 10; standard library only.

The store and the upstreams run in the process of the script. The daemons run
as separate processes with the command of the deploy file. All addresses are
loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import random
import resource
import signal
import socket
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = (
    "seedLagS=3",
    "reuseAfterS=2",
    "contactMs=3000",
    "ackTimeoutMs=4000",
    "catchUpS=4",
    "drainMs=2000",
    "graceS=6",
    "lossSlackMs=200",
    "configApplyMs=2000",
    "rollbackSlackMs=250",
    "maxSkewMs=5000",
    "retryBudgetRatio=0.2",
    "retryWindowS=10",
    "retryBudgetSlack=60",
    "warmupOvershoot=1.5",
    "warmupSlack=5",
    "evacuateMs=5000",
    "recoverS=15",
    "holdMaxMs=10000",
    "thawSlackMs=300",
)
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: str) -> None:
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - self._start:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


LISTENING_PORTS = range(12_000, 32_000)
_ports = random.SystemRandom()
_given_ports: set[int] = set()


def free_port() -> int:
    """Return a free loopback port below those of outgoing connections."""
    while True:
        port = _ports.choice(LISTENING_PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


class Message(typing.NamedTuple):
    """A request or a response."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    return Message(start, headers, b"")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a complete message with a length or in chunks."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        if head.headers.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                if not size:
                    await reader.readline()
                    break
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        else:
            length = int(head.headers.get("content-length", "0"))
            body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return head._replace(body=body)


def encode(
    status: int,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    reason: str = "Status",
) -> bytes:
    """Encode a response with a length."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class _Topic:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.changed = asyncio.Event()

    def append(self, records: list[bytes]) -> None:
        self.records += records
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store: keyed topics, conditional appends and groups.

    `turned_away` holds ports of listeners that answer nothing: a daemon that
    has such a listener as its store is turned away.
    """

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}
        self._groups: dict[str, dict[str, float]] = {}
        self._generation = 0
        self.servers: list[asyncio.Server] = []
        self.turned_away: dict[int, str] = {}
        self.port = 0

    async def start(self, count: int = 1) -> list[int]:
        """Listen on some ports, one for each daemon."""
        ports = []
        for _ in range(count):
            port = free_port()
            self.servers.append(
                await asyncio.start_server(
                    lambda r, w, port=port: self._serve(r, w, port),
                    "127.0.0.1",
                    port,
                )
            )
            ports.append(port)
        self.port = ports[0]
        return ports

    def topic(self, name: str) -> _Topic:
        """Return a topic, which is created on first use."""
        return self._topics.setdefault(name, _Topic())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record, as the operator and the upstreams do."""
        name = key.encode()
        self.topic(topic).append([bytes((len(name),)) + name + value])

    def put_json(self, topic: str, key: str, value: object) -> None:
        """Append a record in JSON."""
        self.put(topic, key, json.dumps(value).encode())

    def leader(self) -> str:
        """Return the member of the daemons' group that leads, if any."""
        now = time.monotonic()
        for group in self._groups.values():
            for member, (deadline, _) in group.items():
                if deadline > now:
                    return member
        return ""

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        port: int,
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                how = self.turned_away.get(port)
                if how == "silent":
                    await asyncio.sleep(60)
                    break
                if how == "busy":
                    writer.write(encode(503))
                    continue
                answer = await self._answer(request)
                if self.turned_away.get(port) == "silent":
                    await asyncio.sleep(60)
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        name = url.path.strip("/").replace("-", "_")
        handler = getattr(self, f"_{name}", None)
        if handler is None:
            return encode(404)
        return await handler(query, request.body)

    async def _log_append(self, query: dict[str, str], body: bytes) -> bytes:
        topic = self.topic(query["topic"])
        if "asOf" in query and int(query["asOf"]) != len(topic.records):
            return _json(412, {"end": len(topic.records)})
        records, position = [], 0
        while position < len(body):
            length = int.from_bytes(body[position : position + 4], "big")
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        offset = len(topic.records)
        topic.append(records)
        await asyncio.sleep(0.001)
        return _json(200, {"offset": offset, "end": len(topic.records)})

    async def _log_read(self, query: dict[str, str], body: bytes) -> bytes:
        topic = self.topic(query["topic"])
        start = int(query["from"])
        wait = int(query.get("waitMs", "0")) / 1000.0
        if start >= len(topic.records) and wait:
            try:
                await asyncio.wait_for(topic.changed.wait(), wait)
            except TimeoutError:
                pass
        left = int(query.get("maxKb", "1024")) * 1024
        parts = [len(topic.records).to_bytes(8, "big"), bytes(8)]
        for record in topic.records[start:]:
            if len(record) > left and len(parts) > 2:
                break
            left -= len(record)
            parts += [len(record).to_bytes(4, "big"), record]
        return encode(200, {}, b"".join(parts))

    async def _log_newest(self, query: dict[str, str], body: bytes) -> bytes:
        topic = self.topic(query["topic"])
        newest = {}
        for offset, record in enumerate(topic.records):
            end = 1 + (record[0] if record else 0)
            newest[record[1:end].decode("utf-8", "backslashreplace")] = (
                offset,
                record[end:],
            )
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
            200,
            {"items": items, "hasMore": False, "end": len(topic.records)},
        )

    def _group(self, name: str) -> dict[str, tuple[float, str]]:
        group = self._groups.setdefault(name, {})
        now = time.monotonic()
        for member in [one for one, (end, _) in group.items() if end < now]:
            del group[member]
            self._generation += 1
        return group

    async def _log_join(self, query: dict[str, str], body: bytes) -> bytes:
        fields = json.loads(body)
        group = self._group(fields["group"])
        if fields["member"] not in group:
            self._generation += 1
        end = time.monotonic() + fields["ttlMs"] / 1000.0
        group[fields["member"]] = (end, fields["topics"][0])
        parts = []
        if next(iter(group)) == fields["member"]:
            parts = [[fields["topics"][0], 0, 0]]
        return _json(200, {"generation": self._generation, "parts": parts})

    async def _log_leave(self, query: dict[str, str], body: bytes) -> bytes:
        fields = json.loads(body)
        if self._group(fields["group"]).pop(fields["member"], None):
            self._generation += 1
        return _json(200, {})

    async def _log_owners(self, query: dict[str, str], body: bytes) -> bytes:
        group = self._group(query["group"])
        rows = []
        for member, (_, topic) in group.items():
            rows.append([topic, 0, member, 0])
            break
        return _json(200, {"rows": rows})


def _json(status: int, fields: object) -> bytes:
    headers = {"Content-Type": "application/json"}
    return encode(status, headers, json.dumps(fields).encode())


class Upstream:
    """A sound upstream of one service.

    Parameters
    ----------
    name, service : str
        Its id, and its service.
    record : Record
        Gets a line for each request that it runs.
    work : float
        Seconds that a request takes.
    """

    heartbeat = 0.5

    def __init__(
        self,
        name: str,
        service: str,
        record: Record,
        work: float = 0.02,
        slots: int = 3,
        zone: str = "z1",
    ) -> None:
        self.id = name
        self.service = service
        self.record = record
        self.work = work
        self.slots = slots
        self.zone = zone
        self.state = "ready"
        self.port = free_port()
        self.runs: list[str] = []
        self.running = 0
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._tasks: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, store: Store) -> None:
        """Listen, and report to the store."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=2**20
        )
        self._tasks.append(asyncio.create_task(self._beat(store)))

    async def stop(self) -> None:
        """Stop, as after a crash."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def beat(self, store: Store) -> None:
        """Report to the store once."""
        self._sequence += 1
        store.put_json(
            "keyed.servers",
            self.id,
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "warmupLeftMs": 0,
                "seq": self._sequence,
                "born": self._born,
            },
        )

    async def _beat(self, store: Store) -> None:
        while True:
            self.beat(store)
            await asyncio.sleep(self.heartbeat)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self.handle(request, reader, writer)
                if writer.is_closing():
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a request."""
        target = request.headers.get("x-target-instance")
        if target is not None and target != self.id:
            writer.write(self.answer(request, 421))
        elif request.target == "/healthz":
            writer.write(encode(200, {"X-Upstream-Instance": self.id}))
        else:
            await self.serve(request, reader, writer)
        await writer.drain()

    def run(self, request: Message) -> str:
        """Note that a request runs; return its id."""
        request_id = request.headers.get("x-request-id", "")
        self.runs.append(request_id)
        self.record(f"upstream {self.id} runs {request_id}")
        return request_id

    async def serve(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request and answer it."""
        request_id = self.run(request)
        self.running += 1
        try:
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        writer.write(self.answer(request, 200, request_id.encode()))

    def answer(
        self,
        request: Message,
        status: int,
        body: bytes = b"",
        extra: dict[str, str] | None = None,
    ) -> bytes:
        """Encode a response that echoes the id of its request."""
        headers = {
            "X-Request-Id": request.headers.get("x-request-id", ""),
            "X-Upstream-Load": f"{self.running},0,{self.slots},100",
        }
        if status == 421:
            headers["X-Not-Executed"] = "1"
        else:
            headers["X-Upstream-Signature"] = f"{self.id}.{len(body)}"
        return encode(status, headers | (extra or {}), body)


class Daemon:
    """A daemon that runs as a process, with the command of the deploy file."""

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store_port: int,
        bounds: typing.Sequence[str] = BOUNDS,
        memory_mb: int = 430,
        descriptors: int = 6150,
        zone: str = "z1",
    ) -> None:
        self.name = name
        self.callers, self.ready, self.control = (
            free_port() for _ in range(3)
        )
        self.metrics = free_port()
        self._store_port = store_port
        self._bounds = bounds
        self._memory_mb = memory_mb
        self._descriptors = descriptors
        self._zone = zone
        self._folder = folder
        self.path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    def configure(self, seeds: typing.Sequence[str]) -> None:
        """Write the settings file."""
        ip = "127.0.0.1"
        self.path.write_text(
            f'nodeName = "{self.name}"\nrole = "router"\n'
            f'machineClass = "edge"\nserves = ["edge", "control"]\n'
            f'ip = "{ip}"\nzone = "{self._zone}"\nregion = "r"\n'
            f"seeds = {json.dumps(list(seeds))}\nbootstrap = true\n"
            f"heartbeatMs = 500\nbounds = {json.dumps(list(self._bounds))}\n"
            f'[zones]\n{self._zone} = "r"\n'
            f'[listen]\nedgeAddr = "{ip}:{self.callers}"\n'
            f'ready = "{ip}:{self.ready}"\ncontrol = "{ip}:{self.control}"\n'
            f"[limits]\nmemoryMb = {self._memory_mb}\n"
            f"maxFds = {self._descriptors}\nlinkMbps = 1500.0\n"
            f'[platform]\naddress = "{ip}:{self._store_port}"\nform = "log"\n'
        )

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        kept = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["AGATESTILE_BOOT"] = str(self.path)
        environment["AGATESTILE_METRICS_PORT"] = str(self.metrics)
        with self.log_path.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["router"]["run"].split(" "),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env=environment,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.is_running:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask the daemon whether it is ready."""
        answer = await send(self.ready, "GET", "/readyz", timeout=1.0)
        return answer is not None and answer.status == 200

    async def wait_ready(self, seconds: float = 15.0) -> None:
        """Wait until the daemon is ready."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} isn't ready after {seconds:g} s")

    def events(self, *kinds: str) -> list[dict[str, typing.Any]]:
        """Return the lines of its log of some kinds."""
        found = []
        for line in self.log_path.read_bytes().splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if event.get("event") in kinds:
                found.append(event)
        return found

    async def kill(self) -> None:
        """End the process."""
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


def resident_bytes(daemon: Daemon) -> int:
    """Return the resident memory of a daemon's process, 0 without one."""
    if not daemon.is_running:
        return 0
    try:
        status = pathlib.Path(f"/proc/{daemon.process.pid}/status")
        for line in status.read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    except OSError:
        pass
    return 0


class MemoryWatch:
    """Ends processes above their memory and starts them again.

    So does the platform: "A process that exceeds `memoryMb` is killed", and
    one that ends "is restarted after a short delay". Only resident memory is
    counted, and a megabyte has 2**20 bytes here.
    """

    RESTART_SECONDS = 1.0

    def __init__(
        self, daemons: list[Daemon], memory_mb: int, record: Record
    ) -> None:
        self.ends = {daemon.name: 0 for daemon in daemons}
        self.peaks = {daemon.name: 0 for daemon in daemons}
        self._limit = memory_mb * 2**20
        self._record = record
        self._tasks = [
            asyncio.create_task(self._watch(daemon)) for daemon in daemons
        ]

    async def _watch(self, daemon: Daemon) -> None:
        while True:
            await asyncio.sleep(0.02)
            size = resident_bytes(daemon)
            self.peaks[daemon.name] = max(self.peaks[daemon.name], size)
            if size <= self._limit and daemon.is_running:
                continue
            self.ends[daemon.name] += 1
            self._record(
                f"{daemon.name} ends with {size / 2**20:.0f} MiB resident"
            )
            await daemon.kill()
            await asyncio.sleep(self.RESTART_SECONDS)
            await daemon.start()

    async def stop(self) -> None:
        """Watch no longer."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def head(
    method: str,
    target: str,
    request_id: str = "",
    headers: dict[str, str] | None = None,
    deadline_ms: int = 2500,
    host: str = "shop.example",
) -> bytes:
    """Encode the head of a client's request, up to the empty line."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    if request_id:
        lines.append(f"X-Request-Id: {request_id}")
        lines.append(f"X-Deadline-Ms: {deadline_ms}")
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def send(
    port: int,
    method: str,
    target: str,
    request_id: str = "",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = 4.0,
    deadline_ms: int = 2500,
) -> Message | None:
    """Send a request on a new connection; None without a whole answer."""
    added = dict(headers or {})
    if body or method == "POST":
        added["Content-Length"] = str(len(body))
    raw = head(method, target, request_id, added, deadline_ms) + body
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(raw)
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


def cluster(name: str, **fields: object) -> dict[str, object]:
    """Return a service of a manifest."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 120,
        "protocol": "h1",
        "tls": False,
        "warmupS": 3.0,
        "warmupPerS": 10.0,
        **fields,
    }


def rule(
    prefix: str,
    service: str,
    kind: str,
    timeout_ms: int = 2500,
    attempts: int = 2,
    target_ms: int = 400,
) -> dict[str, object]:
    """Return a route of a manifest."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "routeType": kind,
        "targetLatencyMs": target_ms,
        "priority": 1,
        "match": {"pathPrefix": prefix},
        "action": {
            "service": service,
            "timeoutMs": timeout_ms,
            "maxAttempts": attempts,
        },
    }


def manifest(
    version: int,
    rules: list[dict[str, object]],
    clusters: list[dict[str, object]],
    limits: dict[str, int] = LIMITS,
) -> dict[str, object]:
    """Return a manifest with one host."""
    return {
        "version": f"r{version}",
        "limits": limits,
        "listeners": [{"host": "shop.example", "rules": rules}],
        "clusters": clusters,
    }


def main(
    case: typing.Callable[
        [Record, pathlib.Path, bool], typing.Coroutine[None, None, bool]
    ],
    folder: str,
) -> None:
    """Run a case; exit with 0 if the rule held, 1 if not, 2 if it can't run.

    The case gets the record, a temporary folder and whether to disrupt, and
    returns whether the rule held.
    """
    # Crowds of callers need more descriptors than the usual soft limit.
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    disrupts = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = asyncio.run(
                asyncio.wait_for(
                    case(record, pathlib.Path(temporary), disrupts), 115
                )
            )
        except (CannotRun, TimeoutError, OSError) as error:
            record(f"the case could not run: {error!r}")
            sys.exit(2)
    record("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
