"""Metrics, sent to statsd over UDP.

Values are collected in memory and sent in batches once a second, since a
datagram for each value would cost more than the request that it counts.
"""

from __future__ import annotations

import collections
import random
import typing

import anyio
import statsd

if typing.TYPE_CHECKING:
    from agatestile.settings import schema

SEND_INTERVAL = 1.0  # seconds
TIMINGS_PER_INTERVAL = 100  # values of each timer
DATAGRAM_BYTES = 1400  # fits one Ethernet frame


class Metric(typing.NamedTuple):
    """Description of a metric.

    Attributes
    ----------
    kind : str
        "counter", "gauge" or "timer".
    unit : str
        Unit of a value, or what is counted.
    suffix : str
        What is appended to the name after a dot; empty if nothing is.
    description : str
        One sentence for operators.
    """

    kind: str
    unit: str
    suffix: str
    description: str


REQUESTS_RECEIVED = "requests.received"
REQUESTS_ENDED = "requests.ended"
REQUESTS_DURATION = "requests.duration"
REQUESTS_IN_FLIGHT = "requests.in_flight"
STATE_OFFSET = "state.offset"
STATE_TABLE_VERSION = "state.table_version"
LOG_READ_AGE = "log.read_age"
GATES_HELD = "gates.held"
DOMAINS_LED = "domains.led"
INVARIANTS_BROKEN = "invariants.broken"

METRICS_BY_NAME = {
    REQUESTS_RECEIVED: Metric(
        "counter",
        "requests",
        "entry or gate",
        "Requests received from callers (entry) or other hosts (gate).",
    ),
    REQUESTS_ENDED: Metric(
        "counter",
        "requests",
        "name of the result code",
        "Requests that ended, by the code in the head of the answer; "
        "NO_ANSWER if there was none.",
    ),
    REQUESTS_DURATION: Metric(
        "timer",
        "ms",
        "entry or gate",
        "Time from the head of a request to the end of its answer.",
    ),
    REQUESTS_IN_FLIGHT: Metric(
        "gauge", "requests", "", "Requests being handled now."
    ),
    STATE_OFFSET: Metric(
        "gauge", "offset", "", "Offset of the last record applied."
    ),
    STATE_TABLE_VERSION: Metric(
        "gauge", "offset", "", "Version of the services table in force."
    ),
    LOG_READ_AGE: Metric(
        "gauge", "s", "", "Age of the last successful read of the log."
    ),
    GATES_HELD: Metric(
        "gauge", "servers", "", "Servers that this host gates."
    ),
    DOMAINS_LED: Metric(
        "gauge", "domains", "", "Failure domains that this host leads."
    ),
    INVARIANTS_BROKEN: Metric(
        "counter",
        "violations",
        "name of the invariant",
        "Checks of an invariant that failed; must stay 0.",
    ),
}


class Metrics(typing.Protocol):
    """Receives the values of the metrics in `METRICS_BY_NAME`."""

    def count(self, name: str, amount: int = 1, suffix: str = "") -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float, suffix: str = "") -> None:
        """Set a gauge."""

    def timing(self, name: str, seconds: float, suffix: str = "") -> None:
        """Add a duration, seconds, to a timer."""

    async def run(self) -> None:
        """Send the values at intervals until cancelled."""


class NoMetrics:
    """Discards all values."""

    def count(self, name: str, amount: int = 1, suffix: str = "") -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float, suffix: str = "") -> None:
        """Do nothing."""

    def timing(self, name: str, seconds: float, suffix: str = "") -> None:
        """Do nothing."""

    async def run(self) -> None:
        """Wait until cancelled."""
        await anyio.sleep_forever()


class StatsdMetrics:
    """Collects values and sends them to statsd.

    For each timer, a random sample of at most `TIMINGS_PER_INTERVAL`
    durations is sent per interval; counters and gauges are exact.
    """

    def __init__(self, settings: schema.Metrics) -> None:
        if settings.statsd is None:
            raise ValueError("metrics.statsd is not set")
        self._client = statsd.StatsClient(
            host=settings.statsd.host,
            port=settings.statsd.port,
            prefix=settings.prefix,
            maxudpsize=DATAGRAM_BYTES,
        )
        self._counts: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._timings: dict[str, list[float]] = {}
        self._timing_counts: collections.Counter[str] = collections.Counter()

    def count(self, name: str, amount: int = 1, suffix: str = "") -> None:
        """Add to a counter."""
        self._counts[_full_name(name, suffix)] += amount

    def gauge(self, name: str, value: float, suffix: str = "") -> None:
        """Set a gauge."""
        self._gauges[_full_name(name, suffix)] = value

    def timing(self, name: str, seconds: float, suffix: str = "") -> None:
        """Add a duration to a timer."""
        full_name = _full_name(name, suffix)
        sampled = self._timings.setdefault(full_name, [])
        self._timing_counts[full_name] += 1
        if len(sampled) < TIMINGS_PER_INTERVAL:
            sampled.append(seconds)
            return
        index = int(random.random() * self._timing_counts[full_name])
        if index < TIMINGS_PER_INTERVAL:
            sampled[index] = seconds

    async def run(self) -> None:
        """Send the values once per interval until cancelled."""
        try:
            while True:
                await anyio.sleep(SEND_INTERVAL)
                self.send()
        finally:
            self.send()

    def send(self) -> None:
        """Send the values collected since the last call."""
        with self._client.pipeline() as pipeline:
            for name, amount in self._counts.items():
                pipeline.incr(name, amount)
            for name, value in self._gauges.items():
                pipeline.gauge(name, value)
            for name, durations in self._timings.items():
                for seconds in durations:
                    pipeline.timing(name, seconds * 1000)
        self._counts.clear()
        self._gauges.clear()
        self._timings.clear()
        self._timing_counts.clear()


def from_settings(settings: schema.Metrics) -> Metrics:
    """Return metrics that are sent if a statsd address is set."""
    if settings.statsd is None:
        return NoMetrics()
    return StatsdMetrics(settings)


def _full_name(name: str, suffix: str) -> str:
    # A dot in the suffix would add a level to the name.
    return f"{name}.{suffix.replace('.', '_')}" if suffix else name
