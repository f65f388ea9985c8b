"""Request handler with scripted servers on the loopback interface."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import random
import typing

from agatestile.assignment import ranges
from agatestile.catalog import configuration
from agatestile.catalog import directory
from agatestile.catalog import tenants as tenants_module
from agatestile.entry import fleet as fleet_module
from agatestile.entry import handler as handler_module
from agatestile.entry import picker as picker_module
from agatestile.entry import view as view_module
from agatestile.node import settings as node_settings
from agatestile.observability import counters
from agatestile.observability import events
from agatestile.platform import headers
from agatestile.transport import client
from agatestile.transport import messages
from tests.transport import support as transport_support

KIND = configuration.RouteKind
BOUNDS = node_settings.Bounds(retry_slack=62.0, cold_ratio=1.5, cold_slack=5.0)


class ReceivedRequest(typing.NamedTuple):
    """A request as a server received it."""

    server_id: str
    head: bytes
    body: bytes


Responder = typing.Callable[[ReceivedRequest], typing.Awaitable[bytes | None]]


def signed_response(
    received: ReceivedRequest,
    status: int = 200,
    body: bytes = b"ok",
    extra: bytes = b"",
) -> bytes:
    """Return a signed response to a received request."""
    request_id = header_value(received.head, b"x-request-id")
    return (
        b"HTTP/1.1 %d x\r\nx-request-id: %b\r\nx-upstream-signature: s\r\n"
        b"%bcontent-length: %d\r\n\r\n%b"
        % (status, request_id, extra, len(body), body)
    )


def shed_response(received: ReceivedRequest) -> bytes:
    """Return a rejection which states that the request did not run."""
    return signed_response(received, 503, b"", b"x-not-executed: 1\r\n")


def header_value(head: bytes, name: bytes) -> bytes:
    """Return the value of a header."""
    for line in head.split(b"\r\n"):
        known, _, found = line.partition(b": ")
        if known.lower() == name:
            return found
    return b""


class FakeAssignments:
    """Source of new assignments that a test triggers."""

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


@contextlib.contextmanager
def recorded_events() -> typing.Iterator[list[dict[str, typing.Any]]]:
    """Return the events of a block; they are there when it has ended."""
    lines: list[dict[str, typing.Any]] = []
    reader, writer = os.pipe()
    events.configure(events.EventLog(writer, "host-1"))
    try:
        yield lines
        events.flush()
    finally:
        events.configure(None)
        os.close(writer)
    with open(reader, "rb") as written:
        lines += [json.loads(line) for line in written]


class HandlerHarness:
    """A handler of one host with scripted servers."""

    def __init__(self) -> None:
        now = asyncio.get_running_loop().time
        self.now = now
        self.boot_time_offset = 0.0

        def boot_time() -> float:
            return now() + self.boot_time_offset

        self.fleet = fleet_module.Fleet(BOUNDS, "anna", now, boot_time)
        self.view = view_module.AssignmentView()
        self.assignments = FakeAssignments()
        self.received_requests: list[ReceivedRequest] = []
        self.fleet.host_count, self.fleet.host_rank = 1, 0
        self.configuration_confirmed_at = math.inf
        self._stack = contextlib.AsyncExitStack()
        self.handler = handler_module.Handler(
            self.fleet,
            picker_module.Picker(self.fleet, self.view, random.Random(1)),
            self.assignments,
            client.Pool(now, headers.REQUEST_ID),
            headers.PlatformHeaders(),
            now,
            counters.Registry(),
            lambda: self.configuration_confirmed_at,
            boot_time,
        )

    def configure(
        self,
        kind: configuration.RouteKind = KIND.SAFE,
        attempts: int = 2,
        timeout: float = 1.0,
        partitioned: bool = False,
        tenants: tenants_module.Tenants | None = None,
        public: bool = False,
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
            public,
        )
        service = configuration.Service(
            "prices", "/healthz", 10, 3.0, 5.0, partitioned
        )
        self.fleet.configuration = configuration.Configuration(
            1,
            {"a.example": {"/x/": route}},
            {"prices": service},
            configuration.CallerLimits(),
            tenants,
        )

    async def add_server(
        self, name: str, responder: Responder, load: bytes = b""
    ) -> None:
        """Start a scripted server.

        Parameters
        ----------
        name : str
            Identifier of the server.
        responder : callable
            Returns the bytes of a response, None to close the connection.
        load : bytes, optional
            Header lines of the responses to probes.
        """

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError
            ):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    length = int(header_value(head, b"content-length") or 0)
                    body = await reader.readexactly(length)
                    received = ReceivedRequest(name, head, body)
                    self.received_requests.append(received)
                    is_probe = b"/healthz" in head
                    if is_probe:
                        response: bytes | None = signed_response(
                            received, extra=load
                        )
                    else:
                        response = await responder(received)
                    if response is None:
                        break
                    writer.write(response)
            writer.close()

        address = await self._stack.enter_async_context(
            transport_support.serving(serve)
        )
        self.add_to_directory(name, address)

    def add_to_directory(
        self, name: str, address: tuple[str, int], **changes: object
    ) -> None:
        """Add a server to the directory."""
        entry = directory.ServerEntry(
            name, 1, 1, "prices", address, "anna", 2, False, 0.0
        )
        self.fleet.directory.put(entry._replace(**changes), self.now())

    def assign(self, owner: str, moving_from: str = "") -> None:
        """Assign all keys to a server."""
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
        self.assignments.changed.set()
        self.assignments.changed = asyncio.Event()

    def non_probe_requests(self) -> list[ReceivedRequest]:
        """Return the received requests that are not load probes."""
        return [
            one
            for one in self.received_requests
            if b"/healthz" not in one.head
        ]

    async def send(
        self,
        method: bytes = b"GET",
        body: bytes = b"",
        deadline_ms: int = 1000,
        key: int | None = None,
        target: bytes = b"/x/1",
        request_id: bytes = b"id-1",
        extra: messages.Headers | None = None,
    ) -> messages.Response:
        """Send a request of a caller and return its response."""
        fields = [
            (b"host", b"a.example"),
            (b"x-deadline-ms", b"%d" % deadline_ms),
        ]
        if request_id:
            fields.append((b"x-request-id", request_id))
        if key is not None:
            fields.append((b"x-shard-key", b"%d" % key))
        fields += extra or []
        return await self.handler.handle(
            messages.Request(method, target, fields, body)
        )

    async def close(self) -> None:
        """Stop the servers."""
        await self._stack.aclose()


@contextlib.asynccontextmanager
async def handler_harness() -> typing.AsyncIterator[HandlerHarness]:
    """Return a harness whose servers are stopped at the end."""
    harness = HandlerHarness()
    try:
        yield harness
    finally:
        await harness.close()
