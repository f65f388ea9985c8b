"""Open intents: those that still cover a range."""

from __future__ import annotations

import collections
import typing

from agatestile.state import ranges

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.state import records


class OpenIntents:
    """Intents by offset, each kept while a range refers to it.

    Attributes
    ----------
    by_offset : dict of int to records.Intent
        The open intents.
    """

    def __init__(self) -> None:
        self.by_offset: dict[int, records.Intent] = {}
        self._counts: collections.Counter[int] = collections.Counter()

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, OpenIntents):
            return NotImplemented
        return (
            self.by_offset == other.by_offset and self._counts == other._counts
        )

    @classmethod
    def from_ranges(
        cls,
        by_offset: dict[int, records.Intent],
        range_maps: collections.abc.Iterable[ranges.RangeMap],
    ) -> OpenIntents:
        """Return the open intents with counts taken from the range maps."""
        collection = cls()
        collection.by_offset = by_offset
        for range_map in range_maps:
            collection._counts.update(range_map.counts_by_intent())
        return collection

    def add(self, offset: int, record: records.Intent) -> None:
        """Add an intent. Call this before `replace` counts its ranges."""
        if record.changes:
            self.by_offset[offset] = record

    def replace(
        self,
        old_ranges: collections.abc.Sequence[ranges.Range],
        new_ranges: collections.abc.Sequence[ranges.Range],
    ) -> None:
        """Update the counts after ranges were replaced.

        Parameters
        ----------
        old_ranges : sequence of ranges.Range
            All ranges that the new ones overlap, in order of position.
        new_ranges : sequence of ranges.Range
            The new ranges, in order of position.
        """
        if old_ranges[0].start < new_ranges[0].start:
            self._adjust_count(old_ranges[0].intent, 1)
        if old_ranges[-1].end > new_ranges[-1].end:
            self._adjust_count(old_ranges[-1].intent, 1)
        for new in new_ranges:
            self._adjust_count(new.intent, 1)
        for old in old_ranges:
            self._adjust_count(old.intent, -1)

    def remove_ranges(self, range_map: ranges.RangeMap) -> None:
        """Stop counting the ranges of a removed service."""
        for offset, count in range_map.counts_by_intent().items():
            self._adjust_count(offset, -count)

    def _adjust_count(self, offset: int, count: int) -> None:
        if offset == ranges.NO_INTENT:
            return
        self._counts[offset] += count
        if self._counts[offset] <= 0:
            del self._counts[offset]
            self.by_offset.pop(offset, None)
