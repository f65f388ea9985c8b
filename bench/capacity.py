"""Measures the costs in docs/CAPACITY.md that need no other process.

``python -m bench.capacity`` prints one row for each cost.
"""

from __future__ import annotations

import collections.abc
import random
import time
import tracemalloc

import click

from agatestile.routing import keys
from agatestile.rpc import codec
from agatestile.rpc.generated.agatestile_rpc import Peer
from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.state import checkpoint
from agatestile.state import cluster
from agatestile.state import ranges
from agatestile.state import records
from bench import slopes

RANGE_COUNTS = (1_000, 10_000, 100_000, 1_000_000)
CHECKPOINT_COUNTS = (1_000, 10_000, 50_000, 100_000)
RECORD_COUNTS = (100, 400, 1_600, 3_200)
ROW_COUNTS = (250, 1_000, 4_000, 16_000)
GATE_COUNTS = (5, 20, 60, 120)
LOOKUPS = 50_000
REPEATS = 200
SERVERS_PER_SERVICE = 60
SERVICE = "prices"
TERM = records.Term(0, 1, "entry-1#1")


def _address(index: int) -> str:
    block, last = divmod(index, 250)
    return f"10.{block // 250}.{block % 250}.{last}:80"


def _rows(servers: int) -> tuple[records.TableRow, ...]:
    service = records.TableRow(
        kind="service",
        service=SERVICE,
        timeout_ms=1000,
        queue=100,
        queue_ms=500,
        body_limit=1024,
    )
    server_rows = [
        records.TableRow(
            kind="server",
            service=SERVICE,
            server=f"prices-{index:03d}",
            domain="radom",
            address=_address(index),
            slots=2,
            connections=130,
        )
        for index in range(servers)
    ]
    return (service, *server_rows)


def _state() -> cluster.ClusterState:
    state = cluster.ClusterState()
    state.apply(
        0, records.TableChange("t", "bench", -1, _rows(SERVERS_PER_SERVICE))
    )
    state.apply(1, records.Lead("l", "radom", TERM))
    return state


def _split(count: int, version: int) -> records.Assign:
    width = ranges.END // count
    changes = tuple(
        records.RangeChange(
            SERVICE,
            index * width,
            (index + 1) * width if index + 1 < count else ranges.END,
            (version,),
            f"prices-{index % SERVERS_PER_SERVICE:03d}",
            (f"prices-{(index + 1) % SERVERS_PER_SERVICE:03d}",),
        )
        for index in range(count)
    )
    return records.Assign("a", "radom", TERM, changes)


def _state_with_ranges(count: int) -> cluster.ClusterState:
    state = _state()
    outcome = state.apply(2, _split(count, 0))
    if not isinstance(outcome, cluster.Applied):
        raise SystemExit(f"cannot create {count} ranges: {outcome}")
    return state


def _range_map(count: int) -> ranges.RangeMap:
    width = ranges.END // count
    range_map = ranges.RangeMap(0)
    range_map.replace(
        [
            ranges.Range(
                index * width,
                (index + 1) * width if index + 1 < count else ranges.END,
                f"prices-{index % SERVERS_PER_SERVICE:03d}",
                (),
                3,
                ranges.NO_INTENT,
            )
            for index in range(count)
        ]
    )
    return range_map


def memory_of_ranges() -> slopes.Slope:
    """Measure the memory of assigned ranges."""
    points = []
    for count in RANGE_COUNTS:
        tracemalloc.start()
        range_map = _range_map(count)
        memory_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        points.append((float(len(range_map)), float(memory_bytes)))
    return slopes.Slope.from_points("memory, bytes", "ranges", points)


def time_of_lookup(seed: int) -> slopes.Slope:
    """Measure the time to hash a key and find its range."""
    generator = random.Random(seed)
    names = [f"price/{generator.random()}/{index}" for index in range(LOOKUPS)]
    points = []
    for count in RANGE_COUNTS:
        range_map = _range_map(count)
        started = time.perf_counter()
        for name in names:
            range_map.find(keys.position_of(name))
        elapsed = time.perf_counter() - started
        points.append((float(count), elapsed / LOOKUPS * 1e6))
    return slopes.Slope.from_points("lookup, microseconds", "ranges", points)


def cost_of_checkpoint() -> tuple[slopes.Slope, ...]:
    """Measure the size of a checkpoint and the time to read it."""
    sizes, times = [], []
    for count in CHECKPOINT_COUNTS:
        body = checkpoint.dump(_state_with_ranges(count))
        started = time.perf_counter()
        checkpoint.load(body)
        times.append((float(count), (time.perf_counter() - started) * 1000.0))
        sizes.append((float(count), float(len(body))))
    return (
        slopes.Slope.from_points("checkpoint, bytes", "ranges", sizes),
        slopes.Slope.from_points(
            "checkpoint read, milliseconds", "ranges", times
        ),
    )


