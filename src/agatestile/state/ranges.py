"""Owners of the positions of one service, kept in columns."""

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


class Range(typing.NamedTuple):
    """One range of positions.

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
    """Contents of a RangeMap as plain data.

    Attributes
    ----------
    starts, versions, intents : bytes
        Little-endian signed 64-bit integers, one per range.
    placements : bytes
        Little-endian unsigned 32-bit indexes into `names`.
    names : tuple of tuple of str
        Owner followed by its successors.
    """

    starts: bytes
    versions: bytes
    intents: bytes
    placements: bytes
    names: tuple[tuple[str, ...], ...]


class RangeMap:
    """Partition of all positions into ranges.

    A range takes 28 bytes. The owner and its successors are kept once for
    all ranges that have the same.

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
                self._names[mine] == other._names[theirs]
                for mine, theirs in zip(
                    self._placements, other._placements, strict=True
                )
            )
        )

    def at(self, index: int) -> Range:
        """Return the range with this index, counted by position."""
        following = index + 1
        names = self._names[self._placements[index]]
        return Range(
            self._starts[index],
            self._starts[following] if following < len(self._starts) else END,
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
        first, last = self._indexes(start, end)
        return [self.at(index) for index in range(first, last)]

    def counts_by_intent(self) -> collections.Counter[int]:
        """Return how many ranges each open Intent covers."""
        counts = collections.Counter(self._intents)
        del counts[NO_INTENT]
        return counts

    def owners(self) -> set[str]:
        """Return the servers that own a range."""
        names = {self._names[index][0] for index in set(self._placements)}
        return names - {""}

    def counts_by_server(self) -> collections.Counter[str]:
        """Return how many ranges each server owns."""
        counts: collections.Counter[str] = collections.Counter()
        for index, count in collections.Counter(self._placements).items():
            counts[self._names[index][0]] += count
        return counts

    def replace(self, pieces: collections.abc.Sequence[Range]) -> bool:
        """Replace the positions that adjoining pieces cover.

        Ranges that are covered in part keep their version and intent in
        the rest.

        Parameters
        ----------
        pieces : sequence of Range
            Ranges in order of position, each starting where the one
            before ends.

        Returns
        -------
        bool
            False if the pieces would break the partition; the map is then
            unchanged.
        """
        if not _adjoin(pieces):
            return False
        start, end = pieces[0].start, pieces[-1].end
        first, last = self._indexes(start, end)
        rows = list(pieces)
        before, after = self.at(first), self.at(last - 1)
        if before.start < start:
            rows.insert(0, before._replace(end=start))
        if after.end > end:
            rows.append(after._replace(start=end))
        self._splice(first, last, rows)
        return True

    def keep_successors(self, domains_by_server: dict[str, str]) -> None:
        """Drop successors that left the service or the owner's domain.

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
            self._intern_again()

    def is_partition(self) -> bool:
        """Tell whether every position belongs to exactly one range."""
        starts = self._starts
        return (
            len(starts) > 0
            and starts[0] == 0
            and starts[-1] < END
            and all(a < b for a, b in zip(starts, starts[1:], strict=False))
        )

    def to_columns(self) -> Columns:
        """Return the contents as plain data."""
        return Columns(
            _little_endian(self._starts),
            _little_endian(self._versions),
            _little_endian(self._intents),
            _little_endian(self._placements),
            tuple(self._names),
        )

    @classmethod
    def from_columns(cls, columns: Columns) -> RangeMap:
        """Make a map from plain data.

        Raises
        ------
        ValueError
            If the columns are not a partition of all positions.
        """
        ranges = cls(NO_INTENT)
        ranges._starts = _from_bytes("q", columns.starts)
        ranges._versions = _from_bytes("q", columns.versions)
        ranges._intents = _from_bytes("q", columns.intents)
        ranges._placements = _from_bytes("I", columns.placements)
        ranges._names = list(columns.names)
        ranges._index_by_names = {
            names: index for index, names in enumerate(ranges._names)
        }
        lengths = {
            len(ranges._starts),
            len(ranges._versions),
            len(ranges._intents),
            len(ranges._placements),
        }
        if len(lengths) != 1 or not ranges.is_partition():
            raise ValueError("columns are not a partition of all positions")
        if max(ranges._placements) >= len(ranges._names):
            raise ValueError("column of owners has an unknown index")
        return ranges

    def _indexes(self, start: int, end: int) -> tuple[int, int]:
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
        if len(self._names) > 2 * len(self._starts) + 64:
            self._intern_again()

    def _index_of(self, names: tuple[str, ...]) -> int:
        index = self._index_by_names.get(names)
        if index is None:
            index = self._index_by_names[names] = len(self._names)
            self._names.append(names)
        return index

    def _intern_again(self) -> None:
        """Forget the names that no range uses any more."""
        names = self._names
        self._names, self._index_by_names = [], {}
        new_by_old = {
            old: self._index_of(names[old])
            for old in dict.fromkeys(self._placements)
        }
        self._placements = array.array(
            "I", [new_by_old[old] for old in self._placements]
        )


def covers(
    before: collections.abc.Sequence[Range],
    pieces: collections.abc.Sequence[Range],
) -> bool:
    """Tell whether pieces can replace positions of adjoining ranges."""
    return (
        _adjoin(before)
        and _adjoin(pieces)
        and before[0].start <= pieces[0].start < before[0].end
        and before[-1].start < pieces[-1].end <= before[-1].end
    )


def _adjoin(pieces: collections.abc.Sequence[Range]) -> bool:
    return (
        len(pieces) > 0
        and pieces[0].start >= 0
        and pieces[-1].end <= END
        and all(piece.start < piece.end for piece in pieces)
        and all(
            before.end == after.start
            for before, after in zip(pieces, pieces[1:], strict=False)
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
