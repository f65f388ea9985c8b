"""Measures the costs of tenants and API keys at several numbers of keys.

``python -m bench.tenants`` prints one row of a Markdown table for each number
of keys. Each is measured in a process of its own, so that the memory of one
does not count for another. No traffic is sent.
"""

from __future__ import annotations

import concurrent.futures
import gc
import json
import math
import multiprocessing
import random
import time
import tracemalloc
import typing

import click

from agatestile.catalog import configuration
from agatestile.catalog import tenants as tenants_module
from agatestile.entry import authentication
from agatestile.node import content_history
from agatestile.node import settings
from agatestile.platform import manifest

KEY_COUNTS = (87, 10_000, 1_000_000)
KEYS_PER_TENANT = 10
KEY_BYTES = 32
LONG_KEY_BYTES = 15_000
LOOKUPS = 200_000
DECODINGS = 5
SEED = 1

_BOUNDS = settings.Bounds()
_ROUTE = configuration.Route(
    "r", configuration.RouteKind.SAFE, (), 1.0, 0.4, 2, 0
)


class Costs(typing.NamedTuple):
    """Costs at one number of keys.

    Attributes
    ----------
    keys, tenants : int
        Numbers of keys and of tenants.
    content : float
        Size of the configuration, MB.
    patch : float
        Size of the patch for one moved key, kB.
    known, unknown, long : float
        Time to identify a request with a known key, an unknown one, and one
        of `LONG_KEY_BYTES`, microseconds.
    decoding : float
        Time to decode a changed configuration, during which the event loop
        does nothing else, ms; the median.
    history : float
        Time to make and to apply the patch, ms; not a number if the content
        is too large for hosts to relay it.
    collection : float
        Time of a full garbage collection of this process, ms.
    memory : float
        Memory of the configuration in force, without its content, MB.
    change_memory : float
        Highest memory while it is replaced, both included, MB.
    """

    keys: int
    tenants: int
    content: float
    patch: float
    known: float
    unknown: float
    long: float
    decoding: float
    history: float
    collection: float
    memory: float
    change_memory: float

    def to_row(self) -> str:
        """Return a row of a Markdown table."""
        cells = [f"{self.keys:,}", f"{self.tenants:,}"]
        cells += [f"{value:.3g}" for value in self[2:]]
        return f"| {' | '.join(cells)} |"


def _manifest(key_count: int, version: int) -> bytes:
    """Return a configuration; each version moves one key."""
    generator = random.Random(SEED)
    keys = [
        generator.randbytes(KEY_BYTES // 2).hex() for _ in range(key_count)
    ]
    entries: list[dict[str, typing.Any]] = [
        {
            "name": f"tenant-{index}",
            "apiKeys": keys[start : start + KEYS_PER_TENANT],
            "priority": 1,
            "ratePerS": 50,
            "burst": 50,
        }
        for index, start in enumerate(range(0, key_count, KEYS_PER_TENANT))
    ]
    moved = entries[version % len(entries)]["apiKeys"].pop()
    entries[(version + 1) % len(entries)]["apiKeys"].append(moved)
    fields = {
        "version": f"r{version}",
        "listeners": [],
        "clusters": [],
        "tenants": entries,
    }
    return json.dumps(fields).encode()


def _decode(content: bytes) -> tenants_module.Tenants:
    decoded = manifest.decode_configuration(content)
    if isinstance(decoded, str) or decoded.tenants is None:
        raise click.ClickException(f"not decoded: {decoded}")
    return decoded.tenants


def _memory_bytes(contents: list[bytes]) -> tuple[int, int]:
    """Return the bytes of one configuration, and the most during a change."""
    tracemalloc.start()
    try:
        tenants = _decode(contents[0])
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        # The former tenants are in force until the new ones are decoded.
        replacement = _decode(contents[1])
        _, peak = tracemalloc.get_traced_memory()
        del tenants, replacement
        return size, peak
    finally:
        tracemalloc.stop()


def _identify_microseconds(
    tenants: tenants_module.Tenants, keys: list[bytes]
) -> float:
    """Return the mean time to identify a request, microseconds."""
    started = time.perf_counter()
    for key in keys:
        authentication.identify(tenants, _ROUTE, (key,), 0.1, _BOUNDS)
    return (time.perf_counter() - started) / len(keys) * 1e6


def _history_milliseconds(old: bytes, new: bytes) -> tuple[float, int]:
    """Return the time to relay a change, ms, and the bytes of its patch.

    The time is not a number if the content is too large to be relayed.
    """
    sender = content_history.ContentHistory(2)
    receiver = content_history.ContentHistory(2)
    sender.add(1, old)
    receiver.add(1, old)
    started = time.perf_counter()
    sender.add(2, new)
    patch = sender.patch_from(1)
    if patch is None:
        raise click.ClickException("no patch was made")
    applied = receiver.apply(patch)
    elapsed = time.perf_counter() - started
    if applied != new:
        # Larger than `content_history.MAX_CONTENT_BYTES`.
        return math.nan, len(patch.content)
    return elapsed * 1000, len(patch.content)


def measure(key_count: int) -> Costs:
    """Return the costs at a number of keys."""
    contents = [_manifest(key_count, version) for version in range(2)]
    content_size = len(contents[0])
    memory, change_memory = _memory_bytes(contents)
    tenants = _decode(contents[0])
    times = []
    for index in range(DECODINGS):
        started = time.perf_counter()
        tenants = _decode(contents[(index + 1) % 2])
        times.append((time.perf_counter() - started) * 1000)
    started = time.perf_counter()
    gc.collect()
    collection = (time.perf_counter() - started) * 1000
    generator = random.Random(SEED)
    # New objects, as their hash values are not known yet.
    known = [
        bytes(bytearray(key))
        for key in generator.choices(list(tenants.by_key), k=LOOKUPS)
    ]
    unknown = [generator.randbytes(KEY_BYTES) for _ in range(LOOKUPS)]
    long_keys = [generator.randbytes(LONG_KEY_BYTES) for _ in range(1000)]
    history, patch_size = _history_milliseconds(*contents)
    return Costs(
        key_count,
        len(tenants.by_name),
        content_size / 1e6,
        patch_size / 1e3,
        _identify_microseconds(tenants, known),
        _identify_microseconds(tenants, unknown),
        _identify_microseconds(tenants, long_keys),
        sorted(times)[DECODINGS // 2],
        history,
        collection,
        memory / 1e6,
        change_memory / 1e6,
    )


@click.command()
@click.argument("key_counts", type=click.IntRange(2), nargs=-1)
def main(key_counts: tuple[int, ...]) -> None:
    """Print the costs at numbers of keys."""
    context = multiprocessing.get_context("spawn")
    click.echo(f"| {' | '.join(Costs._fields)} |")
    click.echo("|" + "---|" * len(Costs._fields))
    for key_count in key_counts or KEY_COUNTS:
        with concurrent.futures.ProcessPoolExecutor(1, context) as pool:
            costs = pool.submit(measure, key_count).result()
        click.echo(costs.to_row())


if __name__ == "__main__":
    main()
