"""Range map: owners of the positions of one service, in columns."""

from __future__ import annotations

import array
import bisect
import collections
import sys
import typing

if typing.TYPE_CHECKING:
    import collections.abc

END = 1 << 62
"""Position after the last one."""

NO_INTENT = -1
"""Value of `Range.intent` of a range that no open Intent covers."""


class Range(typing.NamedTuple):
    """Adjoining positions with one owner.

    Attributes
    ----------
    start, end : int
        First position, and the position after the last.
    server : str
        Backend server that owns the range, empty for none.
    successors : tuple of str
        Servers that take over, in order, when the owner is lost.
    version : int
        Offset of the record that last changed the range.
    intent : int
        Offset of the open Intent that covers the range, -1 without one.
    """

    start: int
    end: int
    server: str
    successors: tuple[str, ...]
    version: int
    intent: int


class Columns(typing.NamedTuple):
    """Contents of a RangeMap in a form that can be stored.

    Attributes
    ----------
    starts, versions, intents : bytes
        Little-endian signed 64-bit integers, one per range.
    placements : bytes
        Little-endian unsigned 32-bit indexes into `names`.
    names : tuple of tuple of str
        Distinct combinations of an owner and its successors, the owner
        first.
    """

    starts: bytes
    versions: bytes
    intents: bytes
    placements: bytes
    names: tuple[tuple[str, ...], ...]


