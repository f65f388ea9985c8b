"""Processes of the throughput measurement."""

from __future__ import annotations

import contextlib
import cProfile
import functools
import typing

import anyio
import httpcore

from agatestile.gateway import application
from agatestile.gateway import listener
from agatestile.gateway import options
from agatestile.observability import invariants
from agatestile.observability import logs
from agatestile.routing import router
from agatestile.routing import views
from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.settings import schema
from agatestile.state import cluster
from agatestile.state import records

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.gateway import asgi

SLOTS = 64
HOST = "bench-1"
RESPONSE_BODY = b"." * 64
_FENCE = "1.1.1.bench-1-0"
_HEADERS = [(b"content-length", b"%d" % len(RESPONSE_BODY))]


class _Permit(typing.NamedTuple):
    server: str
    fence: str
    expires: float
    running: int = 0
    warm_incarnation: str = ""


class _Permits:
    def enter(self, server: str, position: int, now: float) -> _Permit:
        return _Permit(server, _FENCE, now + 1.6)

    def check(self, permit: _Permit, now: float) -> _Permit:
        return permit

    def leave(self, permit: _Permit) -> None:
        return


def make_cluster_state(address: str, ranges: int) -> cluster.ClusterState:
    """Return a state in which one server owns a number of ranges."""
    state = cluster.ClusterState()
    rows = (
        records.TableRow(
            kind="service",
            service="prices",
            timeout_ms=5000,
            queue=1000,
            queue_ms=4000,
            body_limit=1_000_000,
        ),
        records.TableRow(
            kind="server",
            service="prices",
            server="prices-1",
            domain="radom",
            address=address,
            slots=SLOTS,
            connections=SLOTS + 1,
        ),
    )
    term = records.Term(0, 1, "bench-1-0")
    step = (1 << 62) // ranges
    ends = [step * index for index in range(ranges)] + [1 << 62]
    state.apply(0, records.TableChange("1", "bench", -1, rows))
    state.apply(1, records.Lead("2", "radom", term))
    changes = tuple(
        records.RangeChange("prices", start, end, (0,), "prices-1")
        for start, end in zip(ends, ends[1:], strict=False)
    )
    state.apply(2, records.Assign("3", "radom", term, changes))
    return state


def make_gateway(server: str, ranges: int = 1) -> application.Application:
    """Return the application of a host that is the gate of one server."""
    state = make_cluster_state(server, ranges)
    route_views = views.RouteViews()
    route_views.update(
        ttypes.RouteView(
            domain="radom",
            term=ttypes.Term(1, 1, "bench-1-0"),
            sequence=1,
            gates=[ttypes.GateAddress("prices-1", HOST, "127.0.0.1:1")],
            steps=[],
        )
    )
    return application.Application(
        HOST,
        state,
        router.Router(state, route_views),
        _Permits(),
        invariants.Invariants(),
    )


async def _respond(
    scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
) -> None:
    await send(
        {"type": "http.response.start", "status": 200, "headers": _HEADERS}
    )
    await send({"type": "http.response.body", "body": RESPONSE_BODY})


class _Forwarder:
    """Forwards over keep-alive connections, without limits, routing or log."""

    def __init__(self, server: str) -> None:
        host, _, port = server.rpartition(":")
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._server = server.encode()
        self._idle: list[httpcore.AsyncHTTPConnection] = []

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if self._idle:
            connection = self._idle.pop()
        else:
            connection = httpcore.AsyncHTTPConnection(self._origin)
        response = await connection.request(
            scope["method"],
            b"http://" + self._server + scope["raw_path"],
            headers=[(b"host", self._server)],
        )
        self._idle.append(connection)
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": response.headers,
            }
        )
        await send({"type": "http.response.body", "body": response.content})


async def _serve(
    app: listener.Application,
    port: int,
    background: tuple[collections.abc.Callable[..., typing.Any], ...] = (),
) -> None:
    served = listener.Listener(app, f"127.0.0.1:{port}", options.Options())
    async with anyio.create_task_group() as tasks:
        for background_task in background:
            tasks.start_soon(background_task)
        await served.run()


def _run_until_interrupted(
    main: collections.abc.Callable[[], typing.Any],
) -> None:
    with contextlib.suppress(KeyboardInterrupt):
        anyio.run(main, backend_options={"use_uvloop": True})


def serve_backend(port: int) -> None:
    """Run the stand-in backend server."""
    _run_until_interrupted(functools.partial(_serve, _respond, port))


def serve_forwarder(port: int, server: str) -> None:
    """Run the plain forwarder."""
    _run_until_interrupted(functools.partial(_serve, _Forwarder(server), port))


def serve_gateway(port: int, server: str, log: str, profile: str) -> None:
    """Run the application and write its decision lines to a file."""
    gateway = make_gateway(server)
    with open(log, "wb") as lines:
        handler = logs.configure(schema.Logging(), lines.fileno())
        main = functools.partial(
            _serve, gateway.serve_callers, port, (gateway.run, handler.run)
        )
        _run_profiled(main, profile)


def _run_profiled(
    main: collections.abc.Callable[[], typing.Any], profile: str
) -> None:
    if not profile:
        _run_until_interrupted(main)
        return
    with cProfile.Profile() as profiler:
        _run_until_interrupted(main)
    profiler.dump_stats(profile)
