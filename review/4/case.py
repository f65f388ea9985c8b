"""An upstream restarts under its id while the leadership is handed over."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness  # noqa: E402

ROUNDS = 6
CRASH_AFTER_SECONDS = 0.25
RESTART_SECONDS = 0.15
SETTLE_SECONDS = 8.0
"""Time for the upstream to become warm and to get keys again."""


async def scenario(case: harness.Case, has_trouble: bool) -> None:
    await case.start(machines=3, sharded=8)
    case.start_load(30)
    await asyncio.sleep(5.0)
    one = case.sharded()[0]
    for _ in range(ROUNDS):
        leader = case.leader()
        if leader is None:
            raise harness.NotRun("no machine leads")
        if has_trouble:
            leader.send(signal.SIGTERM)
            await asyncio.sleep(CRASH_AFTER_SECONDS)
            one.stop()
            await asyncio.sleep(RESTART_SECONDS)
            await one.start(is_cold=True)
            await leader.wait()
            await leader.start(case.seeds())
        await asyncio.sleep(SETTLE_SECONDS)


harness.main(__file__, scenario)
