"""Tests of the supervision of components on a virtual clock."""

from __future__ import annotations

import trio
from trio import testing

from agatestile.node import supervision
from agatestile.observability import counters


def test_failed_component_is_restarted_and_counted() -> None:
    """Guards against one unexpected error that ends the whole process."""
    registry = counters.Registry()
    starts: list[float] = []
    failures: list[float] = []
    ticks = 0

    async def fail_twice() -> None:
        starts.append(trio.current_time())
        if len(starts) <= 2:
            raise RecursionError("deeply nested")
        await trio.sleep_forever()

    async def serve() -> None:
        nonlocal ticks
        while True:
            ticks += 1
            await trio.sleep(0.1)

    async def main() -> None:
        async with trio.open_nursery() as tasks:
            for name, component in (("odd", fail_twice), ("other", serve)):
                tasks.start_soon(
                    supervision.supervise,
                    name,
                    component,
                    registry,
                    lambda: failures.append(trio.current_time()),
                )
            await trio.sleep(3.0)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=testing.MockClock(autojump_threshold=0))
    assert (len(starts), len(failures), ticks) == (3, 2, 30)
    assert b'component_failures_total{component="odd"} 2' in registry.render()
