"""Runs a host on the platform: `python -m agatestile.platform`."""

from __future__ import annotations

import asyncio
import sys

import uvloop

from agatestile.node import allocator
from agatestile.node import node
from agatestile.node import settings as node_settings
from agatestile.observability import events
from agatestile.platform import headers
from agatestile.platform import orders
from agatestile.platform import records
from agatestile.platform import settings
from agatestile.platform import store
from agatestile.results import outcomes
from agatestile.transport import buffered_bytes
from agatestile.transport import client


def main() -> int:
    """Run a host until SIGTERM or SIGINT; return the exit status."""
    loaded = settings.load()
    if isinstance(loaded, outcomes.Refusal):
        print(loaded, file=sys.stderr)
        return 2
    allocator.map_large_blocks()
    events.configure(events.EventLog(1, loaded.host))
    uvloop.run(_run(loaded))
    return 0


async def _run(loaded: node_settings.NodeSettings) -> None:
    now = asyncio.get_running_loop().time
    buffered = buffered_bytes.BufferedBytes.from_memory(loaded.memory)
    adapter = node.PlatformAdapter(
        store.PlatformStore(client.Pool(now, buffered=buffered), loaded.store),
        orders.PlatformOrders(client.Pool(now, buffered=buffered)),
        records.PlatformRecordFormat(),
        headers.PlatformHeaders(),
        settings.load,
        buffered,
    )
    await node.Node(loaded, adapter).run()


if __name__ == "__main__":
    sys.exit(main())
