"""Loads reported by the gates of one failure domain."""

from __future__ import annotations

import typing

from agatestile.placement import planner

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.ownership import gate_records
    from agatestile.ownership import leadership
    from agatestile.rpc.generated.agatestile_rpc import ttypes
    from agatestile.state import ranges

MAX_REPORT_AGE = 6.0
"""Seconds for which a report counts: three report intervals of 2 s."""


class _Rate(typing.NamedTuple):
    """A request rate, the fence of its reporting gate, and its arrival time.

    Attributes
    ----------
    rate : float
        Requests per second.
    fence : str
        Fence of the gate that reported the rate.
    reported_at : float
        When the report arrived, seconds.
    """

    rate: float
    fence: str
    reported_at: float


class LoadReports:
    """The latest loads by range and by key.

    A report counts only while its sender is the gate of the range's owner.
    Loads belong to ranges rather than servers, so a report from before a
    move counts for the new owner.

    Parameters
    ----------
    leader : leadership.Leadership
        The leadership whose gates report.
    """

    def __init__(self, leader: leadership.Leadership) -> None:
        self._leader = leader
        self._by_range: dict[tuple[str, int, int], _Rate] = {}
        self._by_key: dict[tuple[str, int], _Rate] = {}

    def record_loads(self, heartbeat: ttypes.Heartbeat, now: float) -> None:
        """Store the loads of a heartbeat that the leader accepted."""
        fences = {
            report.server: report.fence for report in heartbeat.gates or ()
        }
        for load in heartbeat.loads or ():
            fence = self._fence_of(
                load.service_name, load.start, heartbeat, fences
            )
            if fence:
                self._by_range[load.service_name, load.start, load.end] = (
                    _Rate(load.requests_per_second, fence, now)
                )
        for key in heartbeat.hot_keys or ():
            fence = self._fence_of(
                key.service_name, key.position, heartbeat, fences
            )
            if fence:
                self._by_key[key.service_name, key.position] = _Rate(
                    key.requests_per_second, fence, now
                )

    def discard_old(self, now: float) -> None:
        """Remove the reports that no longer count."""
        oldest = now - MAX_REPORT_AGE
        self._by_range = {
            key: rate
            for key, rate in self._by_range.items()
            if rate.reported_at >= oldest
        }
        self._by_key = {
            key: rate
            for key, rate in self._by_key.items()
            if rate.reported_at >= oldest
        }

    def owned(
        self, service: str, servers: collections.abc.Container[str]
    ) -> list[planner.OwnedRange]:
        """Return the ranges with known load that these servers own."""
        found = []
        for (name, start, end), rate in sorted(self._by_range.items()):
            if name != service:
                continue
            current = self._current_range(service, start, rate)
            if (
                current is not None
                and current.server in servers
                and (current.start, current.end) == (start, end)
            ):
                found.append(
                    planner.OwnedRange(start, end, current.server, rate.rate)
                )
        return found

    def hot_keys(self, service: str) -> list[planner.HotKey]:
        """Return the keys that were reported as hot."""
        return [
            planner.HotKey(position, rate.rate)
            for (name, position), rate in sorted(self._by_key.items())
            if name == service
            and self._current_range(service, position, rate) is not None
        ]

    def _current_range(
        self, service: str, position: int, rate: _Rate
    ) -> ranges.Range | None:
        """Return the range of a report, or None if it does not count."""
        current = self._range_at(service, position)
        if current is None:
            return None
        gate = self._leader.gates_by_server.get(current.server)
        if gate is None or not gate.is_granted or gate.fence != rate.fence:
            return None
        return current

    def _fence_of(
        self,
        service: str,
        position: int,
        heartbeat: ttypes.Heartbeat,
        fences: dict[str, str],
    ) -> str:
        """Return the sender's fence for a position, empty if it has none."""
        current = self._range_at(service, position)
        if current is None:
            return ""
        gate = self._leader.gates_by_server.get(current.server)
        if gate is None or not _is_sent_by_gate(gate, heartbeat):
            return ""
        return gate.fence if fences.get(current.server) == gate.fence else ""

    def _range_at(self, service: str, position: int) -> ranges.Range | None:
        range_map = self._leader.state.ranges_by_service.get(service)
        return range_map.find(position) if range_map is not None else None


def _is_sent_by_gate(
    gate: gate_records.GateRecord, heartbeat: ttypes.Heartbeat
) -> bool:
    return (
        gate.is_granted
        and gate.host == heartbeat.host
        and gate.instance == heartbeat.instance
    )
