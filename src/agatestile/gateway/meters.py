"""Measures the load of a gate by range and by key in bounded memory."""

from __future__ import annotations

import collections
import math
import typing

from agatestile.placement import space_saving

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.state import ranges

DECAY_SECONDS = 5.0
"""Time constant of the exponential decay of counts. It is shorter than the
10 s between two rounds of placement, so that a round mostly sees the load
since the previous one."""

MIN_WINDOW_SECONDS = 1.0
"""Shortest period that a rate is computed over; in a shorter one, two
requests would look like a high rate."""

BATCH_SIZE = 256
"""Number of requests that are counted together. The request path only
collects their positions; counting a batch takes about 0.5 ms."""

KEY_COUNTERS = 64
"""Counters of the sketch for hot keys. Placement looks for keys above a
quarter of a server's load, and the error of the sketch is below 1/64 of
that load."""

MIN_REPORTED_RATE = 0.05
"""Requests per second below which a range or a key is not reported."""

MAX_COUNTED_RANGES = 1024
"""Limit on ranges that a gate counts; at the limit an update takes 0.3 ms.
Requests for further ranges count for the gate only."""

MAX_REPORTED_RANGES = 64
"""Limit on ranges in a report, of which the hottest are kept. It bounds a
report to about 4 KB."""

MAX_REPORTED_HOT_KEYS = 8
MIN_HOT_KEY_SHARE = 1 / 16
"""Fraction of the gate's load below which a key is not reported; far below
the quarter above which placement moves the key alone."""


class Load(typing.NamedTuple):
    """Load of a range.

    Attributes
    ----------
    start, end : int
        First position of the range, and the one after its last.
    rate : float
        Requests per second.
    """

    start: int
    end: int
    rate: float


class _DecayingCounter:
    """Count of requests with exponential decay."""

    __slots__ = ("count", "started_at")

    def __init__(self, started_at: float) -> None:
        self.count = 0.0
        self.started_at = started_at

    def rate(self, now: float) -> float:
        """Return requests per second, corrected for a recent start."""
        fraction = 1.0 - math.exp((self.started_at - now) / DECAY_SECONDS)
        return self.count / max(MIN_WINDOW_SECONDS, DECAY_SECONDS * fraction)


class Meter:
    """Counts the requests to one gate by range and by key.

    Parameters
    ----------
    server : str
        Name of the gate's server.
    range_map : callable returning ranges.RangeMap
        Returns the current ranges of the server's service.
    now : float
        Clock of the event loop, seconds.
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
        self._gate_counter = _DecayingCounter(now)
        self._counters_by_range: dict[tuple[int, int], _DecayingCounter] = {}
        self._sketch = space_saving.SpaceSaving(KEY_COUNTERS)
        self._decayed_at = now

    def record(self, position: int) -> None:
        """Count a request."""
        self._batch.append(position)
        if len(self._batch) >= BATCH_SIZE:
            self._count_batch()

    def update(self, now: float) -> None:
        """Decay the counts and add the last batch, before they are read."""
        factor = math.exp((self._decayed_at - now) / DECAY_SECONDS)
        self._decayed_at = now
        self._sketch.decay(factor)
        self._gate_counter.count *= factor
        for counter in self._counters_by_range.values():
            counter.count *= factor
        self._count_batch()

    def rate(self, now: float) -> float:
        """Return the requests per second of the gate."""
        return self._gate_counter.rate(now)

    def loads(self, now: float) -> list[Load]:
        """Return the loads of the hottest ranges, in descending order."""
        self._drop_stale_ranges(now)
        loads = [
            Load(start, end, counter.rate(now))
            for (start, end), counter in self._counters_by_range.items()
        ]
        loads = [load for load in loads if load.rate >= MIN_REPORTED_RATE]
        loads.sort(key=lambda load: (-load.rate, load.start))
        return loads[:MAX_REPORTED_RANGES]

    def hot_keys(self, now: float) -> list[tuple[int, float]]:
        """Return the hottest positions and their requests per second.

        The rates are lower bounds, so that the error of the sketch does not
        make a key look hot.
        """
        total = self._sketch.total
        if not total:
            return []
        scale = self.rate(now) / total
        min_rate = max(MIN_REPORTED_RATE, MIN_HOT_KEY_SHARE * self.rate(now))
        rates = [
            (estimate.item, (estimate.weight - estimate.error) * scale)
            for estimate in self._sketch.top(MAX_REPORTED_HOT_KEYS)
        ]
        return [
            (position, rate)
            for position, rate in rates
            if rate >= min_rate and self._owns(position)
        ]

    def _owns(self, position: int) -> bool:
        range_map = self._range_map()
        return (
            range_map is not None
            and range_map.find(position).server == self._server
        )

    def _count_batch(self) -> None:
        """Add the requests of the batch to the counts."""
        if not self._batch:
            return
        counts = collections.Counter(self._batch)
        self._gate_counter.count += len(self._batch)
        self._batch.clear()
        range_map = self._range_map()
        for position, count in counts.items():
            self._sketch.add(position, count)
            if range_map is None:
                continue
            current = range_map.find(position)
            key = (current.start, current.end)
            counter = self._counters_by_range.get(key)
            if counter is None:
                if len(self._counters_by_range) >= MAX_COUNTED_RANGES:
                    continue
                counter = self._counters_by_range[key] = _DecayingCounter(
                    self._decayed_at
                )
            counter.count += count

    def _drop_stale_ranges(self, now: float) -> None:
        """Drop counts of ranges that are idle, moved, split or merged."""
        range_map = self._range_map()
        for key, counter in list(self._counters_by_range.items()):
            if range_map is not None:
                current = range_map.find(key[0])
                is_current = current[:3] == (*key, self._server)
                if is_current and counter.rate(now) >= MIN_REPORTED_RATE / 10:
                    continue
            del self._counters_by_range[key]
