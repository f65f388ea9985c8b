"""Sends the gauges of a daemon to its metrics."""

from __future__ import annotations

import typing

import anyio

from agatestile.observability import metrics

if typing.TYPE_CHECKING:
    from agatestile.gateway import application
    from agatestile.log import follower as log_follower
    from agatestile.ownership import runner
    from agatestile.state import cluster


class Reporter:
    """Reads the parts of a daemon at intervals."""

    def __init__(
        self,
        sink: metrics.Metrics,
        state: cluster.ClusterState,
        follower: log_follower.Follower,
        ownership: runner.Runner,
        gateway: application.Application,
    ) -> None:
        self._sink = sink
        self._state = state
        self._follower = follower
        self._ownership = ownership
        self._gateway = gateway
        self._broken: dict[str, int] = {}

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await anyio.sleep(metrics.SEND_INTERVAL)
            self.report(anyio.current_time())

    def report(self, now: float) -> None:
        """Set all gauges once."""
        gauge = self._sink.gauge
        gauge(metrics.STATE_OFFSET, self._state.offset)
        gauge(metrics.STATE_TABLE_VERSION, self._state.table.version)
        gauge(metrics.REQUESTS_IN_FLIGHT, self._gateway.requests_in_progress)
        age = now - self._follower.last_read
        if age < float("inf"):
            gauge(metrics.LOG_READ_AGE, age)
        drivers = self._ownership.by_domain.values()
        gauge(
            metrics.DOMAINS_LED,
            sum(one.leadership is not None for one in drivers),
        )
        gauge(
            metrics.GATES_HELD,
            sum(
                len(self._ownership.gates.held(name, now))
                for name in self._ownership.by_domain
            ),
        )
        for name, count in self._state.checks.violations_by_name.items():
            more = count - self._broken.get(name, 0)
            self._broken[name] = count
            if more:
                self._sink.count(metrics.INVARIANTS_BROKEN, more, name)
