"""Runs a gateway between a caller and a server that a test controls."""

from __future__ import annotations

import asyncio
import contextlib
import json
import typing

import anyio

from agatestile.gateway import application as gateway_application
from agatestile.gateway import listener
from agatestile.gateway import options
from agatestile.observability import invariants
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.routing import router
from agatestile.routing import views
from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.state import cluster
from agatestile.state import records
from tests.transport import support as transport_support

if typing.TYPE_CHECKING:
    import collections.abc

END_POSITION = 1 << 62
OK_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class Permit(typing.NamedTuple):
    """Permission to send to the server."""

    server: str
    fence: str
    expires: float
    running: int = 0
    warm_incarnation: str = ""


class Permits:
    """Leases that a test grants and withdraws."""

    def __init__(self, server: str) -> None:
        self.server = server
        self.fence = "1.1.1.a"
        self.has_lapsed = False
        self.in_use = 0
        self.running_before = 0
        self.warm_incarnation = ""

    def enter(
        self, server: str, position: int, now: float
    ) -> Permit | outcomes.Refusal:
        permit = self.check(Permit(server, self.fence, now + 1.6), now)
        if isinstance(permit, Permit):
            self.in_use += 1
        return permit

    def check(
        self, permit: typing.Any, now: float
    ) -> Permit | outcomes.Refusal:
        if permit.server != self.server:
            return outcomes.Refusal(codes.ResultCode.NOT_GATE, "not gate")
        if self.has_lapsed:
            return outcomes.Refusal(codes.ResultCode.LEASE_LAPSED, "lapsed")
        return Permit(
            permit.server,
            self.fence,
            now + 1.6,
            self.running_before,
            self.warm_incarnation,
        )

    def leave(self, permit: typing.Any) -> None:
        self.in_use -= 1


class Request(typing.NamedTuple):
    """Request as the server received it."""

    line: str
    headers: dict[str, str]
    connection: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def body(self) -> bytes:
        length = int(self.headers.get("content-length", "0"))
        return await self.reader.readexactly(length)

    async def respond(self, data: bytes = OK_RESPONSE) -> None:
        self.writer.write(data)
        await self.writer.drain()


Handler = typing.Callable[[Request], typing.Awaitable[None]]


class Server:
    """Backend server whose responses are sent by a handler of the test."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.address = ""
        self.requests: list[Request] = []
        self.connections = 0
        self.running = self.max_running = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        connection_number = self.connections
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                line, *lines = head.decode().split("\r\n")
                header_lines = [text.split(": ", 1) for text in lines if text]
                headers = {name.lower(): value for name, value in header_lines}
                request = Request(
                    line, headers, connection_number, reader, writer
                )
                self.requests.append(request)
                self.running += 1
                self.max_running = max(self.max_running, self.running)
                try:
                    await self.handler(request)
                finally:
                    self.running -= 1
        writer.close()


class Response(typing.NamedTuple):
    """Response that a caller received until the connection was closed."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool

    @property
    def code(self) -> int:
        return int(self.headers["x-agatestile-code"])

    @property
    def run_state(self) -> str:
        run_state = self.headers["x-agatestile-run"]
        if self.code:
            assert json.loads(self.body)["run"] == run_state
        return run_state


class RunningGateway(typing.NamedTuple):
    """Gateway in front of one server, and what a test needs of both."""

    application: gateway_application.Application
    callers_address: str
    forward_address: str
    server: Server
    permits: Permits
    checks: invariants.Invariants
    tasks: anyio.abc.TaskGroup
    listeners: list[listener.Listener]

    async def send_request(
        self,
        target: str = "/prices/k",
        method: str = "GET",
        body: bytes = b"",
        **headers: str,
    ) -> Response:
        return await send_request(
            self.callers_address, target, method, body, **headers
        )

    def skip_cold_start(self) -> None:
        """Skip the slow start, which has its own tests."""
        gate = self.application.gates._get_gate("p1", None)
        assert gate is not None
        gate._fence = self.permits.fence
        gate._client.fence = gate._fence.encode()


