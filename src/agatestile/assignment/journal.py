"""The stored leadership and maps, as their only writer sees them."""

from __future__ import annotations

import typing

import anyio

from agatestile.assignment import records
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.store import port


class Journal:
    """Appends that fail as soon as another host has appended.

    Parameters
    ----------
    store : port.Store
        Where the topic is kept.
    """

    def __init__(self, store: port.Store) -> None:
        self._store = store
        self._end = 0
        self._lock = anyio.Lock()

    async def read(self) -> records.Stored | outcomes.Refusal:
        """Return the content and continue from its end."""
        page = await self._store.read_newest(records.TOPIC)
        if isinstance(page, outcomes.Refusal):
            return page
        stored = records.decode(page)
        if isinstance(stored, str):
            return outcomes.Refusal(codes.ResultCode.RECORD_STALE, stored)
        self._end = stored.end
        return stored

    async def append(self, record: port.Record) -> outcomes.Refusal | None:
        """Append a record at the end that is known."""
        async with self._lock:
            result = await self._store.append(
                records.TOPIC, [record], self._end
            )
            if isinstance(result, outcomes.Refusal):
                return result
            self._end = result
            return None

    async def has_changed(self) -> bool:
        """Tell whether there are records beyond the known end."""
        page = await self._store.read_newest(records.TOPIC)
        return not isinstance(page, outcomes.Refusal) and (
            page.end != self._end
        )
