"""Counters, gauges and latency histograms in a text exposition format.

Monitoring systems scrape this text.
"""

from __future__ import annotations

import bisect
import typing

BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
"""Upper bounds of the histogram buckets, seconds."""

PREFIX = "agatestile_"

Labels = tuple[tuple[str, str], ...]


class _Histogram:
    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS) + 1)
        self.total = 0.0

    def add(self, seconds: float) -> None:
        self.counts[bisect.bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds


class Registry:
    """Metrics by name and labels; gauges are read when they are rendered."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, Labels], int] = {}
        self._histograms: dict[tuple[str, Labels], _Histogram] = {}
        self._gauges: dict[str, typing.Callable[[], float]] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        series = (name, tuple(labels.items()))
        self._counts[series] = self._counts.get(series, 0) + amount

    def time(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        series = (name, tuple(labels.items()))
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = self._histograms[series] = _Histogram()
        histogram.add(seconds)

    def gauge(self, name: str, read: typing.Callable[[], float]) -> None:
        """Register a function that returns the value of a gauge."""
        self._gauges[name] = read

    def render(self) -> bytes:
        """Return the text of all series, encoded as UTF-8."""
        lines = [
            f"{PREFIX}{name}{_format_labels(labels)} {count}"
            for (name, labels), count in sorted(self._counts.items())
        ]
        for name, read in sorted(self._gauges.items()):
            lines.append(f"{PREFIX}{name} {read():g}")
        for (name, labels), histogram in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            lines += _histogram_lines(name, labels, histogram)
        return ("\n".join(lines) + "\n").encode()


def _histogram_lines(
    name: str, labels: Labels, histogram: _Histogram
) -> list[str]:
    lines = []
    cumulative = 0
    bounds = [f"{bound:g}" for bound in BUCKETS] + ["+Inf"]
    for bound, count in zip(bounds, histogram.counts):
        cumulative += count
        text = _format_labels((*labels, ("le", bound)))
        lines.append(f"{PREFIX}{name}_bucket{text} {cumulative}")
    text = _format_labels(labels)
    lines.append(f"{PREFIX}{name}_sum{text} {histogram.total:g}")
    lines.append(f"{PREFIX}{name}_count{text} {cumulative}")
    return lines


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = ",".join(
        '{}="{}"'.format(
            name,
            value.replace("\\", "\\\\")
            .replace('"', '\\"')
            .replace("\n", "\\n"),
        )
        for name, value in labels
    )
    return "{" + pairs + "}"
