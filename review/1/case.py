"""An upstream restarts under its id while it can't reach the store."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness  # noqa: E402

CUT_SECONDS = 4.0
CRASH_AFTER_SECONDS = 1.0
RESTART_SECONDS = 0.3


async def scenario(case: harness.Case, has_trouble: bool) -> None:
    await case.start(sharded=5)
    case.start_load(30)
    await asyncio.sleep(4.0)
    one = case.sharded()[0]
    if has_trouble:
        case.record.write(f"{one.id} is cut off from the store")
        one.reaches_store = False
        await asyncio.sleep(CRASH_AFTER_SECONDS)
        one.stop()
        await asyncio.sleep(RESTART_SECONDS)
        await one.start(is_cold=True)
        await asyncio.sleep(
            CUT_SECONDS - CRASH_AFTER_SECONDS - RESTART_SECONDS
        )
        one.reaches_store = True
        case.record.write(f"{one.id} reaches the store again")
        one.report()
    else:
        await asyncio.sleep(CUT_SECONDS)
    await asyncio.sleep(6.0)


harness.main(__file__, scenario)
