"""Key ranges and their owners."""

from __future__ import annotations

import bisect
import typing

KEY_COUNT = 65536
"""Number of keys; keys are the integers from 0 to one less."""


class Owner(typing.NamedTuple):
    """The server instance that may hold keys.

    Attributes
    ----------
    server_id : str
        Identifier of the server; empty for `UNOWNED`.
    incarnation : int
        Incarnation of the server; a later one holds no keys of an earlier
        one.
    fence : int
        Fencing token of the grant.
    """

    server_id: str
    incarnation: int
    fence: int


UNOWNED = Owner("", 0, 0)

UNKNOWN = Owner("\0unknown", 0, 1)
"""Source of keys that any server may hold, as the store has lost who got them.
Its identifier is none that service discovery accepts."""


class KeyRange(typing.NamedTuple):
    """Adjacent keys with the same owner.

    Attributes
    ----------
    first, last : int
        Bounds, both inclusive.
    owner : Owner
        Server that may hold the keys.
    source : Owner
        Previous owner, which may still hold the keys; `UNOWNED` once the
        move is complete.
    """

    first: int
    last: int
    owner: Owner
    source: Owner = UNOWNED


class OwedRelease(typing.NamedTuple):
    """Keys that a server still has to release, bounds inclusive.

    They were moved once its lease counted as expired, but it may take a grant
    late.
    """

    server_id: str
    first: int
    last: int


class RangeMap:
    """All keys of a service as ordered ranges.

    Parameters
    ----------
    ranges : list of KeyRange
        Ranges that cover every key exactly once.
    """

    def __init__(self, ranges: list[KeyRange] | None = None) -> None:
        self.ranges = ranges or [KeyRange(0, KEY_COUNT - 1, UNOWNED)]
        self._firsts = [key_range.first for key_range in self.ranges]
        self._ranges_by_owner: dict[tuple[str, int], list[KeyRange]] = {}

    def find(self, key: int) -> KeyRange:
        """Return the range that contains a key."""
        return self.ranges[bisect.bisect_right(self._firsts, key) - 1]

    def by_owner(self) -> dict[tuple[str, int], list[KeyRange]]:
        """Return the owned ranges by identifier and incarnation."""
        if not self._ranges_by_owner:
            for key_range in self.ranges:
                if key_range.owner != UNOWNED:
                    self._ranges_by_owner.setdefault(
                        key_range.owner[:2], []
                    ).append(key_range)
        return self._ranges_by_owner

    def replace(self, changes: list[KeyRange]) -> RangeMap:
        """Return a map with the owners of some ranges replaced."""
        result: list[KeyRange] = []
        changes = sorted(changes)
        index = 0
        for old in self.ranges:
            first = old.first
            while index < len(changes) and changes[index].first <= old.last:
                change = changes[index]
                if change.first > first:
                    _append_merged(
                        result,
                        old._replace(first=first, last=change.first - 1),
                    )
                if change.last > old.last:
                    part = change._replace(last=old.last)
                    changes[index] = change._replace(first=old.last + 1)
                    _append_merged(result, part)
                    first = old.last + 1
                    break
                _append_merged(result, change)
                first = change.last + 1
                index += 1
            if first <= old.last:
                _append_merged(result, old._replace(first=first))
        return RangeMap(result)

    def of_server(self, server_id: str) -> list[KeyRange]:
        """Return the ranges that a server owns."""
        return [
            key_range
            for key_range in self.ranges
            if key_range.owner.server_id == server_id
        ]


def outstanding_releases(
    owed_releases: set[OwedRelease], key_map: RangeMap
) -> set[OwedRelease]:
    """Return releases without the keys that the map gives to their server.

    A server gets keys only once it has confirmed their release.
    """
    owners = {key_range.owner.server_id for key_range in key_map.ranges}
    result = set()
    for owed in owed_releases:
        if owed.server_id not in owners:
            result.add(owed)
            continue
        for key_range in key_map.ranges:
            first = max(owed.first, key_range.first)
            last = min(owed.last, key_range.last)
            if first <= last and key_range.owner.server_id != owed.server_id:
                result.add(OwedRelease(owed.server_id, first, last))
    return result


def _append_merged(ranges: list[KeyRange], new: KeyRange) -> None:
    if ranges:
        last = ranges[-1]
        if last.owner == new.owner and last.source == new.source:
            ranges[-1] = last._replace(last=new.last)
            return
    ranges.append(new)
