"""Store that returns scripted results."""

from __future__ import annotations

import typing

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.store import port

HISTORY_GONE = outcomes.Refusal(codes.ResultCode.LOG_HISTORY_GONE, "compacted")
UNAVAILABLE = outcomes.Refusal(codes.ResultCode.LOG_UNAVAILABLE, "down")


class ScriptedStore:
    """Returns the results given by the test, one per call."""

    def __init__(self, *results: port.Page | outcomes.Refusal) -> None:
        self.results = list(results)
        self.calls: list[str] = []

    async def read_newest(self, topic: str) -> port.Page | outcomes.Refusal:
        self.calls.append("newest")
        return self.results.pop(0)

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        limit: int = 0,
        on_data: typing.Callable[[], None] | None = None,
    ) -> port.Page | outcomes.Refusal:
        self.calls.append(f"read {start}")
        return self.results.pop(0)
