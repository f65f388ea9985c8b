"""Exclusive writer of the stored leadership and range maps."""

from __future__ import annotations

import typing

import anyio

from agatestile.assignment import records
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.store import port


class Journal:
    """Conditional appends, which fail once another host has appended.

    Parameters
    ----------
    store : port.Store
        Store that holds the topic.
    """

    def __init__(self, store: port.Store) -> None:
        self._store = store
        self._expected_end = 0
        self._era = 0
        self._lock = anyio.Lock()

    @property
    def era(self) -> int:
        """Return the era of the store in which the topic was read."""
        return self._era

    @property
    def newest_era(self) -> int:
        """Return the newest era of the store that this host has seen."""
        return self._store.era

    async def read(self) -> records.StoredAssignments | outcomes.Refusal:
        """Read the topic; later appends expect the end that was read.

        An append in progress is waited for, as it would count as read.
        """
        async with self._lock:
            page = await self._store.read_newest(records.TOPIC)
            if isinstance(page, outcomes.Refusal):
                return page
            stored = records.decode(page)
            if isinstance(stored, str):
                return outcomes.Refusal(codes.ResultCode.RECORD_STALE, stored)
            self._expected_end = stored.end
            self._era = page.era
            return stored

    async def append(self, *added: port.Record) -> outcomes.Refusal | None:
        """Append records if the topic still ends where it is expected.

        An expected end proves nothing in a later era, as offsets are assigned
        again: the append then counts as failed, also if the store took it.
        """
        async with self._lock:
            if self._is_of_earlier_era():
                return self._era_changed()
            result = await self._store.append(
                records.TOPIC, list(added), self._expected_end
            )
            if self._is_of_earlier_era():
                return self._era_changed()
            if isinstance(result, outcomes.Refusal):
                return result
            self._expected_end = result
            return None

    async def is_current(self) -> bool | None:
        """Return whether nothing follows the last append of this host.

        Returns
        -------
        bool or None
            None if that is unknown: the store can't be read or was restored,
            or an append of this host is in progress.
        """
        expected_end = self._expected_end
        page = await self._store.read(records.TOPIC, expected_end, 0.0)
        if self._is_of_earlier_era():
            return None
        if isinstance(page, outcomes.Refusal):
            if page.code == codes.ResultCode.LOG_HISTORY_GONE:
                return False
            return None
        if self._lock.locked() or self._expected_end != expected_end:
            return None
        return page.end == expected_end

    def _is_of_earlier_era(self) -> bool:
        return self._era != self._store.era

    def _era_changed(self) -> outcomes.Refusal:
        return outcomes.Refusal(
            codes.ResultCode.LOG_ERA_CHANGED,
            f"the topic was read in era {self._era}, the store is in era"
            f" {self._store.era}",
        )