class RangeMap:
    """Partition of all positions into ranges.

    A range takes 28 bytes. A combination of owner and successors is stored
    once for all ranges that have it.

    Parameters
    ----------
    version : int
        Version of the one unowned range that the map starts with.
    """

    def __init__(self, version: int) -> None:
        self._starts = array.array("q", [0])
        self._versions = array.array("q", [version])
        self._intents = array.array("q", [NO_INTENT])
        self._placements = array.array("I", [0])
        self._names: list[tuple[str, ...]] = [("",)]
        self._index_by_names: dict[tuple[str, ...], int] = {("",): 0}

    def __len__(self) -> int:
        return len(self._starts)

    def __iter__(self) -> collections.abc.Iterator[Range]:
        return (self.at(index) for index in range(len(self._starts)))

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, RangeMap):
            return NotImplemented
        return (
            self._starts == other._starts
            and self._versions == other._versions
            and self._intents == other._intents
            and all(
                self._names[index] == other._names[other_index]
                for index, other_index in zip(
                    self._placements, other._placements, strict=True
                )
            )
        )

    def at(self, index: int) -> Range:
        """Return the range at an index in order of position."""
        next_index = index + 1
        names = self._names[self._placements[index]]
        return Range(
            self._starts[index],
            self._starts[next_index]
            if next_index < len(self._starts)
            else END,
            names[0],
            names[1:],
            self._versions[index],
            self._intents[index],
        )

    def find(self, position: int) -> Range:
        """Return the range that contains a position."""
        return self.at(bisect.bisect_right(self._starts, position) - 1)

    def overlapping(self, start: int, end: int) -> list[Range]:
        """Return the ranges that share positions with [start, end)."""
        first, last = self._overlapping_indexes(start, end)
        return [self.at(index) for index in range(first, last)]

    def counts_by_intent(self) -> collections.Counter[int]:
        """Return the number of ranges that each open Intent covers."""
        counts = collections.Counter(self._intents)
        del counts[NO_INTENT]
        return counts

    def owners(self) -> set[str]:
        """Return the servers that own at least one range."""
        names = {self._names[index][0] for index in set(self._placements)}
        return names - {""}

    def counts_by_server(self) -> collections.Counter[str]:
        """Return the number of ranges that each server owns."""
        counts: collections.Counter[str] = collections.Counter()
        for index, count in collections.Counter(self._placements).items():
            counts[self._names[index][0]] += count
        return counts

    def replace(self, new_ranges: collections.abc.Sequence[Range]) -> bool:
        """Replace the ranges of the positions that new ranges cover.

        The rest of a range that is covered in part keeps its version and
        intent.

        Parameters
        ----------
        new_ranges : sequence of Range
            Ranges in order of position, each starting where the previous
            one ends.

        Returns
        -------
        bool
            False, without a change, if the new ranges would break the
            partition.
        """
        if not _are_adjoining(new_ranges):
            return False
        start, end = new_ranges[0].start, new_ranges[-1].end
        first, last = self._overlapping_indexes(start, end)
        rows = list(new_ranges)
        left, right = self.at(first), self.at(last - 1)
        if left.start < start:
            rows.insert(0, left._replace(end=start))
        if right.end > end:
            rows.append(right._replace(start=end))
        self._splice(first, last, rows)
        return True

    def drop_invalid_successors(
        self, domains_by_server: dict[str, str]
    ) -> None:
        """Drop successors outside the service or the owner's domain.

        Parameters
        ----------
        domains_by_server : dict of str to str
            Failure domains of all servers of the service.
        """
        kept = [
            names[:1]
            + tuple(
                name
                for name in names[1:]
                if name in domains_by_server
                and domains_by_server[name] == domains_by_server.get(names[0])
            )
            for names in self._names
        ]
        if kept != self._names:
            self._names = kept
            self._compact_names()

    def is_partition(self) -> bool:
        """Return whether every position belongs to exactly one range."""
        starts = self._starts
        return (
            len(starts) > 0
            and starts[0] == 0
            and starts[-1] < END
            and all(a < b for a, b in zip(starts, starts[1:], strict=False))
        )

    def to_columns(self) -> Columns:
        """Return the contents in a form that can be stored."""
        return Columns(
            _little_endian(self._starts),
            _little_endian(self._versions),
            _little_endian(self._intents),
            _little_endian(self._placements),
            tuple(self._names),
        )

    @classmethod
    def from_columns(cls, columns: Columns) -> RangeMap:
        """Return the map that has the contents of the columns.

        Raises
        ------
        ValueError
            If the columns are not a partition of all positions or refer
            to unknown names.
        """
        range_map = cls(NO_INTENT)
        range_map._starts = _from_bytes("q", columns.starts)
        range_map._versions = _from_bytes("q", columns.versions)
        range_map._intents = _from_bytes("q", columns.intents)
        range_map._placements = _from_bytes("I", columns.placements)
        range_map._names = list(columns.names)
        range_map._index_by_names = {
            names: index for index, names in enumerate(range_map._names)
        }
        lengths = {
            len(range_map._starts),
            len(range_map._versions),
            len(range_map._intents),
            len(range_map._placements),
        }
        if len(lengths) != 1 or not range_map.is_partition():
            raise ValueError("columns are not a partition of all positions")
        if max(range_map._placements) >= len(range_map._names):
            raise ValueError("placements have an index beyond the names")
        return range_map

    def _overlapping_indexes(self, start: int, end: int) -> tuple[int, int]:
        first = bisect.bisect_right(self._starts, start) - 1
        return first, bisect.bisect_left(self._starts, end, first + 1)

    def _splice(self, first: int, last: int, rows: list[Range]) -> None:
        placements = [
            self._index_of((row.server, *row.successors)) for row in rows
        ]
        self._starts[first:last] = array.array(
            "q", [row.start for row in rows]
        )
        self._versions[first:last] = array.array(
            "q", [row.version for row in rows]
        )
        self._intents[first:last] = array.array(
            "q", [row.intent for row in rows]
        )
        self._placements[first:last] = array.array("I", placements)
        # Unused names are dropped only once they are many, because every
        # placement is renumbered then.
        if len(self._names) > 2 * len(self._starts) + 64:
            self._compact_names()

    def _index_of(self, names: tuple[str, ...]) -> int:
        index = self._index_by_names.get(names)
        if index is None:
            index = self._index_by_names[names] = len(self._names)
            self._names.append(names)
        return index

    def _compact_names(self) -> None:
        """Drop the names that no range uses and renumber the others."""
        names = self._names
        self._names, self._index_by_names = [], {}
        new_by_old = {
            old: self._index_of(names[old])
            for old in dict.fromkeys(self._placements)
        }
        self._placements = array.array(
            "I", [new_by_old[old] for old in self._placements]
        )


def can_replace(
    old_ranges: collections.abc.Sequence[Range],
    new_ranges: collections.abc.Sequence[Range],
) -> bool:
    """Return whether new ranges can replace positions of old ones.

    Both must be adjoining ranges in order of position, and the old ones
    exactly those that the new ones overlap.
    """
    return (
        _are_adjoining(old_ranges)
        and _are_adjoining(new_ranges)
        and old_ranges[0].start <= new_ranges[0].start < old_ranges[0].end
        and old_ranges[-1].start < new_ranges[-1].end <= old_ranges[-1].end
    )


def _are_adjoining(rows: collections.abc.Sequence[Range]) -> bool:
    return (
        len(rows) > 0
        and rows[0].start >= 0
        and rows[-1].end <= END
        and all(row.start < row.end for row in rows)
        and all(
            left.end == right.start
            for left, right in zip(rows, rows[1:], strict=False)
        )
    )


def _little_endian(column: array.array[int]) -> bytes:
    if sys.byteorder == "big":
        column = column[:]
        column.byteswap()
    return column.tobytes()


def _from_bytes(
    typecode: typing.Literal["q", "I"], body: bytes
) -> array.array[int]:
    column = array.array(typecode)
    column.frombytes(body)
    if sys.byteorder == "big":
        column.byteswap()
    return column
