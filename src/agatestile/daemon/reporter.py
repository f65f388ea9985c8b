"""Reports the state of a daemon as metrics."""

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
    """Sets the gauges of a daemon at regular intervals."""

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
        self._reported_violations_by_name: dict[str, int] = {}

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await anyio.sleep(metrics.SEND_INTERVAL)
            self.report(anyio.current_time())

    def report(self, now: float) -> None:
        """Set all gauges and count new invariant violations once.

        Parameters
        ----------
        now : float
            Clock time, seconds.
        """
        gauge = self._sink.gauge
        gauge(metrics.STATE_OFFSET, self._state.offset)
        gauge(metrics.STATE_TABLE_VERSION, self._state.table.version)
        gauge(metrics.REQUESTS_IN_FLIGHT, self._gateway.requests_in_progress)
        read_age = now - self._follower.last_read
        if read_age < float("inf"):
            gauge(metrics.LOG_READ_AGE, read_age)
        drivers = self._ownership.by_domain.values()
        gauge(
            metrics.DOMAINS_LED,
            sum(driver.leadership is not None for driver in drivers),
        )
        gauge(
            metrics.GATES_HELD,
            sum(
                len(self._ownership.gates.held(name, now))
                for name in self._ownership.by_domain
            ),
        )
        for name, count in self._state.checks.violations_by_name.items():
            increase = count - self._reported_violations_by_name.get(name, 0)
            self._reported_violations_by_name[name] = count
            if increase:
                self._sink.count(metrics.INVARIANTS_BROKEN, increase, name)
