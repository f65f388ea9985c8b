"""Owners of keys, as one host knows them."""

from __future__ import annotations

import math

from agatestile.assignment import ranges


DENIED_SECONDS = 0.25
"""Pause before an owner that denies to hold a key is asked for it again:
the interval of news from the coordinator."""


class AssignmentView:
    """Owners of keys as the coordinator last told.

    Attributes
    ----------
    epoch, version : int
        Which coordinator, and the number of its assignment.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.version = -1
        self.maps: dict[str, ranges.RangeMap] = {}
        self._moving_since: dict[tuple[str, int], float] = {}
        self._denied_until: dict[tuple[str, int], float] = {}

    def deny(self, service: str, key: int, now: float) -> None:
        """Note that the owner of a key says that it does not hold it."""
        key_range = self.find(service, key)
        if key_range is not None:
            grant = (service, key_range.owner.fence)
            self._denied_until[grant] = now + DENIED_SECONDS

    def confirm(self, service: str, key: int) -> None:
        """Note that the owner of a key served it."""
        key_range = self.find(service, key) if self._denied_until else None
        if key_range is not None:
            self._denied_until.pop((service, key_range.owner.fence), None)

    def ask_denied(
        self, service: str, key_range: ranges.KeyRange, now: float
    ) -> float | None:
        """Return until when an owner that denied a range is not asked.

        Returns
        -------
        float or None
            Clock, seconds; None if the owner may be asked now. After each
            pause one request may ask it, and the others wait for longer.
        """
        grant = (service, key_range.owner.fence)
        until = self._denied_until.get(grant)
        if until is None or now < until:
            return until
        self._denied_until[grant] = now + DENIED_SECONDS
        return None

    def moving_since(self, service: str, key_range: ranges.KeyRange) -> float:
        """Return since when a range is known to change hands."""
        return self._moving_since.get(
            (service, key_range.owner.fence), math.inf
        )

    def find(self, service: str, key: int) -> ranges.KeyRange | None:
        """Return the range of a key, None before the first assignment."""
        key_map = self.maps.get(service)
        return None if key_map is None else key_map.find(key)

    def take_stored(
        self, epoch: int, maps: dict[str, ranges.RangeMap]
    ) -> None:
        """Take the stored assignment, which does not tell the end of moves.

        A move lasts for a moment only, so its target counts as the owner;
        a server that does not hold a key yet says so.
        """
        self.epoch, self.version = epoch, -1
        self._moving_since.clear()
        self.maps = {
            service: key_map.replace(
                [
                    one._replace(source=ranges.NOBODY)
                    for one in key_map.ranges
                    if one.source != ranges.NOBODY
                ]
            )
            for service, key_map in maps.items()
        }

    def update(
        self,
        epoch: int,
        version: int,
        maps: dict[str, ranges.RangeMap],
        now: float,
    ) -> bool:
        """Take an assignment unless a newer one is known."""
        if (epoch, version) <= (self.epoch, self.version):
            return False
        self.epoch, self.version, self.maps = epoch, version, maps
        before, self._moving_since = self._moving_since, {}
        self._denied_until = {
            grant: until
            for grant, until in self._denied_until.items()
            if now < until
        }
        for service, key_map in maps.items():
            for one in key_map.ranges:
                if one.source != ranges.NOBODY:
                    move = (service, one.owner.fence)
                    self._moving_since[move] = before.get(move, now)
        return True
