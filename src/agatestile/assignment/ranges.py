"""Ranges of keys and their owners."""

from __future__ import annotations

import bisect
import typing

KEY_COUNT = 65536
"""Keys are the whole numbers below this bound."""


class Owner(typing.NamedTuple):
    """The life of a server that may hold keys.

    Attributes
    ----------
    server_id : str
        Identifier of the server; empty for nobody.
    incarnation : int
        Its start; a later life holds nothing of an earlier one.
    fence : int
        Fencing token of the grant.
    """

    server_id: str
    incarnation: int
    fence: int


UNOWNED = Owner("", 0, 0)


class KeyRange(typing.NamedTuple):
    """Neighbouring keys with one owner.

    Attributes
    ----------
    first, last : int
        Bounds, both inclusive.
    owner : Owner
        Who may hold the keys.
    source : Owner
        Who held them before and may still do so; `UNOWNED` once the move
        is complete.
    """

    first: int
    last: int
    owner: Owner
    source: Owner = UNOWNED


class RangeMap:
    """All keys of a service, as ranges in order.

    Parameters
    ----------
    ranges : list of KeyRange
        Ranges that cover every key once.
    """

    def __init__(self, ranges: list[KeyRange] | None = None) -> None:
        self.ranges = ranges or [KeyRange(0, KEY_COUNT - 1, UNOWNED)]
        self._firsts = [one.first for one in self.ranges]

    def find(self, key: int) -> KeyRange:
        """Return the range of a key."""
        return self.ranges[bisect.bisect_right(self._firsts, key) - 1]

    def replace(self, changes: list[KeyRange]) -> RangeMap:
        """Return a map with the owners of some ranges replaced."""
        result: list[KeyRange] = []
        changes = sorted(changes)
        place = 0
        for old in self.ranges:
            first = old.first
            while place < len(changes) and changes[place].first <= old.last:
                change = changes[place]
                if change.first > first:
                    _add(
                        result,
                        old._replace(first=first, last=change.first - 1),
                    )
                if change.last > old.last:
                    part = change._replace(last=old.last)
                    changes[place] = change._replace(first=old.last + 1)
                    _add(result, part)
                    first = old.last + 1
                    break
                _add(result, change)
                first = change.last + 1
                place += 1
            if first <= old.last:
                _add(result, old._replace(first=first))
        return RangeMap(result)

    def of_server(self, server_id: str) -> list[KeyRange]:
        """Return the ranges that a server may hold."""
        return [one for one in self.ranges if one.owner.server_id == server_id]


def _add(ranges: list[KeyRange], new: KeyRange) -> None:
    if ranges:
        last = ranges[-1]
        if last.owner == new.owner and last.source == new.source:
            ranges[-1] = last._replace(last=new.last)
            return
    ranges.append(new)
