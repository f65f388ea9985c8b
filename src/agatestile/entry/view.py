"""Assignment of keys to owners, as one host knows it."""

from __future__ import annotations

import math

from agatestile.assignment import ranges


ADMISSION_SECONDS = 1.0
"""How long admitted shares are used without a response of the coordinator."""


class AssignmentView:
    """Newest assignment of keys to owners that this host received.

    Attributes
    ----------
    epoch, version : int
        Epoch of the coordinator, and the number of its assignment.
    maps : dict of str to ranges.RangeMap
        Owners of key ranges by service.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.version = -1
        self.maps: dict[str, ranges.RangeMap] = {}
        self._moving_since: dict[tuple[str, int], float] = {}
        self._admitted_shares: dict[str, dict[int, float]] = {}
        self._admitted_at = -math.inf

    def set_admitted_shares(
        self, shares: dict[str, dict[int, float]], now: float
    ) -> None:
        """Set the admitted shares of hot keys by service and key."""
        self._admitted_shares, self._admitted_at = shares, now

    def admitted_share(self, service: str, key: int, now: float) -> float:
        """Return the share of the requests for a key that is admitted."""
        if now > self._admitted_at + ADMISSION_SECONDS:
            return 1.0
        return self._admitted_shares.get(service, {}).get(key, 1.0)

    def moving_since(self, service: str, key_range: ranges.KeyRange) -> float:
        """Return since when a range is known to move to its owner, seconds."""
        return self._moving_since.get(
            (service, key_range.owner.fence), math.inf
        )

    def find(self, service: str, key: int) -> ranges.KeyRange | None:
        """Return the range of a key, None before the first assignment."""
        key_map = self.maps.get(service)
        return None if key_map is None else key_map.find(key)

    def load_stored(
        self, epoch: int, maps: dict[str, ranges.RangeMap]
    ) -> None:
        """Load the stored assignment, which does not record the end of moves.

        Moves are short, so the target of a move counts as the owner; a
        server that does not hold a key yet rejects requests for it.
        """
        self.epoch, self.version = epoch, -1
        self._moving_since.clear()
        self.maps = {
            service: key_map.replace(
                [
                    one._replace(source=ranges.UNOWNED)
                    for one in key_map.ranges
                    if one.source != ranges.UNOWNED
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
        """Accept an assignment if it is newer; return whether it is."""
        if (epoch, version) <= (self.epoch, self.version):
            return False
        self.epoch, self.version, self.maps = epoch, version, maps
        before, self._moving_since = self._moving_since, {}
        for service, key_map in maps.items():
            for one in key_map.ranges:
                if one.source != ranges.UNOWNED:
                    move = (service, one.owner.fence)
                    self._moving_since[move] = before.get(move, now)
        return True
