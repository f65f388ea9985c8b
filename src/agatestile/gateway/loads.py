"""Load reports of this host's gates to the leaders of their domains."""

from __future__ import annotations

import typing

from agatestile.gateway import clock
from agatestile.gateway import meters
from agatestile.rpc.generated.agatestile_rpc import ttypes

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.gateway import entry
    from agatestile.gateway import servers
    from agatestile.ownership import gates as ownership_gates
    from agatestile.state import cluster
    from agatestile.state import ranges

REPORT_INTERVAL_SECONDS = 2.0
"""Interval of load reports by range and by key. Reports on 30 ranges in each
heartbeat would take 7 of the 11 KB/s that the control plane of a daemon may
use."""

REPORTED_QUANTILE = 0.99
"""Quantile of the latency that is reported for a gate."""


class GateLoads:
    """Implements the `Loads` port of ownership with measured loads.

    Parameters
    ----------
    state : cluster.ClusterState
        The replicated state.
    """

    def __init__(self, state: cluster.ClusterState) -> None:
        self._state = state
        self._gates: entry.Gates | None = None
        self._gate_table: ownership_gates.GateTable | None = None
        self._meters: dict[str, meters.Meter] = {}
        self._reported_at: dict[tuple[str, str], float] = {}

    def attach(
        self, gates: entry.Gates, gate_table: ownership_gates.GateTable
    ) -> None:
        """Set the gates, which are created after the ports of ownership."""
        self._gates, self._gate_table = gates, gate_table
        gates.request_recorder = self.request_recorder

    def request_recorder(
        self, server: str
    ) -> collections.abc.Callable[[int], None]:
        """Return a function that counts a request by its position."""
        meter = meters.Meter(
            server, lambda: self._range_map(server), clock.now()
        )
        self._meters[server] = meter
        return meter.record

    def gate_report(self, server: str, fence: str) -> ttypes.GateReport:
        """Return the report on the gate of a server."""
        gate = self._get_gate(server)
        if gate is None or gate.fence != fence:
            # Nothing was sent under this fence yet, so the incarnation is
            # the one that the leader sent with the grant.
            return ttypes.GateReport(
                server, fence, 0, 0.0, 0.0, self._granted_incarnation(server)
            )
        now = clock.now()
        meter = self._meters.get(server)
        if meter is not None:
            meter.update(now)
        return ttypes.GateReport(
            server,
            fence,
            gate.admission.in_flight,
            meter.rate(now) if meter is not None else 0.0,
            gate.admission.quantiles.quantile(REPORTED_QUANTILE, now) * 1000.0,
            gate.warm_incarnation,
        )

    def range_loads(self, domain: str) -> list[ttypes.RangeLoad]:
        """Return the loads of ranges of the gates held in a domain."""
        now = clock.now()
        if not self._is_due("ranges", domain, now):
            return []
        return [
            ttypes.RangeLoad(service, *load)
            for service, meter in self._meters_in_domain(domain, now)
            for load in meter.loads(now)
        ]

    def hot_keys(self, domain: str) -> list[ttypes.HotKey]:
        """Return the hottest keys of the gates held in a domain."""
        now = clock.now()
        if not self._is_due("keys", domain, now):
            return []
        return [
            ttypes.HotKey(service, position, rate)
            for service, meter in self._meters_in_domain(domain, now)
            for position, rate in meter.hot_keys(now)
        ]

    def _is_due(self, kind: str, domain: str, now: float) -> bool:
        reported_at = self._reported_at.get((kind, domain))
        if (
            reported_at is not None
            and now < reported_at + REPORT_INTERVAL_SECONDS
        ):
            return False
        self._reported_at[kind, domain] = now
        return True

    def _meters_in_domain(
        self, domain: str, now: float
    ) -> collections.abc.Iterator[tuple[str, meters.Meter]]:
        """Yield service and meter of each gate held in a domain."""
        if self._gate_table is None:
            return
        for server in self._gate_table.held(domain, now):
            row = self._state.table.servers_by_name.get(server)
            meter = self._meters.get(server)
            if row is not None and meter is not None:
                meter.update(now)
                yield row.service, meter

    def _range_map(self, server: str) -> ranges.RangeMap | None:
        row = self._state.table.servers_by_name.get(server)
        if row is None:
            return None
        return self._state.ranges_by_service.get(row.service)

    def _get_gate(self, server: str) -> servers.ServerGate | None:
        if self._gates is None:
            return None
        return self._gates.by_server.get(server)

    def _granted_incarnation(self, server: str) -> str:
        if self._gate_table is None:
            return ""
        return self._gate_table.granted_warm_incarnation(server)