def cost_of_replay() -> tuple[slopes.Slope, ...]:
    """Measure the size and replay time of records of one move each."""
    sizes, times = [], []
    for count in RECORD_COUNTS:
        state = _state_with_ranges(1_000)
        bodies = list(_moves(state, count))
        started = time.perf_counter()
        for offset, body in enumerate(bodies, start=3):
            state.apply(offset, records.decode(body))
        times.append((float(count), (time.perf_counter() - started) * 1000.0))
        sizes.append((float(count), float(sum(map(len, bodies)))))
    return (
        slopes.Slope.from_points("replayed records, bytes", "moves", sizes),
        slopes.Slope.from_points("replay, milliseconds", "moves", times),
    )


def _moves(
    state: cluster.ClusterState, count: int
) -> collections.abc.Iterator[bytes]:
    range_map = state.ranges_by_service[SERVICE]
    versions = [2] * len(range_map)
    for number in range(count):
        index = number % len(versions)
        current = range_map.at(index)
        change = records.RangeChange(
            SERVICE,
            current.start,
            current.end,
            (versions[index],),
            f"prices-{(number + 7) % SERVERS_PER_SERVICE:03d}",
        )
        versions[index] = 3 + number
        yield records.encode(
            records.Assign(f"m{number}", "radom", TERM, (change,))
        )


def cost_of_table() -> tuple[slopes.Slope, ...]:
    """Measure the cost of a table change against the number of rows."""
    sizes, times, memory_bytes = [], [], []
    for count in ROW_COUNTS:
        body = records.encode(
            records.TableChange("t", "bench", -1, _rows(count))
        )
        state = cluster.ClusterState()
        tracemalloc.start()
        state.apply(0, records.decode(body))
        memory, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        state = cluster.ClusterState()
        started = time.perf_counter()
        state.apply(0, records.decode(body))
        times.append((float(count), (time.perf_counter() - started) * 1000.0))
        sizes.append((float(count), float(len(body))))
        memory_bytes.append((float(count), float(memory)))
    return (
        slopes.Slope.from_points("table change, bytes", "rows", sizes),
        slopes.Slope.from_points("table change, ms", "rows", times),
        slopes.Slope.from_points(
            "table in memory, bytes", "rows", memory_bytes
        ),
    )


class _Leader:
    def __init__(self, reply: ttypes.HeartbeatReply) -> None:
        self._reply = reply

    def heartbeat(self, heartbeat: ttypes.Heartbeat) -> ttypes.HeartbeatReply:
        self._reply.stamp = heartbeat.stamp
        return self._reply


def cost_of_heartbeats() -> tuple[slopes.Slope, ...]:
    """Measure size and processor time of a heartbeat against its gates."""
    sizes, times = [], []
    for count in GATE_COUNTS:
        fence = "4711.3.12.entry-1#0123456789abcdef"
        names = [f"prices-{index:03d}" for index in range(count)]
        heartbeat = ttypes.Heartbeat(
            domain="radom",
            host="entry-1",
            host_domain="radom",
            instance="entry-1#0123456789abcdef",
            stamp=1.0,
            forward_address="127.0.0.1:8111",
            offset=1,
            route_sequence=1,
            route_term=ttypes.Term(1, 1, "x"),
            leaving=False,
            gates=[
                ttypes.GateReport(name, fence, 1, 10.0, 5.0) for name in names
            ],
            released=[],
            loads=[],
            hot_keys=[],
        )
        reply = ttypes.HeartbeatReply(
            leads=True,
            leader="entry-1",
            term=ttypes.Term(1, 1, "x"),
            stamp=1.0,
            grants=[ttypes.GateGrant(name, fence) for name in names],
            release=[],
        )
        processor = Peer.Processor(_Leader(reply))
        started = time.process_time()
        for _ in range(REPEATS):
            call = codec.encode_call("heartbeat", (heartbeat,))
            answer = codec.process_call(processor, call)
            codec.decode_reply("heartbeat", answer)
        elapsed = time.process_time() - started
        times.append((float(count), elapsed / REPEATS * 1e6))
        sizes.append((float(count), float(len(call) + len(answer))))
    return (
        slopes.Slope.from_points("heartbeat and reply, bytes", "gates", sizes),
        slopes.Slope.from_points(
            "heartbeat both sides, microseconds", "gates", times
        ),
    )


def measure(seed: int) -> list[slopes.Slope]:
    """Run all measurements of this module."""
    return [
        memory_of_ranges(),
        time_of_lookup(seed),
        *cost_of_checkpoint(),
        *cost_of_replay(),
        *cost_of_table(),
        *cost_of_heartbeats(),
    ]


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
def main(seed: int) -> None:
    """Print the table of slopes."""
    click.echo(slopes.TABLE_HEAD)
    for slope in measure(seed):
        click.echo(slope.to_row())


if __name__ == "__main__":
    main()