def build_state(address: str, **columns: typing.Any) -> cluster.ClusterState:
    """Return a state in which server p1 owns all keys of prices."""
    service = {
        "timeout_ms": 3000,
        "queue": 2,
        "queue_ms": 2000,
        "body_limit": 50_000_000,
        **columns,
    }
    slots = service.pop("slots", 2)
    rows = (
        records.TableRow(kind="service", service="prices", **service),
        records.TableRow(
            kind="server",
            service="prices",
            server="p1",
            domain="radom",
            address=address,
            slots=slots,
            connections=130,
        ),
    )
    term = records.Term(0, 1, "a")
    change = records.RangeChange("prices", 0, END_POSITION, (0,), "p1")
    state = cluster.ClusterState()
    state.apply(0, records.TableChange("1", "o", -1, rows))
    state.apply(1, records.Lead("2", "radom", term))
    state.apply(2, records.Assign("3", "radom", term, (change,)))
    return state


def build_views(host: str, forward_address: str) -> views.RouteViews:
    """Return views in which a host is the gate of p1."""
    route_views = views.RouteViews()
    gate = ttypes.GateAddress("p1", host, forward_address)
    route_views.update(
        ttypes.RouteView("radom", ttypes.Term(0, 1, "a"), 1, [gate], [])
    )
    return route_views


@contextlib.asynccontextmanager
async def running_gateway(
    handler: Handler,
    request_options: options.Options | None = None,
    **columns: typing.Any,
) -> collections.abc.AsyncIterator[RunningGateway]:
    """Run a gateway that is the gate of a server with a handler."""
    server = Server(handler)
    async with transport_support.serving(server.serve) as address:
        server.address = f"{address[0]}:{address[1]}"
        permits, checks = Permits("p1"), invariants.Invariants()
        state = build_state(server.address, **columns)
        application = gateway_application.Application(
            "h1",
            state,
            router.Router(state, build_views("h1", "127.0.0.1:1")),
            permits,
            checks,
            request_options,
        )
        listener_options = request_options or options.Options()
        listeners = [
            listener.Listener(
                asgi_application, "127.0.0.1:0", listener_options
            )
            for asgi_application in (
                application.serve_callers,
                application.serve_forwarded,
            )
        ]
        async with anyio.create_task_group() as tasks:
            for runner in (
                *[running_listener.run for running_listener in listeners],
                application.run,
            ):
                await tasks.start(runner)
            gateway = RunningGateway(
                application,
                listeners[0].address,
                listeners[1].address,
                server,
                permits,
                checks,
                tasks,
                listeners,
            )
            gateway.skip_cold_start()
            yield gateway
            tasks.cancel_scope.cancel()
    assert not checks.violations_by_name


async def connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection of a caller."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def send_request(
    address: str,
    target: str = "/prices/k",
    method: str = "GET",
    body: bytes = b"",
    **headers: str,
) -> Response:
    """Send a request on a new connection."""
    reader, writer = await connect(address)
    lines = [f"{method} {target} HTTP/1.1", "host: x", "connection: close"]
    if body or method == "POST":
        lines.append(f"content-length: {len(body)}")
    lines += [
        f"{name.replace('_', '-')}: {value}" for name, value in headers.items()
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
    return await read_response(reader, writer)


async def read_response(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Response:
    """Read a response until the connection is closed."""
    return _parse_response(await _read_to_end(reader, writer))[0]


async def read_responses(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> list[Response]:
    """Read responses with a length until the connection is closed."""
    data = await _read_to_end(reader, writer)
    responses = []
    while data:
        response, data = _parse_response(data, is_pipelined=True)
        responses.append(response)
    return responses


async def _read_to_end(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bytes:
    data = b""
    with contextlib.suppress(ConnectionError):
        while part := await reader.read(65536):
            data += part
    writer.close()
    return data


def _parse_response(
    data: bytes, is_pipelined: bool = False
) -> tuple[Response, bytes]:
    """Return the first response, and what follows if more are expected."""
    head, _, body = data.partition(b"\r\n\r\n")
    if not head:
        return Response(0, {}, b"", False), b""
    line, *lines = head.decode().split("\r\n")
    headers = dict(text.split(": ", 1) for text in lines)
    rest = b""
    if "content-length" in headers:
        length = int(headers["content-length"])
        if is_pipelined:
            body, rest = body[:length], body[length:]
        is_complete = len(body) == length
    else:
        is_complete = body.endswith(b"0\r\n\r\n")
    status = int(line.split()[1])
    return Response(status, headers, body, is_complete), rest
