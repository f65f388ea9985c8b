"""Tests the limits shown in a host's status."""

from __future__ import annotations

import typing

from agatestile.admin import reports
from agatestile.limits import admission
from agatestile.observability import invariants


class _Gate(typing.NamedTuple):
    admission: admission.Admission


def test_limits_show_used_slots_and_the_rate_of_a_cold_server() -> None:
    """Guards against a cold server that appears idle for no reason."""
    checks = invariants.Invariants()
    warm, cold = (
        admission.Admission(server, admission.Limits(2, 5, 1.0), checks)
        for server in ("price-01", "price-02")
    )
    assert isinstance(warm.try_enter(1.0, 2.0), admission.Slot)
    cold.ramp.mark_cold(1.0, "first contact")
    found = reports.limits({"price-01": _Gate(warm), "price-02": _Gate(cold)})
    assert found["price-01"] == {
        "in_flight": 1,
        "waiting": 0,
        "cold": False,
        "rate": None,
    }
    assert (found["price-02"]["cold"], found["price-02"]["rate"]) == (True, 2)
