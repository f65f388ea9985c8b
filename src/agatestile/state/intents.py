"""Intents that still cover ranges."""

from __future__ import annotations

import collections
import typing

from agatestile.state import ranges

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.state import records


class OpenIntents:
    """Intents by offset, each kept as long as a range refers to it.

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
        """Make the collection that belongs to the ranges of a state."""
        opened = cls()
        opened.by_offset = by_offset
        for range_map in range_maps:
            opened._counts.update(range_map.counts_by_intent())
        return opened

    def open(self, offset: int, record: records.Intent) -> None:
        """Add an intent, before the ranges that refer to it are counted."""
        if record.changes:
            self.by_offset[offset] = record

    def replace(
        self,
        before: collections.abc.Sequence[ranges.Range],
        pieces: collections.abc.Sequence[ranges.Range],
    ) -> None:
        """Count the ranges after pieces took the place of others.

        Parameters
        ----------
        before : sequence of ranges.Range
            The whole ranges that the pieces overlap.
        pieces : sequence of ranges.Range
            The new ranges, in order of position.
        """
        if before[0].start < pieces[0].start:
            self._add(before[0].intent, 1)
        if before[-1].end > pieces[-1].end:
            self._add(before[-1].intent, 1)
        for piece in pieces:
            self._add(piece.intent, 1)
        for row in before:
            self._add(row.intent, -1)

    def close(self, range_map: ranges.RangeMap) -> None:
        """Count the ranges of a removed service no more."""
        for offset, count in range_map.counts_by_intent().items():
            self._add(offset, -count)

    def _add(self, offset: int, count: int) -> None:
        if offset == ranges.NO_INTENT:
            return
        self._counts[offset] += count
        if self._counts[offset] <= 0:
            del self._counts[offset]
            self.by_offset.pop(offset, None)
