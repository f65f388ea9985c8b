"""A host's beliefs, and servers on loopback that tests script."""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing

from agatestile.assignment import ranges
from agatestile.catalog import configuration
from agatestile.catalog import directory
from agatestile.entry import fleet as fleet_module
from agatestile.entry import handler as handler_module
from agatestile.entry import picker as picker_module
from agatestile.entry import view as view_module
from agatestile.node import settings as node_settings
from agatestile.observability import counters
from agatestile.platform import headers
from agatestile.transport import client
from agatestile.transport import messages

KIND = configuration.RouteKind
BOUNDS = node_settings.Bounds(retry_slack=62.0, cold_ratio=1.5, cold_slack=5.0)


class Arrival(typing.NamedTuple):
    """A request as a server received it."""

    server_id: str
    head: bytes
    body: bytes


Script = typing.Callable[[Arrival], typing.Awaitable[bytes | None]]


def answer(
    arrival: Arrival,
    status: int = 200,
    body: bytes = b"ok",
    extra: bytes = b"",
) -> bytes:
    """Return a server's signed answer to an arrival."""
    request_id = value(arrival.head, b"x-request-id")
    return (
        b"HTTP/1.1 %d x\r\nx-request-id: %b\r\nx-upstream-signature: s\r\n"
        b"%bcontent-length: %d\r\n\r\n%b"
        % (status, request_id, extra, len(body), body)
    )


def shed(arrival: Arrival) -> bytes:
    """Return a refusal that says that the request did not run."""
    return answer(arrival, 503, b"", b"x-not-executed: 1\r\n")


def value(head: bytes, name: bytes) -> bytes:
    """Return the value of a header."""
    for line in head.split(b"\r\n"):
        known, _, found = line.partition(b": ")
        if known.lower() == name:
            return found
    return b""


class Waiter:
    """News of assignments that a test triggers."""

    def __init__(self) -> None:
        self.changed = asyncio.Event()

    async def wait_changed(self, timeout: float) -> bool:
        try:
            async with asyncio.timeout(timeout):
                await self.changed.wait()
        except TimeoutError:
            return False
        return True

    def count(self, service: str, key: int) -> None:
        pass


class Scene:
    """A handler with scripted servers."""

    def __init__(self) -> None:
        now = asyncio.get_running_loop().time
        self.now = now
        self.fleet = fleet_module.Fleet(BOUNDS, "anna", now)
        self.view = view_module.AssignmentView()
        self.waiter = Waiter()
        self.arrivals: list[Arrival] = []
        self.fleet.host_count = 1
        self._stack = contextlib.AsyncExitStack()
        self.handler = handler_module.Handler(
            self.fleet,
            picker_module.Picker(self.fleet, self.view, random.Random(1)),
            self.waiter,
            client.Pool(now, headers.REQUEST_ID),
            headers.PlatformHeaders(),
            now,
            counters.Registry(),
        )

    def configure(
        self,
        kind: configuration.RouteKind = KIND.SAFE,
        attempts: int = 2,
        timeout: float = 1.0,
        partitioned: bool = False,
    ) -> None:
        """Set a configuration with one route to one service."""
        route = configuration.Route(
            "r",
            kind,
            (configuration.Target("prices", 1.0),),
            timeout,
            0.4,
            attempts,
            0,
        )
        service = configuration.Service(
            "prices", "/healthz", 10, 3.0, 5.0, partitioned
        )
        self.fleet.configuration = configuration.Configuration(
            1,
            {"a.example": {"/x/": route}},
            {"prices": service},
            configuration.CallerLimits(),
        )

    async def add_server(
        self, name: str, script: Script, load: bytes = b""
    ) -> None:
        """Start a server that answers as its script says.

        Parameters
        ----------
        name : str
            Its identifier.
        script : callable
            Returns the bytes of an answer, None to close the connection.
        load : bytes, optional
            Header lines of its answers to probes.
        """

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError
            ):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    length = int(value(head, b"content-length") or 0)
                    body = await reader.readexactly(length)
                    arrival = Arrival(name, head, body)
                    self.arrivals.append(arrival)
                    is_probe = b"/healthz" in head
                    if is_probe:
                        data: bytes | None = answer(arrival, extra=load)
                    else:
                        data = await script(arrival)
                    if data is None:
                        break
                    writer.write(data)
            writer.close()

        listening = await asyncio.start_server(serve, "127.0.0.1", 0)
        await self._stack.enter_async_context(listening)
        self.put(name, listening.sockets[0].getsockname())

    def put(
        self, name: str, address: tuple[str, int], **changes: object
    ) -> None:
        """Register a server."""
        entry = directory.ServerEntry(
            name, 1, 1, "prices", address, "anna", 2, False, 0.0
        )
        self.fleet.directory.put(entry._replace(**changes), self.now())

    def assign(self, owner: str, moving_from: str = "") -> None:
        """Give all keys to a server."""
        source = ranges.UNOWNED
        if moving_from:
            source = ranges.Owner(moving_from, 1, 1)
        key_range = ranges.KeyRange(
            0, 65535, ranges.Owner(owner, 1, 2), source
        )
        key_map = ranges.RangeMap([key_range])
        self.view.update(
            1, self.view.version + 1, {"prices": key_map}, self.now()
        )
        self.waiter.changed.set()
        self.waiter.changed = asyncio.Event()

    def work(self) -> list[Arrival]:
        """Return the arrivals that are no probes."""
        return [one for one in self.arrivals if b"/healthz" not in one.head]

    async def ask(
        self,
        method: bytes = b"GET",
        body: bytes = b"",
        deadline_ms: int = 1000,
        key: int | None = None,
        target: bytes = b"/x/1",
    ) -> messages.Response:
        """Return the answer to a request."""
        fields = [
            (b"host", b"a.example"),
            (b"x-request-id", b"id-1"),
            (b"x-deadline-ms", b"%d" % deadline_ms),
        ]
        if key is not None:
            fields.append((b"x-shard-key", b"%d" % key))
        return await self.handler.handle(
            messages.Request(method, target, fields, body)
        )

    async def close(self) -> None:
        """Stop the servers."""
        await self._stack.aclose()


@contextlib.asynccontextmanager
async def scene() -> typing.AsyncIterator[Scene]:
    """Return a scene that is closed at the end."""
    made = Scene()
    try:
        yield made
    finally:
        await made.close()
