"""Figures of one trial of the service benchmark."""

from __future__ import annotations

import typing

from bench import verdict

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

    from bench import load
    from bench import systems

# With 17 servers of two slots, 80 ms allow 425 lookups a second, so that one
# load generator can send twice this load on time.
OVERLOAD_SERVICE_MS = 80.0
SUSTAINED_RATE = 17 * 2 / (OVERLOAD_SERVICE_MS / 1000)
# Result codes of requests that reached a server: SERVER_REFUSED,
# SERVER_SHED, OUTCOME_UNKNOWN, ANSWER_BROKEN.
REACHED_CODES = (207, 208, 300, 301)


def answered_percent(records: list[load.Record]) -> float:
    """Return the share of requests that were answered, percent."""
    return 100 * sum(record.answered for record in records) / len(records)


def latency_figures(
    records: list[load.Record], system: systems.System, seconds: float
) -> list[float]:
    """Return p50, p99 and p99.9 in ms and the share answered in percent."""
    histogram = verdict.latencies(records)
    return [
        *(
            histogram.get_value_at_percentile(percentile) / 1000
            for percentile in (50, 99, 99.9)
        ),
        answered_percent(records),
    ]


def overload_figures(
    records: list[load.Record], system: systems.System, seconds: float
) -> list[float]:
    """Return goodput, servers that fell over and repeated arrivals."""
    answered = sum(record.answered for record in records)
    counts = system.sum_counters()
    return [
        answered / seconds,
        100 * answered / seconds / SUSTAINED_RATE,
        counts.get("fell_over", 0),
        repeated_percent(records, counts),
    ]


def repeated_percent(
    records: list[load.Record], counts: Mapping[str, int]
) -> float:
    """Return the repeated arrivals at servers, percent of the load.

    Neither the daemons nor the servers count retries, so these are all
    arrivals less the requests that reached a server: those that were
    answered, or whose code or failure implies it.
    """
    arrivals = sum(
        counts.get(name, 0)
        for name in ("executed", "shed", "shed_cold", "fence", "fell_over")
    )
    reached = sum(
        record.answered
        or record.code in REACHED_CODES
        or record.failure in ("broken", "timeout")
        for record in records
    )
    return 100 * (arrivals - reached) / len(records)


def availability_figures(
    records: list[load.Record], system: systems.System, seconds: float
) -> list[float]:
    """Return the percentage answered and the longest unavailable time, s."""
    times = verdict.unavailable_times(records).values()
    return [answered_percent(records), max(times)]
