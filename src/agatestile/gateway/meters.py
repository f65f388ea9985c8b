"""Load of one gate by range and by key, in bounded memory."""

from __future__ import annotations

import collections
import math
import typing

from agatestile.placement import space_saving

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.state import ranges

DECAY_SECONDS = 5.0
"""Time constant with which old requests count less. Shorter than the 10 s
between two rounds of placement, so that a round mostly sees what followed
the previous one."""

SHORTEST_WINDOW = 1.0
"""Seconds that the first requests of a range are spread over; over less,
two requests would look like a high rate."""

BATCH = 256
"""Requests that are counted together. Their positions are only collected
on the request path; a batch takes about half a millisecond."""

COUNTERS = 64
"""Counters for hot keys: placement looks for keys above a quarter of a
server's load, and the error of the sketch is below 1/64 of it."""

LEAST_RATE = 0.05
"""Requests a second below which a range is not reported."""

RANGES_COUNTED = 1024
"""Ranges that a gate counts at a time; with this many an update takes
0.3 ms. Requests of further ranges count for the gate only."""

RANGES_REPORTED = 64
"""Ranges that a gate reports, the hottest ones, which bounds a report at
about 4 KB."""

HOT_KEYS_REPORTED = 8
HOT_KEY_SHARE = 1 / 16
"""Part of the gate's load below which a key is not reported; far below
the quarter above which placement moves it alone."""


class Load(typing.NamedTuple):
    """Load of the positions from start to before end, requests/s."""

    start: int
    end: int
    rate: float


class _Window:
    """Decayed count of requests."""

    __slots__ = ("count", "since")

    def __init__(self, since: float) -> None:
        self.count = 0.0
        self.since = since

    def rate(self, now: float) -> float:
        """Return requests a second, also soon after the start."""
        spent = 1.0 - math.exp((self.since - now) / DECAY_SECONDS)
        return self.count / max(SHORTEST_WINDOW, DECAY_SECONDS * spent)


class Meter:
    """Counts the requests that one gate takes.

    Parameters
    ----------
    server : str
        The gate's server.
    range_map : callable returning ranges.RangeMap
        Present ranges of the server's service.
    now : float
        Runtime's clock, seconds.
    """

    def __init__(
        self,
        server: str,
        range_map: collections.abc.Callable[[], ranges.RangeMap | None],
        now: float,
    ) -> None:
        self._server = server
        self._range_map = range_map
        self._batch: list[int] = []
        self._total = _Window(now)
        self._by_range: dict[tuple[int, int], _Window] = {}
        self._sketch = space_saving.SpaceSaving(COUNTERS)
        self._decayed_at = now

    def note(self, position: int) -> None:
        """Count a request."""
        self._batch.append(position)
        if len(self._batch) >= BATCH:
            self._fold()

    def update(self, now: float) -> None:
        """Bring the figures up to date, before they are read."""
        factor = math.exp((self._decayed_at - now) / DECAY_SECONDS)
        self._decayed_at = now
        self._sketch.decay(factor)
        self._total.count *= factor
        for window in self._by_range.values():
            window.count *= factor
        self._fold()

    def rate(self, now: float) -> float:
        """Return the gate's requests a second."""
        return self._total.rate(now)

    def loads(self, now: float) -> list[Load]:
        """Return the hottest ranges, the hottest first."""
        self._forget(now)
        found = [
            Load(start, end, window.rate(now))
            for (start, end), window in self._by_range.items()
        ]
        found = [load for load in found if load.rate >= LEAST_RATE]
        found.sort(key=lambda load: (-load.rate, load.start))
        return found[:RANGES_REPORTED]

    def hot_keys(self, now: float) -> list[tuple[int, float]]:
        """Return the hottest positions and their requests a second.

        The rates are lower bounds, so no key looks hot by an error of the
        sketch.
        """
        total = self._sketch.total
        if not total:
            return []
        scale = self.rate(now) / total
        least = max(LEAST_RATE, HOT_KEY_SHARE * self.rate(now))
        found = [
            (estimate.item, (estimate.weight - estimate.error) * scale)
            for estimate in self._sketch.top(HOT_KEYS_REPORTED)
        ]
        return [
            (position, rate)
            for position, rate in found
            if rate >= least and self._owns(position)
        ]

    def _owns(self, position: int) -> bool:
        range_map = self._range_map()
        return (
            range_map is not None
            and range_map.find(position).server == self._server
        )

    def _fold(self) -> None:
        """Count the batch."""
        if not self._batch:
            return
        counts = collections.Counter(self._batch)
        self._total.count += len(self._batch)
        self._batch.clear()
        range_map = self._range_map()
        for position, count in counts.items():
            self._sketch.add(position, count)
            if range_map is None:
                continue
            current = range_map.find(position)
            key = (current.start, current.end)
            window = self._by_range.get(key)
            if window is None:
                if len(self._by_range) >= RANGES_COUNTED:
                    continue
                window = self._by_range[key] = _Window(self._decayed_at)
            window.count += count

    def _forget(self, now: float) -> None:
        """Forget ranges that are idle or were moved, split or merged."""
        range_map = self._range_map()
        for key, window in list(self._by_range.items()):
            if range_map is not None:
                current = range_map.find(key[0])
                is_current = current[:3] == (*key, self._server)
                if is_current and window.rate(now) >= LEAST_RATE / 10:
                    continue
            del self._by_range[key]
