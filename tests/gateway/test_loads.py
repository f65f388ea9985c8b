"""Tests the load reports of the gates."""

from __future__ import annotations

import pytest

from agatestile.gateway import entry
from agatestile.gateway import loads
from agatestile.limits import budget
from agatestile.observability import invariants
from agatestile.ownership import gates
from tests.ownership import support


class HeldGates(gates.GateTable):
    """Gate table with a gate of p1, whose grant names p1#1 as warm."""

    def held(self, domain: str, now: float) -> dict[str, str]:
        return {"p1": "f1"}

    def granted_warm_incarnation(self, server: str) -> str:
        return "p1#1"


def build_loads() -> loads.GateLoads:
    state, checks = support.state(), invariants.Invariants()
    gate_table = HeldGates(state, support.TIMING, checks)
    gate_loads = loads.GateLoads(state)
    gate_loads.attach(
        entry.Gates(state, gate_table, budget.RetryBudget(), checks),
        gate_table,
    )
    return gate_loads


@pytest.mark.anyio
async def test_gate_without_requests_keeps_its_server_warm() -> None:
    """Guards against a slow start after the gate of a server moves twice.

    A new gate that has sent nothing must not report the server as cold.
    """
    report = build_loads().gate_report("p1", "f1")
    assert (report.fence, report.warm_incarnation) == ("f1", "p1#1")


@pytest.mark.anyio
async def test_reports_by_range_are_sent_at_intervals() -> None:
    """Guards against heartbeats that exceed the control plane's budget."""
    gate_loads = build_loads()
    record_request = gate_loads.request_recorder("p1")
    for _ in range(100):
        record_request(5)
    (load,) = gate_loads.range_loads(support.DOMAIN)
    assert (load.service_name, load.start) == ("price", 0)
    assert load.end == support.MIDDLE
    assert load.requests_per_second > 50
    (key,) = gate_loads.hot_keys(support.DOMAIN)
    assert key.position == 5
    assert gate_loads.range_loads(support.DOMAIN) == []
    assert gate_loads.hot_keys(support.DOMAIN) == []
