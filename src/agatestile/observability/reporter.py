"""Sends parts of a host's status as metrics."""

from __future__ import annotations

import typing

import anyio

from agatestile.observability import metrics as metric_names

if typing.TYPE_CHECKING:
    import collections.abc

INTERVAL = 5.0  # seconds


class Reporter:
    """Reads the status at intervals.

    Parameters
    ----------
    metrics : metrics.Metrics
        Takes the values.
    status : callable
        Returns the status (`admin.operations.Operations.host_status`).
    dropped : callable
        Returns the number of log lines dropped since the start.
    """

    def __init__(
        self,
        metrics: metric_names.Metrics,
        status: collections.abc.Callable[[], dict[str, typing.Any]],
        dropped: collections.abc.Callable[[], int],
    ) -> None:
        self._metrics = metrics
        self._status = status
        self._dropped = dropped
        self._last_counts: dict[tuple[str, str], int] = {}

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            self.report()
            await anyio.sleep(INTERVAL)

    def report(self) -> None:
        """Report once."""
        status, gauge = self._status(), self._metrics.gauge
        gauge(metric_names.STATE_OFFSET, status["offset"])
        gauge(metric_names.STATE_TABLE_VERSION, status["table_version"])
        if status["log_read_age"] is not None:
            gauge(metric_names.LOG_READ_AGE, status["log_read_age"])
        gauge(metric_names.GATES_HELD, len(status["gated_ranges"]))
        for server, count in status["gated_ranges"].items():
            gauge(metric_names.RANGES_GATED, count, server)
        gauge(
            metric_names.DOMAINS_LED,
            list(status["leaders"].values()).count(status["host"]),
        )
        for name, total in status["invariant_violations"].items():
            self._count(metric_names.INVARIANTS_BROKEN, total, name)
        self._count(metric_names.LOGS_DROPPED, self._dropped())

    def _count(self, name: str, total: int, suffix: str = "") -> None:
        before = self._last_counts.get((name, suffix), 0)
        if total > before:
            self._metrics.count(name, total - before, suffix)
        self._last_counts[name, suffix] = total
