"""Exclusive writer of the stored leadership and range maps."""

from __future__ import annotations

import typing

import anyio

from agatestile.assignment import era_keys
from agatestile.assignment import records
from agatestile.observability import events
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.store import port


class Journal:
    """Conditional appends, which fail once another host has appended.

    Appends that were delayed from an earlier era of the store don't count as
    those of another host: what they write is not read in this era.

    Parameters
    ----------
    store : port.Store
        Store that holds the topic.

    Attributes
    ----------
    late_record_count : int
        Number of records of such appends that this host has met.
    """

    def __init__(self, store: port.Store) -> None:
        self._store = store
        self._expected_end = 0
        self._era = 0
        self._epoch = 0
        self._keys_of_earlier_eras: set[str] = set()
        self._lock = anyio.Lock()
        self.late_record_count = 0

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
            self._epoch = stored.leadership.epoch
            self._keys_of_earlier_eras = {
                record.key
                for record in page.records
                if era_keys.StoredKey.parse(record.key).era < page.era
            }
            return stored

    async def take_over(
        self, stored: records.StoredAssignments, leadership: records.Leadership
    ) -> outcomes.Refusal | None:
        """Store the leadership of this host after what it has read.

        What a host of an earlier release has written in this era is stored
        again under keys that name it.
        """
        if not stored.is_unmarked or leadership.era != self._era:
            return await self.append(records.encode_leadership(leadership))
        return await self.append(
            *records.encode_all(stored.maps, stored.servers),
            records.encode_leadership(leadership),
            unmarked=[records.encode_for_earlier_releases(leadership)],
        )

    async def append(
        self,
        *added: port.Record,
        unmarked: typing.Sequence[port.Record] = (),
    ) -> outcomes.Refusal | None:
        """Append records if the topic still ends where it is expected.

        An expected end proves nothing in a later era, as offsets are assigned
        again: the append then counts as failed, also if the store took it.

        Parameters
        ----------
        *added : port.Record
            Records whose keys are names within the era.
        unmarked : sequence of port.Record
            Records whose keys are stored as they are.
        """
        async with self._lock:
            if self._is_of_earlier_era():
                return self._era_changed()
            marked = [
                record._replace(
                    key=era_keys.StoredKey(self._era, record.key).format()
                )
                for record in added
            ]
            result = await self._append([*marked, *unmarked])
            if self._is_of_earlier_era():
                return self._era_changed()
            if isinstance(result, outcomes.Refusal):
                return result
            self._expected_end = result
            for record in added:
                if record.key == records.LEADER_KEY:
                    self._epoch = records.epoch_of(record)
            return None

    async def _append(
        self, added: list[port.Record]
    ) -> int | outcomes.Refusal:
        while True:
            expected_end = self._expected_end
            result = await self._store.append(
                records.TOPIC, added, expected_end
            )
            is_stale = (
                isinstance(result, outcomes.Refusal)
                and result.code == codes.ResultCode.RECORD_STALE
            )
            if not is_stale or self._is_of_earlier_era():
                return result
            page = await self._store.read(records.TOPIC, expected_end, 0.0)
            if (
                isinstance(page, outcomes.Refusal)
                or self._is_of_earlier_era()
                or not page.records
                or not self._skip_late_records(page)
            ):
                return result

    async def forget_earlier_eras(
        self, leadership: records.Leadership
    ) -> outcomes.Refusal | None:
        """Store a leadership, and delete what earlier eras have left.

        Parameters
        ----------
        leadership : records.Leadership
            Leadership of this host, under which everything is stored in the
            current era.
        """
        if self._era <= era_keys.FIRST_ERA:
            return await self.append(records.encode_leadership(leadership))
        keys = self._keys_of_earlier_eras - {records.LEADER_KEY}
        refusal = await self.append(
            records.encode_leadership(leadership),
            unmarked=[
                records.encode_for_earlier_releases(leadership),
                *(port.Record(key, b"") for key in sorted(keys)),
            ],
        )
        if refusal is None:
            self._keys_of_earlier_eras -= keys
        return refusal

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
        if page.end == expected_end:
            return True
        if not self._skip_late_records(page):
            return False
        return True if page.is_last else None

    async def check_current(self) -> outcomes.Refusal | None:
        """Return a refusal unless nothing follows the last append."""
        if await self.is_current():
            return None
        return outcomes.Refusal(
            codes.ResultCode.RECORD_STALE,
            "the leadership was not confirmed during the takeover",
        )

    def _skip_late_records(self, page: port.Page) -> bool:
        """Expect the end of a page if all of it was delayed from earlier eras.

        Parameters
        ----------
        page : port.Page
            Records from the expected end on.
        """
        if not all(
            records.is_late(record, self._era, self._epoch)
            for record in page.records
        ):
            return False
        for record in page.records:
            key = era_keys.StoredKey.parse(record.key)
            events.emit(
                "late_record_ignored",
                record=key.name,
                record_epoch=records.epoch_of(record),
                record_era=key.era,
                epoch=self._epoch,
                era=self._era,
            )
            self._keys_of_earlier_eras.add(record.key)
        self.late_record_count += len(page.records)
        self._expected_end = page.end
        return True

    def _is_of_earlier_era(self) -> bool:
        return self._era != self._store.era

    def _era_changed(self) -> outcomes.Refusal:
        return outcomes.Refusal(
            codes.ResultCode.LOG_ERA_CHANGED,
            f"the topic was read in era {self._era}, the store is in era"
            f" {self._store.era}",
        )
