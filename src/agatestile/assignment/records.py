"""Durable form of the leadership and of the range maps.

All of it lies in one topic, whose appends name the end that they expect, so
that a host that lost the leadership can't change anything.
"""

from __future__ import annotations

import typing

import msgspec

from agatestile.assignment import ranges
from agatestile.store import port

TOPIC = "agatestile"
LEADER_KEY = "leadership"
SERVICE_PREFIX = "service/"


class Leadership(msgspec.Struct, frozen=True, array_like=True):
    """Who decides about assignments.

    Attributes
    ----------
    epoch : int
        Rises with each new holder.
    host : str
        Control address of the holder.
    is_resigned : bool
        Whether the holder has stopped to renew grants.
    is_settled : bool
        Whether no earlier leader may renew grants any more.
    remaining_leases : list of (str, int, float)
        Of a resigned holder: identifier and incarnation of servers, and
        for how much longer each may hold keys, seconds.
    """

    epoch: int
    host: str
    is_resigned: bool = False
    is_settled: bool = False
    remaining_leases: list[tuple[str, int, float]] = []


class ServiceRanges(msgspec.Struct, array_like=True):
    """Range map of one service.

    Attributes
    ----------
    lives : list of (str, int)
        Identifier and incarnation of the servers below.
    rows : list of (int, int, int, int, int)
        First key, place of the owner in `lives` and its fence, the same of
        the source. The place is -1 for nobody.
    """

    lives: list[tuple[str, int]]
    rows: list[tuple[int, int, int, int, int]]

    @classmethod
    def from_map(cls, key_map: ranges.RangeMap) -> ServiceRanges:
        """Return the durable form of a map."""
        places: dict[tuple[str, int], int] = {}

        def place(owner: ranges.Owner) -> int:
            if owner == ranges.UNOWNED:
                return -1
            life = (owner.server_id, owner.incarnation)
            return places.setdefault(life, len(places))

        rows = [
            (
                one.first,
                place(one.owner),
                one.owner.fence,
                place(one.source),
                one.source.fence,
            )
            for one in key_map.ranges
        ]
        return cls(list(places), rows)

    def to_map(self) -> ranges.RangeMap:
        """Return the map.

        Raises
        ------
        ValueError
            If the rows don't cover every key once.
        """
        firsts = [row[0] for row in self.rows]
        is_sorted = all(a < b for a, b in zip(firsts, firsts[1:]))
        if not firsts or firsts[0] != 0 or not is_sorted:
            raise ValueError("rows don't cover every key once")
        if firsts[-1] >= ranges.KEY_COUNT:
            raise ValueError("a row begins after the last key")
        lasts = [first - 1 for first in firsts[1:]] + [ranges.KEY_COUNT - 1]
        return ranges.RangeMap(
            [
                ranges.KeyRange(
                    row[0],
                    last,
                    self._owner(row[1], row[2]),
                    self._owner(row[3], row[4]),
                )
                for row, last in zip(self.rows, lasts)
            ]
        )

    def _owner(self, place: int, fence: int) -> ranges.Owner:
        if place < 0:
            return ranges.UNOWNED
        if place >= len(self.lives):
            raise ValueError("a row names an unknown server")
        return ranges.Owner(*self.lives[place], fence)


class Stored(typing.NamedTuple):
    """Content of the topic.

    Attributes
    ----------
    leadership : Leadership
        Last leader; epoch 0 before the first.
    maps : dict
        Range map by service.
    end : int
        Offset that the next append has to name.
    """

    leadership: Leadership
    maps: dict[str, ranges.RangeMap]
    end: int


def decode(page: port.Page) -> Stored | str:
    """Return the content of the topic, or why it can't be read."""
    leadership = Leadership(0, "")
    maps = {}
    for record in page.records:
        try:
            if record.key == LEADER_KEY:
                leadership = msgspec.msgpack.decode(
                    record.value, type=Leadership
                )
            elif record.key.startswith(SERVICE_PREFIX) and record.value:
                stored = msgspec.msgpack.decode(
                    record.value, type=ServiceRanges
                )
                name = record.key.removeprefix(SERVICE_PREFIX)
                maps[name] = stored.to_map()
        except (msgspec.DecodeError, ValueError) as error:
            return f"record {record.key} can't be read: {error}"
    return Stored(leadership, maps, page.end)


def encode_leadership(leadership: Leadership) -> port.Record:
    """Return the record of a leadership."""
    return port.Record(LEADER_KEY, msgspec.msgpack.encode(leadership))


def encode_map(service: str, key_map: ranges.RangeMap) -> port.Record:
    """Return the record of a service's map."""
    value = msgspec.msgpack.encode(ServiceRanges.from_map(key_map))
    return port.Record(SERVICE_PREFIX + service, value)
