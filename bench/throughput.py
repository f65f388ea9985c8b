"""Measures the throughput and overhead of one gateway process.

Run with ``python -m bench.throughput``. The baselines of a run are a plain
forwarder and a direct connection to the server.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import multiprocessing
import os
import pathlib
import signal
import socket
import tempfile
import time
import typing

from agatestile.routing import router as routing
from agatestile.routing import views
from agatestile.rpc.generated.agatestile_rpc import ttypes
from bench import open_loop
from bench import throughput_processes

if typing.TYPE_CHECKING:
    import collections.abc
    import multiprocessing.process

WARM_UP_SECONDS = 12.0
"""A new gate raises its rate from 2 requests/s to its limit within 9 s."""

TARGET_RATE = 1800.0
CONNECTIONS = 64
REQUEST = (
    b"GET /prices/item-4711 HTTP/1.1\r\nhost: gate\r\n"
    b"accept: */*\r\nuser-agent: bench\r\n\r\n"
)


class Measurement(typing.NamedTuple):
    """Figures of one line of output."""

    name: str
    result: open_loop.Result
    cpu_microseconds: float


def main() -> None:
    """Run the measurement and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=TARGET_RATE)
    parser.add_argument("--profile", default="", help="file for cProfile")
    arguments = parser.parse_args()
    _print_routing()
    with tempfile.TemporaryDirectory() as directory:
        log = pathlib.Path(directory) / "route.log"
        with _processes(str(log), arguments.profile) as running:
            for line in _measure(running, arguments):
                _print(line)
        line_count = log.read_text(encoding="utf-8").count("route: ")
        print(f"decision lines logged: {line_count}")


class Running(typing.NamedTuple):
    """Ports and process identifiers of the running processes, by name."""

    ports: dict[str, int]
    pids: dict[str, int]


@contextlib.contextmanager
def _processes(log: str, profile: str) -> collections.abc.Iterator[Running]:
    context = multiprocessing.get_context("spawn")
    ports = {name: _free_port() for name in ("direct", "plain", "gateway")}
    server = f"127.0.0.1:{ports['direct']}"
    targets = throughput_processes
    calls_by_name: dict[str, tuple[typing.Any, tuple[typing.Any, ...]]] = {
        "direct": (targets.serve_backend, (ports["direct"],)),
        "plain": (targets.serve_forwarder, (ports["plain"], server)),
        "gateway": (
            targets.serve_gateway,
            (ports["gateway"], server, log, profile),
        ),
    }
    started = {}
    try:
        for name, (target, call_arguments) in calls_by_name.items():
            started[name] = context.Process(target=target, args=call_arguments)
            started[name].start()
        for port in ports.values():
            _wait_for(port)
        pids = {name: process.pid or 0 for name, process in started.items()}
        yield Running(ports, pids)
    finally:
        for process in started.values():
            if process.pid is not None:
                os.kill(process.pid, signal.SIGINT)
            process.join(5.0)
            if process.is_alive():
                process.terminate()


def _measure(
    running: Running, arguments: argparse.Namespace
) -> collections.abc.Iterator[Measurement]:
    _load(running, "gateway", 50.0, WARM_UP_SECONDS)
    names = ("direct", "plain", "gateway")
    for rate in (arguments.rate / 2.0, arguments.rate):
        for name in names:
            yield _load(running, name, rate, arguments.seconds)
    # Far above the capacity of one process, to find its limit.
    for name in ("plain", "gateway"):
        yield _load(running, name, 3.0 * arguments.rate, 4.0)


def _load(
    running: Running, name: str, rate: float, seconds: float
) -> Measurement:
    before = _cpu_seconds(running.pids[name])
    result = asyncio.run(
        open_loop.run(running.ports[name], REQUEST, rate, seconds, CONNECTIONS)
    )
    cpu_seconds = _cpu_seconds(running.pids[name]) - before
    count = max(result.answered + result.failed, 1)
    return Measurement(name, result, cpu_seconds * 1e6 / count)


def _print(line: Measurement) -> None:
    result = line.result
    print(
        f"{line.name:8} offered {result.offered:6.0f}/s "
        f"answered {result.achieved:6.0f}/s failed {result.failed:5d} "
        f"p50 {result.milliseconds(50):8.2f} ms "
        f"p99 {result.milliseconds(99):8.2f} ms "
        f"cpu {line.cpu_microseconds:5.0f} us/request",
        flush=True,
    )


def _print_routing() -> None:
    state = throughput_processes.make_cluster_state("127.0.0.1:1", 100_000)
    route_views = views.RouteViews()
    route_views.update(
        ttypes.RouteView(
            domain="radom",
            term=ttypes.Term(1, 1, "bench"),
            sequence=1,
            gates=[ttypes.GateAddress("prices-1", "bench-1", "127.0.0.1:1")],
            steps=[],
        )
    )
    router = routing.Router(state, route_views)
    keys = [f"item-{number}" for number in range(100_000)]
    start = time.perf_counter()
    for key in keys:
        router.route("prices", key)
    microseconds = (time.perf_counter() - start) * 1e6 / len(keys)
    ranges = len(state.ranges_by_service["prices"])
    print(f"routing decision: {microseconds:.2f} us at {ranges} ranges")


def _cpu_seconds(pid: int) -> float:
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def _wait_for(port: int) -> None:
    for _ in range(200):
        with contextlib.suppress(OSError):
            socket.create_connection(("127.0.0.1", port), 1.0).close()
            return
        time.sleep(0.05)
    raise TimeoutError(f"nothing listens on port {port}")


if __name__ == "__main__":
    main()
